"""A follower behind a slow link, over real connections."""

import asyncio

from bamboosill_common import clock as clock_lib
from bamboosill_common import events
from bamboosill_common import identities
from bamboosill_common import peer
from bamboosill_common import wire
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import follower as follower_lib
from bamboosilld.fleet import state as state_lib

from .conftest import make_configuration

# The time limits are shortened, and the link is slowed down to match.
_CALL_TIMEOUT_S = 0.2
_RECEIVE_TIMEOUT_S = 0.25
_PART_BYTES = 4096
_PART_INTERVAL_S = 0.05
_ROUTES = 4000


def _make_context(name):
    clock = clock_lib.SystemClock()
    return peer.PeerContext(
        peer.Identity(name, 1, "z1"),
        identities.OpenAuthenticator(),
        clock,
        events.Timeline(clock, name),
    )


async def _forward(reader, writer, delay_s):
    try:
        while data := await reader.read(_PART_BYTES):
            await asyncio.sleep(delay_s)
            writer.write(data)
            await writer.drain()
    except OSError:
        pass
    finally:
        writer.close()


async def _start_slow_link(port):
    async def accept(reader, writer):
        far_reader, far_writer = await asyncio.open_connection(
            "127.0.0.1", port
        )
        await asyncio.gather(
            _forward(reader, far_writer, 0.0),
            _forward(far_reader, writer, _PART_INTERVAL_S),
        )

    link = await asyncio.start_server(accept, "127.0.0.1", 0)
    return link, f"127.0.0.1:{link.sockets[0].getsockname()[1]}"


async def test_a_snapshot_arrives_over_a_link_slower_than_the_time_limits(
    monkeypatch,
):
    """Guards against an instance that asks for the same bytes for ever."""
    monkeypatch.setattr(follower_lib, "_CALL_TIMEOUT_S", _CALL_TIMEOUT_S)
    monkeypatch.setattr(peer, "_RECEIVE_TIMEOUT_S", _RECEIVE_TIMEOUT_S)
    monkeypatch.setattr(peer, "_PING_INTERVAL_S", _RECEIVE_TIMEOUT_S / 3)
    state = state_lib.FleetState()
    template = make_configuration().routes[0]
    routes = tuple(
        template._replace(
            name=f"route-{number * 7919}", path_prefix=f"/{number * 104729}/"
        )
        for number in range(_ROUTES)
    )
    state.apply(1, wire.pack(make_configuration(routes=routes)))
    snapshot = state.snapshot()
    transfer_s = len(snapshot) / _PART_BYTES * _PART_INTERVAL_S
    assert transfer_s > 2 * _RECEIVE_TIMEOUT_S
    handlers = peer.Handlers()

    @handlers.register(messages.Follow)
    async def answer(request, hello):
        if request.revision == state.revision:
            await asyncio.sleep(_CALL_TIMEOUT_S / 2)
            return messages.FollowReply(revision=state.revision)
        return messages.FollowReply(revision=1, snapshot=snapshot)

    server = peer.Server(_make_context("c1"), handlers)
    link, address = await _start_slow_link(await server.start("127.0.0.1", 0))
    directory = peer.Directory(_make_context("e1"))
    follower = follower_lib.Follower(
        "e1",
        directory,
        clock_lib.SystemClock(),
        lambda: (address,),
        follower_lib.Measurements,
        lambda stats: None,
    )
    synced = asyncio.Event()
    follower.state.add_listener(lambda command: synced.set())
    task = asyncio.create_task(follower.run())
    try:
        async with asyncio.timeout(8 * transfer_s):
            await synced.wait()
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await directory.close()
        link.close()
        await server.stop()
