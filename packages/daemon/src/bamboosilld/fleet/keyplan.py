"""Decides which upstream gets free keys, and which keys should move.

The aim is the least time that requests spend at the upstreams in all: it
grows with the pace of an upstream, and steeply with its utilisation. Keys are
counted and moved by blocks.
"""

from collections.abc import Iterable
import heapq
import math
from typing import NamedTuple

from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import keyranges
from bamboosilld.fleet import keywork
from bamboosilld.fleet import state as state_lib

# Ranges of one upstream in the first distribution. Busy keys are often
# neighbours, so each upstream gets several short ranges.
_RANGES_PER_UPSTREAM = 8
# Ranges that one upstream may hold: the answer to a heartbeat names them all
# and has to stay below 4 KiB, at up to 45 bytes a range.
MAX_RANGES = 72
# Free keys are given out in parts with at most this part of the work that one
# upstream has on average.
_PART_OF_MEAN = 0.2
# Above this utilisation, time is extrapolated in a straight line: the formula
# for queues has no bound there, and requests are refused.
_STEEP_UTILISATION = 0.92
# A move must save at least this much time for each unit of moved work, which
# is refused or late while its keys have no holder, and this much in all.
_GAIN_PER_WORK = 0.08
_MIN_GAIN = 0.04
# Usual time from a holder's heartbeat until it has given keys back: it ends
# the requests on them first.
_RELEASE_S = 0.25
# Most moves of one plan, for each holder and at least, and most that go to one
# upstream: what is known of an upstream changes with each move.
_MOVES_PER_HOLDER = 0.33
_MIN_MOVES = 12
_MAX_MOVES_TO_ONE = 3
# Busy blocks of a giver that are weighed one by one.
_WEIGHED_BLOCKS = 12
# Upstreams that are weighed for each move and each part of free keys.
_WEIGHED_TAKERS = 8
# Work that must have been seen before any key moves, in slots: less says
# nothing about which keys are busy.
_MIN_WORK = 0.5
# Cost of a second of wait for an upstream's next heartbeat, for each unit of
# work that waits.
_WAIT_COST_PER_S = 0.3


class Holder(NamedTuple):
    """An upstream that may hold keys.

    Attributes:
        slots: Requests that it runs at a time.
        pace: How slow it is; 1 is the mean of its service.
        due_s: Time until its next heartbeat.
    """

    slots: int
    pace: float
    due_s: float = 0.0


class Move(NamedTuple):
    """Keys that one life of an upstream should give to another."""

    life: state_lib.Life
    first: int
    last: int
    taker: state_lib.Life | None = None


class Claim(NamedTuple):
    """Free keys that one life of an upstream should get."""

    life: state_lib.Life
    first: int
    last: int


class _Plan:
    """Work and number of ranges of each holder, and what changes cost."""

    def __init__(
        self,
        holders: dict[state_lib.Life, Holder],
        table: keyranges.Table,
        works: keywork.Works,
        heartbeat_s: float = 1.0,
    ) -> None:
        self.holders = holders
        self._heartbeat_s = heartbeat_s
        self.work = dict.fromkeys(holders, 0.0)
        self.ranges = dict.fromkeys(holders, 0)
        for each in table.ranges:
            life = state_lib.Life(each.upstream, each.born_ms)
            if life in self.work:
                self.work[life] += works.sum_range(each.first, each.last)
                self.ranges[life] += 1
        self._slopes = {life: self._compute_slope(life) for life in holders}

    def compute_change(self, life: state_lib.Life, work: float) -> float:
        """Returns how much more time all requests of a holder would take."""
        holder = self.holders[life]
        before = self.work[life]
        return _compute_time(holder, before + work) - _compute_time(
            holder, before
        )

    def add(self, life: state_lib.Life, work: float, ranges: int) -> None:
        """Counts work and ranges that a holder gets or loses."""
        self.work[life] = max(0.0, self.work[life] + work)
        self.ranges[life] += ranges
        self._slopes[life] = self._compute_slope(life)

    def find_busiest(
        self, lives: Iterable[state_lib.Life]
    ) -> state_lib.Life | None:
        """Returns the holder that gains most by giving work away."""
        return max(lives, key=lambda life: self._slopes[life], default=None)

    def list_idlest(
        self, count: int, lives: Iterable[state_lib.Life]
    ) -> list[state_lib.Life]:
        """Returns the holders at which more work takes the least time."""
        return heapq.nsmallest(count, lives, key=lambda x: self._slopes[x])

    def compute_gap(
        self, giver: state_lib.Life, taker: state_lib.Life
    ) -> float:
        """Returns how long keys wait between two holders, in seconds.

        They are given back after a heartbeat of the one, and granted at the
        next heartbeat of the other.
        """
        given_s = self.holders[giver].due_s + _RELEASE_S
        return (self.holders[taker].due_s - given_s) % self._heartbeat_s

    def _compute_slope(self, life: state_lib.Life) -> float:
        step = 0.01 * self.holders[life].slots
        return self.compute_change(life, step) / step


def _compute_time(holder: Holder, work: float) -> float:
    """Returns the time that a rate of work takes, waits included, per second.

    The wait is Sakasegawa's approximation for a queue with several servers.
    """
    utilisation = work * holder.pace / holder.slots
    bounded = min(utilisation, _STEEP_UTILISATION)
    exponent = math.sqrt(2.0 * (holder.slots + 1)) - 1.0
    wait = bounded**exponent / (holder.slots * (1.0 - bounded))
    if utilisation > bounded:
        # Slope of the wait at the bound, the exponent left out.
        wait += (utilisation - bounded) / (
            holder.slots * (1.0 - _STEEP_UTILISATION) ** 2
        )
    return work * holder.pace * (1.0 + wait)


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


def claim_free(
    free: list[messages.KeyRange],
    holders: dict[state_lib.Life, Holder],
    table: keyranges.Table,
    works: keywork.Works,
    claims: Iterable[Claim] = (),
) -> list[Claim]:
    """Returns which upstream should get which free keys.

    Args:
        free: The keys.
        holders: Upstreams that may hold keys.
        table: Who holds what.
        works: Recent work of the keys.
        claims: Other free keys that are already claimed.
    """
    if not holders:
        return []
    plan = _Plan(holders, table, works)
    for each in claims:
        if each.life in holders:
            plan.add(each.life, works.sum_range(each.first, each.last), 1)
    mean = (sum(plan.work.values()) + sum(map(works.sum_of, free))) / len(
        holders
    )
    parts = [
        (works.sum_range(first, last), first, last)
        for each in free
        for first, last in works.split(
            each.first, each.last, mean * _PART_OF_MEAN
        )
    ]
    found = []
    for work, first, last in sorted(parts, reverse=True):
        life = _choose_taker(plan, work)
        plan.add(life, work, 1)
        found.append(Claim(life, first, last))
    return _join_claims(found)


def _choose_taker(plan: _Plan, work: float) -> state_lib.Life:
    room = [life for life, count in plan.ranges.items() if count < MAX_RANGES]
    if not room:
        return min(plan.ranges, key=lambda life: plan.ranges[life])
    return min(
        plan.list_idlest(_WEIGHED_TAKERS, room),
        key=lambda life: (
            plan.compute_change(life, work)
            + plan.holders[life].due_s * work * _WAIT_COST_PER_S,
            plan.ranges[life],
        ),
    )


def _join_claims(claims: list[Claim]) -> list[Claim]:
    joined: list[Claim] = []
    for each in sorted(claims, key=lambda claim: claim.first):
        last = joined[-1] if joined else None
        if last and last.life == each.life and last.last + 1 == each.first:
            joined[-1] = last._replace(last=each.last)
        else:
            joined.append(each)
    return joined


def plan_moves(
    holders: dict[state_lib.Life, Holder],
    table: keyranges.Table,
    works: keywork.Works,
    heartbeat_s: float,
) -> list[Move]:
    """Returns the moves of keys that save more time than they cost.

    Args:
        holders: Upstreams that may hold keys; others neither give nor take.
        table: Who holds what.
        works: Recent work of the keys.
        heartbeat_s: About how often holders report.
    """
    if len(holders) < 2 or works.total < _MIN_WORK:
        return []
    plan = _Plan(holders, table, works, heartbeat_s)
    givers = set(holders)
    takers = dict.fromkeys(holders, _MAX_MOVES_TO_ONE)
    moves: list[Move] = []
    limit = max(_MIN_MOVES, int(len(holders) * _MOVES_PER_HOLDER))
    while givers and len(moves) < limit:
        giver = plan.find_busiest(givers)
        if giver is None:
            break
        free = [
            life
            for life, count in takers.items()
            if count and life != giver and plan.ranges[life] < MAX_RANGES
        ]
        move = _find_move(plan, giver, free, table, works, moves)
        if move is None or move.taker is None:
            givers.discard(giver)
            continue
        work = works.sum_range(move.first, move.last)
        # Cutting the middle out of a range leaves two.
        plan.add(giver, -work, 1)
        plan.add(move.taker, work, 1)
        # An upstream that takes keys does not give any in the same plan.
        givers.discard(move.taker)
        takers.pop(giver, None)
        takers[move.taker] -= 1
        moves.append(move)
    return moves


def _find_move(
    plan: _Plan,
    giver: state_lib.Life,
    takers: list[state_lib.Life],
    table: keyranges.Table,
    works: keywork.Works,
    planned: list[Move],
) -> Move | None:
    """Returns the best move of one giver, or None if none is worth it."""
    if not takers or plan.ranges[giver] >= MAX_RANGES:
        return None
    taker = _choose_mover(plan, giver, takers)
    cost = _GAIN_PER_WORK + plan.compute_gap(giver, taker) * _WAIT_COST_PER_S
    wanted = _find_amount(plan, giver, taker)
    best: Move | None = None
    best_gain = _MIN_GAIN
    for first, last in _list_candidates(giver, table, works, wanted, planned):
        work = works.sum_range(first, last)
        gain = -plan.compute_change(giver, -work)
        gain -= plan.compute_change(taker, work) + work * cost
        if gain > best_gain:
            best, best_gain = Move(giver, first, last, taker), gain
    return best


def _choose_mover(
    plan: _Plan, giver: state_lib.Life, takers: list[state_lib.Life]
) -> state_lib.Life:
    """Returns an idle taker that reports soon after the giver."""
    step = 0.1 * plan.work[giver]
    return min(
        plan.list_idlest(_WEIGHED_TAKERS, takers),
        key=lambda life: (
            plan.compute_change(life, step)
            + plan.compute_gap(giver, life) * step * _WAIT_COST_PER_S
        ),
    )


def _find_amount(
    plan: _Plan, giver: state_lib.Life, taker: state_lib.Life
) -> float:
    """Returns the work whose move from one to the other saves most time."""
    low, high = 0.0, plan.work[giver]
    for _ in range(8):
        middle, step = (low + high) / 2, (high - low) / 100
        gains = [
            -plan.compute_change(giver, -work)
            - plan.compute_change(taker, work)
            for work in (middle, middle + step)
        ]
        if gains[1] > gains[0]:
            low = middle
        else:
            high = middle
    return (low + high) / 2


def _list_candidates(
    giver: state_lib.Life,
    table: keyranges.Table,
    works: keywork.Works,
    wanted: float,
    planned: list[Move],
) -> list[tuple[int, int]]:
    """Returns parts of what a giver holds that may move.

    These are the start of each range, as much as is wanted, and the busiest
    blocks.
    """
    held = table.list_held(*giver)
    for move in planned:
        if move.life == giver:
            held = [
                part
                for each in held
                for part in keyranges.subtract(each, move.first, move.last)
            ]
    found = []
    blocks: list[tuple[float, int]] = []
    for each in held:
        first, last = each.first, each.last
        found.append((first, works.find_end(first, last, wanted)))
        blocks.extend(works.list_busy(first, last))
    for _, block in heapq.nlargest(_WEIGHED_BLOCKS, blocks):
        first = block * keyranges.BLOCK_KEYS
        found.append((first, first + keyranges.BLOCK_KEYS - 1))
    return found
