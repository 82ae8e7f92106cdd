"""Assignment of free keys, plans of moves, and the work they are based on."""

import itertools

import pytest

from bamboosilld.fleet import heartbeat_delivery
from bamboosilld.fleet import keyplan
from bamboosilld.fleet import keyranges
from bamboosilld.fleet import state as state_lib
from bamboosilld.fleet import work_rates as work_rates_lib

_A, _B, _C = (state_lib.UpstreamIncarnation(name, 1) for name in "abc")
_EVEN = {incarnation: keyplan.Holder(4, 1.0) for incarnation in (_A, _B, _C)}
_BLOCKS = keyranges.BLOCK_COUNT
_RANGES = heartbeat_delivery.HeartbeatDelivery.ranges_per_upstream
_MAX_RANGES = heartbeat_delivery.HeartbeatDelivery.max_ranges


def _make_table(incarnations):
    table = keyranges.Table()
    for each in keyplan.split_evenly(incarnations, _RANGES):
        table.put(each)
    return table


def _make_work_rates(by_block, slots):
    """Returns work distributed like `by_block` that adds up to `slots`."""
    work_rates = work_rates_lib.WorkRates()
    work_rates.decay(0.0)
    scale = slots * 1000.0 / sum(by_block.values())
    for block, work in by_block.items():
        work_rates.add(block, work * scale)
    work_rates.decay(0.0)
    return work_rates


def _make_even_work_rates(slots):
    return _make_work_rates(dict.fromkeys(range(_BLOCKS), 1.0), slots)


def _apply(table, moves):
    for move in moves:
        for part in table.intersect(move.first, move.last):
            assert part.upstream == move.incarnation.upstream
        target = move.target
        table.put(
            table.find(move.first)._replace(
                first=move.first,
                last=move.last,
                upstream=target.upstream,
                born_ms=target.born_ms,
            )
        )


def _sum_work(table, work_rates, incarnation):
    return sum(
        work_rates.sum_of(each) for each in table.list_held(*incarnation)
    )


def test_the_first_distribution_covers_all_keys_once():
    """Guards against keys that the first distribution leaves out."""
    ranges = keyplan.split_evenly([_A, _B, _C], _RANGES)
    assert ranges[0].first == 0
    assert ranges[-1].last == keyranges.KEY_COUNT - 1
    for before, after in itertools.pairwise(ranges):
        assert before.last + 1 == after.first


@pytest.mark.parametrize(
    ("relative_latencies", "slots", "givers"),
    [
        ((1.0, 1.0, 1.0), 6.0, set()),
        ((1.0, 1.0, 1.0), 11.5, set()),
        ((1.1, 1.0, 0.9), 3.0, set()),
        ((3.0, 0.6, 0.6), 6.0, {"a"}),
        ((2.0, 1.0, 0.5), 8.0, {"a"}),
    ],
)
def test_keys_move_only_when_that_saves_more_than_it_costs(
    relative_latencies, slots, givers
):
    """Guards against moves that only follow the noise of small counts."""
    holders = {
        incarnation: keyplan.Holder(4, relative_latency)
        for incarnation, relative_latency in zip(
            (_A, _B, _C), relative_latencies, strict=True
        )
    }
    moves = keyplan.plan_moves(
        holders,
        _make_table([_A, _B, _C]),
        _make_even_work_rates(slots),
        1.0,
        _MAX_RANGES,
    )
    assert {move.incarnation.upstream for move in moves} == givers


def test_a_slow_upstream_is_left_with_less_work_than_fast_ones():
    """Guards against requests that queue at slow holders while fast ones idle.

    In a simulated day, the slowest third of the holders had as much work as the
    fastest third and rejected 40% of it.
    """
    holders = {
        _A: keyplan.Holder(3, 2.0),
        _B: keyplan.Holder(3, 1.0),
        _C: keyplan.Holder(3, 0.5),
    }
    table = _make_table([_A, _B, _C])
    work_rates = _make_even_work_rates(5.0)
    for _ in range(6):
        _apply(
            table,
            keyplan.plan_moves(holders, table, work_rates, 1.0, _MAX_RANGES),
        )
    used = {
        incarnation: _sum_work(table, work_rates, incarnation)
        * holder.relative_latency
        / holder.slots
        for incarnation, holder in holders.items()
    }
    assert max(used.values()) < 0.8
    work = [
        _sum_work(table, work_rates, incarnation)
        for incarnation in (_A, _B, _C)
    ]
    assert work == sorted(work)


@pytest.mark.parametrize("busy_block", [0, 1000])
def test_work_that_sums_up_to_less_than_nothing_is_none(busy_block):
    """Guards against a plan that fails because of rounded sums of work.

    All work of `a` lies in one block, whose removal leaves a tiny negative
    amount, of which the queueing formula has no real power.
    """
    model = keyplan._LoadModel(
        _EVEN,
        _make_table([_A, _B, _C]),
        _make_work_rates({busy_block: 1}, 2),
        _MAX_RANGES,
    )
    change = model.compute_time_change(_A, -model.work[_A] - 1e-12)
    assert isinstance(change, float)


def test_a_busy_block_moves_to_the_fastest_upstream():
    """Guards against a busy key that stays with a slow holder."""
    holders = {
        _A: keyplan.Holder(3, 2.0),
        _B: keyplan.Holder(3, 1.0),
        _C: keyplan.Holder(3, 0.4),
    }
    table = _make_table([_A, _B, _C])
    block = next(
        number
        for number in range(_BLOCKS)
        if table.find(number * keyranges.BLOCK_KEYS).upstream == "a"
    )
    work_rates = _make_work_rates(
        {each: 2000.0 if each == block else 1.0 for each in range(_BLOCKS)}, 3.0
    )
    for _ in range(3):
        _apply(
            table,
            keyplan.plan_moves(holders, table, work_rates, 1.0, _MAX_RANGES),
        )
    assert table.find(block * keyranges.BLOCK_KEYS).upstream == "c"


def test_no_upstream_holds_more_ranges_than_fit_into_a_reply():
    """Guards against replies to heartbeats that exceed the size limit."""
    table = _make_table([_A, _B, _C])
    busy = dict.fromkeys(range(_BLOCKS), 1.0)
    for round_number in range(60):
        work_rates = _make_work_rates(
            {
                block: 30.0 if (block + round_number * 37) % 50 < 3 else work
                for block, work in busy.items()
            },
            9.0,
        )
        _apply(
            table,
            keyplan.plan_moves(_EVEN, table, work_rates, 1.0, _MAX_RANGES),
        )
    for incarnation in _EVEN:
        assert len(table.list_held(*incarnation)) <= _MAX_RANGES + 1


@pytest.mark.parametrize("slots", [0.0001, 6.0, 11.0])
def test_free_keys_are_assigned_once_and_evenly(slots):
    """Guards against free keys assigned twice or all to one upstream."""
    table = _make_table([_A, _B])
    for each in table.list_held(*_B):
        table.put(each._replace(upstream="", born_ms=0))
    work_rates = _make_even_work_rates(slots)
    free = [each for each in table.ranges if not each.upstream]
    reservations = keyplan.assign_free(
        free,
        {_A: _EVEN[_A], _C: _EVEN[_C]},
        table,
        work_rates,
        (),
        _MAX_RANGES,
    )
    covered = sorted((each.first, each.last) for each in reservations)
    assert sum(last - first + 1 for first, last in covered) == sum(
        each.last - each.first + 1 for each in free
    )
    for before, after in itertools.pairwise(covered):
        assert before[1] < after[0]
    reserved = sum(
        work_rates.sum_range(each.first, each.last)
        for each in reservations
        if each.incarnation == _C
    )
    assert reserved > 0.4 * work_rates.total


def test_free_keys_go_to_an_upstream_that_reports_soon():
    """Guards against free keys that wait for a late heartbeat needlessly."""
    table = _make_table([_A, _B])
    free = [
        each._replace(upstream="", born_ms=0) for each in table.list_held(*_A)
    ][:1]
    for each in free:
        table.put(each)
    holders = {
        _A: keyplan.Holder(4, 1.0, next_heartbeat_s=0.1),
        _B: keyplan.Holder(4, 1.0, next_heartbeat_s=0.8),
    }
    reservations = keyplan.assign_free(
        free, holders, table, _make_even_work_rates(1.0), (), _MAX_RANGES
    )
    assert {each.incarnation for each in reservations} == {_A}


def test_moved_keys_go_to_an_upstream_that_reports_soon_after_the_source():
    """Guards against moved keys without a holder for a whole interval."""
    holders = {
        _A: keyplan.Holder(4, 3.0, next_heartbeat_s=0.5),
        _B: keyplan.Holder(4, 1.0, next_heartbeat_s=0.9),
        _C: keyplan.Holder(4, 1.0, next_heartbeat_s=0.6),
    }
    moves = keyplan.plan_moves(
        holders,
        _make_table([_A, _B, _C]),
        _make_even_work_rates(5.0),
        1.0,
        _MAX_RANGES,
    )
    assert moves[0].target == _B


def test_work_decays():
    """Guards against decisions based on keys that were busy long ago."""
    work_rates = _make_work_rates({5: 1.0}, 4.0)
    work_rates.decay(80.0)
    assert work_rates.total < 0.01


def test_a_constant_rate_is_measured_alike_at_all_times():
    """Guards against work that a new leader underestimates."""
    work_rates = work_rates_lib.WorkRates()
    work_rates.decay(0.0)
    totals = []
    for tick in range(1, 60):
        work_rates.add(7, 500.0)
        work_rates.decay(tick * 0.5)
        totals.append(work_rates.total)
    assert all(0.9 < total < 1.2 for total in totals[3:])


def test_blocks_out_of_range_are_ignored():
    """Guards against a malformed report that makes the leader fail."""
    work_rates = work_rates_lib.WorkRates()
    work_rates.add(-1, 10.0)
    work_rates.add(keyranges.BLOCK_COUNT, 10.0)
    work_rates.decay(1.0)
    assert work_rates.total == 0.0


@pytest.mark.parametrize("work", [0.0, 0.01, 0.5, 100.0])
def test_a_split_range_is_covered_without_gaps(work):
    """Guards against keys that are lost when a range is split."""
    work_rates = _make_work_rates({3: 5.0, 9: 1.0, 40: 8.0}, 2.0)
    parts = work_rates.split(5, 777, work)
    assert parts[0][0] == 5
    assert parts[-1][1] == 777
    for before, after in itertools.pairwise(parts):
        assert before[1] + 1 == after[0]
