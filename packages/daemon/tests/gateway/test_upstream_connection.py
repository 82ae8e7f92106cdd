"""Tests of late, mismatched, truncated and trailing response bytes."""

import asyncio
import socket
import struct

import pytest

from bamboosilld import memory_account
from bamboosilld.gateway import upstream_connection as upstream_connection_lib

from .conftest import make_response

_REQUEST = b"GET /a HTTP/1.1\r\nHost: x\r\nx-id: r1\r\n\r\n"
_RESET = struct.pack("ii", 1, 0)


def _reset(writer):
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    writer.transport.abort()


def _respond(data, then=None):
    async def script(server, headers, writer):
        writer.write(data)
        await writer.drain()
        if then is not None:
            await asyncio.sleep(0.05)
            then(writer)

    return script


def _close(writer):
    writer.close()


async def _exchange(address, request_id=b"r1"):
    pool = upstream_connection_lib.Pool(address, b"x-id")
    connection = await pool.acquire()
    async with asyncio.timeout(10):
        response = await connection.exchange(_REQUEST, request_id)
    return pool, connection, response


_UNFRAMED = b"HTTP/1.1 200 OK\r\nx-id: r1\r\n\r\nwhole"
_CHUNKED = (
    b"HTTP/1.1 200 OK\r\nx-id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n"
)


_HEAD = make_response("r1", extra="Content-Type: text/plain\r\n")[:-5]


@pytest.mark.parametrize("length", range(1, len(_HEAD)))
async def test_a_response_that_ends_in_its_head_is_not_complete(serve, length):
    """Guards against an empty or short body that looks like a whole one."""
    server = await serve(_respond(_HEAD[:length], _close))
    with pytest.raises(upstream_connection_lib.ExchangeError) as raised:
        await _exchange(server.address)
    assert raised.value.sent


@pytest.mark.parametrize(
    ("data", "then", "is_reusable"),
    [
        (make_response("r1"), None, True),
        (_CHUNKED, None, True),
        (_UNFRAMED, _close, False),
        (make_response("r1") + make_response("r1"), None, False),
        (make_response("r1") + b"garbage", None, False),
        (make_response("r0", b"other") + make_response("r1"), None, True),
        (make_response("r1", extra="Connection: close\r\n"), None, False),
    ],
)
async def test_the_matching_complete_response_is_returned(
    serve, data, then, is_reusable
):
    """Guards against bytes of another response, now or on the next request."""
    server = await serve(_respond(data, then))
    _, connection, response = await _exchange(server.address)
    assert response.body == b"whole"
    assert connection.is_reusable == is_reusable


@pytest.mark.parametrize(
    ("data", "then", "code"),
    [
        (b"", _close, "closed"),
        (b"", _reset, "reset"),
        (make_response("r1")[:-2], _close, "truncated"),
        (_UNFRAMED, _reset, "truncated"),
        (_CHUNKED[:-7], _close, "truncated"),
        (b"\x00\x01 not an answer\r\n\r\n", None, "malformed"),
        (make_response("r0"), _close, "closed"),
    ],
)
async def test_an_incomplete_response_is_an_error(serve, data, then, code):
    """Guards against a truncated response that looks complete."""
    server = await serve(_respond(data, then))
    with pytest.raises(upstream_connection_lib.ExchangeError) as caught:
        await _exchange(server.address)
    assert caught.value.sent
    assert caught.value.code == code


_CHUNKED_HEAD = (
    b"HTTP/1.1 200 OK\r\nx-id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
)


@pytest.mark.parametrize(
    ("head", "repeated"),
    [
        (b"HTTP/1.1 200 OK\r\n", b"x-more: value\r\n"),
        (b"HTTP/1.1 200 OK\r\nx-long: ", b"value"),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (b"", make_response("r0")),
        (b"HTTP/1.1 200 OK\r\nx-id: r1\r\n\r\n", b"body"),
        (_CHUNKED_HEAD, b"4\r\nbody\r\n"),
        (_CHUNKED_HEAD + b"4;", b"extension"),
        (_CHUNKED_HEAD + b"0\r\n", b"x-trailer: value\r\n"),
    ],
    ids=[
        *("headers", "header", "informational", "foreign"),
        *("body", "chunks", "chunk-extension", "trailers"),
    ],
)
async def test_a_response_without_end_is_given_up(
    monkeypatch, serve, head, repeated
):
    """Guards against memory filled by an upstream that never stops sending."""
    max_bytes = 1024 * 1024
    monkeypatch.setattr(
        upstream_connection_lib, "_MAX_EXCHANGE_BYTES", max_bytes
    )
    part = repeated * (16 * 1024 // len(repeated))
    closed = asyncio.Event()

    async def script(server, headers, writer):
        writer.write(head)
        try:
            # The buffers of the sockets take some bytes beyond the limit.
            for _ in range(16 * max_bytes // len(part)):
                writer.write(part)
                await writer.drain()
            await writer.wait_closed()
        except OSError:
            closed.set()

    server = await serve(script)
    with pytest.raises(upstream_connection_lib.ExchangeError) as caught:
        await _exchange(server.address)
    assert caught.value.code == "malformed"
    async with asyncio.timeout(10):
        await closed.wait()


async def test_bytes_on_an_idle_connection_close_it(serve):
    """Guards against extra bytes taken for the response to the next request."""

    async def script(server, headers, writer):
        writer.write(make_response("r1"))
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(make_response("r1", b"second"))

    server = await serve(script)
    pool, connection, _ = await _exchange(server.address)
    pool.release(connection)
    for _ in range(500):
        if not connection.is_open:
            break
        await asyncio.sleep(0.01)
    assert not connection.is_reusable


async def test_a_refused_connection_was_not_sent():
    """Guards against reporting that an unsent request may have run."""
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{free.getsockname()[1]}"
    with pytest.raises(upstream_connection_lib.ExchangeError) as caught:
        await upstream_connection_lib.Pool(address, b"x-id").acquire()
    assert caught.value.code == "refused"
    assert not caught.value.sent


async def test_a_cancelled_exchange_closes_its_connection(serve):
    """Guards against work that goes on for a caller that disconnected."""

    async def script(server, headers, writer):
        await writer.wait_closed()

    server = await serve(script)
    pool = upstream_connection_lib.Pool(server.address, b"x-id")
    connection = await pool.acquire()
    task = asyncio.create_task(connection.exchange(_REQUEST, b"r1"))
    await asyncio.sleep(0.05)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert not connection.is_open


async def test_a_connection_is_not_used_near_its_idle_limit(serve):
    """Guards against a request that races with the upstream's close."""
    data = make_response("r1", extra="Keep-Alive: timeout=10\r\n")
    server = await serve(_respond(data))
    pool, connection, _ = await _exchange(server.address)
    assert connection.idle_limit_s == 6.0
    pool.release(connection)
    assert await pool.acquire() is connection
    connection.last_used_s -= 7.0
    pool.release(connection)
    assert await pool.acquire() is not connection


@pytest.mark.parametrize("discards", [True, False])
async def test_bytes_of_a_call_that_was_given_up_are_dropped(discards):
    """Guards against a call that a link delivers seconds after its time limit.

    A reset shows that the kernel does not go on sending; an end of file that it
    does.
    """
    ends = asyncio.Queue()

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        try:
            await reader.read()
            ends.put_nowait("end of file")
        except ConnectionResetError:
            ends.put_nowait("reset")
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    pool = upstream_connection_lib.Pool(
        f"{host}:{port}",
        b"x-id",
        options=upstream_connection_lib.Options(discards_on_close=discards),
    )
    connection = await pool.open()
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.05):
            await connection.exchange(_REQUEST, b"r1")
    async with asyncio.timeout(10):
        end = await ends.get()
    assert end == ("reset" if discards else "end of file")
    server.close()


@pytest.mark.parametrize("length", [10_000, 10_000_000])
async def test_a_response_without_room_is_given_up(serve, length):
    """Guards against responses that exceed the memory together."""
    server = await serve(_respond(make_response("r1", b"a" * length)))
    pool = upstream_connection_lib.Pool(server.address, b"x-id")
    account = memory_account.MemoryAccount(1024 * 1024)
    hold = account.open()
    connection = await pool.acquire()
    if length > account.limit_bytes:
        with pytest.raises(upstream_connection_lib.ExchangeError) as caught:
            await connection.exchange(_REQUEST, b"r1", hold=hold)
        assert (caught.value.code, caught.value.sent) == ("memory", True)
        assert not connection.is_reusable
        assert account.held_bytes == 0
    else:
        response = await connection.exchange(_REQUEST, b"r1", hold=hold)
        assert len(response.body) == length
        # Counted until the response is sent to the caller.
        assert account.held_bytes > length
