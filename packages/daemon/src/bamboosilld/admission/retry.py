"""Bounds retries, so that they cannot multiply an overload."""

import random

from bamboosill_common import clock as clock_module

BUDGET_PART = 0.1
# Requests and retries count half after this time.
HALF_LIFE_S = 10.0
# A customer with few requests may still retry this often per half-life;
# without it, a tenth of less than ten requests would allow none.
_LEAST_RETRIES = 1.0
BASE_S = 0.05
LONGEST_S = 2.0


class _Counts:
    def __init__(self, now_s: float) -> None:
        self.requests = 0.0
        self.retries = 0.0
        self._decayed_s = now_s

    def decay(self, now_s: float) -> None:
        """Ages both counts to the given time."""
        factor = 0.5 ** ((now_s - self._decayed_s) / HALF_LIFE_S)
        self.requests *= factor
        self.retries *= factor
        self._decayed_s = now_s


class Budget:
    """Allows retries up to a tenth of each customer's recent requests."""

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._counts: dict[str, _Counts] = {}

    def record_request(self, customer: str) -> None:
        """Counts a first attempt."""
        self._get(customer).requests += 1.0

    def try_retry(self, customer: str) -> bool:
        """Takes one retry from the budget; returns whether there was one."""
        counts = self._get(customer)
        allowed = max(_LEAST_RETRIES, BUDGET_PART * counts.requests)
        if counts.retries + 1.0 > allowed:
            return False
        counts.retries += 1.0
        return True

    def forget(self, customer: str) -> None:
        """Drops a customer whose contract has ended."""
        self._counts.pop(customer, None)

    def _get(self, customer: str) -> _Counts:
        now_s = self._clock.monotonic()
        counts = self._counts.get(customer)
        if counts is None:
            counts = self._counts[customer] = _Counts(now_s)
        counts.decay(now_s)
        return counts


def compute_backoff_s(attempt: int, rng: random.Random) -> float:
    """Returns the delay before a retry: exponential with full jitter.

    Args:
        attempt: Number of the retry, from 0.
        rng: Source of jitter.
    """
    return rng.uniform(0.0, min(LONGEST_S, BASE_S * 2.0 ** min(attempt, 16)))
