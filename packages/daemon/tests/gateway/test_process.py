"""Tests of the listeners of an entry instance."""

import asyncio

import pytest

from bamboosill_common import wire
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import process as process_lib
from bamboosilld.fleet import settings as settings_lib
from bamboosilld.gateway import process as entry_process
from bamboosilld.gateway import service as service_lib

from .conftest import NAMES

_MAX_HEADER_BYTES = 100_000


def _make_entry(idle_timeout_ms):
    settings = settings_lib.FleetSettings(
        "e1", "z1", "127.0.0.1:1", (), False, "", 4000, 1000
    )
    gateway = service_lib.GatewaySettings(
        "e1", "z1", "", NAMES, 0.2, 50.0, 10.0
    )
    entry = entry_process.EntryInstance(
        process_lib.Process(settings, lambda: None),
        entry_process.EntrySettings("", "", "/readyz", 0, 6.0, gateway),
    )
    change = messages.ChangeConfiguration(
        version=1,
        whole=True,
        limits=messages.CallerLimits(
            _MAX_HEADER_BYTES, 1000, 1000, idle_timeout_ms
        ),
        has_limits=True,
    )
    entry._follower.state.apply(1, wire.pack(change))
    return entry


async def _connect(listener):
    await listener.start("127.0.0.1", 0)
    port = listener._server.sockets[0].getsockname()[1]
    return await asyncio.open_connection("127.0.0.1", port)


@pytest.mark.parametrize(
    ("is_forwarded", "added_bytes", "status"),
    [(False, 0, b"404"), (False, 400, b"431"), (True, 400, b"503")],
)
async def test_headers_of_any_allowed_size_can_be_forwarded(
    is_forwarded, added_bytes, status
):
    """Guards against requests that one instance takes and another does not."""
    entry = _make_entry(5000)
    listener = (
        entry._forward_listener if is_forwarded else entry._caller_listener
    )
    reader, writer = await _connect(listener)
    head = b"GET / HTTP/1.1\r\nHost: a\r\n"
    if is_forwarded:
        head += b"bamboosill-sends-left: 1\r\nbamboosill-configuration: 2\r\n"
    size = _MAX_HEADER_BYTES - 200 + added_bytes
    writer.write(head + b"x-long: " + b"a" * size + b"\r\n\r\n")
    async with asyncio.timeout(5):
        line = await reader.readline()
    writer.close()
    assert line.split()[1] == status


async def test_idle_connections_of_other_instances_are_closed():
    """Guards against connections of instances that were lost, kept for ever."""
    entry = _make_entry(300)
    tasks = entry._start_tasks()
    reader, writer = await _connect(entry._forward_listener)
    async with asyncio.timeout(5):
        assert await reader.read() == b""
    writer.close()
    for each in tasks:
        each.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
