"""One request and its answer on one connection."""

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

_MAX_ECHOED_BYTES = 80


class Answer(NamedTuple):
    """An answer, whole unless `rest` is set.

    Attributes:
        status: HTTP status.
        headers: Headers to pass on, in order.
        body: The whole body, or its first part.
        rest: Reads the rest of a long body.
        length: Stated length of a long body, or -1.
        fields: Headers of this protocol, by lower-case name.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    rest: "Rest | None"
    length: int
    fields: dict[str, str]


class Timing(NamedTuple):
    """Time limits of an exchange, in seconds from now.

    Attributes:
        deadline_s: Until the whole answer must have arrived.
        silence_s: Until the first byte must have arrived, or 0.
        may_give_up: Asked when `silence_s` has passed; if it says no, the
            exchange goes on until its deadline.
    """

    deadline_s: float
    silence_s: float
    may_give_up: Callable[[], bool]


class Rest:
    """The part of a long body that was not yet read."""

    def __init__(
        self,
        pool: pools.Pool,
        connection: connection_lib.Connection,
        timer: asyncio.TimerHandle,
    ) -> None:
        self._pool = pool
        self._connection = connection
        self._timer = timer
        self._done = False

    async def read(self) -> bytes:
        """Returns the next bytes, or none at the end of a whole body.

        Raises:
            connection.ConnectionFaultError: The body was truncated.
        """
        chunk = await self._connection.read_chunk()
        if not chunk and not self._done:
            self._done = True
            self._timer.cancel()
            self._pool.release(self._connection)
        return chunk

    def close(self) -> None:
        """Gives up the rest of the body."""
        if not self._done:
            self._done = True
            self._timer.cancel()
            self._pool.discard(self._connection, "abandoned")


def format_request(
    method: str,
    target: str,
    address: str,
    lines: Iterable[tuple[str, str]],
    body: bytes,
) -> bytes:
    """Returns the bytes of a request."""
    parts = [f"{method} {target} HTTP/1.1\r\nHost: {address}\r\n"]
    parts.extend(f"{name}: {value}\r\n" for name, value in lines)
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
    timing: Timing,
) -> Result[Answer, faults.Fault]:
    """Sends a request and returns the answer.

    The connection is returned to its pool, or discarded on any anomaly.
    """
    if not connection.send(request, bodyless):
        pool.discard(connection, "closed")
        return Failure(
            faults.Fault("closed", f"{pool.address}: connection closed", False)
        )
    loop = asyncio.get_running_loop()
    timer = loop.call_later(timing.deadline_s, connection.fail, "deadline")
    deadline: asyncio.TimerHandle | None = timer
    silence = None
    if timing.silence_s:

        def give_up() -> None:
            if not connection.received and timing.may_give_up():
                connection.fail("silent")

        silence = loop.call_later(timing.silence_s, give_up)
    keep = False
    try:
        head = await connection.read_head()
        fault = _check_head(head, request_id, pool.address)
        if fault is not None:
            return Failure(fault)
        body = await _read_start(connection)
        if head.payload.is_eof() and len(body) <= connection_lib.BUFFER_BYTES:
            body += await connection.read_chunk()
            keep = True
            pool.release(connection)
            return Success(_make_answer(head, body, None))
        keep = True
        rest = Rest(pool, connection, timer)
        deadline = None
        return Success(_make_answer(head, body, rest))
    except connection_lib.ConnectionFaultError as error:
        detail = f"{pool.address}: exchange ended: {error.code}"
        return Failure(faults.Fault(error.code, detail, True))
    finally:
        if silence is not None:
            silence.cancel()
        if deadline is not None:
            deadline.cancel()
        if not keep:
            pool.discard(connection, "abandoned")


async def _read_start(connection: connection_lib.Connection) -> bytes:
    body = await connection.read_chunk()
    while len(body) <= connection_lib.BUFFER_BYTES:
        chunk = await connection.read_chunk()
        if not chunk:
            break
        body += chunk
    return body


def _check_head(
    head: connection_lib.Head, request_id: str, address: str
) -> faults.Fault | None:
    echoed = head.message.headers.get(headers.REQUEST_ID, "")
    if echoed == request_id:
        return None
    detail = (
        f"{address}: answer to request {echoed[:_MAX_ECHOED_BYTES]!r} "
        f"instead of {request_id!r}"
    )
    return faults.Fault("crossed", detail, True)


def _make_answer(
    head: connection_lib.Head, body: bytes, rest: Rest | None
) -> Answer:
    passed, fields = [], {}
    for name, value in head.message.headers.items():
        if headers.is_passed_on(name):
            passed.append((name, value))
        elif name.lower().startswith(headers.PREFIX):
            fields[name.lower()] = value
    length = int(head.message.headers.get("Content-Length", "-1"))
    return Answer(head.message.code, tuple(passed), body, rest, length, fields)
