"""Plans moves on the zone leader with one placement policy per service.

Builds the policies' input from leases, reports and assignments, and checks the
moves that they propose. Adds the moves that need no policy: shards to release
to the control group, hot keys that have cooled down, and shards of services
without a usable upstream.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from bamboosill_common.generated import control
from bamboosill_common.generated import zone as messages
from bamboosilld.placement import hotkeys
from bamboosilld.placement import load as load_lib
from bamboosilld.placement import policy as policy_lib
from bamboosilld.zone import assignments
from bamboosilld.zone import grant_leases as grant_leases_lib
from bamboosilld.zone import moves as moves_lib
from bamboosilld.zone import optional_moves as optional_moves_lib
from bamboosilld.zone import serve_leases as serve_leases_lib
from bamboosilld.zone import state as state_lib
from bamboosilld.zone import upstreams as upstreams_lib

MakePolicy = Callable[[], policy_lib.Policy]
_Key = assignments.AssignmentKey


class Plan(NamedTuple):
    """Result of one planning round.

    Attributes:
        moves: Moves to start.
        releases: Commands that release shards without an owner.
    """

    moves: tuple[moves_lib.PlannedMove, ...]
    releases: tuple[messages.ReleaseShards, ...]


class Planner:
    """Plans the moves of a zone; lives as long as one leadership.

    Attributes:
        effective_loads: Load estimate of each upstream by id.
    """

    def __init__(
        self,
        state: state_lib.ZoneState,
        serve_leases: serve_leases_lib.ServeLeases,
        upstream_leases: grant_leases_lib.UpstreamLeases,
        make_policy: MakePolicy,
        move_gate: optional_moves_lib.OptionalMoveGate,
    ) -> None:
        self._state = state
        self._serve_leases = serve_leases
        self._upstream_leases = upstream_leases
        self._make_policy = make_policy
        self._move_gate = move_gate
        self._policies: dict[str, policy_lib.Policy] = {}
        self._rates = load_lib.ShardRates()
        self._loads: dict[str, load_lib.Loads] = {}
        self._hot_key_selector = hotkeys.HotKeySelector()
        self._shard_rates: dict[tuple[str, int], float] = {}
        self.effective_loads: dict[str, load_lib.Effective] = {}

    def plan(self, now_s: float) -> Plan:
        """Returns the moves and releases to start now."""
        hot_keys = self._update_rates(now_s)
        services: dict[str, list[control.KeyspaceItem]] = {}
        for _, item in sorted(self._state.feed.keyspaces.items()):
            services.setdefault(item.service, []).append(item)
        moves: dict[_Key, moves_lib.PlannedMove] = {}
        for service, keyspaces in services.items():
            for move in self._plan_service(service, keyspaces, hot_keys, now_s):
                moves.setdefault(move.key, move)
        for move in self._plan_hot_key_removals(hot_keys, now_s):
            moves.setdefault(move.key, move)
        release_moves, releases = self._plan_releases()
        for move in release_moves:
            moves.setdefault(move.key, move)
        return Plan(tuple(moves.values()), tuple(releases))

    def list_candidates(
        self, service: str, now_s: float
    ) -> list[messages.Upstream]:
        """Returns the live upstreams of a service.

        Upstreams in hold-down are left out unless all of them are.
        """
        live = [
            upstream
            for upstream in self._state.upstreams.list_current()
            if upstream.service == service
            and not self._upstream_leases.is_lost(
                upstreams_lib.get_owner(upstream)
            )
        ]
        stable = [
            upstream
            for upstream in live
            if not self._upstream_leases.is_held_down(
                upstreams_lib.get_owner(upstream), now_s
            )
        ]
        return stable or live

    def list_assignable(
        self, service: str, now_s: float
    ) -> list[messages.Upstream]:
        """Returns the candidates of a service that are not draining."""
        return [
            each
            for each in self.list_candidates(service, now_s)
            if each.state != policy_lib.DRAINING
        ]

    def _update_rates(self, now_s: float) -> dict[hotkeys.KeyId, float]:
        holders = self._serve_leases.list_live(now_s).values()
        reports = [holder.report.shard_load for holder in holders]
        self._rates.update(now_s, reports)
        rates = hotkeys.merge_reports(reports)
        mean_shard_rate_per_s = self._rates.compute_mean()
        if not self._move_gate.has_complete_reports(now_s):
            # A new leader keeps the hot keys of the former one until its
            # own figures are complete.
            assigned_hot_keys = [
                (key.keyspace, key.shard, key.key)
                for key, _ in self._state.assignments.list_hot_keys()
            ]
            rates = {key: rates.get(key, 0.0) for key in assigned_hot_keys}
            mean_shard_rate_per_s = 0.0
        hot_keys = self._hot_key_selector.choose(
            now_s, rates, mean_shard_rate_per_s
        )
        self._shard_rates = self._rates.compute_rates(hot_keys)
        return hot_keys

    def _plan_service(
        self,
        service: str,
        keyspaces: list[control.KeyspaceItem],
        hot_keys: dict[hotkeys.KeyId, float],
        now_s: float,
    ) -> list[moves_lib.PlannedMove]:
        upstreams = self.list_candidates(service, now_s)
        views = {
            view_key: self._make_shard_view(view_key, hot_keys)
            for item in keyspaces
            for view_key in self._list_grantable_keys(item.keyspace, hot_keys)
        }
        assignable = self.list_assignable(service, now_s)
        if not assignable:
            return self._plan_unassignments(views, upstreams)
        view = policy_lib.PlacementView(
            service,
            now_s,
            {item.keyspace: _get_weights(item) for item in keyspaces},
            self._make_target_views(service, upstreams, views.values(), now_s),
            tuple(views.values()),
        )
        policy = self._policies.setdefault(service, self._make_policy())
        eligible = {each.id: each for each in assignable}
        moves = []
        for move in policy.plan(view):
            planned = self._make_planned_move(move, views, eligible)
            if planned is None:
                continue
            if self._may_begin(planned, views[planned.key], eligible, now_s):
                moves.append(planned)
            else:
                # Discards the policy, because it counts the move as made and
                # would not soon plan it again.
                self._policies.pop(service, None)
        return moves

    def _may_begin(
        self,
        move: moves_lib.PlannedMove,
        view: policy_lib.ShardView,
        eligible: dict[str, messages.Upstream],
        now_s: float,
    ) -> bool:
        """Returns whether a move is necessary, or optional but allowed."""
        _, assignment = self._state.assignments.resolve(*move.key)
        if (
            assignment is None
            or assignment.owner is None
            or view.owner not in eligible
        ):
            return True
        return self._move_gate.may_begin(move.key, assignment.owner, now_s)

    def _list_grantable_keys(
        self, keyspace: str, hot_keys: dict[hotkeys.KeyId, float]
    ) -> Iterable[_Key]:
        for shard, delegation in self._state.feed.list_delegations(keyspace):
            if self._state.is_delegated_here(
                delegation
            ) and self._state.is_grantable(keyspace, shard):
                yield _Key(keyspace, shard)
        assigned_hot_keys = {
            key for key, _ in self._state.assignments.list_hot_keys()
        }
        for key in assigned_hot_keys | {_Key(*each) for each in hot_keys}:
            if key.keyspace != keyspace:
                continue
            if not self._state.is_grantable(keyspace, key.shard):
                continue
            shard_assignment = self._state.assignments.find(
                _Key(keyspace, key.shard)
            )
            if key in assigned_hot_keys or (
                shard_assignment
                and shard_assignment.owner
                and not shard_assignment.moving
            ):
                yield key

    def _make_shard_view(
        self, key: _Key, hot_keys: dict[hotkeys.KeyId, float]
    ) -> policy_lib.ShardView:
        _, assignment = self._state.assignments.resolve(*key)
        if key.key:
            rate = hot_keys.get((key.keyspace, key.shard, key.key), 0.0)
        else:
            rate = self._shard_rates.get((key.keyspace, key.shard), 0.0)
        owner, moving = self._find_live_owner(assignment)
        return policy_lib.ShardView(*key, owner, rate, moving)

    def _find_live_owner(
        self, assignment: assignments.Assignment | None
    ) -> tuple[str | None, bool]:
        """Returns the id of the live owner or target, and whether it moves."""
        if assignment is None:
            return None, False
        if assignment.moving:
            if assignment.target and not self._upstream_leases.is_lost(
                assignment.target
            ):
                return assignment.target.id, True
            return None, False
        if assignment.owner and not self._upstream_leases.is_lost(
            assignment.owner
        ):
            return assignment.owner.id, False
        return None, False

    def _make_target_views(
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
        entry_views = self._sum_upstream_views(upstreams, now_s)
        leases = {
            each.id: self._upstream_leases.get_or_create(
                upstreams_lib.get_owner(each), now_s
            )
            for each in upstreams
        }
        reports = {
            name: load_lib.Report(
                lease.last_heartbeat.in_flight,
                lease.last_heartbeat.queue,
                lease.last_heartbeat_s,
            )
            for name, lease in leases.items()
            if lease.last_heartbeat.id
        }
        loads = self._loads.setdefault(service, load_lib.Loads())
        effective = loads.update(now_s, entry_views, rates, reports)
        self.effective_loads.update(effective)
        return tuple(
            policy_lib.TargetView(
                each.id,
                each.incarnation,
                each.slots,
                each.state or policy_lib.WARM,
                effective[each.id].load,
                now_s - leases[each.id].known_since_s,
            )
            for each in upstreams
        )

    def _sum_upstream_views(
        self, upstreams: list[messages.Upstream], now_s: float
    ) -> dict[str, messages.UpstreamView]:
        sums = {each.id: messages.UpstreamView(each.id) for each in upstreams}
        for holder in self._serve_leases.list_live(now_s).values():
            for each in holder.report.upstreams:
                if each.id in sums:
                    sums[each.id] = _merge_views(sums[each.id], each)
        return sums

    def _make_planned_move(
        self,
        move: policy_lib.Move,
        views: dict[_Key, policy_lib.ShardView],
        eligible: dict[str, messages.Upstream],
    ) -> moves_lib.PlannedMove | None:
        """Returns a policy's move, or None if it is invalid or superfluous."""
        key = _Key(move.keyspace, move.shard, move.key)
        view = views.get(key)
        upstream = eligible.get(move.target)
        if view is None or upstream is None or view.moving:
            return None
        target = upstreams_lib.get_owner(upstream)
        _, assignment = self._state.assignments.resolve(*key)
        if (
            assignment is not None
            and not assignment.moving
            and assignment.owner == target
        ):
            return None
        return moves_lib.PlannedMove(key, target, move.reason)

    def _plan_unassignments(
        self,
        views: dict[_Key, policy_lib.ShardView],
        draining: list[messages.Upstream],
    ) -> list[moves_lib.PlannedMove]:
        """Plans moves that take all shards of a service from their owners.

        Used while no upstream is usable. Moves under way stay, except those
        to draining upstreams.
        """
        draining_ids = {each.id for each in draining}
        moves = []
        for key, view in views.items():
            assignment = self._state.assignments.find(key)
            if assignment is None or (
                view.moving and view.owner not in draining_ids
            ):
                continue
            if assignment.target if assignment.moving else assignment.owner:
                moves.append(
                    moves_lib.PlannedMove(key, None, "no upstream is usable")
                )
        return moves

    def _plan_hot_key_removals(
        self, hot_keys: dict[hotkeys.KeyId, float], now_s: float
    ) -> list[moves_lib.PlannedMove]:
        return [
            moves_lib.PlannedMove(key, None, "the key is not hot any more")
            for key, assignment in self._state.assignments.list_hot_keys()
            if tuple(key) not in hot_keys
            and not assignment.moving
            and assignment.owner is not None
            and (
                self._upstream_leases.is_lost(assignment.owner)
                or self._move_gate.may_begin(key, assignment.owner, now_s)
            )
        ]

    def _plan_releases(
        self,
    ) -> tuple[list[moves_lib.PlannedMove], list[messages.ReleaseShards]]:
        """Plans the release of shards that the control group wants back.

        Returns moves for shards that still have an owner, and release commands
        for the others.
        """
        moves = []
        ready: dict[tuple[str, int], list[int]] = {}
        state = self._state
        for keyspace in sorted(state.feed.keyspaces):
            for shard, delegation in state.feed.list_delegations(keyspace):
                if not delegation.releasing or not state.is_delegated_here(
                    delegation
                ):
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
        for key in self._state.assignments.list_shard_keys(keyspace, shard):
            assignment = self._state.assignments.find(key)
            if assignment is None or (
                assignment.moving and assignment.target is None
            ):
                continue
            if assignment.moving or assignment.owner is not None:
                moves.append(
                    moves_lib.PlannedMove(key, None, "control asks for it")
                )
        return moves


def _get_weights(item: control.KeyspaceItem) -> policy_lib.Weights:
    return policy_lib.Weights(
        item.unavailability_weight, item.churn_weight, item.imbalance_weight
    )


def _merge_views(
    left: messages.UpstreamView, right: messages.UpstreamView
) -> messages.UpstreamView:
    completions = left.completions + right.completions
    latency_ms = (
        left.latency_ms * left.completions
        + right.latency_ms * right.completions
    ) / max(1, completions)
    return messages.UpstreamView(
        left.id,
        left.in_flight + right.in_flight,
        latency_ms,
        left.refusals + right.refusals,
        completions,
        left.failures + right.failures,
    )
