"""Calls to upstreams over HTTP: what each response or its absence means."""

import asyncio
import contextlib

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


@contextlib.asynccontextmanager
async def _serve(response):
    """Serves each request with the response; with None, it hangs.

    Yields:
        The address and the requests so far.
    """
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
    yield f"{host}:{port}", requests
    server.close()


def _respond(status, extra=b"", body=b""):
    length = b"Content-Length: %d\r\n" % len(body)
    return b"HTTP/1.1 %d X\r\n" % status + extra + length + b"\r\n" + body


@pytest.fixture
async def client():
    """Returns a client, whose connections are closed at the end."""
    client = upstream_calls.HttpCallClient(
        _Format(), clock_lib.SystemClock(), "127.0.0.1"
    )
    yield client
    client.retain(set())
    await asyncio.sleep(0.01)


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
async def test_a_response_tells_what_became_of_a_grant(
    client, response, outcome
):
    """Guards against a grant that counts as answered or as never sent."""
    async with _serve(response) as (address, _):
        result = await client.grant(
            _make_item(address), _GRANT, 2.0, lambda: True
        )
    assert result.outcome.value == outcome


@pytest.mark.parametrize("address", ["127.0.0.1:1", "127.0.0.1:99999", "x"])
async def test_a_call_without_a_connection_was_not_sent(client, address):
    """Guards against leases that wait for calls that never left."""
    result = await client.grant(_make_item(address), _GRANT, 2.0, lambda: True)
    assert result.outcome is upstream_calls.Outcome.UNSENT


async def test_nothing_is_written_once_a_call_may_not_be_sent(client):
    """Guards against calls of a leader that has lost its lease.

    The connection can be used for the next call.
    """
    async with _serve(_respond(200)) as (address, requests):
        item = _make_item(address)
        result = await client.grant(item, _GRANT, 2.0, lambda: False)
        assert result.outcome is upstream_calls.Outcome.UNSENT
        await asyncio.sleep(0.05)
        assert requests == []
        result = await client.grant(item, _GRANT, 2.0, lambda: True)
        assert result.outcome is upstream_calls.Outcome.DONE
        (pool,) = client._pools.values()
        assert pool.opened == 1


async def test_calls_share_a_connection_and_return_the_handover(client):
    """Guards against a new connection for each renewal."""
    response = _respond(200, b"X-Handover: token\r\n")
    async with _serve(response) as (address, requests):
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
