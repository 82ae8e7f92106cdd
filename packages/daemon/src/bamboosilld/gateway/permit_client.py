"""Asks the leader for permits to send to upstreams with a rate limit.

While the leader cannot be reached, an instance grants itself a part of the
limit that is safe whatever other instances do.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
import weakref

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bamboosill_common import clock as clock_lib
from bamboosill_common import errors
from bamboosill_common import logs
from bamboosill_common import metrics
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import permits as permits_lib
from bamboosilld.gateway import load_balancing
from bamboosilld.gateway import rate_limit as rate_limit_lib

# A permit ends this long after it was asked for, so that an instance that was
# frozen does not send with permits from before.
_PERMIT_LIFETIME_S = 0.8
# Permits for requests expected within this time are asked for at once.
_DEMAND_AHEAD_S = 0.4
_MAX_WANTED = 8
# The same two times for cold upstreams: each takes few requests, so permits
# that wait for a request at one instance are missing at others.
_COLD_PERMIT_LIFETIME_S = 0.4
_COLD_DEMAND_AHEAD_S = 0.1
# Time after which the leader is asked again if it did not reply.
_FAILED_ASK_PAUSE_S = 0.5
# Fraction of an equal part of the limit that is used without the leader. All
# instances together use half of the limit, beside one that a leader grants.
_SELF_GRANTED_FRACTION = 0.5
# Permits of this part that callers may be told: all.
_MAX_TELLABLE = 1 << 30

_log = logs.get_logger("permits")

Ask = Callable[
    [messages.AcquirePermits],
    Awaitable[Result[messages.AcquirePermitsReply, errors.PeerError]],
]


class _Demand:
    """Requests for one limited upstream, and the question that is pending."""

    def __init__(self, now_s: float) -> None:
        self.requests = 0
        self.asked_s = now_s
        self.self_granted_s: float | None = None
        self.pending: asyncio.Task[None] | None = None


class PermitClient:
    """Acquires permits for the requests of one entry instance."""

    def __init__(
        self,
        instance: str,
        ask: Ask,
        get_entry_count: Callable[[], int],
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        self._instance = instance
        self._ask_leader = ask
        self._get_entry_count = get_entry_count
        self._clock = clock
        self._rng = rng
        self._demands: weakref.WeakKeyDictionary[
            load_balancing.Upstream, _Demand
        ] = weakref.WeakKeyDictionary()
        self._reports: set[asyncio.Task[None]] = set()

    async def acquire(
        self, upstream: load_balancing.Upstream, timeout_s: float
    ) -> bool:
        """Returns whether a request may be sent to an upstream now.

        Asks the leader if there is no permit, unless it said to wait.
        Concurrent calls share one question.
        """
        limit = upstream.rate_limit
        if limit.rate_per_s is None:
            return True
        now_s = self._clock.monotonic()
        demand = self._demands.setdefault(upstream, _Demand(now_s))
        demand.requests += 1
        if limit.has_permit():
            return True
        if demand.pending is None:
            if not limit.may_ask():
                return False
            demand.pending = asyncio.create_task(self._ask(upstream, demand))
        await asyncio.wait([demand.pending], timeout=timeout_s)
        return limit.has_permit()

    def report(self, upstream: load_balancing.Upstream) -> None:
        """Tells the leader a changed limit, for it to tell the others."""
        task = asyncio.create_task(self._report(upstream))
        self._reports.add(task)
        task.add_done_callback(self._reports.discard)

    async def _report(self, upstream: load_balancing.Upstream) -> None:
        asked_s = self._clock.monotonic()
        match await self._ask_leader(self._make_request(upstream, 0)):
            case Success(reply):
                now_s = self._clock.monotonic()
                upstream.rate_limit.apply(reply.limit, now_s, asked_s)
            case Failure(error):
                # The next question for a permit carries the limit as well.
                _log.info(
                    "Rate limit not reported. Upstream: %s. Reason: %s.",
                    upstream.item.upstream,
                    error.code,
                )

    async def _ask(
        self, upstream: load_balancing.Upstream, demand: _Demand
    ) -> None:
        asked_s = self._clock.monotonic()
        wanted = self._estimate_wanted(
            demand, asked_s, upstream.rate_limit.is_cold
        )
        demand.requests, demand.asked_s = 0, asked_s
        try:
            result = await self._ask_leader(
                self._make_request(upstream, wanted)
            )
        finally:
            demand.pending = None
        match result:
            case Success(reply):
                demand.self_granted_s = None
                self._apply_reply(upstream, reply, asked_s)
            case Failure(error):
                metrics.gateway_permits.labels("failure").inc()
                self._grant_self(upstream, demand, error.code)

    def _estimate_wanted(
        self, demand: _Demand, now_s: float, is_cold: bool
    ) -> int:
        ahead_s = _COLD_DEMAND_AHEAD_S if is_cold else _DEMAND_AHEAD_S
        elapsed_s = max(_DEMAND_AHEAD_S, now_s - demand.asked_s)
        expected = demand.requests / elapsed_s * ahead_s
        return max(1, min(_MAX_WANTED, round(expected)))

    def _make_request(
        self, upstream: load_balancing.Upstream, wanted: int
    ) -> messages.AcquirePermits:
        limit, item = upstream.rate_limit, upstream.item
        rate_per_s = limit.stated_per_s
        age_s = self._clock.monotonic() - limit.observed_s
        return messages.AcquirePermits(
            self._instance,
            messages.UpstreamLimit(
                item.upstream,
                item.born_ms,
                permits_lib.NO_LIMIT if rate_per_s is None else rate_per_s,
                permits_lib.encode_age(age_s),
            ),
            wanted,
        )

    def _apply_reply(
        self,
        upstream: load_balancing.Upstream,
        reply: messages.AcquirePermitsReply,
        asked_s: float,
    ) -> None:
        now_s = self._clock.monotonic()
        limit = upstream.rate_limit
        limit.apply(reply.limit, now_s, asked_s)
        if limit.rate_per_s is None:
            return
        if not limit.was_cold_since(asked_s):
            limit.add_permits(reply.granted, asked_s + _get_lifetime_s(limit))
        limit.set_next_permit(
            now_s + reply.next_permit_ms / 1000,
            now_s + reply.ask_again_ms / 1000,
            reply.tellable,
            1 / _bound_rate(limit.rate_per_s),
        )
        metrics.gateway_permits.labels(
            "granted" if reply.granted else "refused"
        ).inc()

    def _grant_self(
        self, upstream: load_balancing.Upstream, demand: _Demand, error: str
    ) -> None:
        """Grants a permit of this instance's own part, if one is due."""
        limit = upstream.rate_limit
        if limit.rate_per_s is None:
            return
        now_s = self._clock.monotonic()
        part = _SELF_GRANTED_FRACTION / self._get_entry_count()
        interval_s = 1 / (_bound_rate(limit.rate_per_s) * part)
        if demand.self_granted_s is None:
            # Instances that lose the leader together start at different times.
            _log.info(
                "No leader for permits. Upstream: %s. Reason: %s.",
                upstream.item.upstream,
                error,
            )
            demand.self_granted_s = now_s - self._rng.uniform(0.0, interval_s)
        if now_s >= demand.self_granted_s + interval_s:
            demand.self_granted_s = now_s
            limit.add_permits(1, now_s + _get_lifetime_s(limit))
        limit.set_next_permit(
            demand.self_granted_s + interval_s,
            now_s + _FAILED_ASK_PAUSE_S,
            _MAX_TELLABLE,
            interval_s,
        )


def _get_lifetime_s(limit: rate_limit_lib.RateLimit) -> float:
    return _COLD_PERMIT_LIFETIME_S if limit.is_cold else _PERMIT_LIFETIME_S


def _bound_rate(rate_per_s: float) -> float:
    return max(permits_lib.MIN_RATE_PER_S, rate_per_s)
