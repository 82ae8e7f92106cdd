"""Stand-in for a caller, which resends by the rules of docs/callers.md."""

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
# Wait after the deadline of a request, at which an entry instance answers.
_RESPONSE_GRACE_S = 0.5
_MAX_BACKOFF_S = 1.0
_INITIAL_BACKOFF_S = 0.05
# After these reasons, another attempt cannot change the outcome.
_FINAL_REASONS = frozenset(
    {
        "id-too-old",
        "id-below-floor",
        "id-reused",
        "quarantined",
        "begun-unknown",
    }
)
_RETRIED_STATUSES = frozenset({425, 429, 503, 504})


class Request(NamedTuple):
    """One logical request, which may take several attempts."""

    method: str
    path: str
    customer: str
    key: str
    body: bytes = b""
    deadline_ms: int = 2000
    repeatable: bool = True
    headers: tuple[tuple[str, str], ...] = ()


class RequestResult(NamedTuple):
    """Outcome of one attempt, or of a request after its last attempt.

    Attributes:
        status: HTTP status, or 0 if there was no complete answer.
        outcome: answer, not-run or unknown.
        reason: Reason code of the answer, or `connect`, `silent`, `broken` or
            `crossed` for a failure that the caller itself detected.
        body: Body of the answer.
        id: Request id of the last attempt.
        sendings: Number of attempts.
        retry_after_s: Delay in seconds that the answer asks for.
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
        lines: Recorded lines, if no file is given.
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
        self._file = (  # Closed by `close`.
            pathlib.Path(record).open("a", buffering=1) if record else None  # noqa: SIM115
        )
        self._session: aiohttp.ClientSession | None = None
        self.lines: list[dict[str, Any]] = []

    async def close(self) -> None:
        """Closes the connections and the record."""
        if self._session is not None:
            await self._session.close()
        if self._file is not None:
            self._file.close()

    async def send(
        self, request: Request, timeout_s: float = 10.0
    ) -> RequestResult:
        """Sends a request until its outcome is settled or the time is over."""
        deadline_s = time.monotonic() + timeout_s
        request_id = self._make_id()
        start_ns = time.clock_gettime_ns(time.CLOCK_MONOTONIC)
        first_id, may_have_run, attempts = request_id, False, 0
        while True:
            result = await self._send_once(request, request_id)
            attempts += 1
            may_have_run = may_have_run or result.outcome == UNKNOWN
            delay_s = self._compute_delay(result, attempts)
            settled = _is_settled(request, result)
            if settled or time.monotonic() + delay_s >= deadline_s:
                break
            await asyncio.sleep(delay_s)
            if request.repeatable:
                request_id = self._make_id()
        if may_have_run and result.outcome == NOT_RUN:
            # The last attempt did not run, but an earlier one may have.
            result = result._replace(outcome=UNKNOWN)
        result = result._replace(sendings=attempts)
        self._record("final", request, result, start_ns, first_id=first_id)
        return result

    def _make_id(self) -> str:
        return requestid.make_request_id(self._wall_ms(), self._rng)

    def _compute_delay(self, result: RequestResult, attempts: int) -> float:
        backoff_s = min(_MAX_BACKOFF_S, _INITIAL_BACKOFF_S * 2**attempts)
        return max(result.retry_after_s, self._rng.uniform(0, backoff_s))

    async def _send_once(
        self, request: Request, request_id: str
    ) -> RequestResult:
        start_ns = time.clock_gettime_ns(time.CLOCK_MONOTONIC)
        result = await self._send_attempt(request, request_id)
        self._record("sending", request, result, start_ns)
        return result

    async def _send_attempt(
        self, request: Request, request_id: str
    ) -> RequestResult:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0)
            )
            # Disables the automatic retries of aiohttp, which the record would
            # miss. There is no public setting for this.
            self._session._retry_connection = False
        headers = {
            "Bamboosill-Customer": request.customer,
            "Bamboosill-Key": request.key,
            "Bamboosill-Deadline-Ms": str(request.deadline_ms),
            "Bamboosill-Request-Id": request_id,
            **dict(request.headers),
        }
        if self._token:
            headers["Authorization"] = f"Bearer {self._token}"
        try:
            async with asyncio.timeout(
                request.deadline_ms / 1000 + _RESPONSE_GRACE_S
            ):
                async with self._session.request(
                    request.method,
                    f"http://{self._choose()}{request.path}",
                    data=request.body or None,
                    headers=headers,
                ) as response:
                    body = await response.read()
                    return _parse_response(response, body, request_id)
        except aiohttp.ClientConnectorError:
            return RequestResult(0, NOT_RUN, "connect", b"", request_id)
        except TimeoutError:
            # aiohttp closes the connection of a cancelled request.
            return RequestResult(0, UNKNOWN, "silent", b"", request_id)
        except (aiohttp.ClientError, OSError):
            return RequestResult(0, UNKNOWN, "broken", b"", request_id)

    def _record(
        self,
        kind: str,
        request: Request,
        result: RequestResult,
        start_ns: int,
        **extra_fields: Any,
    ) -> None:
        line = {
            "kind": kind,
            "id": result.id,
            "customer": request.customer,
            "key": request.key,
            "method": request.method,
            "path": request.path,
            "repeatable": request.repeatable,
            "status": result.status,
            "outcome": result.outcome,
            "reason": result.reason,
            "sendings": result.sendings,
            "body": _parse_body(result.body),
            "start_ns": start_ns,
            "end_ns": time.clock_gettime_ns(time.CLOCK_MONOTONIC),
            **extra_fields,
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


def _is_settled(request: Request, result: RequestResult) -> bool:
    if result.outcome == ANSWER or result.reason in _FINAL_REASONS:
        return True
    if result.outcome == NOT_RUN:
        return bool(result.status) and result.status not in _RETRIED_STATUSES
    return False


def _parse_response(
    response: aiohttp.ClientResponse, body: bytes, request_id: str
) -> RequestResult:
    headers = response.headers
    echoed = headers.get("Bamboosill-Request-Id", request_id)
    outcome = headers.get("Bamboosill-Outcome", "")
    if echoed != request_id or outcome not in (ANSWER, NOT_RUN, UNKNOWN):
        return RequestResult(
            response.status, UNKNOWN, "crossed", body, request_id
        )
    return RequestResult(
        response.status,
        outcome,
        headers.get("Bamboosill-Reason", ""),
        body,
        request_id,
        retry_after_s=float(headers.get("Retry-After", "0")),
    )
