"""Budget of requests that are sent to another upstream, per service.

All entry instances share one limit. Each one spends at most its part: a part
of its own recent requests, and an equal part of the constant.
"""

import collections

from bamboosill_common import clock as clock_lib

# Part of the agreed limit that is used. Requests rejected by upstreams count
# as well, and the windows of the instances do not end together.
_USED_PART = 0.6


class Budget:
    """Recent first sends and repeats of one service."""

    def __init__(
        self,
        clock: clock_lib.Clock,
        ratio: float,
        constant: float,
        window_s: float,
    ) -> None:
        self._clock = clock
        self._ratio = ratio
        self._constant = constant
        self._window_s = window_s
        self._firsts: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def count_request(self) -> None:
        """Counts a caller's request."""
        now_s = self._clock.monotonic()
        self._firsts.append(now_s)
        _drop_older(self._firsts, now_s - self._window_s)

    def try_spend(self, instances: int) -> bool:
        """Returns whether a request may be sent once more, and counts it."""
        now_s = self._clock.monotonic()
        _drop_older(self._firsts, now_s - self._window_s)
        _drop_older(self._repeats, now_s - self._window_s)
        limit = self._ratio * len(self._firsts) + self._constant / instances
        if len(self._repeats) + 1 > limit * _USED_PART:
            return False
        self._repeats.append(now_s)
        return True


def _drop_older(times: collections.deque[float], limit_s: float) -> None:
    while times and times[0] < limit_s:
        times.popleft()
