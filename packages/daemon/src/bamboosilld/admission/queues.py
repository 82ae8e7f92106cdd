"""Adaptive concurrency limit, circuit breaker and fair queue per upstream.

The limit follows additive increase, multiplicative decrease (AIMD): shed
responses halve it, and each round of successful responses adds one.
"""

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

# Most requests waiting for one upstream at one instance, per slot. More would
# only miss their deadlines.
_MAX_WAITING_PER_SLOT = 16
_LATENCY_GAIN = 0.1
_INITIAL_LATENCY_S = 0.02
_COLD = "cold"
# Interval at which the limit of a cold upstream doubles, so that its caches
# fill before it gets full load.
_COLD_DOUBLING_S = 5.0


class Slot:
    """The right to send one request to an upstream."""

    def __init__(self, queue: "UpstreamQueue") -> None:
        self._queue = queue
        self._released = False

    def release(self, outcome: str, latency_s: float) -> None:
        """Releases the slot; further calls have no effect.

        Args:
            outcome: `ok`, `shed` (rejected for overload), `failure` or
                `cancelled`.
            latency_s: Seconds from dispatch to the end of the response.
        """
        if not self._released:
            self._released = True
            self._queue.release(outcome, latency_s)


class UpstreamQueue:
    """Limits and queues the requests of one entry instance to one upstream.

    Attributes:
        upstream: Latest announcement of the upstream.
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
        self._mean_latency_s = _INITIAL_LATENCY_S
        self._started_s = clock.monotonic()
        self._limit = self._compute_initial_limit()
        self._responses_until_increase = self._limit
        self._last_decrease_s = -math.inf
        self._timer: asyncio.TimerHandle | None = None

    @property
    def limit(self) -> int:
        """Current limit of requests in flight."""
        limit = int(self._limit)
        if self.upstream.state == _COLD:
            age_s = self._clock.monotonic() - self._started_s
            limit = min(limit, int(2 ** min(age_s / _COLD_DOUBLING_S, 16)))
        return max(1, limit)

    def update(self, upstream: zone.Upstream) -> None:
        """Applies an announcement; a new incarnation resets the limits."""
        is_new_incarnation = upstream.incarnation != self.upstream.incarnation
        self.upstream = upstream
        if is_new_incarnation:
            self._started_s = self._clock.monotonic()
            self._limit = self._compute_initial_limit()
            self._responses_until_increase = self._limit
            self._breaker.reset()

    def request(
        self,
        customer: str,
        weight: float,
        traffic_class: str,
        deadline_s: float,
        decided: Callable[[fairness.Waiter], None] | None = None,
    ) -> fairness.Waiter | refusal.Refusal:
        """Dispatches, queues or refuses a request without waiting."""
        now_s = self._clock.monotonic()
        self.process_waiting()
        waiter = fairness.Waiter(
            customer, traffic_class, now_s, deadline_s, decided
        )
        if not self._waiting and self._can_dispatch(now_s):
            self._dispatch(waiter, now_s)
            return waiter
        decision = self._predict_refusal(now_s, waiter, weight)
        if decision is not None:
            return decision
        self._waiting.push(waiter, weight)
        if len(self._waiting) > self._compute_max_waiting():
            dropped = self._waiting.drop_newest_of_longest()
            detail = f"too many requests wait for {self.upstream.id}"
            queue_full = refusal.Refusal(
                refusal.QUEUE, detail, self._mean_latency_s
            )
            if dropped is waiter:
                return queue_full
            _refuse(dropped, queue_full)
        return waiter

    def release(self, outcome: str, latency_s: float) -> None:
        """Ends a dispatched request and dispatches waiting ones."""
        now_s = self._clock.monotonic()
        self.in_flight -= 1
        if outcome == SHED:
            self._decrease_limit(now_s)
        elif outcome == OK:
            self._mean_latency_s += _LATENCY_GAIN * (
                latency_s - self._mean_latency_s
            )
            self._increase_limit()
        # A shed response proves that the upstream is running.
        if outcome == FAILURE:
            self._breaker.record_failure(now_s)
        elif outcome != CANCELLED:
            self._breaker.record_success()
        else:
            self._breaker.record_cancelled()
        self.process_waiting()

    def process_waiting(self) -> None:
        """Dispatches waiting requests while allowed; refuses late ones."""
        now_s = self._clock.monotonic()
        while self._waiting and self._can_dispatch(now_s):
            waiter = self._waiting.pop()
            if waiter.deadline_s <= now_s:
                detail = f"its deadline passed waiting for {self.upstream.id}"
                deadline_refusal = refusal.Refusal(refusal.DEADLINE, detail)
                _refuse(waiter, deadline_refusal)
                continue
            self._dispatch(waiter, now_s)
            if waiter.decided is not None:
                waiter.decided(waiter)

    def cancel(self, waiter: fairness.Waiter) -> None:
        """Removes a waiting request whose caller has disconnected."""
        self._waiting.remove(waiter)

    def close(self) -> None:
        """Refuses all waiting requests because the upstream is gone."""
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
        """Returns the time of the next deadline or probe, if any wait."""
        if not self._waiting:
            return None
        wake_s = min(item.deadline_s for item in self._waiting)
        retry_s = self._breaker.get_retry_s(wake_s)
        # If the time has passed, a probe is in flight; its end calls
        # `process_waiting`.
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
        traffic_class: str,
        until: float,
    ) -> result.Result[Slot, refusal.Refusal]:
        """Waits until a request may be sent to the upstream.

        Args:
            customer: Name of the customer.
            weight: Its weight in fair queueing.
            traffic_class: `counter`, `wait` or `lag`.
            until: Monotonic time of the caller's deadline.
        """
        loop = asyncio.get_running_loop()
        future: asyncio.Future[None] = loop.create_future()

        def decide(_: fairness.Waiter) -> None:
            if not future.done():
                future.set_result(None)

        decision = self.request(customer, weight, traffic_class, until, decide)
        if isinstance(decision, refusal.Refusal):
            return result.Failure(decision)
        if not decision.dispatched and decision.refused is None:
            self._schedule_wake()
            try:
                await future
            except asyncio.CancelledError:
                if decision.dispatched:
                    self.release(CANCELLED, 0.0)
                self.cancel(decision)
                raise
        if decision.refused is not None:
            return result.Failure(decision.refused)
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

    def _schedule_wake(self) -> None:
        """Sets the timer for the next deadline or breaker probe."""
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
        self.process_waiting()
        self._schedule_wake()

    def _compute_initial_limit(self) -> float:
        count = max(1, self._instance_count())
        return max(1.0, self.upstream.slots / count)

    def _compute_max_limit(self) -> float:
        """Returns the upper bound of the limit.

        It is not split by instance, as one may get all callers; only the
        connections of the upstream are.
        """
        count = max(1, self._instance_count())
        per_instance = self.upstream.connections // count
        return max(1.0, min(self.upstream.slots, per_instance or 1))

    def _compute_max_waiting(self) -> int:
        return max(
            _MAX_WAITING_PER_SLOT, _MAX_WAITING_PER_SLOT * self.upstream.slots
        )

    def _can_dispatch(self, now_s: float) -> bool:
        return self.in_flight < self.limit and self._breaker.allows(now_s)

    def _dispatch(self, waiter: fairness.Waiter, now_s: float) -> None:
        self._breaker.record_dispatch(now_s)
        self.in_flight += 1
        waiter.dispatched = True

    def _predict_refusal(
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
        free_slots = self.limit - self.in_flight
        rounds = math.ceil(max(0, ahead + 1 - free_slots) / self.limit)
        wait_s = rounds * self._mean_latency_s
        if now_s + wait_s > waiter.deadline_s:
            detail = (
                f"{self.upstream.id} is free in {wait_s:.3f} s, after the"
                " deadline"
            )
            return refusal.Refusal(refusal.DEADLINE, detail, wait_s)
        return None

    def _decrease_limit(self, now_s: float) -> None:
        # One overload sheds many requests, but must halve the limit only once.
        if now_s - self._last_decrease_s >= self._mean_latency_s:
            self._limit = max(1.0, self._limit / 2)
            self._responses_until_increase = self._limit
            self._last_decrease_s = now_s

    def _increase_limit(self) -> None:
        """Raises the limit by one per round of responses, if it was reached."""
        self._responses_until_increase -= 1
        if self._responses_until_increase <= 0:
            if self._waiting or self.in_flight + 1 >= self.limit:
                self._limit = min(self._compute_max_limit(), self._limit + 1)
            self._responses_until_increase = self._limit


class Queues:
    """The queues of one entry instance, one per upstream."""

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
        """Returns the queue of an upstream, updated with its announcement."""
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
        """Removes an upstream that is gone and refuses its waiting requests."""
        queue = self._queues.pop(upstream_id, None)
        if queue is not None:
            queue.close()

    def get_longest_wait_s(self) -> float:
        """Returns the longest current wait for any upstream."""
        return max(
            (item.get_wait_s() for item in self._queues.values()), default=0.0
        )


def _refuse(waiter: fairness.Waiter, reason: refusal.Refusal) -> None:
    waiter.refused = reason
    if waiter.decided is not None:
        waiter.decided(waiter)
