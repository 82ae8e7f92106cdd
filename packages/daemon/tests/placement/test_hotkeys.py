"""Tests of the hot-key sketch and of the choice of hot keys."""

import collections
import random

import pytest

from bamboosilld.placement import hotkeys


@pytest.mark.parametrize("seed", range(3))
def test_sketch_finds_what_an_exact_counter_finds(seed):
    """Guards against hot keys that are missed among many cold ones."""
    rng = random.Random(seed)
    exact_counts: collections.Counter = collections.Counter()
    sketch = hotkeys.Sketch()
    sketch.decay(0.0)
    weights = [1 / (rank + 1) for rank in range(20_000)]
    for name in rng.choices(range(20_000), weights, k=30_000):
        exact_counts[name] += 1
        sketch.add(("k", 0, f"{name}"))
    assert len(sketch) <= hotkeys.COUNTERS
    reported = {item.key: item.rate_per_s for item in sketch.report(0.0)}
    hottest = [str(name) for name, _ in exact_counts.most_common(71)]
    assert set(hottest) <= set(reported)
    per_s = reported["0"] / exact_counts[0]
    for name in hottest:
        # The report is a lower bound, so it never exceeds the exact count.
        assert reported[name] <= exact_counts[int(name)] * per_s * 1.001


def test_counts_of_former_hot_keys_decay():
    """Guards against old counts that hide the keys that are hot now."""
    sketch = hotkeys.Sketch()
    sketch.decay(0.0)
    for _ in range(1000):
        sketch.add(("k", 0, "old"))
    sketch.decay(120.0)
    for _ in range(50):
        sketch.add(("k", 0, "new"))
    assert sketch.report(121.0)[0].key == "new"


def _make_rates(first, count, rate=10.0):
    return {
        ("k", index, f"k{index}"): rate + index % 1000 / 1000
        for index in range(first, first + count)
    }


def test_selector_follows_the_hottest_71_and_is_bounded():
    """Guards against keeping old hot keys, and against unbounded sets."""
    selector = hotkeys.HotKeySelector()
    for minute in range(5):
        rates = _make_rates(1000 * minute, 71) | _make_rates(500_000, 200, 3.0)
        chosen = selector.choose(60.0 * minute, rates, 1.0)
        assert set(_make_rates(1000 * minute, 71)) <= set(chosen)
        assert len(chosen) <= hotkeys.HOT_KEYS


def test_selector_keeps_a_key_near_the_threshold():
    """Guards against a key that alternates between hot and not hot."""
    selector = hotkeys.HotKeySelector()
    changes = 0
    before: set = set()
    for step in range(100):
        rates = {("k", 0, "a"): 1.1 if step % 2 else 0.9}
        chosen = set(selector.choose(float(step), rates, 1.0))
        changes += chosen != before
        before = chosen
    assert changes == 1
