"""Limiter for one customer and service, independent of asyncio.

It decides from the times that its caller passes. The gate calls it from an
event loop with futures; the bench calls it with simulated time.
"""

import collections
from collections.abc import Callable
from typing import NamedTuple

from bamboosilld.admission import refusal
from bamboosilld.admission import token_bucket

# Weight of the newest service time in the moving average that predicts waits.
_SERVICE_TIME_GAIN = 0.1
# Service time assumed before any request has finished.
_INITIAL_SERVICE_TIME_S = 0.02


class Limits(NamedTuple):
    """Limits of one instance for one customer and service.

    Attributes:
        rate_per_s: Requests admitted per second.
        burst: Requests admitted at once after a pause.
        concurrency: Most requests in flight; 0 makes requests wait for a share.
        queue: Most requests waiting.
    """

    rate_per_s: float
    burst: float
    concurrency: int
    queue: int


DecisionCallback = Callable[["Ticket"], None]


class Ticket:
    """A request that was admitted or is waiting.

    Attributes:
        deadline_s: Monotonic time by which it must be admitted.
        admitted_s: Time of admission, or None while it waits.
        refused: The refusal, if it was refused after waiting.
    """

    __slots__ = ("admitted_s", "arrived_s", "deadline_s", "decided", "refused")

    def __init__(
        self,
        arrived_s: float,
        deadline_s: float,
        decided: DecisionCallback | None,
    ) -> None:
        self.arrived_s = arrived_s
        self.deadline_s = deadline_s
        self.decided = decided
        self.admitted_s: float | None = None
        self.refused: refusal.Refusal | None = None


class Limiter:
    """Token bucket, concurrency limit and bounded queue.

    Attributes:
        in_flight: Requests admitted and not released.
        arrivals: Requests since the counters were last reset.
        refusals: Requests refused since the counters were last reset.
        peak: Most requests in flight or waiting since then.
        last_wait_s: How long the last admitted request waited.
    """

    def __init__(self, limits: Limits, now_s: float) -> None:
        self.limits = limits
        self.in_flight = 0
        self.arrivals = 0
        self.refusals = 0
        self.peak = 0
        self.last_wait_s = 0.0
        self._bucket = token_bucket.Bucket(
            limits.rate_per_s, limits.burst, now_s
        )
        self._waiting: collections.deque[Ticket] = collections.deque()
        self._mean_service_s = _INITIAL_SERVICE_TIME_S

    def set_limits(self, limits: Limits, now_s: float) -> None:
        """Changes the limits; requests already admitted continue."""
        self.limits = limits
        self._bucket.set_limits(limits.rate_per_s, limits.burst, now_s)
        self.process_waiting(now_s)

    def request(
        self,
        now_s: float,
        deadline_s: float,
        decided: DecisionCallback | None = None,
    ) -> Ticket | refusal.Refusal:
        """Admits, queues or refuses a request at once.

        Args:
            now_s: Monotonic time.
            deadline_s: Monotonic time by which the request must be admitted.
            decided: Called when a queued request is admitted or refused.
        """
        self.process_waiting(now_s)
        self.arrivals += 1
        ticket = Ticket(now_s, deadline_s, decided)
        if not self._waiting and self._try_admit(ticket, now_s):
            self._update_peak()
            return ticket
        predicted_refusal = self._predict_refusal(now_s, deadline_s)
        if predicted_refusal is not None:
            self.refusals += 1
            return predicted_refusal
        self._waiting.append(ticket)
        self._update_peak()
        return ticket

    def release(self, now_s: float, service_s: float) -> None:
        """Ends an admitted request that took the given time."""
        self.in_flight -= 1
        self._mean_service_s += _SERVICE_TIME_GAIN * (
            service_s - self._mean_service_s
        )
        self.process_waiting(now_s)

    def cancel(self, ticket: Ticket) -> None:
        """Removes a waiting request whose caller has disconnected."""
        if ticket.admitted_s is None and ticket in self._waiting:
            self._waiting.remove(ticket)

    def close(self, reason: refusal.Refusal) -> None:
        """Refuses all waiting requests."""
        while self._waiting:
            self._refuse(self._waiting.popleft(), reason)

    def process_waiting(self, now_s: float) -> None:
        """Admits waiting requests, and refuses those past their deadline."""
        while self._waiting:
            ticket = self._waiting[0]
            if ticket.deadline_s <= now_s:
                self._waiting.popleft()
                self._refuse(ticket, self._explain_deadline(now_s))
            elif self._try_admit(ticket, now_s):
                self._waiting.popleft()
                if ticket.decided is not None:
                    ticket.decided(ticket)
            else:
                return

    def compute_wake_s(self, now_s: float) -> float | None:
        """Returns the time of the next possible decision, if any waits."""
        if not self._waiting:
            return None
        wake_s = min(item.deadline_s for item in self._waiting)
        if self.in_flight < self.limits.concurrency:
            wake_s = min(wake_s, now_s + self._bucket.compute_wait_s(now_s))
        return max(now_s, wake_s)

    def get_wait_s(self, now_s: float) -> float:
        """Returns how long the first waiting request has waited."""
        return now_s - self._waiting[0].arrived_s if self._waiting else 0.0

    def count_waiting(self) -> int:
        """Returns how many requests wait."""
        return len(self._waiting)

    def _try_admit(self, ticket: Ticket, now_s: float) -> bool:
        if self.in_flight >= self.limits.concurrency:
            return False
        if not self._bucket.try_take(now_s):
            return False
        self.in_flight += 1
        ticket.admitted_s = now_s
        self.last_wait_s = now_s - ticket.arrived_s
        return True

    def _refuse(self, ticket: Ticket, reason: refusal.Refusal) -> None:
        self.refusals += 1
        ticket.refused = reason
        if ticket.decided is not None:
            ticket.decided(ticket)

    def _update_peak(self) -> None:
        self.peak = max(self.peak, self.in_flight + len(self._waiting))

    def _compute_waits(self, now_s: float) -> tuple[float, float]:
        """Returns the expected waits for a token and for concurrency."""
        queued = len(self._waiting)
        token_s = self._bucket.compute_wait_s(now_s, queued)
        limit = self.limits.concurrency
        free_slots = limit - self.in_flight
        # With zero concurrency, requests wait for the next share: predicting
        # one service time for each of them keeps them from being refused.
        rounds = max(0, queued + 1 - free_slots) / max(1, limit)
        return token_s, rounds * self._mean_service_s

    def _predict_refusal(
        self, now_s: float, deadline_s: float
    ) -> refusal.Refusal | None:
        token_s, slot_s = self._compute_waits(now_s)
        wait_s = max(token_s, slot_s)
        is_rate_limited = token_s >= slot_s
        if len(self._waiting) >= self.limits.queue:
            if self.limits.queue > 0:
                detail = f"{self.limits.queue} requests already wait"
                return refusal.Refusal(refusal.QUEUE, detail, wait_s)
            reason = refusal.RATE if is_rate_limited else refusal.CONCURRENCY
            return refusal.Refusal(reason, "the contract's limit", wait_s)
        if now_s + wait_s > deadline_s:
            limit = "rate" if is_rate_limited else "concurrency"
            detail = (
                f"the {limit} limit allows it in {wait_s:.3f} s, after its"
                " deadline"
            )
            return refusal.Refusal(refusal.DEADLINE, detail, wait_s)
        return None

    def _explain_deadline(self, now_s: float) -> refusal.Refusal:
        wait_s = max(self._compute_waits(now_s))
        detail = "its deadline passed while it waited"
        return refusal.Refusal(refusal.DEADLINE, detail, wait_s)
