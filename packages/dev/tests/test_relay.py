"""Tests of the relay that injects network faults."""

import asyncio
import contextlib
import json

from aiohttp import test_utils
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


@pytest.mark.parametrize(
    ("body", "status"),
    [
        ('{"delay_s": 0.5, "hold_new": true}', 200),
        ('{"cut_sources": ["127.0.0.2"], "reset": true}', 200),
        ("{}", 200),
        ('{"delay": 1}', 400),
        ('{"delay_s": "long"}', 400),
        ('{"hold_new": 1}', 400),
        ('{"cut_sources": "127.0.0.2"}', 400),
        ("[1]", 400),
        ("no JSON", 400),
    ],
)
async def test_faults_are_set_over_http(relay, body, status):
    """Guards against faults that are not set, or half of them."""
    server = test_utils.RawTestServer(relay_lib._make_control(relay))
    before = relay.faults
    async with test_utils.TestClient(server) as client:
        response = await client.post("/set", data=body)
        assert response.status == status
        if status == 200:
            document = await response.json()
            assert (
                document.items()
                >= {
                    name: value
                    for name, value in json.loads(body).items()
                    if name != "reset"
                }.items()
            )
        else:
            assert relay.faults == before
