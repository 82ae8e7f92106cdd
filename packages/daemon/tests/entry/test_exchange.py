"""Tests of single exchanges with exact response bytes."""

import asyncio

import pytest

from bamboosilld.entry import exchange
from bamboosilld.entry import pools

OK = (
    b"HTTP/1.1 200 OK\r\nBamboosill-Request-Id: r\r\n"
    b"Content-Length: 2\r\n\r\nhi"
)
CHUNKED = OK.replace(b"Content-Length: 2", b"Transfer-Encoding: chunked")
CHUNKED = CHUNKED.replace(b"\r\n\r\nhi", b"\r\n\r\n2\r\nhi\r\n0\r\n\r\n")
EMPTY = b"HTTP/1.1 204 No Content\r\nBamboosill-Request-Id: r\r\n\r\n"

# Response bytes; expected fault code or body; whether the connection is kept.
EXCHANGES = [
    (OK, b"hi", True),
    (CHUNKED, b"hi", True),
    (EMPTY, b"", True),
    (b"HTTP/1.1 100 Continue\r\n\r\n" + OK, b"hi", True),
    (OK.replace(b"1.1", b"1.0"), b"hi", False),
    (OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"), b"hi", False),
    # Bytes of a second response would be taken for the response to the next
    # request.
    (OK + OK, b"hi", False),
    (OK + OK[:1], b"hi", False),
    (OK + OK[:30], b"hi", False),
    (CHUNKED + OK[:30], b"hi", False),
    (EMPTY + OK[:30], b"", False),
    (OK.replace(b"Content-Length: 2\r\n", b""), "unframed", False),
    (OK.replace(b": 2", b": -2"), "malformed", False),
    (OK.replace(b": 2", b": 2\r\nContent-Length: 3"), "malformed", False),
    (
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n"
        b"Connection: upgrade\r\n\r\nhi",
        "malformed",
        False,
    ),
    (b"HTTP/9.9 OK\r\n\r\n", "malformed", False),
    (OK[:-1], "deadline", False),
    (b"", "deadline", False),
    (CHUNKED[:-2], "deadline", False),
]


async def start_upstream(response):
    async def serve(reader, writer):
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(response)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    return server, pools.Pool(f"127.0.0.1:{port}", 2)


async def exchange_once(pool, deadline_s=5.0):
    connection = (await pool.acquire(1.0)).unwrap()
    request = exchange.format_request("GET", "/", pool.address, (), b"")
    timeouts = exchange.Timeouts(deadline_s, 0.0, lambda: False)
    return await exchange.run_exchange(
        pool, connection, request, "r", False, timeouts
    )


@pytest.mark.parametrize(("response", "expected", "kept"), EXCHANGES)
async def test_connection_is_kept_only_after_a_clean_exchange(
    response, expected, kept
):
    """Guards against response bytes that reach another request."""
    server, pool = await start_upstream(response)
    result = await exchange_once(pool, 0.1 if expected == "deadline" else 5.0)
    if isinstance(expected, str):
        assert result.failure().code == expected
        assert result.failure().may_have_run
    else:
        assert result.unwrap().body == expected
    assert pool.size == kept
    pool.close()
    server.close()


async def test_bytes_on_an_idle_connection_close_it():
    """Guards against a response that arrives before its request is sent."""
    writers = []

    async def serve(reader, writer):
        writers.append(writer)
        await reader.readuntil(b"\r\n\r\n")
        writer.write(OK)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    pool = pools.Pool(f"127.0.0.1:{port}", 2)
    assert (await exchange_once(pool)).unwrap().status == 200
    assert pool.size == 1
    writers[0].write(OK)
    for _ in range(500):
        if not pool.size:
            break
        await asyncio.sleep(0.01)
    assert pool.size == 0
    server.close()


async def test_request_on_a_closed_connection_was_not_written():
    """Guards against outcome "unknown" although nothing was written."""
    server, pool = await start_upstream(OK)
    connection = (await pool.acquire(1.0)).unwrap()
    connection.fail("closed")
    timeouts = exchange.Timeouts(1.0, 0.0, lambda: False)
    result = await exchange.run_exchange(
        pool, connection, b"GET / HTTP/1.1\r\n\r\n", "r", False, timeouts
    )
    assert result.failure().may_have_run is False
    assert pool.size == 0
    server.close()


async def test_wake_up_of_a_cancelled_waiter_reaches_the_next():
    """Guards against a free connection that no waiter is notified of."""
    server, pool = await start_upstream(OK)
    held = [(await pool.acquire(1.0)).unwrap() for _ in range(2)]
    waiting = [asyncio.create_task(pool.acquire(5.0)) for _ in range(2)]
    await asyncio.sleep(0.01)
    pool.return_unused(held[0])
    waiting[0].cancel()
    result = await asyncio.wait_for(waiting[1], 2.0)
    assert result.unwrap() is held[0]
    pool.close()
    server.close()


async def test_waiting_for_a_connection_is_bounded_and_in_order():
    """Guards against waiters that are never woken, or wait beyond deadlines."""
    server, pool = await start_upstream(OK)
    held = [(await pool.acquire(1.0)).unwrap() for _ in range(2)]
    assert (await pool.acquire(0.02)).failure().may_have_run is False
    waiting = [asyncio.create_task(pool.acquire(5.0)) for _ in range(2)]
    await asyncio.sleep(0.01)
    pool.return_unused(held[0])
    assert (await waiting[0]).unwrap() is held[0]
    pool.discard(held[1], "test")
    assert (await waiting[1]).unwrap() is not held[1]
    assert pool.size == 2
    pool.close()
    server.close()


_HEAD = b"HTTP/1.1 200 OK\r\nBamboosill-Request-Id: r\r\n"
_CHUNKED_HEAD = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# Sockets and the transports of both sides hold a part of what is sent.
_MAX_SENT_BYTES = 32 * 1024 * 1024


@pytest.mark.parametrize(
    ("first", "repeated"),
    [
        (b"", b"a" * 65536),
        (_HEAD, b"x-more: value\r\n" * 4096),
        (_HEAD + b"x-long: ", b"a" * 65536),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2048),
        (b"", b"HTTP/1.1 103 Early\r\nx: y\r\n\r\n" * 2048),
        (_CHUNKED_HEAD + b"1;x=", b"a" * 65536),
        (_CHUNKED_HEAD + b"0\r\n", b"x-more: value\r\n" * 4096),
    ],
)
async def test_bytes_without_end_that_are_no_body_end_the_exchange(
    first, repeated
):
    """Guards against a faulty upstream that keeps an instance busy."""
    sent_bytes = 0

    async def serve(reader, writer):
        nonlocal sent_bytes
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(first)
            while True:
                writer.write(repeated)
                await writer.drain()
                sent_bytes += len(repeated)
        except OSError:
            return
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    pool = pools.Pool(f"127.0.0.1:{port}", 2)
    result = await exchange_once(pool)
    assert result.failure().code == "malformed"
    assert result.failure().may_have_run
    assert sent_bytes < _MAX_SENT_BYTES
    assert pool.size == 0
    server.close()
