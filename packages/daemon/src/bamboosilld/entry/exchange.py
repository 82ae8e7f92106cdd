"""Sends one request on one connection and reads the response."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bamboosilld.entry import connection as connection_lib
from bamboosilld.entry import faults
from bamboosilld.entry import headers
from bamboosilld.entry import pools

# Length of the part of a received value that the detail of a fault quotes.
_MAX_QUOTED_CHARS = 80


class HttpResponse(NamedTuple):
    """A response, complete unless `body_stream` is set.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers, in order.
        body: The complete body, or the part that was buffered.
        body_stream: Reads the remainder of a body above the buffer size.
        length: Value of Content-Length, or -1.
        protocol_headers: `Bamboosill-` headers by lower-case name.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    body_stream: "BodyStream | None"
    length: int
    protocol_headers: dict[str, str]


class Timeouts(NamedTuple):
    """Timeouts of an exchange, in seconds from now.

    Attributes:
        deadline_s: For the complete response.
        first_byte_s: For the first byte of the response; 0 for no timeout.
        may_abandon: Called when `first_byte_s` has passed; returns whether to
            abandon the exchange instead of waiting for the deadline.
    """

    deadline_s: float
    first_byte_s: float
    may_abandon: Callable[[], bool]


class BodyStream:
    """Reads the remainder of a response body that was not buffered."""

    def __init__(
        self,
        pool: pools.Pool,
        connection: connection_lib.Connection,
        timer: asyncio.TimerHandle,
    ) -> None:
        self._pool = pool
        self._connection = connection
        self._timer = timer
        self._finished = False

    async def read(self) -> bytes:
        """Returns the next bytes, or an empty value after a complete body.

        Raises:
            connection.ConnectionFaultError: The body was truncated.
        """
        chunk = await self._connection.read_chunk()
        if not chunk and not self._finished:
            self._finished = True
            self._timer.cancel()
            self._pool.release(self._connection)
        return chunk

    def close(self) -> None:
        """Discards the connection unless the body was read completely."""
        if not self._finished:
            self._finished = True
            self._timer.cancel()
            self._pool.discard(self._connection, "abandoned")


def format_request(
    method: str,
    target: str,
    address: str,
    header_fields: Iterable[tuple[str, str]],
    body: bytes,
) -> bytes:
    """Serializes a request."""
    parts = [f"{method} {target} HTTP/1.1\r\nHost: {address}\r\n"]
    parts.extend(f"{name}: {value}\r\n" for name, value in header_fields)
    if body or method not in ("GET", "HEAD"):
        parts.append(f"Content-Length: {len(body)}\r\n")
    parts.append("\r\n")
    return "".join(parts).encode("utf-8", "surrogateescape") + body


async def run_exchange(
    pool: pools.Pool,
    connection: connection_lib.Connection,
    request: bytes,
    request_id: str,
    bodyless: bool,
    timeouts: Timeouts,
) -> Result[HttpResponse, faults.Fault]:
    """Sends a request and returns the response.

    The connection is returned to its pool once the response is complete, and
    discarded on any error.
    """
    if not connection.send(request, bodyless):
        pool.discard(connection, "closed")
        return Failure(
            faults.Fault("closed", f"{pool.address}: connection closed", False)
        )
    loop = asyncio.get_running_loop()
    timer = loop.call_later(timeouts.deadline_s, connection.fail, "deadline")
    deadline_timer: asyncio.TimerHandle | None = timer
    first_byte_timer = None
    if timeouts.first_byte_s:

        def on_first_byte_timeout() -> None:
            if not connection.response_started and timeouts.may_abandon():
                connection.fail("silent")

        first_byte_timer = loop.call_later(
            timeouts.first_byte_s, on_first_byte_timeout
        )
    connection_settled = False
    try:
        head = await connection.read_head()
        fault = _check_request_id(head, request_id, pool.address)
        if fault is not None:
            return Failure(fault)
        body = await _read_prefix(connection)
        if head.payload.is_eof() and len(body) <= connection_lib.BUFFER_BYTES:
            body += await connection.read_chunk()
            connection_settled = True
            pool.release(connection)
            return Success(_make_response(head, body, None))
        connection_settled = True
        body_stream = BodyStream(pool, connection, timer)
        deadline_timer = None
        return Success(_make_response(head, body, body_stream))
    except connection_lib.ConnectionFaultError as error:
        detail = f"{pool.address}: exchange ended: {error.code}"
        return Failure(faults.Fault(error.code, detail, True))
    finally:
        if first_byte_timer is not None:
            first_byte_timer.cancel()
        if deadline_timer is not None:
            deadline_timer.cancel()
        if not connection_settled:
            pool.discard(connection, "abandoned")


async def _read_prefix(connection: connection_lib.Connection) -> bytes:
    body = await connection.read_chunk()
    while len(body) <= connection_lib.BUFFER_BYTES:
        chunk = await connection.read_chunk()
        if not chunk:
            break
        body += chunk
    return body


def _check_request_id(
    head: connection_lib.ResponseHead, request_id: str, address: str
) -> faults.Fault | None:
    echoed = head.message.headers.get(headers.REQUEST_ID, "")
    if echoed == request_id:
        return None
    detail = (
        f"{address}: answer to request {echoed[:_MAX_QUOTED_CHARS]!r} "
        f"instead of {request_id!r}"
    )
    return faults.Fault("crossed", detail, True)


def _make_response(
    head: connection_lib.ResponseHead,
    body: bytes,
    body_stream: BodyStream | None,
) -> HttpResponse:
    end_to_end_headers, protocol_headers = [], {}
    for name, value in head.message.headers.items():
        if headers.is_forwarded(name):
            end_to_end_headers.append((name, value))
        elif name.lower().startswith(headers.PREFIX):
            protocol_headers[name.lower()] = value
    length = int(head.message.headers.get("Content-Length", "-1"))
    return HttpResponse(
        head.message.code,
        tuple(end_to_end_headers),
        body,
        body_stream,
        length,
        protocol_headers,
    )
