"""Stand-in for callers: sends and resends by the rules of docs/callers.md."""

import asyncio
from collections.abc import Callable
import json
import pathlib
import random
import time
from typing import Any
from typing import NamedTuple

import aiohttp

from bamboosill_common import requestid

ANSWER = "answer"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
# Beyond the deadline; an entry instance answers at the deadline itself.
_PATIENCE_S = 0.5
_MAX_BACKOFF_S = 1.0
_FIRST_BACKOFF_S = 0.05
# Resending cannot change what is known after these.
_FINAL_REASONS = frozenset(
    {
        "id-too-old",
        "id-below-floor",
        "id-reused",
        "quarantined",
        "begun-unknown",
    }
)
_RESENT_STATUSES = frozenset({425, 429, 503, 504})


class Request(NamedTuple):
    """One request as its user sees it, however often it is sent."""

    method: str
    path: str
    customer: str
    key: str
    body: bytes = b""
    deadline_ms: int = 2000
    repeatable: bool = True
    headers: tuple[tuple[str, str], ...] = ()


class Told(NamedTuple):
    """What a caller was told, by one sending or in the end.

    Attributes:
        status: HTTP status, or 0 if no whole answer arrived.
        outcome: answer, not-run or unknown.
        reason: Stable code, or `broken` or `silent`.
        body: Body of the answer.
        id: Id of the last sending.
        sendings: Number of sendings.
        retry_after_s: Delay asked for, in seconds.
    """

    status: int
    outcome: str
    reason: str
    body: bytes
    id: str
    sendings: int = 1
    retry_after_s: float = 0.0


class Caller:
    """Sends requests through entry instances.

    Attributes:
        lines: What was told, if no file is given.
    """

    def __init__(
        self,
        choose: Callable[[], str],
        rng: random.Random,
        record: str = "",
        token: str = "",
        wall_ms: Callable[[], int] = lambda: time.time_ns() // 1_000_000,
    ) -> None:
        self._choose = choose
        self._rng = rng
        self._token = token
        self._wall_ms = wall_ms
        self._file = (  # Kept open for the life of the caller.
            pathlib.Path(record).open("a", buffering=1) if record else None  # noqa: SIM115
        )
        self._session: aiohttp.ClientSession | None = None
        self.lines: list[dict[str, Any]] = []

    async def close(self) -> None:
        """Closes connections and the record."""
        if self._session is not None:
            await self._session.close()
        if self._file is not None:
            self._file.close()

    async def send(self, request: Request, patience_s: float = 10.0) -> Told:
        """Sends a request until its outcome is settled or patience ends."""
        until = time.monotonic() + patience_s
        request_id = self._make_id()
        begun_ns = time.clock_gettime_ns(time.CLOCK_MONOTONIC)
        first_id, unsure, sendings = request_id, False, 0
        while True:
            told = await self._send_once(request, request_id)
            sendings += 1
            unsure = unsure or told.outcome == UNKNOWN
            delay_s = self._compute_delay(told, sendings)
            settled = _is_settled(request, told)
            if settled or time.monotonic() + delay_s >= until:
                break
            await asyncio.sleep(delay_s)
            if request.repeatable:
                request_id = self._make_id()
        if unsure and told.outcome == NOT_RUN:
            # The last sending did not run, but an earlier one may have.
            told = told._replace(outcome=UNKNOWN)
        told = told._replace(sendings=sendings)
        self._write("final", request, told, begun_ns, first_id=first_id)
        return told

    def _make_id(self) -> str:
        return requestid.make_request_id(self._wall_ms(), self._rng)

    def _compute_delay(self, told: Told, sendings: int) -> float:
        backoff_s = min(_MAX_BACKOFF_S, _FIRST_BACKOFF_S * 2**sendings)
        return max(told.retry_after_s, self._rng.uniform(0, backoff_s))

    async def _send_once(self, request: Request, request_id: str) -> Told:
        begun_ns = time.clock_gettime_ns(time.CLOCK_MONOTONIC)
        told = await self._exchange(request, request_id)
        self._write("sending", request, told, begun_ns)
        return told

    async def _exchange(self, request: Request, request_id: str) -> Told:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0)
            )
            # A request that aiohttp repeats by itself would be missing in the
            # record. There is no public setting for it.
            self._session._retry_connection = False
        fields = {
            "Bamboosill-Customer": request.customer,
            "Bamboosill-Key": request.key,
            "Bamboosill-Deadline-Ms": str(request.deadline_ms),
            "Bamboosill-Request-Id": request_id,
            **dict(request.headers),
        }
        if self._token:
            fields["Authorization"] = f"Bearer {self._token}"
        try:
            async with asyncio.timeout(
                request.deadline_ms / 1000 + _PATIENCE_S
            ):
                async with self._session.request(
                    request.method,
                    f"http://{self._choose()}{request.path}",
                    data=request.body or None,
                    headers=fields,
                ) as response:
                    body = await response.read()
                    return _read_told(response, body, request_id)
        except aiohttp.ClientConnectorError:
            return Told(0, NOT_RUN, "connect", b"", request_id)
        except TimeoutError:
            # aiohttp closes the connection of a cancelled exchange.
            return Told(0, UNKNOWN, "silent", b"", request_id)
        except (aiohttp.ClientError, OSError):
            return Told(0, UNKNOWN, "broken", b"", request_id)

    def _write(
        self,
        kind: str,
        request: Request,
        told: Told,
        begun_ns: int,
        **more: Any,
    ) -> None:
        line = {
            "kind": kind,
            "id": told.id,
            "customer": request.customer,
            "key": request.key,
            "method": request.method,
            "path": request.path,
            "repeatable": request.repeatable,
            "status": told.status,
            "outcome": told.outcome,
            "reason": told.reason,
            "sendings": told.sendings,
            "body": _parse_body(told.body),
            "start_ns": begun_ns,
            "end_ns": time.clock_gettime_ns(time.CLOCK_MONOTONIC),
            **more,
        }
        if self._file is not None:
            self._file.write(json.dumps(line) + "\n")
        else:
            self.lines.append(line)


def _parse_body(body: bytes) -> Any:
    try:
        return json.loads(body)
    except ValueError:
        return None


def _is_settled(request: Request, told: Told) -> bool:
    if told.outcome == ANSWER or told.reason in _FINAL_REASONS:
        return True
    if told.outcome == NOT_RUN:
        return bool(told.status) and told.status not in _RESENT_STATUSES
    return False


def _read_told(
    response: aiohttp.ClientResponse, body: bytes, request_id: str
) -> Told:
    fields = response.headers
    echoed = fields.get("Bamboosill-Request-Id", request_id)
    outcome = fields.get("Bamboosill-Outcome", "")
    if echoed != request_id or outcome not in (ANSWER, NOT_RUN, UNKNOWN):
        return Told(response.status, UNKNOWN, "crossed", body, request_id)
    return Told(
        response.status,
        outcome,
        fields.get("Bamboosill-Reason", ""),
        body,
        request_id,
        retry_after_s=float(fields.get("Retry-After", "0")),
    )
