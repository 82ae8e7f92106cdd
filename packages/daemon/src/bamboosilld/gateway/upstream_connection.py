"""HTTP/1.1 client connections to upstreams, and a pool of them.

Unlike a general HTTP client, a connection tells whether any byte was written,
whether extra bytes follow a response, and whether a response without a length
was truncated. It uses the httptools parser.
"""

import asyncio
import socket
import struct
from typing import NamedTuple

import httptools

from bamboosill_common import addresses
from bamboosill_common import logs
from bamboosilld import connector
from bamboosilld import memory_account
from bamboosilld import response_status
from bamboosilld.gateway import http_messages

# Several round trips between zones. After it, the request is retried, possibly
# on another upstream.
_CONNECT_TIMEOUT_S = 0.5
# A connection whose sent bytes are unacknowledged for longer is closed: the
# network path is down, or a middlebox dropped the connection's state.
_USER_TIMEOUT_MS = 1500
_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_COUNT = 2
# Fraction of the idle timeout that an upstream states after which a connection
# is not reused, so that no request races with the upstream's close.
_IDLE_TIMEOUT_FRACTION = 0.6
_DEFAULT_IDLE_LIMIT_S = 4.0
# Limits on what an upstream may send in one exchange: in all, and in a row
# without any byte of a body. A faulty one may send without end.
_MAX_EXCHANGE_BYTES = 32 * 1024 * 1024
_MAX_HEAD_BYTES = 64 * 1024
_BODYLESS_STATUSES = frozenset({204, 304})

_log = logs.get_logger("gateway")


class UpstreamResponse(NamedTuple):
    """A complete response of an upstream."""

    status: int
    headers: http_messages.Headers
    body: http_messages.Body

    def get(self, name: bytes) -> bytes | None:
        """Returns the value of a header by its lower-case name."""
        for each, value in self.headers:
            if each.lower() == name:
                return value
        return None

    def list_values(self, name: bytes) -> list[bytes]:
        """Returns all values of a header by its lower-case name."""
        return [value for each, value in self.headers if each.lower() == name]


class ExchangeError(Exception):
    """No complete response was received.

    Attributes:
        code: `connect`, `refused`, `closed`, `reset`, `malformed`,
            `truncated`, or `memory` if there was no room for the response.
        sent: Whether bytes of the request were written, so that the upstream
            may have run it.
        begun: Whether bytes of a response had arrived.
    """

    def __init__(self, code: str, sent: bool, begun: bool = False) -> None:
        super().__init__(code)
        self.code = code
        self.sent = sent
        self.begun = begun


class Options(NamedTuple):
    """Options of a connection.

    Attributes:
        user_timeout_ms: Longest time that sent bytes may stay unacknowledged.
        trusts_order: Whether a response without a request id belongs to the
            last request, also if the connection carried others before.
        discards_on_close: Whether bytes that were not received yet are dropped
            when the connection is closed. Otherwise the kernel goes on sending
            them.
    """

    user_timeout_ms: int = _USER_TIMEOUT_MS
    trusts_order: bool = False
    discards_on_close: bool = False


class Connection(asyncio.Protocol):
    """A connection that carries one request and response at a time."""

    def __init__(
        self, request_id_name: bytes, options: Options | None = None
    ) -> None:
        self._request_id_name = request_id_name
        self._options = options or Options()
        self._loop = asyncio.get_running_loop()
        self._response_future: asyncio.Future[UpstreamResponse] | None = None
        self._request_id = b""
        self.is_open = False
        self.last_used_s = self._loop.time()
        self.idle_limit_s = _DEFAULT_IDLE_LIMIT_S
        self.exchanges = 0
        self._parser: httptools.HttpResponseParser | None = None
        # A connection may be returned to its pool without an exchange.
        self._has_extra_bytes = False
        self._is_complete = False
        self._keep_alive = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets the socket options."""
        self.is_open = True
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            _set_socket_options(sock, self._options)

    def connection_lost(self, exc: Exception | None) -> None:
        """Completes or fails the exchange in progress."""
        self.is_open = False
        if self._response_future is None or self._response_future.done():
            return
        if (
            self._has_begun
            and not self._is_framed
            and exc is None
            and self._has_headers
        ):
            # A response without a length ends where its connection is closed.
            self._finish()
            return
        code = "truncated" if self._has_begun else "reset" if exc else "closed"
        self._fail(code)

    def eof_received(self) -> bool:
        """Lets the transport close when the upstream has closed its side."""
        return False

    async def exchange(
        self,
        head: bytes,
        request_id: bytes,
        body: http_messages.Body = b"",
        hold: memory_account.Hold | None = None,
    ) -> UpstreamResponse:
        """Sends a request and returns the complete response to it.

        Args:
            head: Head of the request.
            request_id: Id that the response has to bear.
            body: Body of the request.
            hold: Counts the bytes of the response, if given. Those of a
                complete response stay counted.

        Raises:
            ExchangeError: No complete response was received.
        """
        if not self.is_open or self._transport.is_closing():
            raise ExchangeError("closed", False)
        self._request_id = request_id
        self.exchanges += 1
        self._parser = httptools.HttpResponseParser(self)
        self._is_complete = False
        self._has_extra_bytes = False
        self._received_bytes = 0
        self._bytes_without_body = 0
        self._hold = hold
        self._added_bytes = 0
        self._reset_response()
        self._response_future = self._loop.create_future()
        for part in http_messages.list_writes(head, body):
            self._transport.write(part)  # type: ignore[attr-defined]
        try:
            return await self._response_future
        finally:
            if not self._is_complete:
                self.abort()
                self._reset_response()
                if hold is not None:
                    hold.remove(self._added_bytes)
            self._hold = None
            self._response_future = None
            self.last_used_s = self._loop.time()

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        return (
            self.is_open
            and not self._transport.is_closing()
            and self._response_future is None
            and not self._has_extra_bytes
            and self._keep_alive
            and self._loop.time() - self.last_used_s < self.idle_limit_s
        )

    def abort(self) -> None:
        """Closes the connection without flushing."""
        self.is_open = False
        self._transport.abort()  # type: ignore[attr-defined]

    def data_received(self, data: bytes) -> None:
        """Feeds received bytes to the parser."""
        if (
            self._response_future is None
            or self._parser is None
            or self._is_complete
        ):
            # No exchange is in progress: these bytes belong to no request.
            self._has_extra_bytes = True
            self.abort()
            return
        self._received_bytes += len(data)
        self._bytes_without_body += len(data)
        if self._hold is not None:
            if not self._hold.try_add(len(data)):
                _log.warning("Response given up, as memory is short.")
                self._fail("memory")
                self.abort()
                return
            self._added_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._has_extra_bytes = True
            if not self._is_complete:
                self._fail("malformed")
        is_too_long = (
            self._received_bytes > _MAX_EXCHANGE_BYTES
            or self._bytes_without_body > _MAX_HEAD_BYTES
        )
        if is_too_long and not self._is_complete:
            self._fail("malformed")
            self.abort()

    def _reset_response(self) -> None:
        self._has_begun = False
        self._has_headers = False
        self._is_framed = True
        self._keep_alive = True
        self._headers: http_messages.Headers = []
        self._body = bytearray()

    def on_message_begin(self) -> None:
        """Starts a response; one after the complete response is extra bytes."""
        if self._is_complete:
            self._has_extra_bytes = True
            return
        self._reset_response()
        self._has_begun = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header."""
        if not self._is_complete:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Stores the status and whether the length of the body is known."""
        if self._is_complete or self._parser is None:
            return
        self._has_headers = True
        self._status = self._parser.get_status_code()
        if not response_status.is_valid(self._status):
            self._fail("malformed")
            self.abort()
            return
        names = {name.lower() for name, _ in self._headers}
        self._is_framed = (
            b"content-length" in names
            or b"transfer-encoding" in names
            or self._status in _BODYLESS_STATUSES
        )

    def on_body(self, body: bytes) -> None:
        """Stores a part of the body."""
        if self._is_complete:
            return
        self._body += body
        self._bytes_without_body = 0

    def on_message_complete(self) -> None:
        """Completes the exchange.

        Informational responses and responses to other requests are skipped.
        """
        if self._is_complete or self._parser is None:
            return
        if (
            response_status.is_informational(self._status)
            or not self._is_expected()
        ):
            self._reset_response()
            return
        self._keep_alive = self._is_framed and self._parser.should_keep_alive()
        self._finish()

    def _is_expected(self) -> bool:
        for name, value in self._headers:
            if name.lower() == self._request_id_name:
                return value == self._request_id
        # Without a request id, the response is only known to belong to this
        # request if the connection carried no other.
        return self._options.trusts_order or self.exchanges == 1

    def _finish(self) -> None:
        if self._response_future is None or self._response_future.done():
            return
        if not self._is_expected():
            self._fail("malformed")
            return
        if not self._is_framed:
            self._keep_alive = False
        self._is_complete = True
        for name, value in self._headers:
            if name.lower() == b"keep-alive":
                self._read_idle_limit(value)
        self._response_future.set_result(
            UpstreamResponse(
                self._status,
                self._headers,
                http_messages.finish_body(self._body),
            )
        )
        self._body = bytearray()

    def _read_idle_limit(self, value: bytes) -> None:
        for part in value.split(b","):
            name, _, number = part.strip().partition(b"=")
            timeout_s = http_messages.parse_count(number)
            if name == b"timeout" and timeout_s is not None:
                self.idle_limit_s = timeout_s * _IDLE_TIMEOUT_FRACTION

    def _fail(self, code: str) -> None:
        if (
            self._response_future is not None
            and not self._response_future.done()
        ):
            self._response_future.set_exception(
                ExchangeError(code, True, self._has_begun)
            )


def _set_socket_options(sock: socket.socket, options: Options) -> None:
    if options.discards_on_close:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_USER_TIMEOUT, options.user_timeout_ms),
        (socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, _KEEPALIVE_COUNT),
        (socket.TCP_NODELAY, 1),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


class Pool:
    """Pool of connections to one incarnation of an upstream, or an instance."""

    def __init__(
        self,
        address: str,
        request_id_name: bytes,
        local_host: str = "",
        options: Options | None = None,
    ) -> None:
        """Creates a pool without connections.

        Args:
            address: Remote address as `IP:port`.
            request_id_name: Name of the header with the id of a request.
            local_host: Source IP address; empty to let the system choose.
            options: Options of all connections.

        Raises:
            ValueError: The address is not valid.
        """
        self._host, self._port = addresses.split_connectable(address)
        self._make_connection = lambda: Connection(request_id_name, options)
        self._local_address = (local_host, 0) if local_host else None
        self._idle: list[Connection] = []
        self.opened = 0

    async def acquire(self) -> Connection:
        """Returns an idle connection or a new one.

        Raises:
            ExchangeError: The connection could not be opened.
        """
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable:
                return connection
            connection.abort()
        return await self.open()

    @property
    def has_idle(self) -> bool:
        """Whether a request can be sent without opening a connection."""
        return any(each.is_reusable for each in self._idle)

    async def open(self) -> Connection:
        """Returns a new connection.

        Raises:
            ExchangeError: The connection could not be opened.
        """
        self.opened += 1
        try:
            return await connector.connect(
                self._make_connection,
                self._host,
                self._port,
                _CONNECT_TIMEOUT_S,
                local_address=self._local_address,
            )
        except connector.ConnectError as error:
            raise ExchangeError(error.code, False) from error

    def release(self, connection: Connection) -> None:
        """Returns a connection to the pool, or closes it if not reusable."""
        if connection.is_reusable:
            self._idle.append(connection)
        elif connection.is_open:
            connection.abort()

    def close_idle(self) -> None:
        """Closes all idle connections."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    def sweep(self) -> None:
        """Closes idle connections that may not be reused any more."""
        kept = []
        for connection in self._idle:
            if connection.is_reusable:
                kept.append(connection)
            elif connection.is_open:
                connection.abort()
        self._idle = kept
