"""Builds what placement policies see, and checks what they decide."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from bamboosill_common.generated import control
from bamboosill_common.generated import zone as messages
from bamboosilld.placement import hotkeys
from bamboosilld.placement import load as load_lib
from bamboosilld.placement import policy as policy_lib
from bamboosilld.zone import assignments
from bamboosilld.zone import grants as grants_lib
from bamboosilld.zone import leases as leases_lib
from bamboosilld.zone import moves as moves_lib
from bamboosilld.zone import optional as optional_lib
from bamboosilld.zone import state as state_lib
from bamboosilld.zone import upstreams as upstreams_lib

MakePolicy = Callable[[], policy_lib.Policy]
_Key = assignments.AssignmentKey


class Plan(NamedTuple):
    """What to do now.

    Attributes:
        moves: Changes to begin.
        releases: Shards without an owner to give back, with their epochs.
    """

    moves: tuple[moves_lib.PlannedMove, ...]
    releases: tuple[messages.ReleaseShards, ...]


class Planner:
    """One policy for each service, for the time of one leadership."""

    def __init__(
        self,
        state: state_lib.ZoneState,
        serve_leases: leases_lib.ServeLeases,
        upstream_leases: grants_lib.UpstreamLeases,
        make_policy: MakePolicy,
        optional: optional_lib.OptionalMoves,
    ) -> None:
        self._state = state
        self._serve_leases = serve_leases
        self._upstream_leases = upstream_leases
        self._make_policy = make_policy
        self._optional = optional
        self._policies: dict[str, policy_lib.Policy] = {}
        self._rates = load_lib.ShardRates()
        self._loads: dict[str, load_lib.Loads] = {}
        self._chooser = hotkeys.Chooser()
        self._shard_rates: dict[tuple[str, int], float] = {}
        self.effective: dict[str, load_lib.Effective] = {}

    def plan(self, now_s: float) -> Plan:
        """Returns what to do now."""
        hot = self._update_rates(now_s)
        services: dict[str, list[control.KeyspaceItem]] = {}
        for _, item in sorted(self._state.feed.keyspaces.items()):
            services.setdefault(item.service, []).append(item)
        moves: dict[_Key, moves_lib.PlannedMove] = {}
        for service, keyspaces in services.items():
            for move in self._plan_service(service, keyspaces, hot, now_s):
                moves.setdefault(move.key, move)
        for move in self._cool_hot_keys(hot, now_s):
            moves.setdefault(move.key, move)
        leaving, releases = self._plan_releases()
        for move in leaving:
            moves.setdefault(move.key, move)
        return Plan(tuple(moves.values()), tuple(releases))

    def list_targets(
        self, service: str, now_s: float
    ) -> list[messages.Upstream]:
        """Returns the live upstreams of a service, without flapping ones."""
        live = [
            upstream
            for upstream in self._state.upstreams.list_current()
            if upstream.service == service
            and not self._upstream_leases.is_lost(
                upstreams_lib.get_owner(upstream)
            )
        ]
        calm = [
            upstream
            for upstream in live
            if not self._upstream_leases.is_held_down(
                upstreams_lib.get_owner(upstream), now_s
            )
        ]
        return calm or live

    def list_able(self, service: str, now_s: float) -> list[messages.Upstream]:
        """Returns the upstreams of a service that may receive shards."""
        return [
            each
            for each in self.list_targets(service, now_s)
            if each.state != policy_lib.DRAINING
        ]

    def _update_rates(self, now_s: float) -> dict[hotkeys.KeyId, float]:
        holders = self._serve_leases.list_live(now_s).values()
        reports = [holder.report.shard_load for holder in holders]
        self._rates.update(now_s, reports)
        rates = hotkeys.merge_reports(reports)
        mean_per_s = self._rates.compute_mean()
        if not self._optional.is_informed(now_s):
            # The former leader's hot keys stay, whatever is known of them.
            known = [
                (key.keyspace, key.shard, key.key)
                for key, _ in self._state.assignments.list_hot()
            ]
            rates = {key: rates.get(key, 0.0) for key in known}
            mean_per_s = 0.0
        hot = self._chooser.choose(now_s, rates, mean_per_s)
        self._shard_rates = self._rates.compute_rates(hot)
        return hot

    def _plan_service(
        self,
        service: str,
        keyspaces: list[control.KeyspaceItem],
        hot: dict[hotkeys.KeyId, float],
        now_s: float,
    ) -> list[moves_lib.PlannedMove]:
        upstreams = self.list_targets(service, now_s)
        views = {
            view_key: self._view(view_key, hot)
            for item in keyspaces
            for view_key in self._list_keys(item.keyspace, hot)
        }
        able = self.list_able(service, now_s)
        if not able:
            return self._abandon(views, upstreams)
        view = policy_lib.PlacementView(
            service,
            now_s,
            {item.keyspace: _get_weights(item) for item in keyspaces},
            self._view_targets(service, upstreams, views.values(), now_s),
            tuple(views.values()),
        )
        policy = self._policies.setdefault(service, self._make_policy())
        eligible = {each.id: each for each in able}
        moves = []
        for move in policy.plan(view):
            planned = self._convert(move, views, eligible)
            if planned is None:
                continue
            if self._may_begin(planned, views[planned.key], eligible, now_s):
                moves.append(planned)
            else:
                # It takes the move for made and would not plan it again soon.
                self._policies.pop(service, None)
        return moves

    def _may_begin(
        self,
        move: moves_lib.PlannedMove,
        view: policy_lib.ShardView,
        eligible: dict[str, messages.Upstream],
        now_s: float,
    ) -> bool:
        """Returns whether a move is necessary, or allowed without need."""
        _, value = self._state.assignments.resolve(*move.key)
        if value is None or value.owner is None or view.owner not in eligible:
            return True
        return self._optional.may_begin(move.key, value.owner, now_s)

    def _list_keys(
        self, keyspace: str, hot: dict[hotkeys.KeyId, float]
    ) -> Iterable[_Key]:
        for shard, delegation in self._state.feed.list_delegations(keyspace):
            if self._state.is_here(delegation) and self._state.is_grantable(
                keyspace, shard
            ):
                yield _Key(keyspace, shard)
        known = {key for key, _ in self._state.assignments.list_hot()}
        for key in known | {_Key(*each) for each in hot}:
            if key.keyspace != keyspace:
                continue
            if not self._state.is_grantable(keyspace, key.shard):
                continue
            plain = self._state.assignments.find(_Key(keyspace, key.shard))
            if key in known or (plain and plain.owner and not plain.moving):
                yield key

    def _view(
        self, key: _Key, hot: dict[hotkeys.KeyId, float]
    ) -> policy_lib.ShardView:
        _, value = self._state.assignments.resolve(*key)
        if key.key:
            rate = hot.get((key.keyspace, key.shard, key.key), 0.0)
        else:
            rate = self._shard_rates.get((key.keyspace, key.shard), 0.0)
        owner, moving = self._find_live_owner(value)
        return policy_lib.ShardView(*key, owner, rate, moving)

    def _find_live_owner(
        self, value: assignments.Assignment | None
    ) -> tuple[str | None, bool]:
        if value is None:
            return None, False
        if value.moving:
            if value.target and not self._upstream_leases.is_lost(value.target):
                return value.target.id, True
            return None, False
        if value.owner and not self._upstream_leases.is_lost(value.owner):
            return value.owner.id, False
        return None, False

    def _view_targets(
        self,
        service: str,
        upstreams: list[messages.Upstream],
        shards: Iterable[policy_lib.ShardView],
        now_s: float,
    ) -> tuple[policy_lib.TargetView, ...]:
        rates: dict[str, float] = {}
        for shard in shards:
            if shard.owner is not None:
                rates[shard.owner] = rates.get(shard.owner, 0.0) + shard.load
        own = self._sum_views(upstreams, now_s)
        leases = {
            each.id: self._upstream_leases.find(
                upstreams_lib.get_owner(each), now_s
            )
            for each in upstreams
        }
        reports = {
            name: load_lib.Report(
                lease.beat.in_flight, lease.beat.queue, lease.beat_s
            )
            for name, lease in leases.items()
            if lease.beat.id
        }
        loads = self._loads.setdefault(service, load_lib.Loads())
        effective = loads.update(now_s, own, rates, reports)
        self.effective.update(effective)
        return tuple(
            policy_lib.TargetView(
                each.id,
                each.incarnation,
                each.slots,
                each.state or policy_lib.WARM,
                effective[each.id].load,
                now_s - leases[each.id].since_s,
            )
            for each in upstreams
        )

    def _sum_views(
        self, upstreams: list[messages.Upstream], now_s: float
    ) -> dict[str, messages.UpstreamView]:
        sums = {each.id: messages.UpstreamView(each.id) for each in upstreams}
        for holder in self._serve_leases.list_live(now_s).values():
            for each in holder.report.upstreams:
                if each.id in sums:
                    sums[each.id] = _add_views(sums[each.id], each)
        return sums

    def _convert(
        self,
        move: policy_lib.Move,
        views: dict[_Key, policy_lib.ShardView],
        eligible: dict[str, messages.Upstream],
    ) -> moves_lib.PlannedMove | None:
        """Returns a policy's move unless it must not or need not be made."""
        key = _Key(move.keyspace, move.shard, move.key)
        view = views.get(key)
        upstream = eligible.get(move.target)
        if view is None or upstream is None or view.moving:
            return None
        target = upstreams_lib.get_owner(upstream)
        _, value = self._state.assignments.resolve(*key)
        if value is not None and not value.moving and value.owner == target:
            return None
        return moves_lib.PlannedMove(key, target, move.reason)

    def _abandon(
        self,
        views: dict[_Key, policy_lib.ShardView],
        draining: list[messages.Upstream],
    ) -> list[moves_lib.PlannedMove]:
        """Without any usable upstream, takes shards from the others."""
        names = {each.id for each in draining}
        moves = []
        for key, view in views.items():
            value = self._state.assignments.find(key)
            if value is None or (view.moving and view.owner not in names):
                continue
            if value.target if value.moving else value.owner:
                moves.append(
                    moves_lib.PlannedMove(key, None, "no upstream is usable")
                )
        return moves

    def _cool_hot_keys(
        self, hot: dict[hotkeys.KeyId, float], now_s: float
    ) -> list[moves_lib.PlannedMove]:
        return [
            moves_lib.PlannedMove(key, None, "the key is not hot any more")
            for key, value in self._state.assignments.list_hot()
            if tuple(key) not in hot
            and not value.moving
            and value.owner is not None
            and (
                self._upstream_leases.is_lost(value.owner)
                or self._optional.may_begin(key, value.owner, now_s)
            )
        ]

    def _plan_releases(
        self,
    ) -> tuple[list[moves_lib.PlannedMove], list[messages.ReleaseShards]]:
        """Takes shards that the control group asks for from their owners."""
        moves = []
        ready: dict[tuple[str, int], list[int]] = {}
        state = self._state
        for keyspace in sorted(state.feed.keyspaces):
            for shard, delegation in state.feed.list_delegations(keyspace):
                if not delegation.releasing or not state.is_here(delegation):
                    continue
                if state.is_released(keyspace, shard, delegation.epoch):
                    continue
                if not state.assignments.has_owner(keyspace, shard):
                    place = (keyspace, delegation.epoch)
                    ready.setdefault(place, []).append(shard)
                    continue
                moves += self._plan_release(keyspace, shard)
        size = state_lib.MAX_SHARDS_PER_COMMAND
        releases = [
            messages.ReleaseShards(keyspace, tuple(shards[:size]), epoch)
            for (keyspace, epoch), shards in ready.items()
        ]
        return moves, releases

    def _plan_release(
        self, keyspace: str, shard: int
    ) -> list[moves_lib.PlannedMove]:
        moves = []
        for key in self._state.assignments.list_keys(keyspace, shard):
            value = self._state.assignments.find(key)
            if value is None or (value.moving and value.target is None):
                continue
            if value.moving or value.owner is not None:
                moves.append(
                    moves_lib.PlannedMove(key, None, "control asks for it")
                )
        return moves


def _get_weights(item: control.KeyspaceItem) -> policy_lib.Weights:
    return policy_lib.Weights(
        item.unavailability_weight, item.churn_weight, item.imbalance_weight
    )


def _add_views(
    one: messages.UpstreamView, other: messages.UpstreamView
) -> messages.UpstreamView:
    completions = one.completions + other.completions
    latency_ms = (
        one.latency_ms * one.completions + other.latency_ms * other.completions
    ) / max(1, completions)
    return messages.UpstreamView(
        one.id,
        one.in_flight + other.in_flight,
        latency_ms,
        one.refusals + other.refusals,
        completions,
        one.failures + other.failures,
    )
