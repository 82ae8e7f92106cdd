"""Latencies of one upstream by utilisation, as an entry instance measures them.

Load pattern: upstreams that slow down long before their slots are full. Each
instance sees too few responses of an upstream to tell; the leader combines the
sums of all instances.
"""

from collections.abc import Iterator
from typing import NamedTuple

# Utilisation is measured in parts of the slots; 1 is the lowest, and 0 stands
# for responses that are not broken down.
PARTS = 4


class LatencySum(NamedTuple):
    """Measured and baseline latencies of some responses, in seconds.

    Attributes:
        part: Part of the slots that was busy, from 1 to `PARTS`, or 0.
        latency_s: Sum of the measured latencies.
        baseline_s: Sum of the baseline latencies.
    """

    part: int
    latency_s: float
    baseline_s: float


def find_part(running: int, slots: int) -> int:
    """Returns the part of the slots that is busy, from 1 to `PARTS`."""
    return min(PARTS, max(1, -(-running * PARTS // max(1, slots))))


class LatencySums:
    """Sums of latencies since the last report."""

    def __init__(self) -> None:
        self._latencies_s = [0.0] * (PARTS + 1)
        self._baselines_s = [0.0] * (PARTS + 1)

    def add(self, part: int, latency_s: float, baseline_s: float) -> None:
        """Adds one response."""
        self._latencies_s[part] += latency_s
        self._baselines_s[part] += baseline_s

    def pop(self) -> Iterator[LatencySum]:
        """Yields the sums since the last call, without empty ones."""
        for part in range(PARTS + 1):
            latency_s = self._latencies_s[part]
            baseline_s = self._baselines_s[part]
            self._latencies_s[part] = self._baselines_s[part] = 0.0
            if baseline_s > 0.0:
                yield LatencySum(part, latency_s, baseline_s)
