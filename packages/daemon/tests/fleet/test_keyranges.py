"""Tables of key ranges, compared with a model of one entry for each key."""

import itertools

from hypothesis import given
from hypothesis import strategies

from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import keyranges

_SIZE = keyranges.KEY_COUNT
_STEP = 2048

_puts = strategies.lists(
    strategies.tuples(
        strategies.integers(0, _SIZE // _STEP - 1),
        strategies.integers(1, 8),
        strategies.integers(0, 2),
        strategies.sampled_from(["", "a", "b"]),
        strategies.sampled_from(["", "token"]),
    ),
    max_size=30,
)


@given(_puts)
def test_a_table_equals_a_model_with_an_entry_for_each_key(puts):
    """Guards against keys that are lost, duplicated or assigned wrongly."""
    table = keyranges.Table()
    model = dict.fromkeys(range(_SIZE // _STEP), ("", 0, ""))
    for start, length, fence, upstream, handover in puts:
        end = min(start + length, _SIZE // _STEP)
        table.put(
            messages.KeyRange(
                start * _STEP,
                end * _STEP - 1,
                fence,
                upstream,
                0,
                handover,
            )
        )
        for step in range(start, end):
            model[step] = (upstream, fence, handover)
    assert table.ranges[0].first == 0
    assert table.ranges[-1].last == _SIZE - 1
    for before, after in itertools.pairwise(table.ranges):
        assert before.last + 1 == after.first
    for step, expected in model.items():
        for key in (step * _STEP, (step + 1) * _STEP - 1):
            found = table.find(key)
            assert found.first <= key <= found.last
            assert (found.upstream, found.fence, found.handover) == expected
    for upstream in ("", "a", "b"):
        assert table.list_held(upstream, 0) == [
            each for each in table.ranges if each.upstream == upstream
        ]
    assert table.list_free() == table.list_held("", 0)
    assert table.has_holders() == any(each.upstream for each in table.ranges)


@given(
    strategies.lists(strategies.integers(0, 99), max_size=12),
    strategies.lists(
        strategies.tuples(strategies.integers(0, 99), strategies.integers(0, 9))
    ),
)
def test_what_remains_of_ranges_equals_a_set_of_keys(edges, removed):
    """Guards against keys that are reserved twice or left out."""
    edges = sorted(set(edges))
    ranges = [
        messages.KeyRange(first, last - 1, 0, "a")
        for first, last in itertools.pairwise(edges)
    ]
    cuts = [
        messages.KeyRange(first, first + more, 0) for first, more in removed
    ]
    remaining = keyranges.subtract_all(ranges, cuts)
    keys = [key for each in remaining for key in range(each[0], each[1] + 1)]
    cut_keys = {key for each in cuts for key in range(each[0], each[1] + 1)}
    expected = {
        key for each in ranges for key in range(each[0], each[1] + 1)
    } - cut_keys
    assert sorted(keys) == sorted(expected)


def test_an_intersection_has_only_the_keys_asked_for():
    """Guards against a release that frees adjacent keys, too."""
    table = keyranges.Table()
    table.put(messages.KeyRange(100, 199, 1, "a"))
    parts = table.intersect(150, 250)
    assert [(each.first, each.last, each.upstream) for each in parts] == [
        (150, 199, "a"),
        (200, 250, ""),
    ]
