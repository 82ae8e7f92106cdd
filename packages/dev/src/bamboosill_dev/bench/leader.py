"""Simulated zone leader of one service, which runs the placement code."""

import random

from bamboosill_common.generated import zone
from bamboosill_dev.bench import deployments
from bamboosill_dev.bench import events
from bamboosill_dev.bench import places
from bamboosill_dev.bench import targets
from bamboosilld.placement import hotkeys
from bamboosilld.placement import load
from bamboosilld.placement import policy

# Time from BeginMove to FinishMove: one lease renewal (250 ms), in which the
# instances report that they have drained the shard, and two log commits.
MOVE_DURATION_S = 0.35
# The same for a shard without a live owner: log commits only.
GRANT_DURATION_S = 0.1
# A target is considered lost after three missed heartbeats of 500 ms.
FAILURE_DETECTION_S = 1.5
# Lease of a delegation plus margin, after which the shards of an unreachable
# zone may be given to other zones.
DELEGATION_EXPIRY_S = 1.7
_TICKS_PER_MEASUREMENT = 2


class Leader:
    """Places the shards and hot keys of one service.

    Attributes:
        held_zone: Isolated zone whose shards stay where they are, or None.
        lapsed_zone: Isolated zone whose delegations have expired, or None.
    """

    def __init__(
        self,
        scheduler: events.EventScheduler,
        service: deployments.Service,
        weights: policy.Weights,
        policy_name: str,
        placement: places.ServicePlacement,
        service_targets: list[targets.Target],
        meters: list[load.Meter],
    ) -> None:
        self._scheduler = scheduler
        self._service = service
        self._weights = {service.name: weights}
        self._policy = policy.make_policy(policy_name, random.Random(1))
        self._placement = placement
        self._targets = service_targets
        self._meters = meters
        self._shard_rates = load.ShardRates()
        self._target_loads = load.Loads()
        self._hot_key_selector = hotkeys.HotKeySelector()
        self._hot_key_rates: dict[hotkeys.KeyId, float] = {}
        self._tick_count = 0
        self.held_zone: str | None = None
        self.lapsed_zone: str | None = None

    def list_targets_with_heartbeat(self) -> list[targets.Target]:
        """Returns the targets that are not yet considered lost."""
        now_s = self._scheduler.now_s
        return [
            item
            for item in self._targets
            if (
                item.silent_since_s is None
                or now_s - item.silent_since_s < FAILURE_DETECTION_S
            )
            and item.announcement.zone != self.lapsed_zone
        ]

    def tick(self) -> None:
        """Updates the load estimates when due, and plans and begins moves."""
        now_s = self._scheduler.now_s
        if self._tick_count % _TICKS_PER_MEASUREMENT == 0:
            reports = [item.report(now_s) for item in self._meters]
            self._shard_rates.update(now_s, reports)
            merged = hotkeys.merge_reports(reports)
            self._hot_key_rates = self._hot_key_selector.choose(
                now_s, merged, self._shard_rates.compute_mean()
            )
            self._placement.set_hot_keys(
                {key[2] for key in self._hot_key_rates}
            )
        self._tick_count += 1
        targets_with_heartbeat = self.list_targets_with_heartbeat()
        shards = self._view_shards()
        view = policy.PlacementView(
            self._service.name,
            now_s,
            self._weights,
            self._view_targets(targets_with_heartbeat, shards),
            tuple(shards),
        )
        by_name = {item.name: item for item in targets_with_heartbeat}
        moves = self._policy.plan(view)
        for move in moves:
            unit = (
                self._placement.hot_keys[move.key]
                if move.key
                else self._placement.shards[move.shard]
            )
            self._begin_move(unit, by_name[move.target], by_name)

    def _view_shards(self) -> list[policy.ShardView]:
        shard_rates = self._shard_rates.compute_rates(self._hot_key_rates)
        hot_rates = {key[2]: rate for key, rate in self._hot_key_rates.items()}
        name = self._service.name
        views = []
        for unit in self._placement.list_units():
            owner = unit.owner
            if (
                self.held_zone is not None
                and owner is not None
                and owner.announcement.zone == self.held_zone
            ):
                continue
            rate = (
                hot_rates.get(unit.key, 0.0)
                if unit.key
                else shard_rates.get((name, unit.shard), 0.0)
            )
            views.append(
                policy.ShardView(
                    name,
                    unit.shard,
                    unit.key,
                    None if owner is None else owner.name,
                    rate,
                    unit.next is not None,
                )
            )
        return views

    def _view_targets(
        self,
        targets_with_heartbeat: list[targets.Target],
        shards: list[policy.ShardView],
    ) -> tuple[policy.TargetView, ...]:
        now_s = self._scheduler.now_s
        owned_rates: dict[str, float] = {}
        for shard in shards:
            if shard.owner is not None:
                owned_rates[shard.owner] = (
                    owned_rates.get(shard.owner, 0.0) + shard.load
                )
        views = {
            item.name: zone.UpstreamView(
                item.name,
                item.in_flight,
                item.latency_s * 1000,
                completions=item.completions,
            )
            for item in targets_with_heartbeat
        }
        reports = {
            item.name: item.make_report(now_s)
            for item in targets_with_heartbeat
            if item.silent_since_s is None
        }
        effective = self._target_loads.update(
            now_s, views, owned_rates, reports
        )
        return tuple(
            item.make_view(now_s, effective[item.name].load)
            for item in targets_with_heartbeat
            if item.announcement.zone != self.held_zone
        )

    def _begin_move(
        self,
        unit: places.PlacementUnit,
        target: targets.Target,
        targets_with_heartbeat: dict[str, targets.Target],
    ) -> None:
        live = (
            unit.owner is not None and unit.owner.name in targets_with_heartbeat
        )
        self._placement.begin_move(unit, target, self._scheduler.now_s)
        delay_s = MOVE_DURATION_S if live else GRANT_DURATION_S
        incarnation = target.announcement.incarnation
        self._scheduler.call_later(
            delay_s, self._finish_move, unit, incarnation
        )

    def _finish_move(
        self, unit: places.PlacementUnit, incarnation: int
    ) -> None:
        target = unit.next
        if target is None:
            return
        if (
            not target.reachable
            or target.announcement.incarnation != incarnation
        ):
            # The new owner was lost or restarted during the move. Without an
            # owner the unit is placed again by the next plan.
            unit.owner, unit.next = None, None
            return
        self._placement.finish_move(unit, self._scheduler.now_s)
        waiting, unit.held = unit.held, []
        for resume in waiting:
            resume()
