"""Connections to one upstream, and one exchange on one of them.

A connection tells apart what a general client hides: whether any byte was
written, whether bytes follow an answer, and whether an answer without a
length was cut off. It uses the parser of httptools.
"""

import asyncio
import socket
from typing import NamedTuple

import httptools

from bamboosilld.gateway import messages

# An upstream that does not accept within this time is tried again or left;
# several round trips between zones.
_CONNECT_TIMEOUT_S = 0.5
# Sent bytes that are not acknowledged for longer end the connection: the
# path is gone, or something on it lost track of the connection.
_USER_TIMEOUT_MS = 1500
_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_COUNT = 2
# Part of the idle timeout that an upstream states after which a connection
# is not used again, so that a request does not cross its close.
_IDLE_PART = 0.6
_DEFAULT_IDLE_S = 4.0
_MAX_ANSWER_BYTES = 32 * 1024 * 1024
_BODYLESS = frozenset({204, 304})


class Answer(NamedTuple):
    """A whole answer of an upstream."""

    status: int
    headers: messages.Headers
    body: bytes

    def get(self, name: bytes) -> bytes | None:
        """Returns the value of a header by its lower-case name."""
        for each, value in self.headers:
            if each.lower() == name:
                return value
        return None


class ExchangeError(Exception):
    """There is no whole answer.

    Attributes:
        code: `connect`, `refused`, `closed`, `reset`, `malformed` or
            `truncated`.
        sent: Whether the upstream may have run the request.
        begun: Whether bytes of an answer had arrived.
    """

    def __init__(self, code: str, sent: bool, begun: bool = False) -> None:
        super().__init__(code)
        self.code = code
        self.sent = sent
        self.begun = begun


class Connection(asyncio.Protocol):
    """Carries one exchange at a time."""

    def __init__(self, request_id_name: bytes) -> None:
        self._id_name = request_id_name
        self._loop = asyncio.get_running_loop()
        self._future: asyncio.Future[Answer] | None = None
        self._request_id = b""
        self.is_open = False
        self.used_s = self._loop.time()
        self.idle_limit_s = _DEFAULT_IDLE_S
        self.exchanges = 0
        self._parser: httptools.HttpResponseParser | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Prepares the socket."""
        self.is_open = True
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            _set_timeouts(sock)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the exchange in progress."""
        self.is_open = False
        if self._future is None or self._future.done():
            return
        if self._begun and not self._framed and exc is None and self._headed:
            # An answer without a length ends with its connection.
            self._finish()
            return
        code = "truncated" if self._begun else "reset" if exc else "closed"
        self._fail(code)

    def eof_received(self) -> bool:
        """Closes the connection when the upstream has."""
        return False

    async def exchange(self, data: bytes, request_id: bytes) -> Answer:
        """Sends a request and returns the whole answer to it.

        Raises:
            ExchangeError: There is none.
        """
        if not self.is_open or self._transport.is_closing():
            raise ExchangeError("closed", False)
        self._request_id = request_id
        self.exchanges += 1
        self._parser = httptools.HttpResponseParser(self)
        self._complete = False
        self._extra = False
        self._start_answer()
        self._future = self._loop.create_future()
        self._transport.write(data)  # type: ignore[attr-defined]
        try:
            return await self._future
        finally:
            if not self._complete:
                self.abort()
            self._future = None
            self.used_s = self._loop.time()

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent."""
        return (
            self.is_open
            and not self._transport.is_closing()
            and self._future is None
            and not self._extra
            and self._keep_alive
            and self._loop.time() - self.used_s < self.idle_limit_s
        )

    def abort(self) -> None:
        """Ends the connection at once."""
        self.is_open = False
        self._transport.abort()  # type: ignore[attr-defined]

    def data_received(self, data: bytes) -> None:
        """Parses bytes of an answer."""
        if self._future is None or self._parser is None or self._complete:
            # Nobody waits: what arrives belongs to no request.
            self._extra = True
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._extra = True
            if not self._complete:
                self._fail("malformed")

    def _start_answer(self) -> None:
        self._begun = False
        self._headed = False
        self._framed = True
        self._keep_alive = True
        self._headers: messages.Headers = []
        self._body: list[bytes] = []
        self._size = 0

    def on_message_begin(self) -> None:
        """Begins an answer."""
        if self._complete:
            self._extra = True
            return
        self._start_answer()
        self._begun = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header."""
        if not self._complete:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Learns how the answer is framed."""
        if self._complete or self._parser is None:
            return
        self._headed = True
        self._status = self._parser.get_status_code()
        names = {name.lower() for name, _ in self._headers}
        self._framed = (
            b"content-length" in names
            or b"transfer-encoding" in names
            or self._status in _BODYLESS
        )

    def on_body(self, body: bytes) -> None:
        """Takes a part of the body."""
        if self._complete:
            return
        self._body.append(body)
        self._size += len(body)
        if self._size > _MAX_ANSWER_BYTES:
            self._fail("malformed")

    def on_message_complete(self) -> None:
        """Hands over the answer, unless it is one to another request."""
        if self._complete or self._parser is None:
            return
        if self._status < 200 or not self._is_expected():
            self._start_answer()
            return
        self._keep_alive = self._framed and self._parser.should_keep_alive()
        self._finish()

    def _is_expected(self) -> bool:
        for name, value in self._headers:
            if name.lower() == self._id_name:
                return value == self._request_id
        # Without an id, only an answer on a connection that carried no
        # other request can be told to be this one's.
        return self.exchanges == 1

    def _finish(self) -> None:
        if self._future is None or self._future.done():
            return
        if not self._is_expected():
            self._fail("malformed")
            return
        if not self._framed:
            self._keep_alive = False
        self._complete = True
        for name, value in self._headers:
            if name.lower() == b"keep-alive":
                self._read_idle_limit(value)
        self._future.set_result(
            Answer(self._status, self._headers, b"".join(self._body))
        )

    def _read_idle_limit(self, value: bytes) -> None:
        for part in value.split(b","):
            name, _, number = part.strip().partition(b"=")
            if name == b"timeout" and number.isdigit():
                self.idle_limit_s = int(number) * _IDLE_PART

    def _fail(self, code: str) -> None:
        if self._future is not None and not self._future.done():
            self._future.set_exception(ExchangeError(code, True, self._begun))


def _set_timeouts(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
        (socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, _KEEPALIVE_COUNT),
        (socket.TCP_NODELAY, 1),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


class Pool:
    """Connections to one life of an upstream."""

    def __init__(self, address: str, request_id_name: bytes) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._id_name = request_id_name
        self._idle: list[Connection] = []
        self.opened = 0

    async def acquire(self) -> Connection:
        """Returns an idle connection or a new one.

        Raises:
            ExchangeError: None could be opened.
        """
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable:
                return connection
            connection.abort()
        self.opened += 1
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: Connection(self._id_name), self._host, self._port
                )
        except TimeoutError:
            raise ExchangeError("connect", False) from None
        except OSError as error:
            refused = isinstance(error, ConnectionRefusedError)
            code = "refused" if refused else "connect"
            raise ExchangeError(code, False) from error
        return connection

    def release(self, connection: Connection) -> None:
        """Takes back a connection after an exchange."""
        if connection.is_reusable:
            self._idle.append(connection)
        elif connection.is_open:
            connection.abort()

    def close_idle(self) -> None:
        """Closes the idle connections."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    def sweep(self) -> None:
        """Closes the connections that are not used any more."""
        kept = []
        for connection in self._idle:
            if connection.is_reusable:
                kept.append(connection)
            elif connection.is_open:
                connection.abort()
        self._idle = kept
