"""Recent work of the keys of one service, as decaying averages by block.

Work is the time that requests on a key keep upstreams busy, as entry instances
report it. It shows the leader which keys are busy.
"""

import bisect
import itertools
import math

from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import keyranges

# Half-life of reported work. Shorter ones follow the noise of few requests,
# longer ones react late when other keys become busy.
_HALF_LIFE_S = 6.0
# Fraction of the total work that is spread evenly over all keys, so that keys
# without requests so far have a weight as well.
_EVEN_FRACTION = 0.15
# Blocks with less work, in slots, are not worth a move of their own.
_MIN_BUSY_BLOCK_WORK = 0.02


class WorkRates:
    """How busy requests on each block of keys keep upstreams, in slots.

    A slot is one request at a time: one busy millisecond per millisecond.

    All rates are as of the last call of `decay`; work that was added since
    is included from the next call on.

    Attributes:
        total: Work of all keys.
    """

    def __init__(self) -> None:
        self._blocks = [0.0] * keyranges.BLOCK_COUNT
        self._started_s: float | None = None
        self._updated_s = 0.0
        self.total = 0.0
        self._cumulative = [0.0] * (keyranges.BLOCK_COUNT + 1)

    def add(self, block: int, work_ms: float) -> None:
        """Adds work to one block; ignores blocks out of range."""
        if 0 <= block < keyranges.BLOCK_COUNT:
            self._blocks[block] += work_ms

    def decay(self, now_s: float) -> None:
        """Decays earlier work and computes the rates."""
        if self._started_s is None:
            self._started_s = self._updated_s = now_s
        factor = 0.5 ** ((now_s - self._updated_s) / _HALF_LIFE_S)
        self._updated_s = now_s
        self._blocks = [work * factor for work in self._blocks]
        # The decayed sum that a constant rate of 1 would have by now.
        age_s = now_s - self._started_s
        window_s = (1.0 - 0.5 ** (age_s / _HALF_LIFE_S)) * (
            _HALF_LIFE_S / math.log(2.0)
        )
        scale = 0.001 / max(window_s, 1.0)
        self.total = sum(self._blocks) * scale
        even = self.total * _EVEN_FRACTION / keyranges.BLOCK_COUNT
        scale *= 1 - _EVEN_FRACTION
        self._cumulative = [0.0]
        self._cumulative.extend(
            itertools.accumulate(work * scale + even for work in self._blocks)
        )

    def get_block(self, block: int) -> float:
        """Returns the work of a block.

        It includes the block's part of the work that is spread evenly over all
        blocks.
        """
        return self._cumulative[block + 1] - self._cumulative[block]

    def sum_range(self, first: int, last: int) -> float:
        """Returns the work of a range of keys."""
        return self._sum_before(last + 1) - self._sum_before(first)

    def sum_of(self, each: messages.KeyRange) -> float:
        """Returns the work of the keys of a range."""
        return self.sum_range(each.first, each.last)

    def list_busy(self, first: int, last: int) -> list[tuple[float, int]]:
        """Returns work and number of the busy whole blocks of a range."""
        size = keyranges.BLOCK_KEYS
        return [
            (self.get_block(block), block)
            for block in range(-(-first // size), (last + 1) // size)
            if self._cumulative[block + 1] - self._cumulative[block]
            > _MIN_BUSY_BLOCK_WORK
        ]

    def find_prefix_end(self, first: int, last: int, max_work: float) -> int:
        """Returns the last key of the longest prefix with at most `max_work`.

        The prefix ends at the end of a block or of the range, and covers at
        least the first block, even if that has more work.
        """
        limit = self._sum_before(first) + max_work
        # The prefix ends before the first block that exceeds the limit.
        block = bisect.bisect_right(self._cumulative, limit) - 1
        min_end_block = first // keyranges.BLOCK_KEYS + 1
        return min(last, max(block, min_end_block) * keyranges.BLOCK_KEYS - 1)

    def split(
        self, first: int, last: int, max_work: float
    ) -> list[tuple[int, int]]:
        """Splits a range into parts of at most `max_work` or of one block."""
        parts = []
        while first <= last:
            end = self.find_prefix_end(first, last, max_work)
            parts.append((first, end))
            first = end + 1
        return parts

    def _sum_before(self, key: int) -> float:
        block, remainder = divmod(key, keyranges.BLOCK_KEYS)
        if not remainder:
            return self._cumulative[block]
        fraction = remainder / keyranges.BLOCK_KEYS
        return self._cumulative[block] + fraction * self.get_block(block)
