"""Retry budget and backoff, so that retries cannot amplify an overload."""

import random

from bamboosill_common import clock as clock_module

BUDGET_RATIO = 0.1
# Half-life of the counts of requests and retries.
HALF_LIFE_S = 10.0
# Retries that are always allowed per half-life: otherwise a customer with fewer
# than ten recent requests could never retry.
_MIN_RETRIES = 1.0
BASE_DELAY_S = 0.05
MAX_DELAY_S = 2.0


class _DecayingCounts:
    def __init__(self, now_s: float) -> None:
        self.requests = 0.0
        self.retries = 0.0
        self._last_decay_s = now_s

    def decay(self, now_s: float) -> None:
        """Decays both counts to the given time."""
        factor = 0.5 ** ((now_s - self._last_decay_s) / HALF_LIFE_S)
        self.requests *= factor
        self.retries *= factor
        self._last_decay_s = now_s


class RetryBudget:
    """Allows retries up to a tenth of each customer's recent requests."""

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._counts: dict[str, _DecayingCounts] = {}

    def record_request(self, customer: str) -> None:
        """Counts a first attempt."""
        self._get_decayed(customer).requests += 1.0

    def try_retry(self, customer: str) -> bool:
        """Counts a retry and returns True if the budget allows it."""
        counts = self._get_decayed(customer)
        allowed = max(_MIN_RETRIES, BUDGET_RATIO * counts.requests)
        if counts.retries + 1.0 > allowed:
            return False
        counts.retries += 1.0
        return True

    def forget(self, customer: str) -> None:
        """Removes a customer whose contract has ended."""
        self._counts.pop(customer, None)

    def _get_decayed(self, customer: str) -> _DecayingCounts:
        now_s = self._clock.monotonic()
        counts = self._counts.get(customer)
        if counts is None:
            counts = self._counts[customer] = _DecayingCounts(now_s)
        counts.decay(now_s)
        return counts


def compute_backoff_s(attempt: int, rng: random.Random) -> float:
    """Returns the delay before a retry: exponential with full jitter.

    Args:
        attempt: Number of the retry, from 0.
        rng: Source of jitter.
    """
    return rng.uniform(
        0.0, min(MAX_DELAY_S, BASE_DELAY_S * 2.0 ** min(attempt, 16))
    )
