"""Holders of the keys of one sharded service, as ranges of key numbers."""

import bisect
from collections.abc import Iterable
from typing import Protocol

from bamboosill_common.generated import fleet as messages

KEY_COUNT = 65536
# Work is reported and counted, and keys are moved, by blocks of this size.
BLOCK_KEYS = 8
BLOCK_COUNT = KEY_COUNT // BLOCK_KEYS


class _Range(Protocol):
    """Consecutive keys."""

    @property
    def first(self) -> int: ...

    @property
    def last(self) -> int: ...


class Table:
    """All ranges of one service, sorted and without gaps.

    Attributes:
        ranges: The ranges.
        freed_count: How often a range became free so far.
    """

    def __init__(self, ranges: Iterable[messages.KeyRange] = ()) -> None:
        self.ranges = list(ranges) or [
            messages.KeyRange(first=0, last=KEY_COUNT - 1)
        ]
        self.freed_count = 0
        self._firsts = [each.first for each in self.ranges]
        # By holder, its ranges by their first key.
        self._held: dict[tuple[str, int], dict[int, messages.KeyRange]] = {}
        for each in self.ranges:
            self._add_to_holder(each)

    def find(self, key: int) -> messages.KeyRange:
        """Returns the range that contains a key."""
        return self.ranges[bisect.bisect_right(self._firsts, key) - 1]

    def put(self, new: messages.KeyRange) -> None:
        """Assigns the keys of a range anew; splits and merges as needed."""
        low = bisect.bisect_right(self._firsts, new.first) - 1
        high = bisect.bisect_right(self._firsts, new.last) - 1
        before, after = self.ranges[low], self.ranges[high]
        parts = []
        if before.first < new.first:
            parts.append(before._replace(last=new.first - 1))
        parts.append(new)
        if after.last > new.last:
            parts.append(after._replace(first=new.last + 1))
        # Adjacent ranges may now have the same holder and fence; these are
        # merged.
        low, high = max(low - 1, 0), min(high + 1, len(self.ranges) - 1)
        if self.ranges[low].last < parts[0].first:
            parts.insert(0, self.ranges[low])
        if self.ranges[high].first > parts[-1].last:
            parts.append(self.ranges[high])
        merged = _merge(parts)
        for each in self.ranges[low : high + 1]:
            self._remove_from_holder(each)
        for each in merged:
            self._add_to_holder(each)
        if not new.upstream:
            self.freed_count += 1
        self.ranges[low : high + 1] = merged
        self._firsts[low : high + 1] = [each.first for each in merged]

    def intersect(self, first: int, last: int) -> list[messages.KeyRange]:
        """Returns the parts of all ranges that lie in [first, last]."""
        index = bisect.bisect_right(self._firsts, first) - 1
        parts = []
        while index < len(self.ranges) and self.ranges[index].first <= last:
            each = self.ranges[index]
            parts.append(
                each._replace(
                    first=max(first, each.first), last=min(last, each.last)
                )
            )
            index += 1
        return parts

    def list_held(self, upstream: str, born_ms: int) -> list[messages.KeyRange]:
        """Returns the ranges that one incarnation of an upstream holds."""
        held = self._held.get((upstream, born_ms), {})
        return [held[first] for first in sorted(held)]

    def list_free(self) -> list[messages.KeyRange]:
        """Returns the ranges without a holder."""
        return self.list_held("", 0)

    def has_holders(self) -> bool:
        """Returns whether any range has a holder."""
        return any(upstream for upstream, _ in self._held)

    def _add_to_holder(self, each: messages.KeyRange) -> None:
        holder = each.upstream, each.born_ms
        self._held.setdefault(holder, {})[each.first] = each

    def _remove_from_holder(self, each: messages.KeyRange) -> None:
        holder = each.upstream, each.born_ms
        held = self._held[holder]
        del held[each.first]
        if not held:
            del self._held[holder]


def subtract(
    each: messages.KeyRange, first: int, last: int
) -> list[messages.KeyRange]:
    """Returns the parts of a range outside of [first, last]."""
    if each.last < first or each.first > last:
        return [each]
    remaining = []
    if each.first < first:
        remaining.append(each._replace(last=first - 1))
    if each.last > last:
        remaining.append(each._replace(first=last + 1))
    return remaining


def subtract_all(
    ranges: Iterable[messages.KeyRange], removed: Iterable[_Range]
) -> list[messages.KeyRange]:
    """Returns the parts of disjoint ranges outside of all removed ranges."""
    cuts: list[tuple[int, int]] = []
    for first, last in sorted((each.first, each.last) for each in removed):
        if cuts and first <= cuts[-1][1]:
            cuts[-1] = cuts[-1][0], max(last, cuts[-1][1])
        else:
            cuts.append((first, last))
    firsts = [first for first, _ in cuts]
    remaining = []
    for each in ranges:
        index = max(0, bisect.bisect_right(firsts, each.first) - 1)
        parts = [each]
        while parts and index < len(cuts) and cuts[index][0] <= each.last:
            parts[-1:] = subtract(parts[-1], *cuts[index])
            index += 1
        remaining += parts
    return remaining


def format_ranges(ranges: Iterable[_Range]) -> str:
    """Returns ranges as text for log lines."""
    return " ".join(f"{each.first}-{each.last}" for each in ranges)


def _merge(ranges: list[messages.KeyRange]) -> list[messages.KeyRange]:
    merged: list[messages.KeyRange] = []
    for each in ranges:
        if (
            merged
            and merged[-1].last + 1 == each.first
            # Handover data covers only the keys that were released with
            # it, so ranges with such data are not merged.
            and not each.handover
            and merged[-1]._replace(first=0, last=0)
            == each._replace(first=0, last=0)
        ):
            merged[-1] = merged[-1]._replace(last=each.last)
        else:
            merged.append(each)
    return merged
