"""The keys that a stand-in upstream holds, and the fences that it has seen."""

from typing import NamedTuple


class HeldRange(NamedTuple):
    """Consecutive keys held under one fence until `end_s`."""

    first: int
    last: int
    fence: int
    end_s: float


class HeldKeys:
    """Ranges that an upstream was granted, and the highest fences on its keys.

    Times are in seconds on one monotonic clock.
    """

    def __init__(self) -> None:
        self.ranges: list[HeldRange] = []
        self._fences: list[tuple[int, int, int]] = []

    def holds(self, key: int, now_s: float) -> bool:
        """Returns whether a key is held under a valid lease."""
        return any(
            each.first <= key <= each.last and now_s < each.end_s
            for each in self.ranges
        )

    def has_seen_higher(self, first: int, last: int, fence: int) -> bool:
        """Returns whether any key of a range was seen with a higher fence."""
        return any(
            low <= last and first <= high and seen > fence
            for low, high, seen in self._fences
        )

    def grant(self, new: HeldRange) -> bool:
        """Holds a range; returns False if a higher fence was seen on it."""
        if self.has_seen_higher(new.first, new.last, new.fence):
            return False
        self._see(new.first, new.last, new.fence)
        # A renewal that was under way for longer shortens no lease.
        end_s = max(
            [new.end_s]
            + [
                each.end_s
                for each in self.ranges
                if each[:3] == (new.first, new.last, new.fence)
            ]
        )
        self._remove(new.first, new.last)
        self.ranges.append(new._replace(end_s=end_s))
        return True

    def release(self, first: int, last: int, fence: int) -> bool:
        """Stops holding a range; returns whether any of it was held."""
        self._see(first, last, fence)
        return self._remove(first, last)

    def _see(self, first: int, last: int, fence: int) -> None:
        self._fences = [
            each
            for each in self._fences
            if not (first <= each[0] and each[1] <= last and each[2] <= fence)
        ]
        self._fences.append((first, last, fence))

    def _remove(self, first: int, last: int) -> bool:
        remaining = []
        for each in self.ranges:
            if each.last < first or each.first > last:
                remaining.append(each)
                continue
            if each.first < first:
                remaining.append(each._replace(last=first - 1))
            if each.last > last:
                remaining.append(each._replace(first=last + 1))
        has_removed = remaining != self.ranges
        self.ranges = remaining
        return has_removed
