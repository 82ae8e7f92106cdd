"""Calls from the leader of the control group to upstreams.

A call grants keys to an upstream or releases them. The format of calls is the
platform's.
"""

import asyncio
from collections.abc import Callable
import enum
from typing import NamedTuple
from typing import Protocol

from bamboosill_common import clock as clock_lib
from bamboosill_common import metrics
from bamboosill_common.generated import fleet as messages
from bamboosilld import memory_account
from bamboosilld.fleet import state as state_lib
from bamboosilld.gateway import upstream_connection as upstream_connection_lib

# The answer to a call is short; its handover data is a header.
_MAX_RESPONSE_BYTES = 128 * 1024
# Bytes that an upstream has not acknowledged are no longer sent after this
# time, also while this process is paused.
_USER_TIMEOUT_MS = 600
# A call that was given up must not arrive any more: a link that was down would
# carry it seconds later.
_CONNECTION_OPTIONS = upstream_connection_lib.Options(
    user_timeout_ms=_USER_TIMEOUT_MS, trusts_order=True, discards_on_close=True
)
# Several round trips between zones.
GRANT_TIMEOUT_S = 0.4
# Longest time from when a call is written until it has arrived, if it does.
MAX_DELAY_S = max(GRANT_TIMEOUT_S, _USER_TIMEOUT_MS / 1000)
_CONFLICT = 409
_MISDIRECTED = 421

# Called immediately before a call is written: returns whether it may be sent.
MaySend = Callable[[], bool]


class Outcome(enum.Enum):
    """What the caller of an upstream knows of a call.

    `UNKNOWN` calls may be carried out late, `UNSENT` ones never.
    """

    DONE = "done"
    # A higher fence was seen on a key of the call.
    REFUSED = "refused"
    UNSENT = "unsent"
    UNKNOWN = "unknown"


class Result(NamedTuple):
    """Outcome of a call.

    Attributes:
        outcome: What is known of it.
        detail: Status of the response, or why there is none.
        handover: Handover data of released keys.
    """

    outcome: Outcome
    detail: str
    handover: str = ""


class CallFormat(Protocol):
    """Encodes calls to upstreams and decodes their responses."""

    def format_grant(
        self,
        upstream: messages.UpstreamItem,
        grant: messages.KeyRange,
        lease_s: float,
    ) -> bytes:
        """Returns the HTTP request that grants keys for a time."""

    def format_release(
        self, upstream: messages.UpstreamItem, part: messages.KeyRange
    ) -> bytes:
        """Returns the HTTP request that takes keys back."""

    def read_handover(
        self, response: upstream_connection_lib.UpstreamResponse
    ) -> str:
        """Returns the handover data in the response to a release, or ""."""


class CallClient(Protocol):
    """Calls upstreams."""

    async def grant(
        self,
        upstream: messages.UpstreamItem,
        grant: messages.KeyRange,
        lease_s: float,
        may_send: MaySend,
    ) -> Result:
        """Grants keys for a time that counts from the call's arrival."""

    async def release(
        self,
        upstream: messages.UpstreamItem,
        part: messages.KeyRange,
        timeout_s: float,
        may_send: MaySend,
    ) -> Result:
        """Takes keys back; done when the work on them has ended."""

    def retain(self, kept: set[state_lib.UpstreamIncarnation]) -> None:
        """Closes the connections to all other upstreams."""


class HttpCallClient:
    """Calls upstreams over HTTP, on connections that are kept open."""

    def __init__(
        self, call_format: CallFormat, clock: clock_lib.Clock, local_host: str
    ) -> None:
        self._format = call_format
        self._clock = clock
        self._local_host = local_host
        self._pools: dict[
            tuple[state_lib.UpstreamIncarnation, str],
            upstream_connection_lib.Pool,
        ] = {}

    async def grant(
        self,
        upstream: messages.UpstreamItem,
        grant: messages.KeyRange,
        lease_s: float,
        may_send: MaySend,
    ) -> Result:
        """Grants keys for a time that counts from the call's arrival."""
        data = self._format.format_grant(upstream, grant, lease_s)
        result, _ = await self._call(
            "grant", upstream, data, GRANT_TIMEOUT_S, may_send
        )
        return result

    async def release(
        self,
        upstream: messages.UpstreamItem,
        part: messages.KeyRange,
        timeout_s: float,
        may_send: MaySend,
    ) -> Result:
        """Takes keys back; done when the work on them has ended."""
        data = self._format.format_release(upstream, part)
        result, response = await self._call(
            "release", upstream, data, timeout_s, may_send
        )
        if response is None or result.outcome is not Outcome.DONE:
            return result
        return result._replace(handover=self._format.read_handover(response))

    def retain(self, kept: set[state_lib.UpstreamIncarnation]) -> None:
        """Closes the connections to all other upstreams."""
        for key in list(self._pools):
            incarnation, _ = key
            if incarnation not in kept:
                self._pools.pop(key).close_idle()

    async def _call(
        self,
        name: str,
        upstream: messages.UpstreamItem,
        data: bytes,
        timeout_s: float,
        may_send: MaySend,
    ) -> tuple[Result, upstream_connection_lib.UpstreamResponse | None]:
        started_s = self._clock.monotonic()
        response = None
        try:
            pool = self._get_pool(upstream)
            connection = await pool.acquire()
        except upstream_connection_lib.ExchangeError as error:
            result = Result(Outcome.UNSENT, error.code)
        except ValueError as error:
            # Earlier versions registered any address.
            result = Result(Outcome.UNSENT, str(error))
        else:
            try:
                if may_send():
                    async with asyncio.timeout(timeout_s):
                        response = await connection.exchange(
                            data,
                            b"",
                            hold=memory_account.MemoryAccount(
                                _MAX_RESPONSE_BYTES
                            ).open(),
                        )
                    result = _classify(response.status)
                else:
                    result = Result(Outcome.UNSENT, "not leading or revoked")
            except upstream_connection_lib.ExchangeError as error:
                outcome = Outcome.UNKNOWN if error.sent else Outcome.UNSENT
                result = Result(outcome, error.code)
            except TimeoutError:
                result = Result(Outcome.UNKNOWN, "timeout")
            finally:
                pool.release(connection)
        metrics.fleet_key_calls.labels(name, result.outcome.value).inc()
        metrics.fleet_key_call_duration.labels(name).observe(
            self._clock.monotonic() - started_s
        )
        return result, response

    def _get_pool(
        self, upstream: messages.UpstreamItem
    ) -> upstream_connection_lib.Pool:
        incarnation = state_lib.UpstreamIncarnation(
            upstream.upstream, upstream.born_ms
        )
        key = incarnation, upstream.address
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = upstream_connection_lib.Pool(
                upstream.address,
                b"",
                self._local_host,
                _CONNECTION_OPTIONS,
            )
        return pool


def _classify(status: int) -> Result:
    detail = f"status {status}"
    if 200 <= status < 300:
        return Result(Outcome.DONE, detail)
    if status == _CONFLICT:
        return Result(Outcome.REFUSED, detail)
    if status == _MISDIRECTED:
        # Another upstream has the address.
        return Result(Outcome.UNSENT, detail)
    return Result(Outcome.UNKNOWN, detail)
