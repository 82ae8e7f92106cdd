"""Decides which upstream gets free keys, and which keys should move.

Work is counted by blocks of keys, as entry instances saw it; a share of it
is spread evenly, so that keys nobody has asked for yet count as well.
"""

import collections
from collections.abc import Iterable
import itertools
from typing import NamedTuple

from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import keyranges
from bamboosilld.fleet import state as state_lib

# Ranges of one upstream in the first distribution. Busy keys are often
# neighbours, so each upstream gets several short ranges.
_RANGES_PER_UPSTREAM = 8
# Reported work counts for about this long.
_HALF_LIFE_S = 8.0
# Part of the total work that counts as spread evenly over all keys.
_EVEN_PART = 0.15
# An upstream with this many requests for each slot, and above the mean by
# this factor, gives keys away: only then does a request wait.
_BUSY = 1.0
_OVERLOAD_RATIO = 1.3
# Part of its surplus that it gives away in one step.
_GIVEN_PART = 0.7
# Most blocks of one upstream that move in one step.
_MAX_MOVED_BLOCKS = 64
# Most upstreams that give keys away in one step.
_MAX_GIVERS = 3
# Work that must have been reported before any key moves, in milliseconds.
_MIN_WORK_MS = 30_000.0


class Move(NamedTuple):
    """Keys that one life of an upstream should give away."""

    life: state_lib.Life
    first: int
    last: int


class Works:
    """Recent work of the blocks of keys of one service.

    Sums are those of the last call of `decay`; what was added since counts
    from the next one on.
    """

    def __init__(self) -> None:
        self._blocks = [0.0] * keyranges.BLOCK_COUNT
        self._updated_s = 0.0
        self.total = 0.0
        self._sums = [0.0] * (keyranges.BLOCK_COUNT + 1)

    def add(self, block: int, work_ms: float) -> None:
        """Counts work of one block."""
        if 0 <= block < keyranges.BLOCK_COUNT:
            self._blocks[block] += work_ms

    def decay(self, now_s: float) -> None:
        """Lets older work count less."""
        factor = 0.5 ** ((now_s - self._updated_s) / _HALF_LIFE_S)
        self._updated_s = now_s
        self._blocks = [work * factor for work in self._blocks]
        self.total = sum(self._blocks)
        even = max(self.total, 1.0) * _EVEN_PART / keyranges.BLOCK_COUNT
        self._sums = [0.0]
        self._sums.extend(
            itertools.accumulate(
                work * (1 - _EVEN_PART) + even for work in self._blocks
            )
        )

    def get_block(self, block: int) -> float:
        """Returns the work of a block with its part of the even share."""
        return self._sums[block + 1] - self._sums[block]

    def sum_range(self, first: int, last: int) -> float:
        """Returns the work of a range of keys."""
        return self._sum_below(last + 1) - self._sum_below(first)

    def _sum_below(self, key: int) -> float:
        block, rest = divmod(key, keyranges.BLOCK_KEYS)
        if not rest:
            return self._sums[block]
        part = rest / keyranges.BLOCK_KEYS
        return self._sums[block] + part * self.get_block(block)


def sum_holders(
    table: keyranges.Table, works: Works
) -> dict[state_lib.Life, float]:
    """Returns the work of each holder of keys."""
    sums: dict[state_lib.Life, float] = collections.defaultdict(float)
    for each in table.ranges:
        if each.upstream:
            life = state_lib.Life(each.upstream, each.born_ms)
            sums[life] += works.sum_range(each.first, each.last)
    return sums


def split_evenly(
    lives: list[state_lib.Life],
) -> list[messages.KeyRange]:
    """Returns the first distribution of all keys of a service."""
    count = len(lives) * _RANGES_PER_UPSTREAM
    edges = [keyranges.KEY_COUNT * index // count for index in range(count + 1)]
    return [
        messages.KeyRange(
            first=edges[index],
            last=edges[index + 1] - 1,
            upstream=lives[index % len(lives)].upstream,
            born_ms=lives[index % len(lives)].born_ms,
        )
        for index in range(count)
    ]


def choose_free(
    life: state_lib.Life,
    capacities: dict[state_lib.Life, float],
    table: keyranges.Table,
    works: Works,
    slack: float,
) -> list[messages.KeyRange]:
    """Returns free ranges that a life should get now.

    Args:
        life: The upstream that can take keys at this moment.
        capacities: Relative capacity of each upstream that may hold keys.
        table: Who holds what.
        works: Recent work of the keys.
        slack: Part of the mean load by which the upstream may exceed it;
            grows while keys wait.
    """
    free = [each for each in table.ranges if not each.upstream]
    if not free or life not in capacities:
        return []
    sums = sum_holders(table, works)
    held = sums.get(life, 0.0)
    waiting = sum(works.sum_range(each.first, each.last) for each in free)
    total = sum(sums.get(each, 0.0) for each in capacities) + waiting
    fair = total * capacities[life] / sum(capacities.values())
    chosen = []
    for each in free:
        work = works.sum_range(each.first, each.last)
        if held + work / 2 <= fair * (1 + slack):
            chosen.append(each)
            held += work
        elif held < fair * (1 + slack):
            part = _cut_work(each, fair * (1 + slack) - held, works)
            if part is not None:
                chosen.append(part)
                held += works.sum_range(part.first, part.last)
    return chosen


def _cut_work(
    each: messages.KeyRange, room: float, works: Works
) -> messages.KeyRange | None:
    """Returns the first blocks of a range that fit into the room."""
    work = 0.0
    last = each.first - 1
    while last < each.last:
        end = min(each.last, last - last % keyranges.BLOCK_KEYS + 63)
        work += works.sum_range(last + 1, end)
        if work > room:
            break
        last = end
    if last < each.first:
        return None
    return each._replace(last=last)


def plan_moves(
    busy: dict[state_lib.Life, float],
    table: keyranges.Table,
    works: Works,
) -> list[Move]:
    """Returns the keys that overloaded upstreams should give away.

    Args:
        busy: Recent requests of each upstream for each of its slots.
        table: Who holds what.
        works: Recent work of the keys.
    """
    if works.total < _MIN_WORK_MS or len(busy) < 2:
        return []
    sums = sum_holders(table, works)
    mean = sum(busy.values()) / len(busy)
    # What idler upstreams can take bounds what is given away.
    room = sum(
        works.total / len(busy) * (1 - ratio / mean)
        for ratio in busy.values()
        if ratio < mean
    )
    moves: list[Move] = []
    for life in sorted(busy, key=lambda each: -busy[each])[:_MAX_GIVERS]:
        if busy[life] < max(_BUSY, mean * _OVERLOAD_RATIO):
            break
        surplus = sums.get(life, 0.0) * (1 - mean / busy[life])
        blocks = _choose_blocks(
            table.list_held(*life), works, min(surplus * _GIVEN_PART, room)
        )
        room -= sum(works.get_block(block) for block in blocks)
        moves.extend(
            _make_move(life, first, last) for first, last in _join(blocks)
        )
    return moves


def _choose_blocks(
    held: list[messages.KeyRange], works: Works, surplus: float
) -> list[int]:
    """Returns the busiest blocks that together do not exceed a surplus."""
    chosen: list[int] = []
    blocks = _list_blocks(held)
    for block in sorted(blocks, key=lambda each: -works.get_block(each)):
        work = works.get_block(block)
        if work <= surplus and len(chosen) < _MAX_MOVED_BLOCKS:
            chosen.append(block)
            surplus -= work
    return chosen


def _list_blocks(ranges: Iterable[messages.KeyRange]) -> list[int]:
    return [
        block
        for each in ranges
        for block in range(
            -(-each.first // keyranges.BLOCK_KEYS),
            (each.last + 1) // keyranges.BLOCK_KEYS,
        )
    ]


def _join(blocks: list[int]) -> list[tuple[int, int]]:
    joined: list[tuple[int, int]] = []
    for block in sorted(blocks):
        if joined and joined[-1][1] + 1 == block:
            joined[-1] = (joined[-1][0], block)
        else:
            joined.append((block, block))
    return joined


def _make_move(life: state_lib.Life, first: int, last: int) -> Move:
    size = keyranges.BLOCK_KEYS
    return Move(life, first * size, (last + 1) * size - 1)
