"""Relative latencies of upstreams, over the responses at all entry instances.

The pace of an upstream is its latency divided by the usual latency of its
service: 2 means that it takes twice as long.
"""

from collections.abc import Iterable
import math
from typing import NamedTuple

from bamboosill_common import clock as clock_lib

# Half-life of measured latencies: some upstreams become slow within a second.
_HALF_LIFE_S = 5.0
# Weight of the prior assumption that a pace is 1, in milliseconds of usual
# latency: about two responses.
_PRIOR_USUAL_MS = 400.0
# Bounds of a pace, so that every upstream still gets some requests.
_MIN_PACE = 0.25
_MAX_PACE = 12.0
# Logarithmic scale on which a pace is sent as a byte: one step is a factor of
# 1.037.
_STEPS_PER_DOUBLING = 19.0
_STEP_OF_PACE_ONE = 96


class _LatencySum(NamedTuple):
    """Decayed sums of measured latencies and of the usual ones."""

    took_ms: float
    usual_ms: float
    updated_s: float


class Paces:
    """Recent relative latencies of upstreams."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._sums: dict[str, _LatencySum] = {}

    def add(self, upstream: str, pace: float, usual_ms: float) -> None:
        """Adds measured latencies; ignores values that are not valid.

        Args:
            upstream: Id.
            pace: Latency of the responses relative to the usual one, without
                time in queues.
            usual_ms: Sum of the usual latencies of these responses.
        """
        if not 0.0 < pace < math.inf or not 0.0 < usual_ms < math.inf:
            return
        took_ms, earlier_usual_ms = self._get_decayed_sums(upstream)
        self._sums[upstream] = _LatencySum(
            took_ms + pace * usual_ms,
            earlier_usual_ms + usual_ms,
            self._clock.monotonic(),
        )

    def get(self, upstream: str) -> float:
        """Returns the pace of an upstream; 1 is the mean of its service."""
        took_ms, usual_ms = self._get_decayed_sums(upstream)
        pace = (took_ms + _PRIOR_USUAL_MS) / (usual_ms + _PRIOR_USUAL_MS)
        return min(_MAX_PACE, max(_MIN_PACE, pace))

    def encode(self, upstreams: Iterable[str]) -> bytes:
        """Returns the paces of upstreams, one byte each; 0 is unknown."""
        return bytes(
            _encode(self.get(upstream)) if upstream in self._sums else 0
            for upstream in upstreams
        )

    def _get_decayed_sums(self, upstream: str) -> tuple[float, float]:
        found = self._sums.get(upstream)
        if found is None:
            return 0.0, 0.0
        age_s = self._clock.monotonic() - found.updated_s
        factor = 0.5 ** (age_s / _HALF_LIFE_S)
        return found.took_ms * factor, found.usual_ms * factor


def _encode(pace: float) -> int:
    step = round(_STEP_OF_PACE_ONE + _STEPS_PER_DOUBLING * math.log2(pace))
    return min(255, max(1, step))


def decode(step: int) -> float | None:
    """Returns the pace that a byte encodes, or None if it is unknown."""
    if not step:
        return None
    return 2.0 ** ((step - _STEP_OF_PACE_ONE) / _STEPS_PER_DOUBLING)
