"""Tests of the relay that injects network faults."""

import asyncio
import contextlib

import pytest

from bamboosill_dev import relay as relay_lib


@pytest.fixture
async def relay():
    async def echo(reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(100):
                writer.write(data)

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    relay = relay_lib.Relay(f"127.0.0.1:{port}")
    await relay.start()
    yield relay
    await relay.stop()
    server.close()


async def connect(relay):
    host, port = relay.address.split(":")
    return await asyncio.open_connection(host, int(port))


async def send_and_receive(connection, timeout_s=0.2):
    """Returns the echo, None for a timeout, or b"" for a closed connection."""
    reader, writer = connection
    try:
        writer.write(b"x")
        async with asyncio.timeout(timeout_s):
            return await reader.read(1)
    except TimeoutError:
        return None
    except OSError:
        return b""


async def test_silenced_connections_stay_open_and_new_ones_work(relay):
    """Guards against a stopped connection that a peer sees as closed."""
    old_connection = await connect(relay)
    assert await send_and_receive(old_connection, 5) == b"x"
    relay.silence()
    assert await send_and_receive(old_connection) is None
    assert await send_and_receive(await connect(relay), 5) == b"x"
    relay.heal()
    assert await send_and_receive(old_connection) is None
    assert not old_connection[0].at_eof()


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, b"x"),
        ({"delay_s": 0.01}, b"x"),
        ({"refuse": True}, b""),
        ({"cut_to_target": True}, None),
        ({"cut_to_client": True}, None),
        ({"hold_new": True}, None),
    ],
)
async def test_faults(relay, changes, expected):
    """Guards against a fault that has no effect, or cannot be cleared."""
    relay.set_faults(**changes)
    connection = await connect(relay)
    assert (
        await send_and_receive(connection, 5 if expected else 0.2) == expected
    )
    relay.heal()
    assert await send_and_receive(await connect(relay), 5) == b"x"
    if expected is None:
        assert await send_and_receive(connection, 5) == b"x"


async def test_reset_closes_existing_connections(relay):
    """Guards against connections that stay open after a reset."""
    old_connection = await connect(relay)
    assert await send_and_receive(old_connection, 5) == b"x"
    relay.reset()
    assert await send_and_receive(old_connection, 5) == b""
    assert await send_and_receive(await connect(relay), 5) == b"x"
