"""Relative latencies of upstreams, over the responses at all entry instances.

The relative latency of an upstream is its latency divided by the baseline
latency of its service: 2 means that it takes twice as long.
"""

from collections.abc import Iterable
import math
from typing import NamedTuple

from bamboosill_common import clock as clock_lib

# Half-life of measured latencies: some upstreams become slow within a second.
_HALF_LIFE_S = 5.0
# Weight of the prior assumption that a relative latency is 1, in milliseconds
# of baseline latency: about two responses.
_PRIOR_BASELINE_MS = 400.0
# Bounds of a relative latency, so that every upstream still gets some requests.
_MIN_RELATIVE_LATENCY = 0.25
_MAX_RELATIVE_LATENCY = 12.0
# Logarithmic scale on which a relative latency is sent as a byte: one step is a
# factor of 1.037.
_STEPS_PER_DOUBLING = 19.0
_STEP_OF_RELATIVE_LATENCY_ONE = 96


class _LatencySum(NamedTuple):
    """Decayed sums of measured latencies and of the baseline ones."""

    took_ms: float
    baseline_ms: float
    updated_s: float


class RelativeLatencies:
    """Recent relative latencies of upstreams."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._sums: dict[str, _LatencySum] = {}

    def add(
        self, upstream: str, relative_latency: float, baseline_ms: float
    ) -> None:
        """Adds measured latencies; ignores values that are not valid.

        Args:
            upstream: Id.
            relative_latency: Latency of the responses relative to the baseline,
                without time in queues.
            baseline_ms: Sum of the baseline latencies of these responses.
        """
        if (
            not 0.0 < relative_latency < math.inf
            or not 0.0 < baseline_ms < math.inf
        ):
            return
        took_ms, earlier_baseline_ms = self._get_decayed_sums(upstream)
        self._sums[upstream] = _LatencySum(
            took_ms + relative_latency * baseline_ms,
            earlier_baseline_ms + baseline_ms,
            self._clock.monotonic(),
        )

    def get(self, upstream: str) -> float:
        """Returns the relative latency; 1 is the mean of the service."""
        took_ms, baseline_ms = self._get_decayed_sums(upstream)
        relative_latency = (took_ms + _PRIOR_BASELINE_MS) / (
            baseline_ms + _PRIOR_BASELINE_MS
        )
        return min(
            _MAX_RELATIVE_LATENCY, max(_MIN_RELATIVE_LATENCY, relative_latency)
        )

    def encode(self, upstreams: Iterable[str]) -> bytes:
        """Returns the relative latencies, one byte each; 0 is unknown."""
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
        return found.took_ms * factor, found.baseline_ms * factor


def _encode(relative_latency: float) -> int:
    step = round(
        _STEP_OF_RELATIVE_LATENCY_ONE
        + _STEPS_PER_DOUBLING * math.log2(relative_latency)
    )
    return min(255, max(1, step))


def decode(step: int) -> float | None:
    """Returns the relative latency of a byte, or None if it is unknown."""
    if not step:
        return None
    return 2.0 ** ((step - _STEP_OF_RELATIVE_LATENCY_ONE) / _STEPS_PER_DOUBLING)
