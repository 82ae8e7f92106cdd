"""Tests of the history checker and of the fault plans."""

import pytest

from bamboosill_dev.faults import history
from bamboosill_dev.faults import plan

NS_PER_S = 1_000_000_000


def make_run(id_="r1", key="k", fence=1, upstream="u1", start=0, end=1, **more):
    return history.Run(
        id_,
        "c",
        key,
        "ks",
        fence,
        upstream,
        more.get("incarnation", 1),
        start * NS_PER_S,
        end * NS_PER_S,
        more.get("repeatable", False),
    )


def make_record(id_="r1", outcome="answer", status=201, **more):
    return history.CallerRecord(
        id_,
        more.get("final", True),
        "c",
        more.get("key", "k"),
        more.get("repeatable", False),
        status,
        outcome,
        "",
        more.get("start", 0) * NS_PER_S,
        more.get("end", 1) * NS_PER_S,
        more.get("body", {"key": "k"}),
    )


CASES = [
    ("clean", [make_run()], [make_record()], {}),
    (
        "overlap",
        [
            make_run(end=3),
            make_run("r2", fence=2, upstream="u2", start=2, end=4),
        ],
        [],
        {"two_owners": 1, "moves": 1},
    ),
    (
        "older fence after newer",
        [
            make_run(fence=2),
            make_run("r2", fence=1, upstream="u2", start=2, end=3),
        ],
        [],
        {"two_owners": 1, "moves": 1},
    ),
    (
        "long run overlaps a later owner",
        [
            make_run(end=9),
            make_run("r2", start=1, end=2),
            make_run("r3", fence=2, upstream="u2", start=5, end=6),
        ],
        [],
        {"two_owners": 1, "moves": 1},
    ),
    (
        "one fence, two incarnations",
        [make_run(), make_run("r2", incarnation=2, start=2, end=3)],
        [],
        {"two_owners": 2, "moves": 1},
    ),
    (
        "orderly move",
        [make_run(), make_run("r2", fence=2, upstream="u2", start=2, end=3)],
        [],
        {"moves": 1},
    ),
    (
        "ran twice",
        [make_run(), make_run(start=2, end=3)],
        [make_record()],
        {"ran_twice": 1},
    ),
    (
        "repeatable may run twice",
        [make_run(repeatable=True), make_run(start=2, end=3, repeatable=True)],
        [],
        {},
    ),
    (
        "not run but ran",
        [make_run()],
        [make_record(outcome="not-run", status=503)],
        {"not_run_but_ran": 1},
    ),
    ("lost order", [], [make_record()], {"lost_acknowledged": 1}),
    (
        "answer for another key",
        [make_run()],
        [make_record(body={"key": "x"})],
        {"wrong_answers": 1},
    ),
    (
        "truncated answer",
        [make_run()],
        [make_record(body=None)],
        {"wrong_answers": 1},
    ),
    (
        "unknown is allowed and counted",
        [make_run()],
        [make_record(outcome="unknown", status=502)],
        {"unknown_outcomes": 1},
    ),
]


@pytest.mark.parametrize(
    ("name", "runs", "told", "expected"), CASES, ids=[case[0] for case in CASES]
)
def test_verdict(name, runs, told, expected):
    """Guards against missed violations and against false reports."""
    del name
    verdict = history.check(runs, told)
    counts = {
        key: value
        for key, value in verdict._asdict().items()
        if key not in ("details", "longest_unavailable_s") and value
    }
    assert counts == expected
    assert verdict.is_clean == (
        not expected.keys() - {"moves", "unknown_outcomes"}
    )


def test_gap_spans_failures_until_the_next_answer():
    """Guards against a gap that is counted in parts, one per failed attempt."""
    records = [
        make_record("a", "not-run", 503, final=False, start=1, end=2),
        make_record("b", "unknown", 504, final=False, start=3, end=4),
        make_record("c", final=False, start=4, end=6),
        make_record("d", "not-run", 503, final=False, start=6, end=7, key="k2"),
    ]
    assert history.compute_longest_gap_s(records) == 5.0


def test_gap_lasts_until_the_end_if_a_key_is_never_served_again():
    """Guards against a report without the key that was lost for good."""
    records = [
        make_record("a", final=False, start=0, end=1),
        make_record("b", "not-run", 503, final=False, start=1, end=2),
        make_record("c", final=False, start=8, end=9, key="k2"),
    ]
    assert history.compute_longest_gap_s(records) == 8.0


def test_plan_is_reproducible_by_seed():
    """Guards against fault plans that a seed does not reproduce."""
    assert plan.make_plan(7) == plan.make_plan(7)
    assert plan.make_plan(7) != plan.make_plan(8)


@pytest.mark.parametrize("seed", range(20))
def test_plan_is_bounded_and_overlaps(seed):
    """Guards against runs without overlapping faults and unbounded runs."""
    faults_plan = plan.make_plan(seed)
    last, previous = faults_plan.faults[-1], faults_plan.faults[-2]
    assert (
        previous.begin_s < last.begin_s < previous.begin_s + previous.duration_s
    )
    assert len({fault.kind for fault in faults_plan.faults}) >= 3
    assert faults_plan.load_s < 60
