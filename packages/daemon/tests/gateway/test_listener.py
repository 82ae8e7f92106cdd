"""Tests of the HTTP server with raw request bytes."""

import asyncio
import gc
import weakref

import pytest

from bamboosilld import memory_account
from bamboosilld.gateway import http_messages
from bamboosilld.gateway import listener as listener_lib


class _Server:
    """A listener on a free port with a handler of the test."""

    def __init__(self, handle):
        self.listener = listener_lib.Listener(handle)

    async def connect(self):
        await self.listener.start("127.0.0.1", 0)
        port = self.listener._server.sockets[0].getsockname()[1]
        return await asyncio.open_connection("127.0.0.1", port)


async def _echo(request):
    return http_messages.Response(200, [], request.target.encode())


async def _read(reader):
    async with asyncio.timeout(10):
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(
            head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]
        )
        body = await reader.readexactly(length)
    return int(head.split()[1]), body, b"connection: close" in head.lower()


def _format(path, extra_headers=""):
    return f"GET {path} HTTP/1.1\r\nHost: x\r\n{extra_headers}\r\n".encode()


async def test_answers_come_in_the_order_of_the_requests():
    """Guards against swapped responses on a pipelined connection."""
    delays = {"/1": 0.05, "/2": 0.0, "/3": 0.02}

    async def handle(request):
        await asyncio.sleep(delays[request.target])
        return await _echo(request)

    reader, writer = await _Server(handle).connect()
    writer.write(b"".join(_format(path) for path in delays))
    bodies = [(await _read(reader))[1] for _ in delays]
    assert bodies == [b"/1", b"/2", b"/3"]


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\x16\x03\x01 not http\r\n\r\n", 400),
        (_format("/a", f"X: {'a' * 300}\r\n"), 431),
        (
            b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 99\r\n\r\n"
            + b"a" * 99,
            413,
        ),
        (
            b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
    ],
)
async def test_bad_requests_get_a_status_and_end_the_connection(data, status):
    """Guards against request smuggling: leftover bytes read as a request."""
    server = _Server(_echo)
    reader, writer = await server.connect()
    server.listener.limits = listener_lib.Limits(200, 50, 1.0, 5.0)
    writer.write(data)
    received_status, _, closes = await _read(reader)
    assert received_status == status
    assert closes
    assert await reader.read() == b""


async def test_a_chunked_body_arrives_whole():
    """Guards against a body that is altered or truncated."""
    bodies = []

    async def handle(request):
        bodies.append(request.body)
        return await _echo(request)

    reader, writer = await _Server(handle).connect()
    writer.write(
        b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n"
    )
    await _read(reader)
    assert bodies == [b"abcde"]


async def test_a_caller_that_leaves_cancels_its_requests():
    """Guards against work for a caller that has disconnected."""
    cancelled = asyncio.Event()

    async def handle(request):
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            cancelled.set()
            raise

    _, writer = await _Server(handle).connect()
    writer.write(_format("/a"))
    await asyncio.sleep(0.05)
    writer.close()
    async with asyncio.timeout(10):
        await cancelled.wait()


async def test_a_slow_caller_gets_a_timeout():
    """Guards against connections held open by an incomplete request."""
    server = _Server(_echo)
    reader, writer = await server.connect()
    writer.write(b"GET /a HTTP/1.1\r\nHost")
    await asyncio.sleep(0.05)
    (connection,) = server.listener.connections
    loop = asyncio.get_running_loop()
    connection.check_timeouts(loop.time() + 11.0)
    assert (await _read(reader))[0] == 408


async def test_a_stopping_listener_announces_the_close():
    """Guards against new requests on a connection that is about to close."""
    server = _Server(_echo)
    reader, writer = await server.connect()
    server.listener.is_closing = True
    writer.write(_format("/a"))
    _, body, closes = await _read(reader)
    assert body == b"/a"
    assert closes


async def test_a_request_in_progress_is_not_idle():
    """Guards against a shutdown that interrupts a request."""
    release = asyncio.Event()

    async def handle(request):
        await release.wait()
        return await _echo(request)

    server = _Server(handle)
    reader, writer = await server.connect()
    writer.write(_format("/a"))
    await asyncio.sleep(0.05)
    server.listener.close_idle()
    release.set()
    assert (await _read(reader))[1] == b"/a"
    server.listener.close_idle()
    assert await reader.read() == b""


async def test_a_stopping_listener_drops_pipelined_requests():
    """Guards against a request that is forwarded and then interrupted.

    Seen in pca-pilon-grown trouble-2: a caller pipelined a request to a
    stopping instance, and it was interrupted at the end of the grace period.
    """
    release = asyncio.Event()
    begun = []

    async def handle(request):
        begun.append(request.target)
        await release.wait()
        return await _echo(request)

    server = _Server(handle)
    reader, writer = await server.connect()
    writer.write(_format("/1"))
    await asyncio.sleep(0.05)
    server.listener.is_closing = True
    writer.write(_format("/2"))
    await asyncio.sleep(0.05)
    release.set()
    _, body, closes = await _read(reader)
    assert (body, closes) == (b"/1", True)
    assert await reader.read() == b""
    assert begun == ["/1"]


async def test_a_refusing_listener_rejects_new_requests():
    """Guards against a request that the process exit interrupts."""
    begun = []

    async def handle(request):
        begun.append(request.target)
        return await _echo(request)

    server = _Server(handle)
    reader, writer = await server.connect()
    server.listener.is_closing = server.listener.is_refusing = True
    writer.write(_format("/1"))
    status, _, closes = await _read(reader)
    assert (status, closes, begun) == (503, True, [])


async def test_a_failing_handler_ends_its_own_request_only():
    """Guards against answers of others that an unforeseen error takes along.

    Seen in review/2: a heartbeat with an address that is none ended callers'
    connections, with requests at work on sound upstreams.
    """

    async def handle(request):
        if request.target == "/2":
            raise UnicodeError("label empty or too long")
        await asyncio.sleep(0.05)
        return await _echo(request)

    reader, writer = await _Server(handle).connect()
    writer.write(b"".join(_format(path) for path in ("/1", "/2", "/3")))
    responses = [(await _read(reader))[:2] for _ in range(3)]
    assert responses == [(200, b"/1"), (500, b""), (200, b"/3")]


def _stop(listener):
    listener.is_closing = True


def _refuse(listener):
    listener.is_closing = listener.is_refusing = True


@pytest.mark.parametrize(
    ("then", "data", "final_status"),
    [
        (_stop, b"", None),
        (_refuse, b"", None),
        # Behind the requests that were begun.
        (_stop, _format("/late"), None),
        (_refuse, _format("/late"), None),
        (_stop, b"not http\r\n\r\n", None),
        (None, _format("/4", "Connection: close\r\n"), 200),
        (None, b"not http\r\n\r\n", 400),
        (None, _format("/a", f"X: {'a' * 300}\r\n"), 431),
        (None, b"POST / HTTP/1.1\r\nContent-Length: 99\r\n\r\n", 413),
    ],
)
@pytest.mark.parametrize("closing", ["", "/1", "/2"])
async def test_requests_that_were_begun_are_answered_before_the_close(
    then, data, final_status, closing
):
    """Guards against answers under way that are lost with their connection.

    Seen in review/3: after SIGTERM, the first of four pipelined requests was
    answered, and the others got none though upstreams were at work on them.

    Args:
        then: What happens to the listener when three requests were begun.
        data: What the caller sends after them.
        final_status: Status of the response that follows theirs.
        closing: Target of a request whose response asks for the close.
    """
    release = asyncio.Event()

    async def handle(request):
        await release.wait()
        body = request.target.encode()
        return http_messages.Response(200, [], body, request.target == closing)

    server = _Server(handle)
    reader, writer = await server.connect()
    server.listener.limits = listener_lib.Limits(200, 50, 1.0, 5.0)
    begun = [f"/{number}".encode() for number in (1, 2, 3)]
    writer.write(b"".join(_format(each.decode()) for each in begun))
    await asyncio.sleep(0.05)
    if then is not None:
        then(server.listener)
    writer.write(data + (b"a" * 99 if final_status == 413 else b""))
    await asyncio.sleep(0.05)
    release.set()
    responses = [await _read(reader) for _ in begun]
    assert [each[1] for each in responses] == begun
    assert [each[0] for each in responses] == [200] * 3
    assert not any(each[2] for each in responses[:-1])
    if final_status is not None and not responses[-1][2]:
        status, _, closes = await _read(reader)
        assert (status, closes) == (final_status, True)
    else:
        assert responses[-1][2]
    assert await reader.read() == b""


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"POST / HTTP/1.1\r\nContent-Length: 90000000\r\n\r\n", 413),
        (b"not http\r\n\r\n", 400),
        (_format("/a", f"X: {'a' * 300}\r\n"), 431),
    ],
)
async def test_a_caller_that_still_sends_gets_the_last_response(head, status):
    """Guards against a response that is lost with a reset connection."""
    server = _Server(_echo)
    reader, writer = await server.connect()
    server.listener.limits = listener_lib.Limits(200, 50, 1.0, 5.0)
    writer.write(head)
    for _ in range(50):
        # A reset would fail the write, and drop what was not read yet.
        writer.write(b"a" * 65536)
        await writer.drain()
        await asyncio.sleep(0.002)
    received_status, _, closes = await _read(reader)
    assert (received_status, closes) == (status, True)
    assert await reader.read() == b""
    writer.close()
    await writer.wait_closed()
    await asyncio.sleep(0.1)
    assert not server.listener.connections


async def test_a_request_is_not_late_while_it_is_not_read():
    """Guards against a timeout of a caller that has sent its whole request."""
    release = asyncio.Event()

    async def handle(request):
        await release.wait()
        return await _echo(request)

    server = _Server(handle)
    reader, writer = await server.connect()
    begun = b"".join(_format(f"/{number}") for number in range(16))
    late = _format("/16")
    writer.write(begun + late[:10])
    await asyncio.sleep(0.05)
    writer.write(late[10:])
    await asyncio.sleep(0.05)
    (connection,) = server.listener.connections
    connection.check_timeouts(asyncio.get_running_loop().time() + 11.0)
    release.set()
    assert [(await _read(reader))[0] for _ in range(17)] == [200] * 17


class _Holding:
    """A listener with an account of 1 MiB, and bodies that were handled."""

    def __init__(self):
        self.account = memory_account.MemoryAccount(1024 * 1024)
        self.release = asyncio.Event()
        self.server = _Server(self._handle)
        self.server.listener.account = self.account
        self.bodies = []

    async def _handle(self, request):
        self.bodies.append(len(request.body))
        await self.release.wait()
        return http_messages.Response(200, [], b"ok")


def _format_body(length, is_chunked):
    head = b"POST / HTTP/1.1\r\nHost: x\r\n"
    body = b"a" * length
    if is_chunked:
        return (
            head
            + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % length
            + body
            + b"\r\n0\r\n\r\n"
        )
    return head + b"Content-Length: %d\r\n\r\n" % length + body


@pytest.mark.parametrize("is_chunked", [False, True])
async def test_bodies_are_bounded_over_all_connections(is_chunked):
    """Guards against bodies that are allowed alone and too much together."""
    holding = _Holding()
    reader, writer = await holding.server.connect()
    port = holding.server.listener._server.sockets[0].getsockname()[1]
    others = [
        await asyncio.open_connection("127.0.0.1", port) for _ in range(2)
    ]
    writer.write(_format_body(700_000, is_chunked))
    await asyncio.sleep(0.1)
    assert holding.account.held_bytes >= 700_000
    others[0][1].write(_format_body(700_000, is_chunked))
    assert (await _read(others[0][0]))[0::2] == (503, True)
    # A short one still finds room.
    others[1][1].write(_format_body(7_000, is_chunked))
    await asyncio.sleep(0.1)
    holding.release.set()
    assert (await _read(reader))[0] == 200
    assert (await _read(others[1][0]))[0] == 200
    assert holding.bodies == [700_000, 7_000]
    await asyncio.sleep(0.05)
    assert holding.account.held_bytes == 0


@pytest.mark.parametrize("part", [b"", b"a" * 1000])
async def test_nothing_is_held_for_a_caller_that_leaves(part):
    """Guards against memory that stays counted for closed connections."""
    holding = _Holding()
    _, writer = await holding.server.connect()
    data = _format_body(5000, False)
    writer.write(data + data[: len(data) - 1] if part else data)
    await asyncio.sleep(0.05)
    assert holding.account.held_bytes >= 5000
    writer.close()
    await asyncio.sleep(0.05)
    assert holding.account.held_bytes == 0


async def test_a_body_that_stalls_is_given_up():
    """Guards against memory held for a caller that sends no more."""
    server = _Server(_echo)
    reader, writer = await server.connect()
    server.listener.limits = listener_lib.Limits(200, 50, 1.0, 5.0)
    writer.write(b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc")
    await asyncio.sleep(0.05)
    (connection,) = server.listener.connections
    now_s = asyncio.get_running_loop().time()
    connection.check_timeouts(now_s + 4.0)
    assert not connection._error_status
    connection.check_timeouts(now_s + 6.0)
    assert (await _read(reader))[0] == 408


async def test_a_caller_that_does_not_read_is_given_up():
    """Guards against responses that are held for good."""

    async def handle(request):
        return http_messages.Response(200, [], b"a" * 50_000_000)

    server = _Server(handle)
    _, writer = await server.connect()
    writer.write(_format("/a"))
    await asyncio.sleep(0.5)
    (connection,) = server.listener.connections
    now_s = asyncio.get_running_loop().time()
    connection.check_timeouts(now_s)
    connection.check_timeouts(now_s + 59.0)
    await asyncio.sleep(0.05)
    assert server.listener.connections
    connection.check_timeouts(now_s + 61.0)
    await asyncio.sleep(0.05)
    assert not server.listener.connections


_UPGRADE = "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"


@pytest.mark.parametrize("count", [0, 1, 3, 2000])
async def test_an_offer_of_another_protocol_is_not_taken(count):
    """Guards against a second answer, which the next request would take."""
    reader, writer = await _Server(_echo).connect()
    paths = ["/0", *(f"/{number + 1}" for number in range(count))]
    writer.write(b"".join(_format(path, _UPGRADE) for path in paths))
    for path in paths:
        assert await _read(reader) == (200, path.encode(), False)
    writer.write(_format("/last"))
    assert await _read(reader) == (200, b"/last", False)


async def test_a_tunnel_is_refused():
    """Guards against bytes of a tunnel that are read as requests."""
    reader, writer = await _Server(_echo).connect()
    writer.write(b"CONNECT x:80 HTTP/1.1\r\nHost: x\r\n\r\n" + _format("/a"))
    statuses = []
    while not reader.at_eof():
        try:
            statuses.append((await _read(reader))[0])
        except asyncio.IncompleteReadError:
            break
    assert statuses[-1] == 400
    assert len(statuses) <= 2


class _Body(bytearray):
    """A long body that tells when it is freed."""


async def test_a_response_is_freed_when_its_caller_leaves():
    """Guards against responses kept until cycles are collected.

    Seen in test_memory.py: an instance used 338 MB, as cancelled tasks kept
    the responses of callers that had left.
    """
    references = []

    async def handle(request):
        body = _Body(30_000_000)
        references.append(weakref.ref(body))
        return http_messages.Response(200, [], body)

    gc.disable()
    try:
        _, writer = await _Server(handle).connect()
        writer.write(_format("/1") + _format("/2"))
        await asyncio.sleep(0.2)
        writer.transport.abort()
        await asyncio.sleep(0.2)
        assert [each() for each in references] == [None, None]
    finally:
        gc.enable()
