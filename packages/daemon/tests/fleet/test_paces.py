"""Relative latencies of upstreams, as the leader aggregates them."""

import math

import pytest

from bamboosilld.fleet import paces as paces_lib

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
def test_a_pace_is_that_of_all_responses_together(samples, expected):
    """Guards against a pace that follows few responses of one instance."""
    paces = paces_lib.Paces(Clock())
    for pace, usual_ms in samples:
        paces.add("u1", pace, usual_ms)
    assert paces.get("u1") == pytest.approx(expected, rel=0.02)


def test_a_pace_decays_to_the_mean():
    """Guards against an upstream that is avoided long after recovery."""
    clock = Clock()
    paces = paces_lib.Paces(clock)
    paces.add("u1", 5.0, 5000.0)
    clock.now_s += 60.0
    assert paces.get("u1") < 1.1


@pytest.mark.parametrize("pace", [0.25, 0.7, 1.0, 3.3, 12.0])
def test_a_pace_is_encoded_and_decoded(pace):
    """Guards against entry instances that decode another pace than was sent."""
    paces = paces_lib.Paces(Clock())
    paces.add("u1", pace, 1e9)
    steps = paces.encode(["u0", "u1"])
    assert paces_lib.decode(steps[0]) is None
    assert paces_lib.decode(steps[1]) == pytest.approx(pace, rel=0.03)
