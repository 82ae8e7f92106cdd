"""Tests of effective load and rates."""

import pytest

from bamboosill_common.generated import zone
from bamboosilld.placement import load


def _update_loads(
    loads, now_s, own_in_flight, reported, age_s=0.0, latency_ms=10.0
):
    views = {
        "a": zone.UpstreamView("a", own_in_flight, latency_ms, completions=1),
        "b": zone.UpstreamView("b", 4, 10.0, completions=1),
    }
    reports = {"a": load.Report(reported, 0, now_s - age_s)}
    return loads.update(now_s, views, {"a": 10.0, "b": 10.0}, reports)["a"]


@pytest.mark.parametrize(
    ("own", "reported", "age_s", "factor", "trust"),
    [
        (6, 6, 0.0, 1.0, load.AGREES),
        (6, 0, 0.0, 1.0, load.BOUNDED),
        (6, 10, 0.0, 10 / 6, load.BOUNDED),
        (6, 600, 0.0, 2.0, load.BOUNDED),
        (6, 600, 9.0, 1.0, load.STALE),
        (0, 600, 0.0, 1.0, load.AGREES),
    ],
)
def test_report_raises_load_up_to_twice_the_observed(
    own, reported, age_s, factor, trust
):
    """Guards against relying on reports that are late, frozen or wrong."""
    effective = _update_loads(load.Loads(), 1.0, own, reported, age_s)
    assert effective.load == pytest.approx(10.0 * factor)
    assert effective.trust == trust
    assert trust in effective.explain()


@pytest.mark.parametrize(
    ("latency_ms", "trust"), [(10.0, load.DISTRUSTED), (50.0, load.BOUNDED)]
)
def test_lasting_disagreement_ends_trust(latency_ms, trust):
    """Guards against an upstream that loses its shards by false reports.

    A report that slower answers confirm stays believed within its bound.
    """
    loads = load.Loads()
    for now_s in range(30):
        effective = _update_loads(
            loads, float(now_s), 6, 60, latency_ms=latency_ms
        )
    assert effective.trust == trust
    for now_s in range(30, 130):
        effective = _update_loads(loads, float(now_s), 6, 6)
    assert effective.trust == load.AGREES


def test_rates_follow_a_change_and_leave_out_hot_keys():
    """Guards against slow reaction and against counting hot keys twice."""
    rates = load.ShardRates()
    meter = load.Meter()
    for now_s in range(100):
        for _ in range(2 if now_s < 80 else 20):
            meter.record("k", 1, "a")
        rates.update(float(now_s), [meter.report(float(now_s))])
    shard_rate = rates.compute_rates({})["k", 1]
    assert shard_rate == pytest.approx(20.0, rel=0.2)
    assert rates.compute_rates({("k", 1, "a"): 5.0})["k", 1] == shard_rate - 5.0
