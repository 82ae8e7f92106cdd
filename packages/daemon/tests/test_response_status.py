"""Tests of response statuses on both request paths, with exact bytes."""

import asyncio

import pytest

from bamboosilld.entry import exchange as entry_exchange
from bamboosilld.entry import pools
from bamboosilld.gateway import upstream_connection

_REQUEST = b"GET / HTTP/1.1\r\nHost: u\r\n\r\n"
# Far more than the bytes need, and far less than the deadline of a caller.
_TIMEOUT_S = 5.0
_FRAMINGS = {
    "length": b"Content-Length: 2\r\n\r\nhi",
    "chunked": b"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
    "end": b"\r\nhi",
}
_STATUSES = {
    **dict.fromkeys(("000", "001", "099", "101", "600", "999"), False),
    **dict.fromkeys(("200", "404", "599"), True),
    **dict.fromkeys(("20", "2", "0200", "2000", "+20", "-20"), False),
    **dict.fromkeys(("+200", "-200", "2 0", "2x0", ""), False),
}


def _format(status, framing):
    head = f"HTTP/1.1 {status} X\r\nx-id: r\r\nBamboosill-Request-Id: r\r\n"
    return head.encode() + _FRAMINGS[framing]


@pytest.fixture
async def start():
    """Starts a server that answers each connection once."""
    servers = []

    async def begin(response, closes):
        async def serve(reader, writer):
            try:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(response)
                await writer.drain()
                if not closes:
                    await reader.read()
            except OSError:
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        servers.append(server)
        port = server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    yield begin
    for server in servers:
        server.close()


async def _exchange_at_gateway(address):
    connection = await upstream_connection.Pool(address, b"x-id").acquire()
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            response = await connection.exchange(_REQUEST, b"r")
    except upstream_connection.ExchangeError as error:
        assert error.sent
        assert not connection.is_reusable
        return error.code
    connection.abort()
    return response.status


async def _exchange_at_entry(address):
    pool = pools.Pool(address, 1)
    connection = (await pool.acquire(_TIMEOUT_S)).unwrap()
    timeouts = entry_exchange.Timeouts(_TIMEOUT_S, 0.0, lambda: False)
    result = await entry_exchange.run_exchange(
        pool, connection, _REQUEST, "r", False, timeouts
    )
    is_kept = pool.size > 0
    pool.close()
    response = result.value_or(None)
    if response is None:
        assert result.failure().may_have_run
        assert not is_kept
        return result.failure().code
    return response.status


_PATHS = {"gateway": _exchange_at_gateway, "entry": _exchange_at_entry}


@pytest.mark.parametrize("path", _PATHS)
@pytest.mark.parametrize("framing", _FRAMINGS)
@pytest.mark.parametrize(("status", "is_valid"), _STATUSES.items())
async def test_only_valid_statuses_are_passed_on(
    start, status, is_valid, framing, path
):
    """Guards against callers that get status 000, or wait until their deadline.

    The status is judged as soon as the head is there.
    """
    address = await start(_format(status, framing), framing == "end")
    expected = int(status) if is_valid else "malformed"
    if is_valid and (framing, path) == ("end", "entry"):
        # The entry role passes on no body whose end it cannot tell.
        expected = "unframed"
    assert await _PATHS[path](address) == expected


@pytest.mark.parametrize("path", _PATHS)
@pytest.mark.parametrize(
    ("first", "expected"),
    [
        ("100", 200),
        ("102", 200),
        ("103", 200),
        ("199", 200),
        ("099", "malformed"),
        ("000", "malformed"),
        ("101", "malformed"),
    ],
)
async def test_only_informational_responses_are_skipped(
    start, first, expected, path
):
    """Guards against taking any status below 200 for an interim one."""
    data = f"HTTP/1.1 {first} X\r\n\r\n".encode() + _format("200", "length")
    address = await start(data, closes=False)
    assert await _PATHS[path](address) == expected


@pytest.mark.parametrize("path", _PATHS)
@pytest.mark.parametrize("status", ["000", "099", "600"])
async def test_an_invalid_status_ends_the_exchange_before_the_body(
    start, status, path
):
    """Guards against a caller that waits for a body that does not end."""
    data = _format(status, "length")[:-2]
    assert await _PATHS[path](await start(data, closes=False)) == "malformed"


async def test_a_surplus_response_of_any_status_closes_the_connection(start):
    """Guards against a connection that is kept with bytes of an invalid answer.

    The entry role took status 000 after a complete response for informational.
    """
    data = _format("200", "length") + _format("000", "length")
    pool = pools.Pool(await start(data, closes=False), 1)
    connection = (await pool.acquire(_TIMEOUT_S)).unwrap()
    timeouts = entry_exchange.Timeouts(_TIMEOUT_S, 0.0, lambda: False)
    result = await entry_exchange.run_exchange(
        pool, connection, _REQUEST, "r", False, timeouts
    )
    assert result.unwrap().status == 200
    assert pool.size == 0
    pool.close()
