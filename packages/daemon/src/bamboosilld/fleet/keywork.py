"""Recent work of the keys of one service, by blocks of keys."""

import bisect
import itertools
import math

from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import keyranges

# Reported work counts for about this long. Shorter times follow the noise of
# few requests, longer ones a busy key that has already changed.
_HALF_LIFE_S = 6.0
# Part of the total work that counts as spread evenly over all keys, so that
# keys nobody has asked for yet count as well.
_EVEN_PART = 0.15
# Work of blocks below this, in slots, is not worth a move of its own.
_BUSY_BLOCK = 0.02


class Works:
    """Rates of work in slots: milliseconds of an upstream per millisecond.

    Sums are those of the last call of `decay`; what was added since counts
    from the next one on.

    Attributes:
        total: Work of all keys.
    """

    def __init__(self) -> None:
        self._blocks = [0.0] * keyranges.BLOCK_COUNT
        self._begun_s: float | None = None
        self._updated_s = 0.0
        self.total = 0.0
        self._sums = [0.0] * (keyranges.BLOCK_COUNT + 1)

    def add(self, block: int, work_ms: float) -> None:
        """Counts work of one block."""
        if 0 <= block < keyranges.BLOCK_COUNT:
            self._blocks[block] += work_ms

    def decay(self, now_s: float) -> None:
        """Lets older work count less, and computes the rates."""
        if self._begun_s is None:
            self._begun_s = self._updated_s = now_s
        factor = 0.5 ** ((now_s - self._updated_s) / _HALF_LIFE_S)
        self._updated_s = now_s
        self._blocks = [work * factor for work in self._blocks]
        # What a constant rate of 1 would have added up to.
        age_s = now_s - self._begun_s
        window_s = (1.0 - 0.5 ** (age_s / _HALF_LIFE_S)) * (
            _HALF_LIFE_S / math.log(2.0)
        )
        scale = 0.001 / max(window_s, 1.0)
        self.total = sum(self._blocks) * scale
        even = self.total * _EVEN_PART / keyranges.BLOCK_COUNT
        scale *= 1 - _EVEN_PART
        self._sums = [0.0]
        self._sums.extend(
            itertools.accumulate(work * scale + even for work in self._blocks)
        )

    def get_block(self, block: int) -> float:
        """Returns the work of a block with its part of the even share."""
        return self._sums[block + 1] - self._sums[block]

    def sum_range(self, first: int, last: int) -> float:
        """Returns the work of a range of keys."""
        return self._sum_below(last + 1) - self._sum_below(first)

    def sum_of(self, each: messages.KeyRange) -> float:
        """Returns the work of the keys of a range."""
        return self.sum_range(each.first, each.last)

    def list_busy(self, first: int, last: int) -> list[tuple[float, int]]:
        """Returns work and number of the busy whole blocks of a range."""
        size = keyranges.BLOCK_KEYS
        return [
            (self.get_block(block), block)
            for block in range(-(-first // size), (last + 1) // size)
            if self._sums[block + 1] - self._sums[block] > _BUSY_BLOCK
        ]

    def find_end(self, first: int, last: int, work: float) -> int:
        """Returns the last key of the longest start of a range within `work`.

        It ends with a whole block, and has one block at least.
        """
        limit = self._sum_below(first) + work
        # The first block whose sum is above the limit is left out.
        block = bisect.bisect_right(self._sums, limit) - 1
        first_end = first // keyranges.BLOCK_KEYS + 1
        return min(last, max(block, first_end) * keyranges.BLOCK_KEYS - 1)

    def split(
        self, first: int, last: int, work: float
    ) -> list[tuple[int, int]]:
        """Returns a range in parts that have at most `work`, or one block."""
        parts = []
        while first <= last:
            end = self.find_end(first, last, work)
            parts.append((first, end))
            first = end + 1
        return parts

    def _sum_below(self, key: int) -> float:
        block, rest = divmod(key, keyranges.BLOCK_KEYS)
        if not rest:
            return self._sums[block]
        part = rest / keyranges.BLOCK_KEYS
        return self._sums[block] + part * self.get_block(block)
