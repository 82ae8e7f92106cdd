"""Retry budget per service: bounds the load that retries and hedges add.

All entry instances share one limit. Each instance uses at most its share: a
fraction of its own recent requests, plus an equal split of the constant.
"""

import collections

from bamboosill_common import clock as clock_lib

# Fraction of the agreed limit that is used. The limit also counts requests
# that upstreams rejected, and the windows of the instances are not aligned.
_USABLE_FRACTION = 0.6


class RetryBudget:
    """Sliding window of the requests and retries of one service."""

    def __init__(
        self,
        clock: clock_lib.Clock,
        ratio: float,
        constant: float,
        window_s: float,
        started_s: float = float("-inf"),
    ) -> None:
        """Creates a budget without requests and retries.

        Args:
            clock: Source of time.
            ratio: Agreed retries as a fraction of requests.
            constant: Agreed retries beyond that, over all instances.
            window_s: Length of the window in seconds.
            started_s: Monotonic time at which the instance started. Its part of
                the constant may have been used in the window before that, by
                the process that it replaces.
        """
        self._clock = clock
        self._retries_per_request = ratio
        self._constant_retries = constant
        self._window_s = window_s
        self._constant_from_s = started_s + window_s
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def count_request(self) -> None:
        """Counts a new request of a caller."""
        now_s = self._clock.monotonic()
        self._requests.append(now_s)
        _drop_older(self._requests, now_s - self._window_s)

    def try_acquire(self, instances: int) -> bool:
        """Counts a retry and returns True if the budget allows it."""
        now_s = self._clock.monotonic()
        _drop_older(self._requests, now_s - self._window_s)
        _drop_older(self._retries, now_s - self._window_s)
        limit = self._retries_per_request * len(self._requests)
        if now_s >= self._constant_from_s:
            limit += self._constant_retries / instances
        if len(self._retries) + 1 > limit * _USABLE_FRACTION:
            return False
        self._retries.append(now_s)
        return True


def _drop_older(times: collections.deque[float], limit_s: float) -> None:
    while times and times[0] < limit_s:
        times.popleft()
