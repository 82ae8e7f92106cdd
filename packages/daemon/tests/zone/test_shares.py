"""Tests of the allocation of shares of customers' limits."""

import hypothesis
from hypothesis import strategies

from bamboosill_common.generated import zone as messages
from bamboosilld.admission import share_split as share_split_lib
from bamboosilld.zone import shares as shares_lib

PLACE = ("a", "shop")
LIMITS = {PLACE: share_split_lib.Limits(100.0, 20.0, 8.0)}

renewals = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["i0", "i1", "i2", "i3"]),
        strategies.sets(
            strategies.sampled_from(["i0", "i1", "i2", "i3"]), min_size=1
        ),
        strategies.floats(0, 500),
        strategies.sampled_from([0.0, 0.25, 1.0, 4.0]),
    ),
    max_size=40,
)


@hypothesis.given(renewals)
def test_shares_in_force_never_exceed_the_contract(sequence):
    """Guards against instances together admitting more than allowed."""
    allocator = shares_lib.ShareAllocator(0.0)
    now_s, rates, in_force = 10.0, {}, {}
    for instance, live, rate, step_s in sequence:
        now_s += step_s
        rates[instance] = rate
        demands = {
            name: (messages.Demand(*PLACE, rates.get(name, 0.0), 1.0),)
            for name in live | {instance}
        }
        shares = allocator.allocate(instance, LIMITS, demands, now_s)
        if shares:
            in_force[instance] = (shares, now_s + 3.0)
        present = [
            share
            for shares, until_s in in_force.values()
            for share in shares
            if now_s < until_s
        ]
        assert sum(each.rate_per_s for each in present) <= 100.0 + 1e-6
        assert sum(each.burst for each in present) <= 20.0 + 1e-6
        assert sum(each.concurrency for each in present) <= 8.0


def test_new_leader_gives_no_shares_at_first():
    """Guards against shares in addition to those of a former leader."""
    allocator = shares_lib.ShareAllocator(10.0)
    assert allocator.allocate("i0", LIMITS, {"i0": ()}, 12.9) == ()
    assert (
        allocator.allocate("i0", LIMITS, {"i0": ()}, 13.1)[0].rate_per_s
        == 100.0
    )
