"""Calls to upstreams over HTTP: what each response or its absence means."""

import asyncio

import pytest

from bamboosill_common import clock as clock_lib
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import upstream_calls

_GRANT = messages.KeyRange(0, 7, 3, "u1", 1)


class _Format:
    def format_grant(self, upstream, grant, lease_s):
        return b"POST /grant HTTP/1.1\r\nHost: u\r\nContent-Length: 0\r\n\r\n"

    def format_release(self, upstream, part):
        return b"POST /release HTTP/1.1\r\nHost: u\r\nContent-Length: 0\r\n\r\n"

    def read_handover(self, response):
        return (response.get(b"x-handover") or b"").decode()


async def _serve(response):
    """Starts a server that gives each request the response; None hangs."""
    requests = []

    async def accept(reader, writer):
        try:
            while True:
                requests.append(await reader.readuntil(b"\r\n\r\n"))
                if response is None:
                    # Until the caller gives up.
                    await reader.read()
                    break
                writer.write(response)
                if b"close" in response:
                    break
        except (EOFError, OSError):
            pass
        writer.close()

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    return server, f"{host}:{port}", requests


def _respond(status, extra=b"", body=b""):
    length = b"Content-Length: %d\r\n" % len(body)
    return b"HTTP/1.1 %d X\r\n" % status + extra + length + b"\r\n" + body


def _make_client():
    return upstream_calls.HttpCallClient(
        _Format(), clock_lib.SystemClock(), "127.0.0.1"
    )


def _make_item(address):
    return messages.UpstreamItem("u1", 1, address, "s")


@pytest.mark.parametrize(
    ("response", "outcome"),
    [
        (_respond(200), "done"),
        (_respond(200, body=b"{"), "done"),
        (_respond(200, body=b"[" * 50_000), "done"),
        (_respond(204), "done"),
        (_respond(409), "refused"),
        (_respond(421), "unsent"),
        (_respond(400), "unknown"),
        (_respond(500), "unknown"),
        (_respond(503, b"Retry-After: 9\r\n"), "unknown"),
        (b"no answer\r\n\r\n", "unknown"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nclose", "unknown"),
        (None, "unknown"),
    ],
)
async def test_a_response_tells_what_became_of_a_grant(response, outcome):
    """Guards against a grant that counts as answered or as never sent."""
    server, address, _ = await _serve(response)
    result = await _make_client().grant(
        _make_item(address), _GRANT, 2.0, lambda: True
    )
    assert result.outcome.value == outcome
    server.close()


@pytest.mark.parametrize("address", ["127.0.0.1:1", "127.0.0.1:99999", "x"])
async def test_a_call_without_a_connection_was_not_sent(address):
    """Guards against leases that wait for calls that never left."""
    result = await _make_client().grant(
        _make_item(address), _GRANT, 2.0, lambda: True
    )
    assert result.outcome is upstream_calls.Outcome.UNSENT


async def test_nothing_is_written_once_a_call_may_not_be_sent():
    """Guards against calls of a leader that has lost its lease."""
    server, address, requests = await _serve(_respond(200))
    result = await _make_client().grant(
        _make_item(address), _GRANT, 2.0, lambda: False
    )
    assert result.outcome is upstream_calls.Outcome.UNSENT
    await asyncio.sleep(0.05)
    assert requests == []
    server.close()


async def test_calls_share_a_connection_and_return_the_handover():
    """Guards against a new connection for each renewal."""
    server, address, requests = await _serve(
        _respond(200, b"X-Handover: token\r\n")
    )
    client = _make_client()
    item = _make_item(address)
    for _ in range(3):
        await client.grant(item, _GRANT, 2.0, lambda: True)
    result = await client.release(item, _GRANT, 1.0, lambda: True)
    assert result.handover == "token"
    assert len(requests) == 4
    (pool,) = client._pools.values()
    assert pool.opened == 1
    client.retain(set())
    assert not client._pools
    server.close()
