"""Explains the unavailable times of a kept fault run by its timeline.

Command `python -m bamboosill_dev.faults.explain FOLDER`.
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

# Gaps below this are retries and moves in passing.
SHORTEST_GAP_S = 0.5
# A fault or event this long before a gap can still be its cause.
_BEFORE_MS = 2500


class Gap(NamedTuple):
    """Time in which a key was not served.

    Attributes:
        place: Customer and key.
        begin_ms: Wall time of the first sending without an answer.
        end_ms: Wall time of the next answer.
        reasons: Reasons told in between, with their numbers.
    """

    place: tuple[str, str]
    begin_ms: int
    end_ms: int
    reasons: str


def find_gaps(told: list[history.Told], offset_ms: int) -> list[Gap]:
    """Returns the gaps of all keys, longest first."""
    by_key = collections.defaultdict(list)
    for each in told:
        if not each.final:
            by_key[each.customer, each.key].append(each)
    gaps = []
    for place, sent in by_key.items():
        sent.sort(key=lambda each: each.end_ns)
        failed: list[history.Told] = []
        for each in sent:
            if each.outcome != "answer":
                failed.append(each)
                continue
            if failed:
                counts = collections.Counter(
                    f"{one.outcome}/{one.reason}" for one in failed
                )
                gaps.append(
                    Gap(
                        place,
                        failed[0].start_ns // 1_000_000 + offset_ms,
                        each.end_ns // 1_000_000 + offset_ms,
                        ", ".join(f"{n}x {r}" for r, n in counts.items()),
                    )
                )
            failed = []
    return sorted(gaps, key=lambda gap: gap.begin_ms - gap.end_ms)


def list_causes(
    gap: Gap, faults: list[dict[str, Any]], events: list[dict[str, Any]]
) -> tuple[list[str], list[str]]:
    """Returns the faults and events that touch a gap."""
    begun_ms = gap.begin_ms - _BEFORE_MS
    touching = [
        f"{fault['kind']}:{fault['name']}"
        for fault in faults
        if fault["begin_ms"] <= gap.end_ms and fault["end_ms"] >= begun_ms
    ]
    near = [
        f"{event['time_ms'] - gap.begin_ms:+d} ms {event['instance']} "
        f"{event['part']} {event['name']} {event['fields']}"
        for event in events
        if begun_ms <= event["time_ms"] <= gap.end_ms
    ]
    return touching, near


def explain(folder: pathlib.Path, most_events: int) -> None:
    """Prints the gaps of a run with their causes."""
    kept = json.loads((folder / "faults.json").read_text())
    lines = (folder / "callers.jsonl").read_text().splitlines()
    told = [history.read_told(json.loads(line)) for line in lines]
    path = folder / "events.json"
    events = json.loads(path.read_text())["events"] if path.exists() else []
    gaps = find_gaps(told, kept["offset_ms"])
    long = [
        gap
        for gap in gaps
        if gap.end_ms - gap.begin_ms >= 1000 * SHORTEST_GAP_S
    ]
    rows = []
    for gap in long:
        touching, _ = list_causes(gap, kept["faults"], events)
        rows.append(
            (
                "/".join(gap.place),
                gap.begin_ms - kept["begun_ms"],
                gap.end_ms - gap.begin_ms,
                gap.reasons,
                "; ".join(touching) or "NONE",
            )
        )
    titles = ("key", "begin ms", "length ms", "told", "faults")
    print(tabulate.tabulate(rows, titles))
    if long:
        _, near = list_causes(long[0], kept["faults"], events)
        print(f"\nEvents around the longest gap ({'/'.join(long[0].place)}):")
        print("\n".join(near[:most_events]))


def main() -> int:
    """Reads the command line and explains a run."""
    parser = argparse.ArgumentParser(prog="bamboosill_dev.faults.explain")
    parser.add_argument("folder", type=pathlib.Path)
    parser.add_argument("--events", type=int, default=80)
    options = parser.parse_args()
    explain(options.folder, options.events)
    return 0


if __name__ == "__main__":
    sys.exit(main())
