"""Checks what upstreams recorded against what callers were told."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import itertools
from typing import Any
from typing import NamedTuple

_DONE = "done"


class Run(NamedTuple):
    """One executed request, as an upstream recorded it."""

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


class Told(NamedTuple):
    """One line of a caller's record.

    Attributes:
        final: Whether this is what the caller knows in the end, after all
            sendings.
        body: Parsed answer, or None.
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
    """Counts of one history; the first five must be zero."""

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
        """Whether everything held that must always hold."""
        return not any(self[:5])


def read_run(line: Mapping[str, Any]) -> Run | None:
    """Returns the run in a line of an upstream's record, if it took effect."""
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


def read_told(line: Mapping[str, Any]) -> Told:
    """Returns a line of a caller's record."""
    return Told(
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


def check(runs: Sequence[Run], told: Sequence[Told]) -> Verdict:
    """Returns the verdict on one history."""
    details: list[str] = []
    two_owners, moves = _count_owner_faults(runs, details)
    ran = collections.Counter(run.id for run in runs if not run.repeatable)
    for request_id, count in ran.items():
        if count > 1:
            details.append(f"{request_id} ran {count} times")
    counts = _count_told_faults(runs, told, details)
    return Verdict(
        two_owners=two_owners,
        ran_twice=sum(count > 1 for count in ran.values()),
        not_run_but_ran=counts["not_run_but_ran"],
        wrong_answers=counts["wrong_answers"],
        lost_acknowledged=counts["lost_acknowledged"],
        unknown_outcomes=sum(
            each.final and each.outcome == "unknown" for each in told
        ),
        longest_unavailable_s=compute_longest_gap_s(told),
        moves=moves,
        details=tuple(details),
    )


def _count_owner_faults(
    runs: Iterable[Run], details: list[str]
) -> tuple[int, int]:
    """Returns overlaps or reversals of owners, and changes of owner.

    For one key, the runs of an older fence must all have ended when the first
    run of a newer fence by another owner begins.
    """
    by_key: dict[tuple[str, str, str], list[Run]] = collections.defaultdict(
        list
    )
    for run in runs:
        by_key[run.keyspace, run.customer, run.key].append(run)
    faults = moves = 0
    for key, owned in by_key.items():
        owned.sort(key=lambda run: run.start_ns)
        owners = [(run.upstream, run.incarnation) for run in owned]
        moves += sum(one != other for one, other in itertools.pairwise(owners))
        latest: Run | None = None
        for run in owned:
            if latest is not None and _overlaps(latest, run):
                faults += 1
                details.append(f"two owners of {key}: {latest} and {run}")
            if latest is None or run.end_ns > latest.end_ns:
                latest = run
        fences = collections.defaultdict(set)
        for run in owned:
            fences[run.fence].add((run.upstream, run.incarnation))
        for fence, holders in fences.items():
            if len(holders) > 1:
                faults += 1
                details.append(f"fence {fence} of {key} had {holders}")
    return faults, moves


def _overlaps(earlier: Run, later: Run) -> bool:
    same = (earlier.upstream, earlier.incarnation) == (
        later.upstream,
        later.incarnation,
    )
    if same:
        return False
    return later.start_ns < earlier.end_ns or later.fence <= earlier.fence


def _count_told_faults(
    runs: Sequence[Run], told: Iterable[Told], details: list[str]
) -> collections.Counter[str]:
    ran = {run.id for run in runs}
    counts: collections.Counter[str] = collections.Counter()

    def count(name: str, each: Told) -> None:
        counts[name] += 1
        details.append(f"{name}: {each}")

    for each in told:
        # A resend of a non-repeatable request shares its id with the first
        # sending, so only what the caller knows in the end can be judged.
        judged = each.final or each.repeatable
        if judged and each.outcome == "not-run" and each.id in ran:
            count("not_run_but_ran", each)
        if each.outcome != "answer":
            continue
        if each.id not in ran and not each.repeatable:
            count("lost_acknowledged", each)
        wrong_key = isinstance(each.body, dict) and (
            each.body.get("key", each.key) != each.key
        )
        unread = each.status in (200, 201) and not isinstance(each.body, dict)
        if wrong_key or unread or each.status not in (200, 201, 208):
            count("wrong_answers", each)
    return counts


def compute_longest_gap_s(told: Iterable[Told]) -> float:
    """Returns the longest time in seconds in which a key was not served.

    A gap begins with the first sending that got no answer and ends with the
    next answer for the same key.
    """
    by_key: dict[tuple[str, str], list[Told]] = collections.defaultdict(list)
    for each in told:
        if not each.final:
            by_key[each.customer, each.key].append(each)
    longest_ns = 0
    for sent in by_key.values():
        sent.sort(key=lambda each: each.end_ns)
        failed_ns: int | None = None
        for each in sent:
            if each.outcome == "answer":
                if failed_ns is not None:
                    longest_ns = max(longest_ns, each.end_ns - failed_ns)
                failed_ns = None
            elif failed_ns is None:
                failed_ns = each.start_ns
    return longest_ns / 1e9
