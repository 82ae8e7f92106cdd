"""Checks the rules FAULT, STATUS, LOST and BUDGET on the record of a site soak.

A registry that `_check` fills names each check after its rule.
"""

from collections.abc import Callable
from collections.abc import Iterator
from typing import NamedTuple

from bamboosill_dev.fleetsoak import records

Check = Callable[[records.Record, "Bounds"], Iterator[str]]


class Bounds(NamedTuple):
    """Bounds of the installation, in seconds where no unit is named."""

    contact_s: float = 3.0
    grace_s: float = 6.0
    config_apply_s: float = 2.0
    loss_slack_s: float = 0.2
    route_timeout_s: float = 2.0
    max_upstreams: int = 2
    retry_ratio: float = 0.2
    retry_constant: int = 56
    retry_window_s: float = 10.0


# What the rules allow.
_MAX_LOST_AT_ANY_TIME = 3
_MAX_WIDE_ATTEMPTS = 3
_MAX_LATE_RETRIES = 3
_MAX_LONG_DEADLINES, _MAX_LONG_DEADLINE_SHARE = 20, 0.2
_DEADLINE_SLACK_MS = 500
# The SIGTERM of a process counts as planned work for this long after `grace`.
_AFTER_GRACE_S = 1.0
# A request that was sent this long after SIGTERM may be cut in the last sixth.
_LATE_AFTER_SIGTERM_S = 3.0
_LAST_PART_OF_GRACE = 1 / 6
_FIRST_STATUS, _LAST_STATUS = 100, 599
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_UNPLANNED = frozenset(("SIGKILL", "SIGSTOP", "SIGCONT"))
_CONTROL_PREFIX = "control"

CHECKS: dict[str, Check] = {}


def _check(name: str) -> Callable[[Check], Check]:
    def register(check: Check) -> Check:
        CHECKS[name] = check
        return check

    return register


def find_violations(record: records.Record, bounds: Bounds) -> tuple[str, ...]:
    """Returns what breaks a rule, each with the name of its check."""
    return tuple(
        f"{name}: {detail}"
        for name, check in CHECKS.items()
        for detail in check(record, bounds)
    )


@_check("FAULT")
def _find_faults(record: records.Record, bounds: Bounds) -> Iterator[str]:
    del bounds
    yield from record.faults


@_check("STATUS")
def _find_invalid_statuses(
    record: records.Record, bounds: Bounds
) -> Iterator[str]:
    del bounds
    for each in record.requests:
        if each.status in (records.CLOSED, records.GIVEN_UP):
            continue
        if not _FIRST_STATUS <= each.status <= _LAST_STATUS:
            yield f"{each.attempt} at {each.entry} got status {each.status}"


def _has_event(
    record: records.Record,
    entry: str,
    since_s: float,
    until_s: float,
    kinds: frozenset[str] | None = None,
) -> bool:
    """Returns whether an entry or control instance was disturbed.

    Args:
        record: The record of the run.
        entry: The entry instance.
        since_s: Start of the time.
        until_s: End of the time.
        kinds: Kinds of events that count at the entry instance; all if None.
            At control instances, all but `SIGHUP` count.
    """
    for event in record.events:
        if not since_s <= event.at_s <= until_s:
            continue
        if event.process == entry and (kinds is None or event.kind in kinds):
            return True
        is_control = event.process.startswith(_CONTROL_PREFIX)
        if is_control and event.kind != "SIGHUP":
            return True
    return False


def _map_arrivals(
    record: records.Record,
) -> dict[str, list[records.Arrival]]:
    by_attempt: dict[str, list[records.Arrival]] = {}
    for each in record.arrivals:
        by_attempt.setdefault(each.attempt, []).append(each)
    return by_attempt


def _is_sound(arrival: records.Arrival) -> bool:
    """Returns whether the upstream neither refused nor broke off the work."""
    return arrival.end not in (
        records.ArrivalEnd.TURNED_AWAY,
        records.ArrivalEnd.BROKEN_OFF,
    )


@_check("LOST at any time")
def _find_lost(record: records.Record, bounds: Bounds) -> Iterator[str]:
    arrivals = _map_arrivals(record)
    lost: dict[str, list[str]] = {}
    for each in record.requests:
        if each.status != records.CLOSED or not each.is_kept:
            continue
        reached = [
            arrival
            for arrival in arrivals.get(each.attempt, ())
            if arrival.arrived_s <= each.ended_s
        ]
        is_in_touch = not _has_event(
            record, each.entry, each.ended_s - bounds.contact_s, each.ended_s
        )
        if reached and all(map(_is_sound, reached)) and is_in_touch:
            lost.setdefault(each.entry, []).append(each.attempt)
    for entry, attempts in lost.items():
        if len(attempts) > _MAX_LOST_AT_ANY_TIME:
            yield f"{entry} closed {len(attempts)} requests, {attempts[:5]}"


@_check("LOST around planned work")
def _find_lost_by_plan(record: records.Record, bounds: Bounds) -> Iterator[str]:
    arrivals = _map_arrivals(record)
    for each in record.requests:
        if each.status != records.CLOSED:
            continue
        reached = arrivals.get(each.attempt, [])
        if each.is_behind and not reached:
            continue
        elapsed_s = each.ended_s - each.sent_s
        if elapsed_s >= min(each.budget_s, bounds.route_timeout_s):
            continue
        if not reached and elapsed_s <= bounds.loss_slack_s:
            continue
        if not all(map(_is_sound, reached)):
            continue
        if _has_event(
            record,
            each.entry,
            each.sent_s - bounds.contact_s,
            each.ended_s,
            _UNPLANNED,
        ):
            continue
        reason = _find_planned_work(record, each, bounds)
        if reason:
            yield (
                f"{each.attempt} at {each.entry}, sent {each.sent_s:.2f}, "
                f"ended {each.ended_s:.2f}, upstreams {len(reached)}: {reason}"
            )


def _find_planned_work(
    record: records.Record, request: records.Request, bounds: Bounds
) -> str:
    """Returns the planned work that a lost request counts for, or nothing."""
    for event in record.events:
        if event.process != request.entry:
            continue
        since_s = request.ended_s - event.at_s
        if event.kind == "SIGTERM":
            is_late_cut = (
                since_s >= bounds.grace_s * (1 - _LAST_PART_OF_GRACE)
                and request.sent_s <= event.at_s + _LATE_AFTER_SIGTERM_S
            )
            is_near = 0 <= since_s <= bounds.grace_s + _AFTER_GRACE_S
            if is_near and not is_late_cut:
                return f"SIGTERM at {event.at_s:.2f}"
        is_sent_soon = request.sent_s <= event.at_s + bounds.config_apply_s
        if event.kind == "SIGHUP" and since_s >= 0 and is_sent_soon:
            return f"SIGHUP at {event.at_s:.2f}"
    return ""


@_check("BUDGET of repeats")
def _find_repeats(record: records.Record, bounds: Bounds) -> Iterator[str]:
    sent: dict[str, list[float]] = {}
    for each in record.requests:
        sent.setdefault(each.service, []).append(each.sent_s)
    seen: set[str] = set()
    repeats: dict[str, list[float]] = {}
    for arrival in sorted(record.arrivals, key=lambda each: each.arrived_s):
        if arrival.attempt in seen:
            repeats.setdefault(arrival.service, []).append(arrival.arrived_s)
        seen.add(arrival.attempt)
    window_s = bounds.retry_window_s
    for service, times in repeats.items():
        for first_s in times:
            count = _count(times, first_s, window_s)
            requests = max(
                _count(sent.get(service, []), first_s - shift_s, window_s)
                for shift_s in (0.0, window_s / 2, window_s)
            )
            allowed = bounds.retry_ratio * requests + bounds.retry_constant
            if count > allowed:
                yield (
                    f"{service} got {count} repeats in {window_s} s from "
                    f"{first_s:.2f}, {allowed:.0f} are allowed"
                )
                break


def _count(times_s: list[float], first_s: float, window_s: float) -> int:
    return sum(first_s <= each < first_s + window_s for each in times_s)


@_check("BUDGET of upstreams")
def _find_wide_attempts(
    record: records.Record, bounds: Bounds
) -> Iterator[str]:
    wide = [
        attempt
        for attempt, arrivals in _map_arrivals(record).items()
        if len({each.upstream for each in arrivals if _is_sound(each)})
        > bounds.max_upstreams
    ]
    if len(wide) > _MAX_WIDE_ATTEMPTS:
        yield f"{len(wide)} attempts ran at too many upstreams, {wide[:5]}"


@_check("BUDGET of crashes")
def _find_late_crashes(record: records.Record, bounds: Bounds) -> Iterator[str]:
    arrivals = _map_arrivals(record)
    requests = {each.attempt: each for each in record.requests}
    for path, times_s in record.crashes.items():
        if len(times_s) < 3:
            continue
        late_s = sorted(times_s)[2] + bounds.contact_s
        late = [
            attempt
            for attempt in record.crashing_attempts.get(path, ())
            if any(
                each.arrived_s > late_s for each in arrivals.get(attempt, ())
            )
            and attempt in requests
            and not _has_event(
                record,
                requests[attempt].entry,
                requests[attempt].sent_s - bounds.contact_s,
                requests[attempt].ended_s,
            )
        ]
        if len(late) > _MAX_LATE_RETRIES:
            yield f"{path} reached upstreams in {len(late)} late retries"


@_check("BUDGET of time")
def _find_long_deadlines(
    record: records.Record, bounds: Bounds
) -> Iterator[str]:
    del bounds
    budgets_ms = {
        each.attempt: each.budget_s * 1000 + _DEADLINE_SLACK_MS
        for each in record.requests
    }
    known = [each for each in record.arrivals if each.attempt in budgets_ms]
    long = [
        each
        for each in known
        if each.deadline_ms is None
        or each.deadline_ms > budgets_ms[each.attempt]
    ]
    if len(long) > max(
        _MAX_LONG_DEADLINES, _MAX_LONG_DEADLINE_SHARE * len(known)
    ):
        yield f"{len(long)} of {len(known)} requests had too much time"


@_check("REFUSED or TWICE")
def _find_false_refusals(
    record: records.Record, bounds: Bounds
) -> Iterator[str]:
    del bounds
    arrivals = _map_arrivals(record)
    for each in record.requests:
        runs = [
            arrival
            for arrival in arrivals.get(each.attempt, ())
            if arrival.end != records.ArrivalEnd.TURNED_AWAY
        ]
        if each.is_order and len(runs) > 1:
            yield f"{each.attempt} ran {len(runs)} times"
        if each.is_order and runs and each.status in _NOT_RUN_STATUSES:
            yield f"{each.attempt} was refused with {each.status} and ran"
