"""Tests of the quarantine of requests that crash upstreams."""

import random

import pytest

from bamboosilld import quarantine as quarantine_lib

NOW_MS = 1_000_000


def report(table, number, *fingerprints, now_ms=NOW_MS):
    table.report((f"u{number}", 1), fingerprints, now_ms)


@pytest.mark.parametrize(
    ("crashes", "quarantined"),
    [
        ([(1, b"x")], False),
        ([(1, b"x"), (1, b"x")], False),
        ([(1, b"x"), (2, b"x")], True),
        ([(1, b"x", b"a"), (2, b"x", b"b")], False),
        ([(1, b"x", b"a"), (2, b"x", b"b"), (3, b"x", b"c")], True),
        ([(1, b"x"), (2, b"x", b"b")], False),
        ([(1, b"x"), (2, b"x", b"b"), (3, b"x", b"c")], True),
        # Two entry instances report the same crash: two requests were in
        # flight, so neither was the only one.
        ([(1, b"x"), (1, b"a"), (2, b"x")], False),
    ],
)
def test_number_of_crashes(crashes, quarantined):
    """Guards against quarantining others, or the crashing request too late."""
    table = quarantine_lib.QuarantineTable()
    for number, *fingerprints in crashes:
        report(table, number, *fingerprints)
    assert (table.find(b"x", NOW_MS) is not None) == quarantined
    assert table.find(b"a", NOW_MS) is None


def test_explains_and_releases():
    """Guards against a quarantine without a reason or an end."""
    table = quarantine_lib.QuarantineTable()
    report(table, 1, b"x")
    report(table, 2, b"x", now_ms=NOW_MS + 5)
    found = table.find(b"x", NOW_MS)
    assert found.crashes == (("u1", 1, NOW_MS), ("u2", 1, NOW_MS + 5))
    assert found.until_ms == NOW_MS + 5 + 600_000
    assert table.find(b"x", found.until_ms - 1) is not None
    assert table.find(b"x", found.until_ms) is None
    report(table, 3, b"y", now_ms=found.until_ms)
    assert len(table) == 0


def test_is_bounded():
    """Guards against unbounded growth with the number of crashes."""
    table = quarantine_lib.QuarantineTable()
    for number in range(2_500):
        report(table, number, b"%d" % (number // 2))
    assert len(table) <= quarantine_lib.MAX_QUARANTINED
    items = list(table.list_crashes())
    assert len(items) == quarantine_lib.MAX_CRASHES
    assert table.find(b"1249", NOW_MS) is not None


def test_survives_snapshot():
    """Guards against a snapshot that loses which requests are blocked."""
    table, copy = (quarantine_lib.QuarantineTable() for _ in range(2))
    report(table, 1, b"x")
    report(table, 2, b"x")
    for key, crash in table.list_crashes():
        copy.restore(key, crash)
    assert copy.find(b"x", NOW_MS) == table.find(b"x", NOW_MS)


@pytest.mark.parametrize(
    ("crashes", "is_cleared"),
    [
        ([], False),
        ([(1, b"x")], True),
        ([(1, b"x", b"a"), (2, b"x", b"b")], True),
        ([(1, b"x"), (2, b"x")], False),
        ([(1, b"x", b"a"), (2, b"x", b"b"), (3, b"x", b"c")], False),
    ],
)
def test_an_answer_clears_what_is_only_suspected(crashes, is_cleared):
    """Guards against clearing the request that crashes upstreams."""
    table = quarantine_lib.QuarantineTable()
    for number, *fingerprints in crashes:
        report(table, number, *fingerprints)
    found = table.find(b"x", NOW_MS)
    assert table.is_suspected(b"x") == is_cleared
    assert table.clear(b"x") == is_cleared
    assert not table.is_suspected(b"x")
    assert table.find(b"x", NOW_MS) == found


def test_clearing_one_request_blames_no_other():
    """Guards against a request that is taken for the only one in flight."""
    table = quarantine_lib.QuarantineTable()
    for number in (1, 2):
        report(table, number, b"x", b"a")
        report(table, 10 + number, b"y")
        table.clear(b"x")
        table.clear(b"y")
        # Another instance reports the same crash.
        report(table, number, b"a")
        report(table, 10 + number, b"b")
    assert table.is_suspected(b"a")
    assert table.is_suspected(b"b")


def test_a_quarantine_outlasts_its_first_crash():
    """Guards against a quarantine that a snapshot ends.

    The crashes of a quarantine were forgotten one by one, and a member that
    restored a snapshot then counted too few.
    """
    table, copy = (quarantine_lib.QuarantineTable() for _ in range(2))
    for number, at_ms in enumerate((0, 300_000, 599_000)):
        report(table, number, b"x", b"%d" % number, now_ms=NOW_MS + at_ms)
    now_ms = NOW_MS + 1_000_000
    report(table, 9, b"y", now_ms=now_ms)
    for key, crash in table.list_crashes():
        copy.restore(key, crash)
    for each in (table, copy):
        assert each.find(b"x", now_ms) is not None
        assert not each.is_suspected(b"0")


@pytest.mark.parametrize("seed", range(8))
def test_a_snapshot_gives_the_same_table_as_the_commands(monkeypatch, seed):
    """Guards against members that disagree on what is quarantined."""
    monkeypatch.setattr(quarantine_lib, "MAX_CRASHES", 12)
    monkeypatch.setattr(quarantine_lib, "MAX_QUARANTINED", 3)
    monkeypatch.setattr(quarantine_lib, "MAX_FINGERPRINTS_PER_CRASH", 4)
    rng = random.Random(seed)
    table = quarantine_lib.QuarantineTable()
    now_ms = NOW_MS
    names = [b"%d" % number for number in range(10)]
    seen = set()
    for _ in range(600):
        now_ms += rng.randrange(90_000)
        if rng.random() < 0.3:
            seen.add(("cleared", table.clear(rng.choice(names))))
        else:
            chosen = rng.sample(names, rng.randrange(1, 4))
            report(table, rng.randrange(30), *chosen, now_ms=now_ms)
        copy = quarantine_lib.QuarantineTable()
        for key, crash in table.list_crashes():
            copy.restore(key, crash)
        assert list(copy.list_crashes()) == list(table.list_crashes())
        assert list(copy._until_ms.items()) == list(table._until_ms.items())
        for each in names:
            assert copy.is_suspected(each) == table.is_suspected(each)
            assert copy.find(each, now_ms) == table.find(each, now_ms)
        seen.add(("quarantined", len(table)))
    assert seen >= {("cleared", True), ("cleared", False), ("quarantined", 3)}
