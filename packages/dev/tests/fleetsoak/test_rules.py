"""Tests that each check of the site soak finds what it is for."""

import pytest

from bamboosill_dev.fleetsoak import records
from bamboosill_dev.fleetsoak import rules

_BOUNDS = rules.Bounds()
_END = records.ArrivalEnd


def _request(attempt="a", **changes):
    request = records.Request(
        attempt,
        service="plain",
        is_order=False,
        entry="entry-1",
        sent_s=100.0,
        ended_s=100.5,
        budget_s=2.0,
        status=records.CLOSED,
        is_kept=False,
        is_behind=False,
    )
    return request._replace(**changes)


def _arrival(attempt="a", end=_END.CLOSED_BY_SENDER, upstream="u", at_s=100.1):
    arrival = records.Arrival(attempt, "plain", upstream, at_s, 2000)
    arrival.finish(end, at_s + 0.1)
    return arrival


def _find(requests=(), arrivals=(), events=(), **others):
    record = records.Record()
    record.requests += requests
    record.arrivals += arrivals
    record.events += [records.Event(*each) for each in events]
    for name, value in others.items():
        setattr(record, name, value)
    found = rules.find_violations(record, _BOUNDS)
    return {each.partition(": ")[0] for each in found}


_TERM = ("entry-1", "SIGTERM", 100.2)
_HUP = ("entry-1", "SIGHUP", 99.5)


@pytest.mark.parametrize(
    ("request_changes", "arrivals", "events", "is_lost"),
    [
        ({}, [_arrival()], [_TERM], True),
        ({}, [_arrival()], [_HUP], True),
        # Behind another one, and passed on.
        ({"is_behind": True}, [_arrival()], [_TERM], True),
        ({"is_behind": True}, [], [_TERM], False),
        # Read, but not passed on within the slack.
        ({}, [], [_TERM], True),
        ({"ended_s": 100.15}, [], [_TERM], False),
        ({"status": 503}, [], [_TERM], False),
        ({"status": records.GIVEN_UP}, [_arrival()], [_TERM], False),
        ({}, [_arrival()], [], False),
        ({}, [_arrival()], [("entry-2", "SIGTERM", 100.2)], False),
        ({}, [_arrival(end=_END.BROKEN_OFF)], [_TERM], False),
        ({}, [_arrival()], [_TERM, ("entry-1", "SIGKILL", 100.3)], False),
        ({}, [_arrival()], [_TERM, ("control-1", "SIGTERM", 98.0)], False),
        ({}, [_arrival()], [_TERM, ("control-1", "SIGHUP", 98.0)], True),
        # The time budget was reached.
        ({"ended_s": 102.0}, [_arrival()], [_TERM], False),
        # In the last sixth of the grace period, sent soon after SIGTERM.
        ({"ended_s": 100.6}, [_arrival()], [(*_TERM[:2], 95.5)], True),
        (
            {"sent_s": 98.4, "ended_s": 100.3},
            [_arrival()],
            [(*_TERM[:2], 95.5)],
            True,
        ),
        (
            {"sent_s": 98.6, "ended_s": 100.55},
            [_arrival()],
            [(*_TERM[:2], 95.5)],
            True,
        ),
        (
            {"sent_s": 98.49, "ended_s": 100.51},
            [_arrival()],
            [(*_TERM[:2], 95.5)],
            False,
        ),
    ],
)
def test_requests_that_are_lost_around_planned_work(
    request_changes, arrivals, events, is_lost
):
    """Guards against a soak that does not see cut requests, or too many."""
    found = _find([_request(**request_changes)], arrivals, events)
    assert ("LOST around planned work" in found) == is_lost


@pytest.mark.parametrize(
    ("count", "request_changes", "end", "events", "is_lost"),
    [
        (4, {}, _END.CLOSED_BY_SENDER, [], True),
        (4, {}, _END.ANSWERED, [], True),
        (3, {}, _END.CLOSED_BY_SENDER, [], False),
        (4, {"is_kept": False}, _END.CLOSED_BY_SENDER, [], False),
        (4, {"status": 502}, _END.CLOSED_BY_SENDER, [], False),
        (4, {}, _END.TURNED_AWAY, [], False),
        (4, {}, _END.BROKEN_OFF, [], False),
        (4, {}, _END.ANSWERED, [("entry-1", "SIGCONT", 98.0)], False),
        (4, {}, _END.ANSWERED, [("control-1", "start", 98.0)], False),
        (4, {}, _END.ANSWERED, [("entry-1", "SIGCONT", 97.0)], True),
    ],
)
def test_requests_that_are_lost_at_any_time(
    count, request_changes, end, events, is_lost
):
    """Guards against a soak that does not see closed connections."""
    changes = {"is_kept": True, **request_changes}
    names = [f"a{number}" for number in range(count)]
    found = _find(
        [_request(name, **changes) for name in names],
        [_arrival(name, end) for name in names],
        events,
    )
    assert ("LOST at any time" in found) == is_lost


@pytest.mark.parametrize(
    ("requests", "repeats", "is_broken"),
    [(0, 56, False), (0, 57, True), (100, 76, False), (100, 77, True)],
)
def test_repeats_beyond_the_budget(requests, repeats, is_broken):
    """Guards against a soak that does not see that repeats pile up."""
    found = _find(
        [_request(f"r{number}", status=200) for number in range(requests)],
        [
            _arrival(f"a{number}", upstream=f"u{part}", at_s=100.0 + part)
            for number in range(repeats)
            for part in range(2)
        ],
    )
    assert ("BUDGET of repeats" in found) == is_broken


@pytest.mark.parametrize(
    ("late", "events", "is_broken"),
    [
        (3, [], False),
        (4, [], True),
        (4, [("entry-1", "SIGCONT", 105.0)], False),
    ],
)
def test_late_retries_of_a_crashing_request(late, events, is_broken):
    """Guards against a soak that does not see that upstreams go on crashing."""
    names = [f"a{number}" for number in range(late)]
    found = _find(
        [_request(name, sent_s=106.0, ended_s=106.1) for name in names],
        [_arrival(name, _END.BROKEN_OFF, at_s=106.05) for name in names],
        events,
        crashes={"/p": [100.0, 101.0, 102.0]},
        crashing_attempts={"/p": names},
    )
    assert ("BUDGET of crashes" in found) == is_broken


def test_attempts_at_too_many_upstreams():
    """Guards against a soak that does not see attempts that spread."""
    arrivals = [
        _arrival(f"a{number}", _END.ANSWERED, upstream)
        for number in range(4)
        for upstream in "uvw"
    ]
    assert "BUDGET of upstreams" in _find([], arrivals)
    assert "BUDGET of upstreams" not in _find([], arrivals[:9])


@pytest.mark.parametrize(
    ("deadline_ms", "is_broken"), [(2500, False), (2501, True), (None, True)]
)
def test_requests_with_too_much_time(deadline_ms, is_broken):
    """Guards against a soak that does not see deadlines that are not kept."""
    names = [f"a{number}" for number in range(21)]
    found = _find(
        [_request(name, status=200) for name in names],
        [
            records.Arrival(name, "plain", "u", 100.1, deadline_ms)
            for name in names
        ],
    )
    assert ("BUDGET of time" in found) == is_broken


@pytest.mark.parametrize(
    ("status", "ends", "is_broken"),
    [
        (200, [_END.ANSWERED], False),
        (503, [_END.TURNED_AWAY], False),
        (503, [_END.ANSWERED], True),
        (502, [_END.ANSWERED], False),
        (200, [_END.BROKEN_OFF, _END.ANSWERED], True),
    ],
)
def test_orders_that_ran_twice_or_after_a_refusal(status, ends, is_broken):
    """Guards against a soak that does not see false statements."""
    found = _find(
        [_request(is_order=True, status=status)],
        [_arrival(end=end, upstream=end.value) for end in ends],
    )
    assert ("REFUSED or TWICE" in found) == is_broken


def test_faults_are_violations():
    """Guards against an end of a process that is noted and not told."""
    assert _find(faults=["entry-1 ended with -1 by itself"]) == {"FAULT"}


@pytest.mark.parametrize(
    ("status", "is_broken"),
    [
        (0, True),
        (99, True),
        (100, False),
        (599, False),
        (600, True),
        (records.CLOSED, False),
        (records.GIVEN_UP, False),
    ],
)
def test_statuses_that_no_response_may_have(status, is_broken):
    """Guards against status 000 that is taken for a closed connection."""
    found = _find([_request(status=status)])
    assert ("STATUS" in found) == is_broken
