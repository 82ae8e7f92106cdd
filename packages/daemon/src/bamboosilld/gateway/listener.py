"""HTTP/1.1 server: one task for each connection.

It uses the parser of httptools, whose memory is a small part of what a whole
server library takes. Requests that a caller sends ahead are handled at the
same time; answers are written in the order of the requests.
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
from bamboosilld.gateway import messages

# Requests of one connection that are handled at the same time.
_MAX_AHEAD = 16
# Longest line or header of a request before the limits are known.
_DEFAULT_HEADER_BYTES = 64 * 1024

_log = logs.get_logger("http")

Handler = Callable[[messages.Request], Coroutine[Any, Any, messages.Response]]

_REASONS = {status.value: status.phrase for status in http.HTTPStatus}


# What a caller of a stopping instance is told: another one takes its request.
_STOPPING_HEADERS = [(b"Retry-After", b"0.05")]


async def _refuse(request: messages.Request) -> messages.Response:
    return messages.Response(503, _STOPPING_HEADERS, b"", True)


class Limits(NamedTuple):
    """What callers may send, and how long they may take or stay idle."""

    max_header_bytes: int = _DEFAULT_HEADER_BYTES
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


class _Connection(asyncio.Protocol):
    """Parses requests and answers them in order."""

    def __init__(self, listener: "Listener") -> None:
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._pending: collections.deque[asyncio.Task[messages.Response]] = (
            collections.deque()
        )
        self._keep_alive: collections.deque[bool] = collections.deque()
        self._arrived = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._fault = 0
        self._in_message = False
        self._begun_s = self._loop.time()
        self._idle_since_s = self._loop.time()
        self._reset()

    def _reset(self) -> None:
        self._target = b""
        self._headers: messages.Headers = []
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        return not self._pending and not self._in_message

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the task of the connection."""
        self._transport = transport
        self._listener.connections.add(self)
        self._task = self._loop.create_task(self._serve())

    def connection_lost(self, exc: Exception | None) -> None:
        """Gives up all requests: their caller has left."""
        self._listener.connections.discard(self)
        for task in self._pending:
            task.cancel()
        self._task.cancel()

    def pause_writing(self) -> None:
        """Waits with further answers until the caller reads."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Writes again."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Parses what the caller sent."""
        if self._fault:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except httptools.HttpParserError as error:
            if not self._fault:
                _log.info("Bad request bytes. Reason: %s.", error)
                self._refuse(400)

    def on_message_begin(self) -> None:
        """Begins a request."""
        self._in_message = True
        self._begun_s = self._loop.time()
        self._reset()

    def on_url(self, url: bytes) -> None:
        """Takes a part of the request target."""
        self._target += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header."""
        self._headers.append((name, value))
        self._count_header_bytes(len(name) + len(value) + 4)

    def on_body(self, body: bytes) -> None:
        """Takes a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._listener.limits.max_body_bytes:
            self._refuse(413)
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Begins to handle a whole request."""
        self._in_message = False
        if self._fault:
            return
        if self._listener.is_closing and self._pending:
            # The answer before it closes the connection: its caller sends it
            # again, because it was not read.
            self._reset()
            return
        keep_alive = self._parser.should_keep_alive()
        request = messages.Request(
            self._parser.get_method().decode("ascii"),
            self._target.decode("latin-1"),
            self._headers,
            b"".join(self._body),
            keep_alive,
        )
        self._reset()
        handle = self._listener.handle
        if self._listener.is_refusing:
            handle = _refuse
        self._pending.append(self._loop.create_task(handle(request)))
        self._keep_alive.append(keep_alive)
        self._arrived.set()
        if len(self._pending) >= _MAX_AHEAD:
            self._transport.pause_reading()  # type: ignore[attr-defined]

    def _count_header_bytes(self, count: int) -> None:
        self._header_bytes += count
        if self._header_bytes > self._listener.limits.max_header_bytes:
            self._refuse(431)

    def _refuse(self, status: int) -> None:
        """Ends the connection after the requests before a faulty one."""
        self._fault = self._fault or status
        self._arrived.set()

    async def _serve(self) -> None:
        try:
            while True:
                if not self._pending:
                    if self._fault:
                        self._write(
                            messages.Response(self._fault, [], b"", True), False
                        )
                        return
                    self._idle_since_s = self._loop.time()
                    self._arrived.clear()
                    await self._arrived.wait()
                    continue
                response = await self._pending[0]
                keep_alive = self._keep_alive.popleft()
                self._pending.popleft()
                keep_alive = keep_alive and not (
                    response.close or self._listener.is_closing
                )
                await self._writable.wait()
                self._write(response, keep_alive)
                if not keep_alive:
                    return
                if len(self._pending) < _MAX_AHEAD:
                    self._transport.resume_reading()  # type: ignore[attr-defined]
        except Exception:
            _log.exception("Connection failed.")
            self._transport.abort()  # type: ignore[attr-defined]
        finally:
            for task in self._pending:
                task.cancel()
            self._transport.close()

    def _write(self, response: messages.Response, keep_alive: bool) -> None:
        reason = _REASONS.get(response.status, "")
        head = f"HTTP/1.1 {response.status} {reason}\r\n".encode("ascii")
        head += messages.format_headers(response.headers)
        head += b"Content-Length: %d\r\n" % len(response.body)
        if not keep_alive:
            head += b"Connection: close\r\n"
        self._transport.write(head + b"\r\n" + response.body)  # type: ignore[attr-defined]

    def check_times(self, now_s: float) -> None:
        """Ends the connection if its caller is too slow or idle too long."""
        limits = self._listener.limits
        if self._in_message:
            if now_s - self._begun_s > limits.header_timeout_s and (
                not self._body_bytes
            ):
                self._refuse(408)
        elif not self._pending and (
            now_s - self._idle_since_s > limits.idle_timeout_s
        ):
            self._transport.close()

    def close_idle(self) -> None:
        """Closes the connection if it carries no request."""
        if self.is_idle:
            self._transport.close()


class Listener:
    """Accepts connections at one address.

    Attributes:
        limits: What callers may send; replaced when the configuration is.
        connections: Open connections.
        is_closing: Whether each answer is the last one on its connection.
        is_refusing: Whether requests are refused that have not begun.
    """

    def __init__(self, handle: Handler) -> None:
        self.handle = handle
        self.limits = Limits()
        self.connections: set[_Connection] = set()
        self.is_closing = False
        self.is_refusing = False
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listens."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Connection(self), host, port, backlog=1024
        )

    async def run_checks(self) -> None:
        """Ends slow and idle connections until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(0.5)
            now_s = loop.time()
            for connection in list(self.connections):
                connection.check_times(now_s)

    def stop_accepting(self) -> None:
        """Accepts no more connections."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Closes the connections that carry no request."""
        for connection in list(self.connections):
            connection.close_idle()
