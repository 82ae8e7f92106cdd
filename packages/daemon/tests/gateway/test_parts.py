"""Tests of routes, traffic shares, retry budget, latency and balancing."""

import collections
import random

import pytest

from bamboosill_common import wire
from bamboosill_common.generated import fleet as messages
from bamboosilld.gateway import budget as budget_lib
from bamboosilld.gateway import latency as latency_lib
from bamboosilld.gateway import load_balancing
from bamboosilld.gateway import routes as routes_lib


class _Clock:
    def __init__(self):
        self.now_s = 100.0

    def monotonic(self):
        return self.now_s


def _make_route(name, prefix, host="shop.example", **changes):
    return messages.RouteItem(
        name=name, host=host, path_prefix=prefix, service="s"
    )._replace(**changes)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("shop.example", "/a/x", "r1"),
        ("shop.example", "/a/b/x", "r2"),
        ("SHOP.example", "/a/x", "r1"),
        ("shop.example:8080", "/a/x", "r1"),
        ("shop.example", "/ab", None),
        ("other.example", "/a/x", "r3"),
        ("none.example", "/a/x", None),
    ],
)
def test_the_longest_prefix_of_the_host_decides(host, path, name):
    """Guards against requests routed to the wrong service."""
    routes = routes_lib.Routes(
        (
            _make_route("r1", "/a/"),
            _make_route("r2", "/a/b/"),
            _make_route("r3", "/", host="other.example"),
        )
    )
    found = routes.find(host, path)
    assert (found.name if found else None) == name


def test_shares_hold_over_few_requests():
    """Guards against a small share that gets no request for long."""
    shares = (
        messages.TrafficShare("a", 90),
        messages.TrafficShare("b", 10),
        messages.TrafficShare("c", 0),
    )
    splitter = routes_lib.TrafficSplitter(random.Random(1))
    route = _make_route("r1", "/a/", service="", shares=shares)
    counts = collections.Counter(splitter.choose(route) for _ in range(50))
    assert counts == {"a": 45, "b": 5}


@pytest.mark.parametrize("instances", [91, 188, 800])
@pytest.mark.parametrize(
    "weights", [(10,), (30,), (50,), (60,), (25, 25), (10, 60)]
)
def test_shares_hold_over_few_requests_at_each_of_many_instances(
    instances, weights
):
    """Guards against first requests that all go to the same service."""
    shares = tuple(
        messages.TrafficShare(f"s{number}", weight)
        for number, weight in enumerate((*weights, 100 - sum(weights)))
    )
    route = _make_route("r1", "/a/", service="", shares=shares)
    rng = random.Random(1)
    splitters = [routes_lib.TrafficSplitter(rng) for _ in range(instances)]
    counts = collections.Counter(
        rng.choice(splitters).choose(route) for _ in range(200)
    )
    for share in shares:
        assert abs(counts[share.service] / 200 - share.weight / 100) < 0.1


def test_retries_stay_under_the_shared_limit():
    """Guards against retries that multiply the load of a failing service."""
    clock = _Clock()
    budgets = [budget_lib.RetryBudget(clock, 0.2, 50, 10.0) for _ in range(8)]
    retries = 0
    for budget in budgets:
        for _ in range(100):
            budget.count_request()
            retries += budget.try_acquire(len(budgets))
    assert 0 < retries <= 0.2 * 800 + 50


def test_a_spent_budget_recovers_with_time():
    """Guards against an instance that never retries again."""
    clock = _Clock()
    budget = budget_lib.RetryBudget(clock, 0.0, 10, 10.0)
    while budget.try_acquire(1):
        pass
    clock.now_s += 10.1
    assert budget.try_acquire(1)


@pytest.mark.parametrize("restarts", [0, 1, 4])
def test_restarts_do_not_enlarge_the_shared_limit(restarts):
    """Guards against repeats that pile up while instances restart in series.

    Each new process had the whole constant part of its instance again.
    """
    clock = _Clock()
    limit = 0.2 * 8 * 10 + 50
    budgets = [budget_lib.RetryBudget(clock, 0.2, 50, 10.0) for _ in range(8)]
    retries = 0
    for _ in range(restarts + 1):
        for budget in budgets:
            for _ in range(10 // (restarts + 1)):
                budget.count_request()
            retries += sum(budget.try_acquire(8) for _ in range(100))
        clock.now_s += 9.0 / (restarts + 1)
        budgets = [
            budget_lib.RetryBudget(clock, 0.2, 50, 10.0, clock.now_s)
            for _ in range(8)
        ]
    assert retries <= limit


def test_the_constant_part_comes_after_the_first_window():
    """Guards against an instance that never gets its part."""
    clock = _Clock()
    budget = budget_lib.RetryBudget(clock, 0.2, 80, 10.0, clock.now_s)
    assert not budget.try_acquire(8)
    clock.now_s += 9.9
    assert not budget.try_acquire(8)
    clock.now_s += 0.2
    assert budget.try_acquire(8)


def test_the_quantile_is_above_most_latencies():
    """Guards against hedging of requests with ordinary latency."""
    rng = random.Random(1)
    latency = latency_lib.Latency()
    values = [rng.lognormvariate(-2, 0.5) for _ in range(3000)]
    above = 0
    for value in values:
        above += value > latency.quantile_s > 0
        latency.add_sample(value, False)
    assert 0.03 * len(values) < above < 0.08 * len(values)


def _make_upstream(name, clock, zone="z1", **changes):
    item = messages.UpstreamItem(
        upstream=name, address="127.0.0.1:1", zone=zone, slots=4
    )
    return load_balancing.Upstream(item._replace(**changes), clock, b"x-id")


@pytest.mark.parametrize(
    ("value", "load"),
    [
        (b"3,1,4", 4),
        (b"70000,0,4", 65535),
        (b"999999999,999999999,4", 65535),
        (b"%s,0,4" % (b"9" * 30), None),
        (b"%s,0,4" % (b"9" * 5000), None),
        (b"1,2", None),
        (b"-1,0,4", None),
        (b"a,0,4", None),
    ],
)
def test_any_load_header_can_be_reported(value, load):
    """Guards against an instance that stops following at one odd number."""
    upstream = _make_upstream("u", _Clock())
    upstream.update_load(value)
    assert upstream.pop_new_load() == load
    report = messages.UpstreamLoad("u", load or 0, False)
    wire.pack(messages.Follow(loads=(report,)))


def _choose(candidates, instances=8):
    found = load_balancing.choose(candidates, "z1", random.Random(1), instances)
    return found.item.upstream if found else None


def test_the_least_loaded_upstream_of_the_own_zone_is_chosen():
    """Guards against needless traffic between zones, and against queues."""
    clock = _Clock()
    same_zone, other_zone = (
        _make_upstream("a", clock),
        _make_upstream("b", clock, "z2"),
    )
    assert _choose([other_zone, same_zone]) == "a"
    same_zone.update_load(b"4,2,4")
    assert _choose([other_zone, same_zone]) == "b"


def test_full_and_failed_upstreams_are_avoided():
    """Guards against requests that an upstream cannot queue."""
    clock = _Clock()
    first, second = _make_upstream("a", clock), _make_upstream("b", clock)
    first.record_failure(no_response=True)
    assert _choose([first, second]) == "b"
    second.in_flight = 100
    assert _choose([first, second]) == "a"
    first.in_flight = 100
    assert _choose([first, second]) is None


@pytest.mark.parametrize("value", [b"", b"1,2", b"a,b,c", b"-1,0,4"])
def test_an_unreadable_load_is_ignored(value):
    """Guards against a request that fails for a malformed load header."""
    upstream = _make_upstream("a", _Clock())
    upstream.update_load(value)
    assert upstream.estimate_load() == 0


def test_a_shared_load_does_not_replace_a_fresh_report():
    """Guards against an older load that replaces an upstream's own report."""
    clock = _Clock()
    upstream = _make_upstream("a", clock)
    upstream.update_load(b"4,2,4")
    upstream.update_shared_load(0)
    assert upstream.estimate_load() > 5
    clock.now_s += 1.0
    upstream.update_shared_load(3)
    assert upstream.estimate_load() == 3


def test_many_instances_do_not_all_choose_the_same_upstream():
    """Guards against a thundering herd on one upstream reported idle."""
    clock = _Clock()
    upstreams = [_make_upstream(f"u{number}", clock) for number in range(20)]
    for each in upstreams[1:]:
        each.update_load(b"1,0,4")
    chosen = {
        load_balancing.choose(upstreams, "z1", random.Random(seed), 80)
        for seed in range(30)
    }
    assert len(chosen) > 5


@pytest.mark.parametrize(
    ("near_load", "zone"), [(0, "z1"), (1, "z1"), (9, "z2")]
)
def test_an_overloaded_zone_is_relieved_by_others(near_load, zone):
    """Guards against refusals in a zone while others have room.

    Seen in pca-pilon-grown trouble-1: with many entry instances, only
    upstreams of the own zone were sampled; the zone with 30% of the load and
    25% of the upstreams served 0.72, the others up to 0.89.
    """
    clock = _Clock()
    same_zone = [_make_upstream(f"n{number}", clock) for number in range(20)]
    other_zone = [
        _make_upstream(f"f{number}", clock, "z2") for number in range(20)
    ]
    for each in same_zone:
        each.update_load(b"%d,0,4" % near_load)
    for seed in range(20):
        found = load_balancing.choose(
            same_zone + other_zone, "z1", random.Random(seed), 80
        )
        assert found.item.zone == zone
