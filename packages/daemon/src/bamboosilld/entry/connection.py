"""One HTTP/1.1 client connection to an upstream or another entry instance.

Unlike a general HTTP client, it reports whether any byte of a request was
written, whether any byte of a response arrived, and whether data follows the
response. Callers need this to decide whether a request may have run and
whether the connection can be reused. Responses are parsed by aiohttp.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from aiohttp import base_protocol
from aiohttp import http
from aiohttp import streams

from bamboosilld import response_status

_MAX_HEADER_LINE_BYTES = 16 * 1024
# Read buffer of a connection. Also bounds how much of a response body is
# buffered before the response is streamed to the caller.
BUFFER_BYTES = 64 * 1024
_MAX_RESPONSE_HEADERS = 128
# What an upstream may send in a row without any byte of a body.
_MAX_BYTES_WITHOUT_BODY = 64 * 1024
_BODYLESS_STATUSES = frozenset({204, 304})


class ConnectionFaultError(Exception):
    """An exchange failed; `code` is the fault code."""

    def __init__(self, code: str) -> None:
        super().__init__(code)
        self.code = code


class ResponseHead(NamedTuple):
    """The status line and headers of a response, and its body reader."""

    message: http.RawResponseMessage
    payload: streams.StreamReader


class Connection(base_protocol.BaseProtocol):
    """Carries one exchange at a time.

    Attributes:
        fault: Fault code once the connection is unusable, else empty.
        response_started: Whether any byte arrived in the current exchange.
        exchanges: Number of exchanges started.
        last_used_s: Event loop time at which the last exchange ended.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_lost: Callable[["Connection"], None],
    ) -> None:
        super().__init__(loop)
        self._on_lost = on_lost
        self._head: ResponseHead | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._busy = False
        self._bodyless = False
        self._surplus_response = False
        self.fault = ""
        self.response_started = False
        self.exchanges = 0
        self.last_used_s = loop.time()

    @property
    def usable(self) -> bool:
        """Whether the transport is open and no fault has occurred."""
        return (
            not self.fault
            and self.transport is not None
            and not self.transport.is_closing()
        )

    def send(self, data: bytes, bodyless: bool) -> bool:
        """Writes a request.

        Args:
            data: The complete request.
            bodyless: Whether the response has no body regardless of its
                headers, as for HEAD.

        Returns:
            False if certainly no byte was written.
        """
        if not self.usable or self._busy or self.transport is None:
            return False
        self._busy = True
        self._bodyless = bodyless
        self._head = None
        self._bytes_without_body = 0
        self._body_bytes = 0
        self.response_started = False
        self.exchanges += 1
        self._parser = http.HttpResponseParser(
            self,
            self._loop,
            BUFFER_BYTES,
            max_line_size=_MAX_HEADER_LINE_BYTES,
            max_field_size=_MAX_HEADER_LINE_BYTES,
            max_headers=_MAX_RESPONSE_HEADERS,
            response_with_body=not bodyless,
            auto_decompress=False,
        )
        self.transport.write(data)
        return True

    async def read_head(self) -> ResponseHead:
        """Returns the head of the response.

        Raises:
            ConnectionFaultError: No valid response arrived.
        """
        if self._head is None and not self.fault:
            self._waiter = self._loop.create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        if self._head is None:
            raise ConnectionFaultError(self.fault or "broken")
        return self._head

    async def read_chunk(self) -> bytes:
        """Returns the next bytes of the body, or an empty value at its end.

        Raises:
            ConnectionFaultError: The body was truncated.
        """
        if self._head is None:
            raise ConnectionFaultError(self.fault or "broken")
        payload = self._head.payload
        if payload.at_eof():
            return b""
        if self.fault and not payload.is_eof():
            raise ConnectionFaultError(self.fault)
        return await payload.readany()

    def finish(self) -> bool:
        """Ends the exchange after the complete response was read.

        Returns:
            Whether the connection can be reused. It cannot if data follows
            the response, because that data would be taken for the response
            to the next request.
        """
        head, parser = self._head, self._parser
        self._busy = False
        self._head = None
        self._parser = None
        self.last_used_s = self._loop.time()
        if not self.usable or head is None or self.transport is None:
            return False
        if self._surplus_response:
            return False
        if head.message.should_close or not head.payload.is_eof():
            return False
        if self.transport.get_write_buffer_size():
            return False
        try:
            # Detects the first bytes of a second, incomplete response.
            return parser is None or parser.feed_eof() is None
        except Exception:
            return False

    def fail(self, code: str) -> None:
        """Aborts the connection and fails the exchange on it.

        Args:
            code: Fault code; the first one is kept.
        """
        if not self.fault:
            self.fault = code
        self._wake()
        if self._head is not None and not self._head.payload.is_eof():
            self._head.payload.set_exception(ConnectionFaultError(self.fault))
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        if self.fault:
            return
        if not self._busy or self._parser is None:
            if data:
                self.fail("unexpected")
            return
        self.response_started = True
        try:
            messages, upgraded, _ = self._parser.feed_data(data)
        except Exception:
            self.fail("malformed")
            return
        if upgraded:
            self.fail("malformed")
            return
        for message, payload in messages:
            if response_status.is_informational(message.code):
                continue
            if self._head is not None:
                # The first response is complete and valid, but the connection
                # must not be reused.
                self._surplus_response = True
                continue
            if not response_status.is_valid(message.code):
                self.fail("malformed")
                return
            if not self._is_framed(message):
                self.fail("unframed")
                return
            self._head = ResponseHead(message, payload)
            self._wake()
        if self._is_endless(len(data)):
            self.fail("malformed")

    def _is_endless(self, count: int) -> bool:
        """Returns whether too many bytes came in a row without a body.

        Informational responses and the extensions of chunks need not end.
        """
        body_bytes = self._head.payload.total_bytes if self._head else 0
        is_complete = self._head is not None and self._head.payload.is_eof()
        if body_bytes != self._body_bytes or is_complete:
            self._body_bytes = body_bytes
            self._bytes_without_body = 0
            return False
        self._bytes_without_body += count
        return self._bytes_without_body > _MAX_BYTES_WITHOUT_BODY

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fails the exchange in progress."""
        code = "broken"
        if self._head is not None and not self._head.payload.is_eof():
            code = "truncated"
        self.fail(code)
        super().connection_lost(exc)
        self._on_lost(self)

    def _is_framed(self, message: http.RawResponseMessage) -> bool:
        # A response delimited by the end of its connection cannot be told
        # apart from a truncated one.
        return (
            self._bodyless
            or message.chunked
            or message.code in _BODYLESS_STATUSES
            or "Content-Length" in message.headers
        )

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
