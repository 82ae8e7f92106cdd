"""Tests of connections between instances."""

import asyncio
import random

import pytest
from returns.result import Failure
from returns.result import Success

from bamboosill_common import auth
from bamboosill_common import clock
from bamboosill_common import events
from bamboosill_common import metrics
from bamboosill_common import peer
from bamboosill_common import wire
from bamboosill_common.generated import control
from bamboosill_common.generated import peer as peer_messages


def make_context(name):
    system_clock = clock.SystemClock()
    return peer.PeerContext(
        peer.Identity(name, 1, "z"),
        auth.Authenticator("", system_clock),
        system_clock,
        events.Timeline(system_clock, name),
    )


async def start_server(handlers):
    server = peer.Server(make_context("server"), handlers)
    return server, await server.start("127.0.0.1", 0)


def make_handlers():
    handlers = peer.Handlers()

    @handlers.register(control.ZoneBeat)
    async def answer(message, hello):
        await asyncio.sleep(message.applied_revision / 1000)
        return control.ZoneBeatReply(revision=message.applied_revision)

    return handlers


async def test_replies_reach_their_own_request():
    """Guards against a reply that reaches the wrong call.

    The server replies in another order than that of the requests.
    """
    server, port = await start_server(make_handlers())
    client = peer.Client(make_context("client"), f"127.0.0.1:{port}")
    delays = [30, 5, 20, 1]
    replies = await asyncio.gather(
        *(
            client.call(
                control.ZoneBeat(applied_revision=delay),
                control.ZoneBeatReply,
                5,
            )
            for delay in delays
        )
    )
    assert [reply.unwrap().revision for reply in replies] == delays
    await client.close()
    await server.stop()


@pytest.mark.parametrize(
    "data",
    [b"\xff\xff\xff\xff", b"\x00\x00\x00\x04abcd", b"GET / HTTP/1.1\r\n\r\n"],
)
async def test_bad_bytes_close_only_their_connection(data):
    """Guards against malformed input that affects other connections."""
    server, port = await start_server(make_handlers())
    client = peer.Client(make_context("client"), f"127.0.0.1:{port}")
    before = metrics.peer_bad_frames._value.get()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    while await reader.read(4096):
        pass
    reply = await client.call(control.ZoneBeat(), control.ZoneBeatReply, 5)
    assert isinstance(reply, Success)
    assert metrics.peer_bad_frames._value.get() == before + 1
    writer.close()
    await client.close()
    await server.stop()


def _make_frame(**fields):
    data = wire.encode(peer_messages.Frame(**fields))
    return len(data).to_bytes(4, "big") + data


def _make_hello(token="", **fields):
    hello = peer_messages.Hello(protocol=1, instance="x", token=token)
    return _make_frame(kind="hello", body=wire.encode(hello), **fields)


def _make_damaged_frames():
    """Returns frames with bytes changed at random, with a fixed seed."""
    rng = random.Random(7)
    for _ in range(300):
        data = bytearray(_make_hello(clock=rng.getrandbits(64)))
        for _ in range(rng.randrange(1, 12)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        yield bytes(data[: rng.randrange(1, len(data) + 1)])


@pytest.mark.parametrize(
    "frames",
    [
        [_make_hello(clock=2**64 - 1, token="forged")],
        [_make_frame(kind="request", clock=2**64 - 1)],
        [(65 * 1024).to_bytes(4, "big")],
        list(_make_damaged_frames()),
    ],
)
async def test_a_peer_without_a_valid_hello_changes_nothing(frames):
    """Guards against state and memory that an unknown peer can use up."""
    context = make_context("server")._replace(authenticator=_Refusing())
    server = peer.Server(context, make_handlers())
    port = await server.start("127.0.0.1", 0)
    before = context.timeline.tick() >> events.LOGICAL_BITS
    for data in frames:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(data)
        writer.write_eof()
        async with asyncio.timeout(5):
            assert await reader.read() == b""
        writer.close()
    after = context.timeline.tick() >> events.LOGICAL_BITS
    assert after - before < 60_000
    await server.stop()


class _Refusing:
    """Knows no peer."""

    def sign(self, scope):
        return ""

    def verify(self, token, scope):
        return Failure("unknown")


def test_an_implausible_timestamp_of_a_peer_is_ignored():
    """Guards against timestamps that no frame can carry."""
    timeline = make_context("e1").timeline
    timeline.observe(2**64 - 1)
    assert timeline.tick() < 2**63


async def test_call_to_dead_instance_ends_by_deadline():
    """Guards against a call that hangs when the server does not respond."""
    silent_server = await asyncio.start_server(
        lambda reader, writer: None, "127.0.0.1", 0
    )
    port = silent_server.sockets[0].getsockname()[1]
    client = peer.Client(make_context("client"), f"127.0.0.1:{port}")
    reply = await client.call(control.ZoneBeat(), control.ZoneBeatReply, 0.1)
    assert isinstance(reply, Failure)
    assert reply.failure().code == "timeout"
    assert not reply.failure().sent
    await client.close()
    silent_server.close()


@pytest.mark.parametrize(("parts", "ping_interval_s"), [(0, 0.02), (4, 60.0)])
async def test_a_call_is_not_extended_without_parts_of_a_frame(
    monkeypatch, parts, ping_interval_s
):
    """Guards against waiting for an instance that only answers pings.

    The parts of a frame that never ends extend the call while they arrive.
    """
    monkeypatch.setattr(peer, "_PING_INTERVAL_S", ping_interval_s)
    handlers = peer.Handlers()

    @handlers.register(control.ZoneBeat)
    async def send_parts(message, hello):
        (connection,) = connections
        for number in range(parts):
            data = b"\x00\x01\x00\x00" if number == 0 else b"a"
            connection.writer.write(data)
            await asyncio.sleep(0.15)
        await asyncio.sleep(60)

    connections = []
    server, port = await start_server(handlers)
    accept = server._serve_connection

    async def serve_connection(connection):
        connections.append(connection)
        await accept(connection)

    server._serve_connection = serve_connection
    client = peer.Client(make_context("client"), f"127.0.0.1:{port}")
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    reply = await client.call(
        control.ZoneBeat(), control.ZoneBeatReply, 0.2, 60.0
    )
    assert reply.failure().code == "timeout"
    is_extended = loop.time() - started_s > 0.4
    assert is_extended == (parts > 0)
    await client.close()
    await server.stop()
