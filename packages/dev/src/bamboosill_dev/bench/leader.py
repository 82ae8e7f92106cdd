"""The zone leader's decisions for one service, by the product's own code."""

import random

from bamboosill_common.generated import zone
from bamboosill_dev.bench import deployments
from bamboosill_dev.bench import events
from bamboosill_dev.bench import places
from bamboosill_dev.bench import targets
from bamboosilld.placement import hotkeys
from bamboosilld.placement import load
from bamboosilld.placement import policy

# Time from BeginMove to FinishMove: one lease renewal (250 ms) in which the
# instances report that they have drained, and two commits.
MOVE_S = 0.35
# The same when the former owner is gone: commits only.
GRANT_S = 0.1
# Three heartbeats of 500 ms.
DETECT_S = 1.5
# Delegation lease and margin, after which another zone may own the shards.
LAPSE_S = 1.7
_MEASURE_EVERY = 2


class Leader:
    """Places the shards of one service."""

    def __init__(
        self,
        heap: events.Heap,
        service: deployments.Service,
        weights: policy.Weights,
        policy_name: str,
        owned: places.Places,
        members: list[targets.Target],
        meters: list[load.Meter],
    ) -> None:
        self._heap = heap
        self._service = service
        self._weights = {service.name: weights}
        self._policy = policy.make_policy(policy_name, random.Random(1))
        self._places = owned
        self._members = members
        self._meters = meters
        self._rates = load.ShardRates()
        self._loads = load.Loads()
        self._chooser = hotkeys.HotKeySelector()
        self._hot: dict[hotkeys.KeyId, float] = {}
        self._ticks = 0
        self.held_zone: str | None = None
        self.lapsed_zone: str | None = None

    def list_seen(self) -> list[targets.Target]:
        """Returns the targets whose heartbeats arrive."""
        now_s = self._heap.now_s
        return [
            item
            for item in self._members
            if (
                item.silent_since_s is None
                or now_s - item.silent_since_s < DETECT_S
            )
            and item.announcement.zone != self.lapsed_zone
        ]

    def tick(self) -> None:
        """Measures and plans once."""
        now_s = self._heap.now_s
        if self._ticks % _MEASURE_EVERY == 0:
            reports = [item.report(now_s) for item in self._meters]
            self._rates.update(now_s, reports)
            merged = hotkeys.merge_reports(reports)
            self._hot = self._chooser.choose(
                now_s, merged, self._rates.compute_mean()
            )
            self._places.set_hot({key[2] for key in self._hot})
        self._ticks += 1
        seen = self.list_seen()
        shards = self._view_shards()
        view = policy.PlacementView(
            self._service.name,
            now_s,
            self._weights,
            self._view_targets(seen, shards),
            tuple(shards),
        )
        by_name = {item.name: item for item in seen}
        moves = self._policy.plan(view)
        for move in moves:
            place = (
                self._places.hot[move.key]
                if move.key
                else self._places.shards[move.shard]
            )
            self._begin(place, by_name[move.target], by_name)

    def _view_shards(self) -> list[policy.ShardView]:
        rates = self._rates.compute_rates(self._hot)
        hot = {key[2]: rate for key, rate in self._hot.items()}
        name = self._service.name
        views = []
        for place in self._places.list_all():
            owner = place.owner
            if (
                self.held_zone is not None
                and owner is not None
                and owner.announcement.zone == self.held_zone
            ):
                continue
            rate = (
                hot.get(place.key, 0.0)
                if place.key
                else rates.get((name, place.shard), 0.0)
            )
            views.append(
                policy.ShardView(
                    name,
                    place.shard,
                    place.key,
                    None if owner is None else owner.name,
                    rate,
                    place.next is not None,
                )
            )
        return views

    def _view_targets(
        self, seen: list[targets.Target], shards: list[policy.ShardView]
    ) -> tuple[policy.TargetView, ...]:
        now_s = self._heap.now_s
        rates: dict[str, float] = {}
        for shard in shards:
            if shard.owner is not None:
                rates[shard.owner] = rates.get(shard.owner, 0.0) + shard.load
        views = {
            item.name: zone.UpstreamView(
                item.name,
                item.in_flight,
                item.latency_s * 1000,
                completions=item.completions,
            )
            for item in seen
        }
        reports = {
            item.name: item.report(now_s)
            for item in seen
            if item.silent_since_s is None
        }
        effective = self._loads.update(now_s, views, rates, reports)
        return tuple(
            item.view(now_s, effective[item.name].load)
            for item in seen
            if item.announcement.zone != self.held_zone
        )

    def _begin(
        self,
        place: places.Place,
        target: targets.Target,
        seen: dict[str, targets.Target],
    ) -> None:
        live = place.owner is not None and place.owner.name in seen
        self._places.begin(place, target, self._heap.now_s)
        delay_s = MOVE_S if live else GRANT_S
        incarnation = target.announcement.incarnation
        self._heap.call_later(delay_s, self._finish, place, incarnation)

    def _finish(self, place: places.Place, incarnation: int) -> None:
        target = place.next
        if target is None:
            return
        if (
            not target.reachable
            or target.announcement.incarnation != incarnation
        ):
            # The new owner went away during the move: place it again.
            place.owner, place.next = None, None
            return
        self._places.finish(place, self._heap.now_s)
        held, place.held = place.held, []
        for resume in held:
            resume()
