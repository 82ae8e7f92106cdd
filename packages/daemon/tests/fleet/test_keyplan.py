"""Decisions on free keys and on keys that should move."""

import itertools

import pytest

from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import keyplan
from bamboosilld.fleet import keyranges
from bamboosilld.fleet import state as state_lib

_A, _B, _C = (state_lib.Life(name, 1) for name in "abc")


def _make_table(lives):
    table = keyranges.Table()
    for each in keyplan.split_evenly(lives):
        table.put(each)
    return table


def _make_works(by_block):
    works = keyplan.Works()
    works.decay(0.0)
    for block, work_ms in by_block.items():
        works.add(block, work_ms)
    works.decay(0.0)
    return works


def test_the_first_distribution_covers_all_keys_once():
    """Guards against keys without a holder from the start."""
    ranges = keyplan.split_evenly([_A, _B, _C])
    assert ranges[0].first == 0
    assert ranges[-1].last == keyranges.KEY_COUNT - 1
    for before, after in itertools.pairwise(ranges):
        assert before.last + 1 == after.first


@pytest.mark.parametrize(
    ("busy", "givers"),
    [
        ({_A: 0.5, _B: 0.5, _C: 0.5}, set()),
        ({_A: 0.9, _B: 0.2, _C: 0.2}, set()),
        ({_A: 3.0, _B: 0.2, _C: 0.2}, {"a"}),
        ({_A: 3.0, _B: 2.9, _C: 3.1}, set()),
    ],
)
def test_keys_move_only_when_requests_wait_and_others_have_room(busy, givers):
    """Guards against moves that only follow the noise of small counts."""
    table = _make_table([_A, _B, _C])
    works = _make_works(dict.fromkeys(range(1000), 100.0))
    moves = keyplan.plan_moves(busy, table, works)
    assert {move.life.upstream for move in moves} == givers


def test_a_giver_does_not_give_more_than_others_can_take():
    """Guards against keys that pass from one overloaded upstream to another."""
    table = _make_table([_A, _B, _C])
    works = _make_works(dict.fromkeys(range(2048), 100.0))
    moves = keyplan.plan_moves({_A: 4.0, _B: 1.0, _C: 1.0}, table, works)
    given = sum(works.sum_range(move.first, move.last) for move in moves)
    held = keyplan.sum_holders(table, works)
    assert 0 < given < held[_A] - works.total / 6


def test_free_keys_wait_for_an_upstream_with_room():
    """Guards against free keys that all go to one upstream."""
    table = _make_table([_A, _B])
    for each in table.list_held(*_B):
        table.put(each._replace(upstream="", born_ms=0))
    works = _make_works(dict.fromkeys(range(2048), 100.0))
    capacities = {_A: 4.0, _C: 4.0}
    chosen = keyplan.choose_free(_A, capacities, table, works, 0.0)
    assert not chosen
    chosen = keyplan.choose_free(_C, capacities, table, works, 0.0)
    size = sum(each.last - each.first + 1 for each in chosen)
    assert size >= keyranges.KEY_COUNT * 0.4


def test_work_is_forgotten():
    """Guards against decisions on what was busy long ago."""
    works = _make_works({5: 1000.0})
    works.decay(80.0)
    assert works.total < 10.0


def test_blocks_out_of_range_are_ignored():
    """Guards against a faulty report that stops the leader."""
    works = _make_works({-1: 10.0, keyranges.BLOCK_COUNT: 10.0})
    assert works.total == 0.0


def test_moved_keys_are_whole_blocks_of_their_holder():
    """Guards against asking a holder for keys of another."""
    table = _make_table([_A, _B, _C])
    works = _make_works({block: 50.0 * (block % 7) for block in range(2048)})
    for move in keyplan.plan_moves({_A: 5.0, _B: 0.1, _C: 0.1}, table, works):
        assert {each.upstream for each in table.cut(move.first, move.last)} == {
            "a"
        }
        assert isinstance(table.find(move.first), messages.KeyRange)
