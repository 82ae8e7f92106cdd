"""Relates gaps in the availability of keys to the faults of a recorded run.

Reads the directory of a run with `--keep` and prints each gap with the faults
that may have caused it, and the events around the longest one.

Usage: `python -m bamboosill_dev.faults.explain FOLDER`.
"""

import argparse
import collections
import json
import pathlib
import sys
from typing import Any
from typing import NamedTuple

import tabulate

from bamboosill_dev.faults import history

# Shorter gaps are normal for retries and for moves of keys.
MIN_GAP_S = 0.5
# A fault or event up to this long before a gap can be its cause.
_CAUSE_WINDOW_MS = 2500


class Gap(NamedTuple):
    """Interval in which a key was not served.

    Attributes:
        customer_key: Customer and key.
        begin_ms: Wall clock time of the first attempt that was not answered.
        end_ms: Wall clock time of the next answer.
        reasons: Outcomes and reasons of the failed attempts, with counts.
    """

    customer_key: tuple[str, str]
    begin_ms: int
    end_ms: int
    reasons: str


def find_gaps(records: list[history.CallerRecord], offset_ms: int) -> list[Gap]:
    """Returns the gaps of all keys, longest first."""
    by_key = collections.defaultdict(list)
    for record in records:
        if not record.final:
            by_key[record.customer, record.key].append(record)
    gaps = []
    for customer_key, attempts in by_key.items():
        attempts.sort(key=lambda attempt: attempt.end_ns)
        failed: list[history.CallerRecord] = []
        for attempt in attempts:
            if attempt.outcome != "answer":
                failed.append(attempt)
                continue
            if failed:
                counts = collections.Counter(
                    f"{each.outcome}/{each.reason}" for each in failed
                )
                gaps.append(
                    Gap(
                        customer_key,
                        failed[0].start_ns // 1_000_000 + offset_ms,
                        attempt.end_ns // 1_000_000 + offset_ms,
                        ", ".join(
                            f"{count}x {reason}"
                            for reason, count in counts.items()
                        ),
                    )
                )
            failed = []
    return sorted(gaps, key=lambda gap: gap.begin_ms - gap.end_ms)


def list_possible_causes(
    gap: Gap, faults: list[dict[str, Any]], events: list[dict[str, Any]]
) -> tuple[list[str], list[str]]:
    """Returns the faults and events during a gap or shortly before it."""
    from_ms = gap.begin_ms - _CAUSE_WINDOW_MS
    overlapping_faults = [
        f"{fault['kind']}:{fault['name']}"
        for fault in faults
        if fault["begin_ms"] <= gap.end_ms and fault["end_ms"] >= from_ms
    ]
    nearby_events = [
        f"{event['time_ms'] - gap.begin_ms:+d} ms {event['instance']} "
        f"{event['part']} {event['name']} {event['fields']}"
        for event in events
        if from_ms <= event["time_ms"] <= gap.end_ms
    ]
    return overlapping_faults, nearby_events


def explain(folder: pathlib.Path, max_events: int) -> None:
    """Prints the gaps of a run with their possible causes."""
    run_data = json.loads((folder / "faults.json").read_text())
    lines = (folder / "callers.jsonl").read_text().splitlines()
    records = [history.parse_caller_record(json.loads(line)) for line in lines]
    path = folder / "events.json"
    events = json.loads(path.read_text())["events"] if path.exists() else []
    gaps = find_gaps(records, run_data["offset_ms"])
    long_gaps = [
        gap for gap in gaps if gap.end_ms - gap.begin_ms >= 1000 * MIN_GAP_S
    ]
    rows = []
    for gap in long_gaps:
        overlapping_faults, _ = list_possible_causes(
            gap, run_data["faults"], events
        )
        rows.append(
            (
                "/".join(gap.customer_key),
                gap.begin_ms - run_data["begun_ms"],
                gap.end_ms - gap.begin_ms,
                gap.reasons,
                "; ".join(overlapping_faults) or "NONE",
            )
        )
    titles = ("key", "begin ms", "length ms", "told", "faults")
    print(tabulate.tabulate(rows, titles))
    if long_gaps:
        _, nearby_events = list_possible_causes(
            long_gaps[0], run_data["faults"], events
        )
        print(
            f"\nEvents around the longest gap "
            f"({'/'.join(long_gaps[0].customer_key)}):"
        )
        print("\n".join(nearby_events[:max_events]))


def main() -> int:
    """Parses the command line and explains a run."""
    parser = argparse.ArgumentParser(prog="bamboosill_dev.faults.explain")
    parser.add_argument("folder", type=pathlib.Path)
    parser.add_argument("--events", type=int, default=80)
    options = parser.parse_args()
    explain(options.folder, options.events)
    return 0


if __name__ == "__main__":
    sys.exit(main())
