"""Adaptive concurrency, circuit breaker and fair queue per upstream."""

import asyncio
from collections.abc import Callable
import math
import random

from returns import result

from bamboosill_common import clock as clock_module
from bamboosill_common.generated import zone
from bamboosilld.admission import breaker
from bamboosilld.admission import fairness
from bamboosilld.admission import refusal

OK = "ok"
SHED = "shed"
FAILURE = "failure"
CANCELLED = "cancelled"

# Requests that may wait for one upstream at one instance, per slot. More
# would only wait past their deadlines.
_WAITING_PER_SLOT = 16
_LATENCY_SMOOTHING = 0.1
_FIRST_LATENCY_S = 0.02
_COLD = "cold"
# A cold upstream may double its requests in flight this often, so that its
# caches fill before it gets full load.
_COLD_DOUBLING_S = 5.0


class Slot:
    """The right to send one request to an upstream."""

    def __init__(self, queue: "UpstreamQueue") -> None:
        self._queue = queue
        self._released = False

    def release(self, outcome: str, latency_s: float) -> None:
        """Ends the request; further calls have no effect.

        Args:
            outcome: `ok`, `shed`, `failure` or `cancelled`.
            latency_s: Seconds from dispatch to the end of the answer.
        """
        if not self._released:
            self._released = True
            self._queue.release(outcome, latency_s)


class UpstreamQueue:
    """Requests of one entry instance to one upstream.

    Attributes:
        upstream: Last announcement of the upstream.
        in_flight: Requests dispatched and not released.
    """

    def __init__(
        self,
        upstream: zone.Upstream,
        clock: clock_module.Clock,
        rng: random.Random,
        instance_count: Callable[[], int],
    ) -> None:
        self.upstream = upstream
        self.in_flight = 0
        self._clock = clock
        self._instance_count = instance_count
        self._breaker = breaker.Breaker(rng)
        self._waiting = fairness.FairQueue()
        self._latency_s = _FIRST_LATENCY_S
        self._since_s = clock.monotonic()
        self._limit = self._compute_start()
        self._left_in_round = self._limit
        self._shed_s = -math.inf
        self._timer: asyncio.TimerHandle | None = None

    @property
    def limit(self) -> int:
        """Requests that may be in flight now."""
        limit = int(self._limit)
        if self.upstream.state == _COLD:
            age_s = self._clock.monotonic() - self._since_s
            limit = min(limit, int(2 ** min(age_s / _COLD_DOUBLING_S, 16)))
        return max(1, limit)

    def update(self, upstream: zone.Upstream) -> None:
        """Takes a new announcement; a new incarnation starts afresh."""
        fresh = upstream.incarnation != self.upstream.incarnation
        self.upstream = upstream
        if fresh:
            self._since_s = self._clock.monotonic()
            self._limit = self._compute_start()
            self._left_in_round = self._limit
            self._breaker.reset()

    def request(
        self,
        customer: str,
        weight: float,
        class_: str,
        deadline_s: float,
        decided: Callable[[fairness.Waiter], None] | None = None,
    ) -> fairness.Waiter | refusal.Refusal:
        """Dispatches, queues or refuses a request without waiting."""
        now_s = self._clock.monotonic()
        self.pump()
        waiter = fairness.Waiter(customer, class_, now_s, deadline_s, decided)
        if not self._waiting and self._has_room(now_s):
            self._dispatch(waiter, now_s)
            return waiter
        answer = self._find_refusal(now_s, waiter, weight)
        if answer is not None:
            return answer
        self._waiting.push(waiter, weight)
        if len(self._waiting) > self._compute_bound():
            dropped = self._waiting.drop_excess()
            detail = f"too many requests wait for {self.upstream.id}"
            full = refusal.Refusal(refusal.QUEUE, detail, self._latency_s)
            if dropped is waiter:
                return full
            _refuse(dropped, full)
        return waiter

    def release(self, outcome: str, latency_s: float) -> None:
        """Ends a dispatched request and dispatches waiting ones."""
        now_s = self._clock.monotonic()
        self.in_flight -= 1
        if outcome == SHED:
            self._shrink(now_s)
        elif outcome == OK:
            self._latency_s += _LATENCY_SMOOTHING * (
                latency_s - self._latency_s
            )
            self._grow()
        # A shed answer shows that the upstream lives.
        if outcome == FAILURE:
            self._breaker.note_failure(now_s)
        elif outcome != CANCELLED:
            self._breaker.note_success()
        else:
            self._breaker.note_nothing()
        self.pump()

    def pump(self) -> None:
        """Dispatches what may be dispatched; refuses what is too late."""
        now_s = self._clock.monotonic()
        while self._waiting and self._has_room(now_s):
            waiter = self._waiting.pop()
            if waiter.deadline_s <= now_s:
                detail = f"its deadline passed waiting for {self.upstream.id}"
                late = refusal.Refusal(refusal.DEADLINE, detail)
                _refuse(waiter, late)
                continue
            self._dispatch(waiter, now_s)
            if waiter.decided is not None:
                waiter.decided(waiter)

    def cancel(self, waiter: fairness.Waiter) -> None:
        """Removes a waiting request whose caller has gone."""
        self._waiting.remove(waiter)

    def close(self) -> None:
        """Refuses all that wait, since the upstream has gone."""
        detail = f"{self.upstream.id} is gone"
        while self._waiting:
            waiter = self._waiting.pop()
            _refuse(waiter, refusal.Refusal(refusal.CLOSED, detail))

    def get_wait_s(self) -> float:
        """Returns how long the oldest waiting request has waited."""
        oldest_s = min((item.arrived_s for item in self._waiting), default=None)
        if oldest_s is None:
            return 0.0
        return self._clock.monotonic() - oldest_s

    def compute_wake_s(self) -> float | None:
        """Returns when waiting requests need attention, if any wait."""
        if not self._waiting:
            return None
        wake_s = min(item.deadline_s for item in self._waiting)
        retry_s = self._breaker.get_retry_s(wake_s)
        # A time that has passed belongs to a trial that is still running.
        if retry_s <= self._clock.monotonic():
            return wake_s
        return min(wake_s, retry_s)

    def count_waiting(self) -> int:
        """Returns how many requests wait."""
        return len(self._waiting)

    async def acquire(
        self,
        customer: str,
        weight: float,
        class_: str,
        deadline_s_absolute: float,
    ) -> result.Result[Slot, refusal.Refusal]:
        """Waits for the turn of a request.

        Args:
            customer: Name of the customer.
            weight: Its share when the upstream is short of slots.
            class_: `counter`, `wait` or `lag`.
            deadline_s_absolute: Monotonic time of the caller's deadline.
        """
        loop = asyncio.get_running_loop()
        future: asyncio.Future[None] = loop.create_future()

        def decide(_: fairness.Waiter) -> None:
            if not future.done():
                future.set_result(None)

        answer = self.request(
            customer, weight, class_, deadline_s_absolute, decide
        )
        if isinstance(answer, refusal.Refusal):
            return result.Failure(answer)
        if not answer.dispatched and answer.refused is None:
            self._arm()
            try:
                await future
            except asyncio.CancelledError:
                if answer.dispatched:
                    self.release(CANCELLED, 0.0)
                self.cancel(answer)
                raise
        if answer.refused is not None:
            return result.Failure(answer.refused)
        return result.Success(Slot(self))

    def expire(self) -> None:
        """Refuses waiting requests whose deadline has passed."""
        now_s = self._clock.monotonic()
        detail = f"its deadline passed waiting for {self.upstream.id}"
        for waiter in [
            item for item in self._waiting if item.deadline_s <= now_s
        ]:
            self._waiting.remove(waiter)
            _refuse(waiter, refusal.Refusal(refusal.DEADLINE, detail))

    def _arm(self) -> None:
        """Sets the timer that expires waiting requests."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        wake_s = self.compute_wake_s()
        if wake_s is not None:
            delay_s = max(0.0, wake_s - self._clock.monotonic())
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self._wake)

    def _wake(self) -> None:
        self.expire()
        self.pump()
        self._arm()

    def _compute_start(self) -> float:
        count = max(1, self._instance_count())
        return max(1.0, self.upstream.slots / count)

    def _compute_most(self) -> float:
        """One instance may need all slots when all callers come to it."""
        count = max(1, self._instance_count())
        per_instance = self.upstream.connections // count
        return max(1.0, min(self.upstream.slots, per_instance or 1))

    def _compute_bound(self) -> int:
        return max(_WAITING_PER_SLOT, _WAITING_PER_SLOT * self.upstream.slots)

    def _has_room(self, now_s: float) -> bool:
        return self.in_flight < self.limit and self._breaker.allows(now_s)

    def _dispatch(self, waiter: fairness.Waiter, now_s: float) -> None:
        self._breaker.note_dispatch(now_s)
        self.in_flight += 1
        waiter.dispatched = True

    def _find_refusal(
        self, now_s: float, waiter: fairness.Waiter, weight: float
    ) -> refusal.Refusal | None:
        retry_s = self._breaker.get_retry_s(now_s)
        if retry_s > now_s and not self._breaker.allows(now_s):
            wait_s = retry_s - now_s
            detail = f"{self.upstream.id} failed repeatedly"
            return refusal.Refusal(refusal.BREAKER, detail, wait_s)
        ahead = self._waiting.count_ahead(
            waiter.class_, waiter.customer, weight
        )
        free = self.limit - self.in_flight
        turns = math.ceil(max(0, ahead + 1 - free) / self.limit)
        wait_s = turns * self._latency_s
        if now_s + wait_s > waiter.deadline_s:
            detail = (
                f"{self.upstream.id} is free in {wait_s:.3f} s, after the"
                " deadline"
            )
            return refusal.Refusal(refusal.DEADLINE, detail, wait_s)
        return None

    def _shrink(self, now_s: float) -> None:
        # One overload sheds many requests; it halves the limit once.
        if now_s - self._shed_s >= self._latency_s:
            self._limit = max(1.0, self._limit / 2)
            self._left_in_round = self._limit
            self._shed_s = now_s

    def _grow(self) -> None:
        """Adds one after as many answers as the limit, if it was needed."""
        self._left_in_round -= 1
        if self._left_in_round <= 0:
            if self._waiting or self.in_flight + 1 >= self.limit:
                self._limit = min(self._compute_most(), self._limit + 1)
            self._left_in_round = self._limit


class Queues:
    """The queues of one entry instance, by upstream."""

    def __init__(
        self,
        clock: clock_module.Clock,
        rng: random.Random,
        instance_count: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._instance_count = instance_count
        self._queues: dict[str, UpstreamQueue] = {}

    def get(self, upstream: zone.Upstream) -> UpstreamQueue:
        """Returns the queue of an upstream, updated to its announcement."""
        queue = self._queues.get(upstream.id)
        if queue is None:
            queue = UpstreamQueue(
                upstream, self._clock, self._rng, self._instance_count
            )
            self._queues[upstream.id] = queue
        elif queue.upstream is not upstream:
            queue.update(upstream)
        return queue

    def drop(self, upstream_id: str) -> None:
        """Forgets an upstream that is gone; refuses what waits for it."""
        queue = self._queues.pop(upstream_id, None)
        if queue is not None:
            queue.close()

    def get_longest_wait_s(self) -> float:
        """Returns the longest present wait for any upstream."""
        return max(
            (item.get_wait_s() for item in self._queues.values()), default=0.0
        )


def _refuse(waiter: fairness.Waiter, reason: refusal.Refusal) -> None:
    waiter.refused = reason
    if waiter.decided is not None:
        waiter.decided(waiter)
