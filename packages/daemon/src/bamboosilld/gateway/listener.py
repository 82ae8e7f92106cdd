"""HTTP/1.1 server with one task per connection.

It uses the httptools parser directly, which takes a small fraction of the
memory of a full server library. Pipelined requests are handled concurrently;
responses are written in the order of the requests.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Coroutine
import http
from typing import Any
from typing import NamedTuple

import httptools

from bamboosill_common import logs
from bamboosilld import memory_account
from bamboosilld.gateway import http_messages

# Pipelined requests of one connection that are handled concurrently.
_MAX_PIPELINED = 16
# Time for which the rest of what a caller sends is discarded before its
# connection is closed: closing it with unread bytes would reset it, and the
# caller could lose the last response.
_LINGER_S = 2.0
# Limit on the headers of a request until the configuration sets one.
_DEFAULT_HEADER_BYTES = 64 * 1024
_INTERNAL_ERROR_STATUS = 500

_log = logs.get_logger("http")

Handler = Callable[
    [http_messages.Request], Coroutine[Any, Any, http_messages.Response]
]

_REASON_PHRASES = {status.value: status.phrase for status in http.HTTPStatus}


# A caller of a stopping instance may retry at once: the load balancer sends it
# to another instance.
_STOPPING_HEADERS = [(b"Retry-After", b"0.05")]
_UNAVAILABLE_STATUS = 503
# After this time, others will have been sent that hold memory now.
_NO_MEMORY_HEADERS = [(b"Retry-After", b"0.5")]
# Bytes of unfinished messages that a listener without an account holds.
_DEFAULT_ACCOUNT_BYTES = 16 * 1024 * 1024


async def _handle_stopping(
    request: http_messages.Request,
) -> http_messages.Response:
    return http_messages.Response(503, _STOPPING_HEADERS, b"", True)


class Limits(NamedTuple):
    """Size limits of requests, and timeouts of connections."""

    max_header_bytes: int = _DEFAULT_HEADER_BYTES
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


class _Pending(NamedTuple):
    """A request that was begun, and what it holds."""

    task: asyncio.Task[http_messages.Response]
    keep_alive: bool
    hold: memory_account.Hold


class _Connection(asyncio.Protocol):
    """Parses the requests of a connection and responds in order."""

    def __init__(self, listener: "Listener") -> None:
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._pending: collections.deque[_Pending] = collections.deque()
        self._has_work = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._error_status = 0
        # Whether no more requests are begun.
        self._is_ending = False
        self._is_lingering = False
        self._is_paused = False
        self._in_message = False
        self._message_begun_s = self._loop.time()
        self._idle_since_s = self._loop.time()
        self._received_s = self._loop.time()
        # Bytes that the caller has not read, when it last read some.
        self._unread_bytes = 0
        self._unread_since_s = self._loop.time()
        self._hold = listener.account.open()
        self._reset()

    def _reset(self) -> None:
        self._target = b""
        self._headers: http_messages.Headers = []
        self._header_bytes = 0
        self._body = bytearray()
        self._body_bytes = 0

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received, handled or discarded."""
        return not (self._pending or self._in_message or self._is_lingering)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the task that writes the responses."""
        self._transport = transport
        self._listener.connections.add(self)
        self._task: asyncio.Task[None] | None = self._loop.create_task(
            self._serve()
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels all pending requests: the caller has disconnected."""
        self._listener.connections.discard(self)
        self._drop_requests()
        if self._task is not None:
            self._task.cancel()
            # A cancelled task keeps its frames, and this object is part of a
            # cycle with its parser: responses would be held until that is
            # collected.
            self._task = None

    def pause_writing(self) -> None:
        """Holds back responses until the caller reads."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Resumes writing responses."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Feeds received bytes to the parser."""
        self._received_s = self._loop.time()
        while data and not (self._error_status or self._is_lingering):
            data = data[self._parse(data) :]

    def _parse(self, data: bytes) -> int:
        """Feeds bytes to the parser; returns how many it has taken."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            if self._parser.get_method() != b"CONNECT":
                # An offer of another protocol need not be taken: the request
                # was handled, and others may follow in this one.
                self._parser = httptools.HttpRequestParser(self)
                return int(upgrade.args[0])
            self._fail_connection(400)
        except httptools.HttpParserError as error:
            if not self._error_status:
                _log.info("Malformed request. Reason: %s.", error)
                self._fail_connection(400)
        return len(data)

    def on_message_begin(self) -> None:
        """Starts a request and its header timeout."""
        self._in_message = True
        self._message_begun_s = self._loop.time()
        self._hold.release()
        self._reset()

    def on_url(self, url: bytes) -> None:
        """Stores a part of the request target."""
        if self._error_status:
            return
        self._target += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header."""
        if self._error_status:
            return
        self._headers.append((name, value))
        self._count_header_bytes(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Refuses a body for which there is no room, before it is sent."""
        for name, value in self._headers:
            if name.lower() == b"content-length":
                length = http_messages.parse_count(value) or 0
                if length > self._listener.limits.max_body_bytes:
                    self._fail_connection(413)
                elif not self._hold.has_room(length):
                    self._refuse_for_memory()

    def on_body(self, body: bytes) -> None:
        """Stores a part of the body, up to the size limit."""
        if self._error_status:
            return
        self._body_bytes += len(body)
        if self._body_bytes > self._listener.limits.max_body_bytes:
            self._fail_connection(413)
        elif not self._hold.try_add(len(body)):
            self._refuse_for_memory()
        else:
            self._body += body

    def on_message_complete(self) -> None:
        """Starts the handler of a complete request."""
        self._in_message = False
        if self._error_status:
            return
        if self._is_ending or (self._listener.is_closing and self._pending):
            # The last pending response will carry `Connection: close`, which
            # tells the caller that this later request was not handled and can
            # be resent.
            self._hold.release()
            self._reset()
            return
        keep_alive = self._parser.should_keep_alive()
        request = http_messages.Request(
            self._parser.get_method().decode("ascii"),
            self._target.decode("latin-1"),
            self._headers,
            http_messages.finish_body(self._body),
            keep_alive,
            self._hold,
        )
        self._reset()
        handle = self._listener.handle
        if self._listener.is_refusing:
            handle = _handle_stopping
        self._pending.append(
            _Pending(
                self._loop.create_task(handle(request)), keep_alive, self._hold
            )
        )
        self._hold = self._listener.account.open()
        self._has_work.set()
        if len(self._pending) >= _MAX_PIPELINED:
            self._is_paused = True
            self._transport.pause_reading()  # type: ignore[attr-defined]

    def _count_header_bytes(self, count: int) -> None:
        self._header_bytes += count
        if self._header_bytes > self._listener.limits.max_header_bytes:
            self._fail_connection(431)
        elif not self._hold.try_add(count):
            self._refuse_for_memory()

    def _refuse_for_memory(self) -> None:
        _log.warning("Request refused, as memory is short.")
        self._fail_connection(_UNAVAILABLE_STATUS)

    def _fail_connection(self, status: int) -> None:
        """Closes the connection once earlier requests are answered."""
        self._error_status = self._error_status or status
        self._hold.release()
        self._reset()
        self._has_work.set()

    def _drop_requests(self) -> None:
        while self._pending:
            each = self._pending.popleft()
            each.task.cancel()
            each.hold.release()
        self._hold.release()
        self._reset()

    async def _serve(self) -> None:
        try:
            while True:
                if not self._pending:
                    if self._error_status:
                        headers = (
                            _NO_MEMORY_HEADERS
                            if self._error_status == _UNAVAILABLE_STATUS
                            else []
                        )
                        self._write(
                            http_messages.Response(
                                self._error_status, headers, b"", True
                            ),
                            False,
                        )
                        await self._linger()
                        return
                    self._idle_since_s = self._loop.time()
                    self._has_work.clear()
                    await self._has_work.wait()
                    continue
                if not await self._respond():
                    return
        except Exception:
            _log.exception("Connection failed.")
            self._transport.abort()  # type: ignore[attr-defined]
        finally:
            self._drop_requests()
            self._transport.close()

    async def _respond(self) -> bool:
        """Sends the next response; returns whether the connection goes on.

        What the request holds is released once the response is sent.
        """
        request = self._pending[0]
        response = await self._wait_for_response(request.task)
        if response.close or self._listener.is_closing:
            self._is_ending = True
        await self._writable.wait()
        self._pending.popleft()
        # Requests that were begun are answered before the close: upstreams are
        # at work on them.
        keep_alive = request.keep_alive and not (
            self._is_ending and not self._pending
        )
        hold = request.hold
        self._write(response, keep_alive)
        del request, response
        try:
            await self._writable.wait()
        finally:
            hold.release()
        if not keep_alive:
            if self._is_ending or self._in_message:
                await self._linger()
            return False
        if self._is_paused and len(self._pending) < _MAX_PIPELINED:
            self._resume_reading()
        return True

    def _resume_reading(self) -> None:
        self._is_paused = False
        # A request may have arrived in part; its caller was not late meanwhile.
        self._message_begun_s = self._loop.time()
        self._transport.resume_reading()  # type: ignore[attr-defined]

    async def _linger(self) -> None:
        """Discards what the caller still sends, until it closes as well."""
        if self._transport.is_closing():
            return
        self._is_lingering = True
        self._transport.write_eof()  # type: ignore[attr-defined]
        if self._is_paused:
            self._resume_reading()
        # The end of the connection cancels this task.
        await asyncio.sleep(_LINGER_S)

    async def _wait_for_response(
        self, task: asyncio.Task[http_messages.Response]
    ) -> http_messages.Response:
        """Returns the response of a handler.

        A handler that fails ends its own request only, not the others on the
        connection.
        """
        try:
            return await task
        except Exception:
            _log.exception("Handler failed.")
            return http_messages.Response(_INTERNAL_ERROR_STATUS, [], b"")

    def _write(
        self, response: http_messages.Response, keep_alive: bool
    ) -> None:
        reason = _REASON_PHRASES.get(response.status, "")
        head = f"HTTP/1.1 {response.status} {reason}\r\n".encode("ascii")
        head += http_messages.format_headers(response.headers)
        head += b"Content-Length: %d\r\n" % len(response.body)
        if not keep_alive:
            head += b"Connection: close\r\n"
        head += b"\r\n"
        for part in http_messages.list_writes(head, response.body):
            self._transport.write(part)  # type: ignore[attr-defined]

    def check_timeouts(self, now_s: float) -> None:
        """Enforces the header timeout and the idle timeout."""
        limits = self._listener.limits
        if self._has_stopped_reading(now_s):
            _log.info("Caller does not read its response.")
            self._transport.abort()  # type: ignore[attr-defined]
        if self._is_paused:
            return
        if self._in_message:
            if now_s - self._received_s > limits.idle_timeout_s:
                self._fail_connection(408)
            if now_s - self._message_begun_s > limits.header_timeout_s and (
                not self._body_bytes
            ):
                self._fail_connection(408)
        elif not self._pending and (
            now_s - self._idle_since_s > limits.idle_timeout_s
        ):
            self._transport.close()

    def _has_stopped_reading(self, now_s: float) -> bool:
        """Returns whether the caller has read nothing for the idle timeout."""
        unread = self._transport.get_write_buffer_size()  # type: ignore[attr-defined]
        if not unread or unread != self._unread_bytes:
            self._unread_bytes = unread
            self._unread_since_s = now_s
        return (
            now_s - self._unread_since_s > self._listener.limits.idle_timeout_s
        )

    def close_idle(self) -> None:
        """Closes the connection if it is idle."""
        if self.is_idle:
            self._transport.close()


class Listener:
    """Accepts connections at one address.

    Attributes:
        handle: Handler of each request.
        account: Counts the bytes that requests and responses hold.
        limits: Size limits and timeouts; replaced with the configuration.
        connections: Open connections.
        is_closing: Whether each connection closes after the last response to
            the requests that were begun.
        is_refusing: Whether new requests get status 503.
    """

    def __init__(
        self,
        handle: Handler,
        account: memory_account.MemoryAccount | None = None,
    ) -> None:
        self.handle = handle
        self.account = account or memory_account.MemoryAccount(
            _DEFAULT_ACCOUNT_BYTES
        )
        self.limits = Limits()
        self.connections: set[_Connection] = set()
        self.is_closing = False
        self.is_refusing = False
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Starts to accept connections."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Connection(self), host, port, backlog=1024
        )

    async def run_timeout_checks(self) -> None:
        """Enforces the timeouts of all connections until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(0.5)
            now_s = loop.time()
            for connection in list(self.connections):
                connection.check_timeouts(now_s)

    def stop_accepting(self) -> None:
        """Accepts no more connections."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Closes all idle connections."""
        for connection in list(self.connections):
            connection.close_idle()
