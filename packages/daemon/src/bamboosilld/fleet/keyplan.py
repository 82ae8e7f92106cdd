"""Assigns free keys to upstreams and plans moves of keys between them.

The objective is the total time that requests spend at the upstreams, waits
included. It grows with the relative latency of an upstream, and steeply
with its utilisation. Work is counted, and keys are moved, by blocks of keys.
Work is a rate in slots: 1 keeps one slot of an upstream busy.
"""

from collections.abc import Iterable
import heapq
import math
from typing import NamedTuple

from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import keyranges
from bamboosilld.fleet import state as state_lib
from bamboosilld.fleet import work_rates as work_rates_lib

# Free keys are assigned in parts of at most this fraction of the mean work of
# an upstream.
_MAX_FRACTION_OF_MEAN = 0.2
# Above this utilisation, the time is extrapolated linearly: the queueing
# formula diverges near 1, where requests are in fact rejected.
_LINEAR_ABOVE_UTILISATION = 0.92
# A move must save at least this much time for each unit of moved work, as
# requests are rejected or late while their keys have no holder, and at least
# _MIN_GAIN in total.
_MIN_GAIN_PER_WORK = 0.08
_MIN_GAIN = 0.04
# Usual time from a holder's heartbeat until it has released keys: it completes
# the requests on them first.
_RELEASE_DELAY_S = 0.25
# A plan has at most _MOVE_LIMIT_PER_HOLDER moves for each holder, or
# _MIN_MOVE_LIMIT if that is more, and at most _MAX_MOVES_PER_TARGET to one
# upstream: each move makes what is known of an upstream less accurate.
_MOVE_LIMIT_PER_HOLDER = 0.33
_MIN_MOVE_LIMIT = 12
_MAX_MOVES_PER_TARGET = 3
# Busiest blocks of a source that are evaluated one by one.
_CANDIDATE_BLOCKS = 12
# Upstreams that are evaluated for each move and each part of free keys.
_CANDIDATE_TARGETS = 8
# No key moves below this total work: too few requests to tell which keys are
# busy.
_MIN_TOTAL_WORK = 0.5
# Cost of each second until the next heartbeat of the new holder, for each unit
# of work that waits for it.
_WAIT_COST_PER_S = 0.3


class Holder(NamedTuple):
    """An upstream that may hold keys.

    Attributes:
        slots: Requests that it runs concurrently.
        relative_latency: Its latency relative to the mean of its service.
        next_heartbeat_s: Expected time until its next heartbeat.
    """

    slots: int
    relative_latency: float
    next_heartbeat_s: float = 0.0


class Move(NamedTuple):
    """Keys to move from one incarnation of an upstream to another.

    Attributes:
        incarnation: The current holder.
        first: First key.
        last: Last key.
        target: The new holder; None if the keys only become free.
    """

    incarnation: state_lib.UpstreamIncarnation
    first: int
    last: int
    target: state_lib.UpstreamIncarnation | None = None


class Reservation(NamedTuple):
    """Free keys that are reserved for one incarnation of an upstream."""

    incarnation: state_lib.UpstreamIncarnation
    first: int
    last: int


class _LoadModel:
    """Work and number of ranges of each holder, updated as changes are planned.

    It predicts how a change of work affects the total time of requests.
    """

    def __init__(
        self,
        holders: dict[state_lib.UpstreamIncarnation, Holder],
        table: keyranges.Table,
        work_rates: work_rates_lib.WorkRates,
        max_ranges: int,
        heartbeat_s: float = 0.0,
    ) -> None:
        self.holders = holders
        self.max_ranges = max_ranges
        self._heartbeat_s = heartbeat_s
        self.work = dict.fromkeys(holders, 0.0)
        self.ranges = dict.fromkeys(holders, 0)
        for each in table.ranges:
            incarnation = state_lib.UpstreamIncarnation(
                each.upstream, each.born_ms
            )
            if incarnation in self.work:
                self.work[incarnation] += work_rates.sum_range(
                    each.first, each.last
                )
                self.ranges[incarnation] += 1
        self._marginal_times = {
            incarnation: self._compute_marginal_time(incarnation)
            for incarnation in holders
        }

    def compute_time_change(
        self, incarnation: state_lib.UpstreamIncarnation, work: float
    ) -> float:
        """Returns by how much the time of all requests of a holder changes."""
        holder = self.holders[incarnation]
        before = self.work[incarnation]
        return _compute_time_rate(holder, before + work) - _compute_time_rate(
            holder, before
        )

    def add(
        self,
        incarnation: state_lib.UpstreamIncarnation,
        work: float,
        ranges: int,
    ) -> None:
        """Adds work and ranges to a holder, or removes them if negative."""
        self.work[incarnation] = max(0.0, self.work[incarnation] + work)
        self.ranges[incarnation] += ranges
        self._marginal_times[incarnation] = self._compute_marginal_time(
            incarnation
        )

    def find_costliest(
        self, incarnations: Iterable[state_lib.UpstreamIncarnation]
    ) -> state_lib.UpstreamIncarnation | None:
        """Returns the holder at which less work saves the most time."""
        return max(
            incarnations,
            key=lambda incarnation: self._marginal_times[incarnation],
            default=None,
        )

    def list_cheapest(
        self, count: int, incarnations: Iterable[state_lib.UpstreamIncarnation]
    ) -> list[state_lib.UpstreamIncarnation]:
        """Returns the holders at which more work adds the least time."""
        return heapq.nsmallest(
            count, incarnations, key=lambda x: self._marginal_times[x]
        )

    def compute_unheld_s(
        self,
        source: state_lib.UpstreamIncarnation,
        target: state_lib.UpstreamIncarnation,
    ) -> float:
        """Returns how long moved keys have no holder, in seconds.

        They are released after a heartbeat of the source, and granted at the
        next heartbeat of the target, unless grants do not wait for heartbeats.
        """
        if not self._heartbeat_s:
            return 0.0
        released_s = self.holders[source].next_heartbeat_s + _RELEASE_DELAY_S
        return (
            self.holders[target].next_heartbeat_s - released_s
        ) % self._heartbeat_s

    def _compute_marginal_time(
        self, incarnation: state_lib.UpstreamIncarnation
    ) -> float:
        step = 0.01 * self.holders[incarnation].slots
        return self.compute_time_change(incarnation, step) / step


def _compute_time_rate(holder: Holder, work: float) -> float:
    """Returns the mean number of requests at a holder, waiting ones included.

    By Little's law, it equals the time that requests spend there per second.
    The wait follows Sakasegawa's approximation for a queue with several
    servers.
    """
    # Sums and differences of work may be slightly below 0.
    work = max(0.0, work)
    utilisation = work * holder.relative_latency / holder.slots
    bounded = min(utilisation, _LINEAR_ABOVE_UTILISATION)
    exponent = math.sqrt(2.0 * (holder.slots + 1)) - 1.0
    wait = bounded**exponent / (holder.slots * (1.0 - bounded))
    if utilisation > bounded:
        # Derivative of the wait at the bound, with the numerator taken as 1.
        wait += (utilisation - bounded) / (
            holder.slots * (1.0 - _LINEAR_ABOVE_UTILISATION) ** 2
        )
    return work * holder.relative_latency * (1.0 + wait)


def split_evenly(
    incarnations: list[state_lib.UpstreamIncarnation],
    ranges_per_upstream: int,
) -> list[messages.KeyRange]:
    """Returns all keys of a service, distributed evenly over upstreams."""
    count = len(incarnations) * ranges_per_upstream
    edges = [keyranges.KEY_COUNT * index // count for index in range(count + 1)]
    return [
        messages.KeyRange(
            first=edges[index],
            last=edges[index + 1] - 1,
            upstream=incarnations[index % len(incarnations)].upstream,
            born_ms=incarnations[index % len(incarnations)].born_ms,
        )
        for index in range(count)
    ]


def assign_free(
    free: list[messages.KeyRange],
    holders: dict[state_lib.UpstreamIncarnation, Holder],
    table: keyranges.Table,
    work_rates: work_rates_lib.WorkRates,
    reservations: Iterable[Reservation],
    max_ranges: int,
) -> list[Reservation]:
    """Returns which upstream each of the free keys is reserved for.

    Args:
        free: Ranges of free keys.
        holders: Upstreams that may hold keys.
        table: Current holders of all keys.
        work_rates: Recent work of the keys.
        reservations: Other free keys that are already reserved.
        max_ranges: Most ranges that one upstream may hold.
    """
    if not holders:
        return []
    model = _LoadModel(holders, table, work_rates, max_ranges)
    for each in reservations:
        if each.incarnation in holders:
            model.add(
                each.incarnation, work_rates.sum_range(each.first, each.last), 1
            )
    mean = (sum(model.work.values()) + sum(map(work_rates.sum_of, free))) / len(
        holders
    )
    parts = [
        (work_rates.sum_range(first, last), first, last)
        for each in free
        for first, last in work_rates.split(
            each.first, each.last, mean * _MAX_FRACTION_OF_MEAN
        )
    ]
    found = []
    for work, first, last in sorted(parts, reverse=True):
        incarnation = _choose_target(model, work)
        model.add(incarnation, work, 1)
        found.append(Reservation(incarnation, first, last))
    return _join_reservations(found)


def _choose_target(
    model: _LoadModel, work: float
) -> state_lib.UpstreamIncarnation:
    room = [
        incarnation
        for incarnation, count in model.ranges.items()
        if count < model.max_ranges
    ]
    if not room:
        return min(
            model.ranges, key=lambda incarnation: model.ranges[incarnation]
        )
    return min(
        model.list_cheapest(_CANDIDATE_TARGETS, room),
        key=lambda incarnation: (
            model.compute_time_change(incarnation, work)
            + model.holders[incarnation].next_heartbeat_s
            * work
            * _WAIT_COST_PER_S,
            model.ranges[incarnation],
        ),
    )


def _join_reservations(reservations: list[Reservation]) -> list[Reservation]:
    joined: list[Reservation] = []
    for each in sorted(reservations, key=lambda reservation: reservation.first):
        last = joined[-1] if joined else None
        if (
            last
            and last.incarnation == each.incarnation
            and last.last + 1 == each.first
        ):
            joined[-1] = last._replace(last=each.last)
        else:
            joined.append(each)
    return joined


def plan_moves(
    holders: dict[state_lib.UpstreamIncarnation, Holder],
    table: keyranges.Table,
    work_rates: work_rates_lib.WorkRates,
    heartbeat_s: float,
    max_ranges: int,
) -> list[Move]:
    """Returns the moves of keys that save more time than they cost.

    Args:
        holders: Upstreams that may hold keys; only they are sources or targets.
        table: Current holders of all keys.
        work_rates: Recent work of the keys.
        heartbeat_s: Approximate interval between heartbeats of a holder; 0 if
            grants do not wait for them.
        max_ranges: Most ranges that one upstream may hold.
    """
    if len(holders) < 2 or work_rates.total < _MIN_TOTAL_WORK:
        return []
    model = _LoadModel(holders, table, work_rates, max_ranges, heartbeat_s)
    sources = set(holders)
    targets = dict.fromkeys(holders, _MAX_MOVES_PER_TARGET)
    moves: list[Move] = []
    limit = max(_MIN_MOVE_LIMIT, int(len(holders) * _MOVE_LIMIT_PER_HOLDER))
    while sources and len(moves) < limit:
        source = model.find_costliest(sources)
        if source is None:
            break
        free = [
            incarnation
            for incarnation, count in targets.items()
            if count
            and incarnation != source
            and model.ranges[incarnation] < max_ranges
        ]
        move = _find_move(model, source, free, table, work_rates, moves)
        if move is None or move.target is None:
            sources.discard(source)
            continue
        work = work_rates.sum_range(move.first, move.last)
        # Taking keys from the middle of a range splits it in two.
        model.add(source, -work, 1)
        model.add(move.target, work, 1)
        # An upstream is never both source and target in one plan.
        sources.discard(move.target)
        targets.pop(source, None)
        targets[move.target] -= 1
        moves.append(move)
    return moves


def _find_move(
    model: _LoadModel,
    source: state_lib.UpstreamIncarnation,
    targets: list[state_lib.UpstreamIncarnation],
    table: keyranges.Table,
    work_rates: work_rates_lib.WorkRates,
    planned: list[Move],
) -> Move | None:
    """Returns the best move from one source, or None if none pays off."""
    if not targets or model.ranges[source] >= model.max_ranges:
        return None
    target = _choose_move_target(model, source, targets)
    cost = (
        _MIN_GAIN_PER_WORK
        + model.compute_unheld_s(source, target) * _WAIT_COST_PER_S
    )
    optimal_work = _find_optimal_work(model, source, target)
    best: Move | None = None
    best_gain = _MIN_GAIN
    for first, last in _list_candidates(
        source, table, work_rates, optimal_work, planned
    ):
        work = work_rates.sum_range(first, last)
        gain = -model.compute_time_change(source, -work)
        gain -= model.compute_time_change(target, work) + work * cost
        if gain > best_gain:
            best, best_gain = Move(source, first, last, target), gain
    return best


def _choose_move_target(
    model: _LoadModel,
    source: state_lib.UpstreamIncarnation,
    targets: list[state_lib.UpstreamIncarnation],
) -> state_lib.UpstreamIncarnation:
    """Returns a lightly loaded target with a heartbeat soon after the source's.

    Moved keys have no holder from their release after a heartbeat of the source
    until the next heartbeat of the target.
    """
    # Targets are compared as if they received a tenth of the source's work.
    trial_work = 0.1 * model.work[source]
    return min(
        model.list_cheapest(_CANDIDATE_TARGETS, targets),
        key=lambda incarnation: (
            model.compute_time_change(incarnation, trial_work)
            + model.compute_unheld_s(source, incarnation)
            * trial_work
            * _WAIT_COST_PER_S
        ),
    )


def _find_optimal_work(
    model: _LoadModel,
    source: state_lib.UpstreamIncarnation,
    target: state_lib.UpstreamIncarnation,
) -> float:
    """Returns the amount of work whose move saves the most time."""
    low, high = 0.0, model.work[source]
    for _ in range(8):
        middle, step = (low + high) / 2, (high - low) / 100
        gains = [
            -model.compute_time_change(source, -work)
            - model.compute_time_change(target, work)
            for work in (middle, middle + step)
        ]
        if gains[1] > gains[0]:
            low = middle
        else:
            high = middle
    return (low + high) / 2


def _list_candidates(
    source: state_lib.UpstreamIncarnation,
    table: keyranges.Table,
    work_rates: work_rates_lib.WorkRates,
    optimal_work: float,
    planned: list[Move],
) -> list[tuple[int, int]]:
    """Returns ranges of keys of a source that are candidates for a move.

    These are the start of each of its ranges, up to the optimal work, and its
    busiest blocks.
    """
    held = table.list_held(*source)
    for move in planned:
        if move.incarnation == source:
            held = [
                part
                for each in held
                for part in keyranges.subtract(each, move.first, move.last)
            ]
    found = []
    blocks: list[tuple[float, int]] = []
    for each in held:
        first, last = each.first, each.last
        found.append(
            (first, work_rates.find_prefix_end(first, last, optimal_work))
        )
        blocks.extend(work_rates.list_busy(first, last))
    for _, block in heapq.nlargest(_CANDIDATE_BLOCKS, blocks):
        first = block * keyranges.BLOCK_KEYS
        found.append((first, first + keyranges.BLOCK_KEYS - 1))
    return found
