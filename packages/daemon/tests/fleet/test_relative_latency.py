"""Relative latencies of upstreams, as the leader aggregates them."""

import math

import pytest

from bamboosilld.fleet import relative_latency as relative_latency_lib

from .conftest import Clock


@pytest.mark.parametrize(
    ("samples", "expected"),
    [
        ([], 1.0),
        ([(2.0, 100_000.0)], 2.0),
        ([(0.5, 50_000.0), (1.5, 50_000.0)], 1.0),
        ([(50.0, 100_000.0)], 12.0),
        ([(math.nan, 100.0), (-1.0, 100.0), (2.0, math.inf)], 1.0),
    ],
)
def test_a_relative_latency_is_that_of_all_responses_together(
    samples, expected
):
    """Guards against a value that follows few responses of one instance."""
    relative_latencies = relative_latency_lib.RelativeLatencies(Clock())
    for relative_latency, baseline_ms in samples:
        relative_latencies.add("u1", relative_latency, baseline_ms)
    assert relative_latencies.get("u1") == pytest.approx(expected, rel=0.02)


def test_a_relative_latency_decays_to_the_mean():
    """Guards against an upstream that is avoided long after recovery."""
    clock = Clock()
    relative_latencies = relative_latency_lib.RelativeLatencies(clock)
    relative_latencies.add("u1", 5.0, 5000.0)
    clock.now_s += 60.0
    assert relative_latencies.get("u1") < 1.1


@pytest.mark.parametrize("relative_latency", [0.25, 0.7, 1.0, 3.3, 12.0])
def test_a_relative_latency_is_encoded_and_decoded(relative_latency):
    """Guards against entry instances that decode another value than sent."""
    relative_latencies = relative_latency_lib.RelativeLatencies(Clock())
    relative_latencies.add("u1", relative_latency, 1e9)
    steps = relative_latencies.encode(["u0", "u1"])
    assert relative_latency_lib.decode(steps[0]) is None
    assert relative_latency_lib.decode(steps[1]) == pytest.approx(
        relative_latency, rel=0.03
    )
