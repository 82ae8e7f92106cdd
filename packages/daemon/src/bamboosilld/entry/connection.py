"""One HTTP/1.1 connection to an upstream or to another entry instance.

The connection tells apart what a general client hides: whether any byte of a
request was written, whether any byte came back, and whether bytes follow an
answer. It uses the response parser of aiohttp.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from aiohttp import base_protocol
from aiohttp import http
from aiohttp import streams

_MAX_ANSWER_FIELD_BYTES = 16 * 1024
# Also the most that is buffered of an answer before its head is sent on.
BUFFER_BYTES = 64 * 1024
_MAX_ANSWER_HEADERS = 128
_BODYLESS_STATUSES = frozenset({204, 304})
_FIRST_FINAL_STATUS = 200


class ConnectionFaultError(Exception):
    """An exchange failed; `code` says how."""

    def __init__(self, code: str) -> None:
        super().__init__(code)
        self.code = code


class Head(NamedTuple):
    """The head of an answer and the reader of its body."""

    message: http.RawResponseMessage
    payload: streams.StreamReader


class Connection(base_protocol.BaseProtocol):
    """Carries one exchange at a time.

    Attributes:
        fault: Why the connection is of no more use, or empty.
        received: Whether a byte came back in the current exchange.
        exchanges: Number of exchanges begun.
        used_until: Loop time of the end of the last exchange.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_lost: Callable[["Connection"], None],
    ) -> None:
        super().__init__(loop)
        self._on_lost = on_lost
        self._head: Head | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._busy = False
        self._bodyless = False
        self._extra = False
        self.fault = ""
        self.received = False
        self.exchanges = 0
        self.used_until = loop.time()

    @property
    def usable(self) -> bool:
        """Whether a request may be written."""
        return (
            not self.fault
            and self.transport is not None
            and not self.transport.is_closing()
        )

    def send(self, data: bytes, bodyless: bool) -> bool:
        """Writes a request.

        Args:
            data: The whole request.
            bodyless: Whether the answer has no body whatever its head says.

        Returns:
            False if certainly no byte was written.
        """
        if not self.usable or self._busy or self.transport is None:
            return False
        self._busy = True
        self._bodyless = bodyless
        self._head = None
        self.received = False
        self.exchanges += 1
        self._parser = http.HttpResponseParser(
            self,
            self._loop,
            BUFFER_BYTES,
            max_line_size=_MAX_ANSWER_FIELD_BYTES,
            max_field_size=_MAX_ANSWER_FIELD_BYTES,
            max_headers=_MAX_ANSWER_HEADERS,
            response_with_body=not bodyless,
            auto_decompress=False,
        )
        self.transport.write(data)
        return True

    async def read_head(self) -> Head:
        """Returns the head of the answer.

        Raises:
            ConnectionFaultError: There is no valid answer.
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
        """Returns the next bytes of the body, or none at its end.

        Raises:
            ConnectionFaultError: The body is not complete.
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
        """Ends the exchange after the whole answer was read.

        Returns:
            Whether the connection can carry another exchange. It cannot if
            anything follows the answer, because that would be taken for the
            answer to the next request.
        """
        head, parser = self._head, self._parser
        self._busy = False
        self._head = None
        self._parser = None
        self.used_until = self._loop.time()
        if not self.usable or head is None or self.transport is None:
            return False
        if self._extra:
            return False
        if head.message.should_close or not head.payload.is_eof():
            return False
        if self.transport.get_write_buffer_size():
            return False
        try:
            # A second answer of which only the first bytes have arrived.
            return parser is None or parser.feed_eof() is None
        except Exception:
            return False

    def fail(self, code: str) -> None:
        """Ends the connection and the exchange on it."""
        if not self.fault:
            self.fault = code
        self._wake()
        if self._head is not None and not self._head.payload.is_eof():
            self._head.payload.set_exception(ConnectionFaultError(self.fault))
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parses bytes of an answer."""
        if self.fault:
            return
        if not self._busy or self._parser is None:
            if data:
                self.fail("unexpected")
            return
        self.received = True
        try:
            messages, upgraded, _ = self._parser.feed_data(data)
        except Exception:
            self.fail("malformed")
            return
        if upgraded:
            self.fail("malformed")
            return
        for message, payload in messages:
            if message.code < _FIRST_FINAL_STATUS:
                continue
            if self._head is not None:
                # The first answer is whole; the connection is not reused.
                self._extra = True
                continue
            if not self._is_framed(message):
                self.fail("unframed")
                return
            self._head = Head(message, payload)
            self._wake()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the exchange in progress."""
        code = "broken"
        if self._head is not None and not self._head.payload.is_eof():
            code = "truncated"
        self.fail(code)
        super().connection_lost(exc)
        self._on_lost(self)

    def _is_framed(self, message: http.RawResponseMessage) -> bool:
        # An answer that ends with its connection cannot be told apart from a
        # truncated one.
        return (
            self._bodyless
            or message.chunked
            or message.code in _BODYLESS_STATUSES
            or "Content-Length" in message.headers
        )

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
