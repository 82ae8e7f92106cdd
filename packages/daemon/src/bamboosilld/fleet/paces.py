"""How slow upstreams are, from the answers that all entry instances saw."""

from collections.abc import Iterable
import math
from typing import NamedTuple

from bamboosill_common import clock as clock_lib

# Answers count for about this long: some upstreams turn slow within a second.
_HALF_LIFE_S = 5.0
# An upstream counts as usual until its answers outweigh this, in milliseconds
# of usual latency: about two answers.
_PRIOR_MS = 400.0
# Bounds of a pace, so that no upstream is left without any request.
_MIN_PACE = 0.25
_MAX_PACE = 12.0
# Values of the scale on which a pace is sent: one is a factor of 1.037.
_STEPS_PER_DOUBLING = 19.0
_SCALE_OF_ONE = 96


class _Sum(NamedTuple):
    """Latencies of recent answers, and what they usually are."""

    took_ms: float
    usual_ms: float
    at_s: float


class Paces:
    """Recent latencies of upstreams, relative to those of their service."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._sums: dict[str, _Sum] = {}

    def add(self, upstream: str, pace: float, usual_ms: float) -> None:
        """Counts answers.

        Args:
            upstream: Id.
            pace: Their latency without waits, relative to the usual one.
            usual_ms: What such answers usually take together.
        """
        if not 0.0 < pace < math.inf or not 0.0 < usual_ms < math.inf:
            return
        took_ms, before_ms = self._get_sum(upstream)
        self._sums[upstream] = _Sum(
            took_ms + pace * usual_ms,
            before_ms + usual_ms,
            self._clock.monotonic(),
        )

    def get(self, upstream: str) -> float:
        """Returns a pace; 1 is the mean of a service."""
        took_ms, usual_ms = self._get_sum(upstream)
        pace = (took_ms + _PRIOR_MS) / (usual_ms + _PRIOR_MS)
        return min(_MAX_PACE, max(_MIN_PACE, pace))

    def encode(self, upstreams: Iterable[str]) -> bytes:
        """Returns the paces of upstreams, a byte for each."""
        return bytes(
            _encode(self.get(upstream)) if upstream in self._sums else 0
            for upstream in upstreams
        )

    def _get_sum(self, upstream: str) -> tuple[float, float]:
        found = self._sums.get(upstream)
        if found is None:
            return 0.0, 0.0
        age_s = self._clock.monotonic() - found.at_s
        factor = 0.5 ** (age_s / _HALF_LIFE_S)
        return found.took_ms * factor, found.usual_ms * factor


def _encode(pace: float) -> int:
    step = round(_SCALE_OF_ONE + _STEPS_PER_DOUBLING * math.log2(pace))
    return min(255, max(1, step))


def decode(step: int) -> float | None:
    """Returns the pace that a byte stands for, or None for an unknown one."""
    if not step:
        return None
    return 2.0 ** ((step - _SCALE_OF_ONE) / _STEPS_PER_DOUBLING)
