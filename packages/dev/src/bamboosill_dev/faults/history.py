"""Checks the records of upstreams against those of callers.

Finds keys with two owners at a time, non-repeatable requests that ran twice,
refused requests that ran, wrong answers, and acknowledged requests that no
upstream ran.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import itertools
from typing import Any
from typing import NamedTuple

_DONE = "done"


class Run(NamedTuple):
    """One request that took effect, as an upstream recorded it."""

    id: str
    customer: str
    key: str
    keyspace: str
    fence: int
    upstream: str
    incarnation: int
    start_ns: int
    end_ns: int
    repeatable: bool


class CallerRecord(NamedTuple):
    """One line of a caller's record: an attempt or a final outcome.

    Attributes:
        final: Whether this is the outcome after the last attempt.
        body: Parsed body of the answer, or None.
    """

    id: str
    final: bool
    customer: str
    key: str
    repeatable: bool
    status: int
    outcome: str
    reason: str
    start_ns: int
    end_ns: int
    body: Any = None


class Verdict(NamedTuple):
    """Counts of violations and other figures; the first five must be zero.

    `lost_acknowledged` counts non-repeatable requests that the caller got an
    answer to, but that no upstream ran.
    """

    two_owners: int
    ran_twice: int
    not_run_but_ran: int
    wrong_answers: int
    lost_acknowledged: int
    unknown_outcomes: int
    longest_unavailable_s: float
    moves: int
    details: tuple[str, ...]

    @property
    def is_clean(self) -> bool:
        """Whether there was no violation."""
        return not any(self[:5])


def parse_run(line: Mapping[str, Any]) -> Run | None:
    """Returns the run in a line of an upstream's record, or None.

    None stands for a request that did not take effect.
    """
    if line["outcome"] != _DONE:
        return None
    return Run(
        line["id"],
        line["customer"],
        line["key"],
        line["keyspace"],
        line["fence"],
        line["upstream"],
        line["incarnation"],
        line["start_ns"],
        line["end_ns"],
        line["method"] == "GET",
    )


def parse_caller_record(line: Mapping[str, Any]) -> CallerRecord:
    """Returns the typed form of a line of a caller's record."""
    return CallerRecord(
        line["id"],
        line["kind"] == "final",
        line["customer"],
        line["key"],
        line["repeatable"],
        line["status"],
        line["outcome"],
        line["reason"],
        line["start_ns"],
        line["end_ns"],
        line.get("body"),
    )


def check(runs: Sequence[Run], records: Sequence[CallerRecord]) -> Verdict:
    """Returns the violations and figures of one history."""
    details: list[str] = []
    two_owners, moves = _count_ownership_violations(runs, details)
    ran = collections.Counter(run.id for run in runs if not run.repeatable)
    for request_id, count in ran.items():
        if count > 1:
            details.append(f"{request_id} ran {count} times")
    counts = _count_caller_violations(runs, records, details)
    return Verdict(
        two_owners=two_owners,
        ran_twice=sum(count > 1 for count in ran.values()),
        not_run_but_ran=counts["not_run_but_ran"],
        wrong_answers=counts["wrong_answers"],
        lost_acknowledged=counts["lost_acknowledged"],
        unknown_outcomes=sum(
            record.final and record.outcome == "unknown" for record in records
        ),
        longest_unavailable_s=compute_longest_gap_s(records),
        moves=moves,
        details=tuple(details),
    )


def _count_ownership_violations(
    runs: Iterable[Run], details: list[str]
) -> tuple[int, int]:
    """Returns the number of ownership violations and of changes of owner.

    For one key, the runs of an older fence must all have ended when the first
    run of a newer fence by another owner begins.
    """
    by_key: dict[tuple[str, str, str], list[Run]] = collections.defaultdict(
        list
    )
    for run in runs:
        by_key[run.keyspace, run.customer, run.key].append(run)
    violations = moves = 0
    for key, key_runs in by_key.items():
        key_runs.sort(key=lambda run: run.start_ns)
        owners = [(run.upstream, run.incarnation) for run in key_runs]
        moves += sum(
            earlier != later for earlier, later in itertools.pairwise(owners)
        )
        latest: Run | None = None
        for run in key_runs:
            if latest is not None and _overlaps(latest, run):
                violations += 1
                details.append(f"two owners of {key}: {latest} and {run}")
            if latest is None or run.end_ns > latest.end_ns:
                latest = run
        fences = collections.defaultdict(set)
        for run in key_runs:
            fences[run.fence].add((run.upstream, run.incarnation))
        for fence, holders in fences.items():
            if len(holders) > 1:
                violations += 1
                details.append(f"fence {fence} of {key} had {holders}")
    return violations, moves


def _overlaps(earlier: Run, later: Run) -> bool:
    same_owner = (earlier.upstream, earlier.incarnation) == (
        later.upstream,
        later.incarnation,
    )
    if same_owner:
        return False
    return later.start_ns < earlier.end_ns or later.fence <= earlier.fence


def _count_caller_violations(
    runs: Sequence[Run], records: Iterable[CallerRecord], details: list[str]
) -> collections.Counter[str]:
    ran = {run.id for run in runs}
    counts: collections.Counter[str] = collections.Counter()

    def count(name: str, record: CallerRecord) -> None:
        counts[name] += 1
        details.append(f"{name}: {record}")

    for record in records:
        # All attempts of a non-repeatable request share one id, so only its
        # final outcome can be compared with the runs.
        is_comparable = record.final or record.repeatable
        if is_comparable and record.outcome == "not-run" and record.id in ran:
            count("not_run_but_ran", record)
        if record.outcome != "answer":
            continue
        if record.id not in ran and not record.repeatable:
            count("lost_acknowledged", record)
        wrong_key = isinstance(record.body, dict) and (
            record.body.get("key", record.key) != record.key
        )
        is_unparsed = record.status in (200, 201) and not isinstance(
            record.body, dict
        )
        if wrong_key or is_unparsed or record.status not in (200, 201, 208):
            count("wrong_answers", record)
    return counts


def compute_longest_gap_s(records: Iterable[CallerRecord]) -> float:
    """Returns the longest time in seconds in which a key was not served.

    A gap begins with the first attempt that is not answered and ends with the
    next answer for the same key, or with the last attempt for any key.
    """
    by_key: dict[tuple[str, str], list[CallerRecord]] = collections.defaultdict(
        list
    )
    for record in records:
        if not record.final:
            by_key[record.customer, record.key].append(record)
    longest_ns = 0
    run_end_ns = max(
        (attempt.end_ns for each in by_key.values() for attempt in each),
        default=0,
    )
    for attempts in by_key.values():
        attempts.sort(key=lambda attempt: attempt.end_ns)
        gap_start_ns: int | None = None
        for attempt in attempts:
            if attempt.outcome == "answer":
                if gap_start_ns is not None:
                    longest_ns = max(longest_ns, attempt.end_ns - gap_start_ns)
                gap_start_ns = None
            elif gap_start_ns is None:
                gap_start_ns = attempt.start_ns
        if gap_start_ns is not None:
            longest_ns = max(longest_ns, run_end_ns - gap_start_ns)
    return longest_ns / 1e9
