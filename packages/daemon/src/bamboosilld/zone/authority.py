"""Duties of a zone leader: leases, moves, members and upstreams.

An `Authority` exists for one leadership. It first waits until all entries of
former leaders are applied. Then it grants serve leases to entry instances and
grant leases to upstreams, plans and runs moves, adjusts the group's members,
and sends heartbeats to the control group.
"""

import asyncio
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bamboosill_common import clock as clock_lib
from bamboosill_common import errors
from bamboosill_common import events
from bamboosill_common import logs
from bamboosill_common import peer
from bamboosill_common import wire
from bamboosill_common.generated import zone as messages
from bamboosilld.consensus import interfaces
from bamboosilld.zone import assignments
from bamboosilld.zone import contract_limits as contract_limits_lib
from bamboosilld.zone import contracts as contracts_lib
from bamboosilld.zone import control_link as control_link_lib
from bamboosilld.zone import explain as explain_lib
from bamboosilld.zone import grant_leases as grant_leases_lib
from bamboosilld.zone import group as group_lib
from bamboosilld.zone import group_members as group_members_lib
from bamboosilld.zone import moves as moves_lib
from bamboosilld.zone import optional_moves as optional_moves_lib
from bamboosilld.zone import planner as planner_lib
from bamboosilld.zone import registry as registry_lib
from bamboosilld.zone import serve_leases as serve_leases_lib
from bamboosilld.zone import shares as shares_lib
from bamboosilld.zone import state as state_lib
from bamboosilld.zone import times
from bamboosilld.zone import upstream_client as client_lib
from bamboosilld.zone import upstreams as upstreams_lib
from bamboosilld.zone import zone_heartbeat

_PROPOSE_TIMEOUT_S = 2.0
_RETRY_INTERVAL_S = 0.1
# A member whose wall clock differs by more may not begin requests, because its
# commands could expire the records of others. Above the 1 s of skew at which an
# instance reports itself as not ready.
_MAX_CLOCK_DIFFERENCE_MS = 2_000

# Commands that members may send; only the leader issues the others.
_MEMBER_COMMANDS = (
    messages.PutUpstream,
    messages.BeginRequest,
    messages.FinishRequest,
    messages.AbandonRequest,
    messages.ReportCrash,
)

_log = logs.get_logger("zone")


class Dependencies(NamedTuple):
    """Dependencies of an `Authority`."""

    identity: peer.Identity
    state: state_lib.ZoneState
    node: interfaces.Node
    directory: peer.Directory
    clock: clock_lib.Clock
    timeline: events.Timeline
    make_policy: planner_lib.MakePolicy
    client: client_lib.UpstreamClient
    contracts: contracts_lib.ContractCache
    list_control_addresses: Callable[[], tuple[str, ...]]


class Authority:
    """Grants leases and runs moves while the node leads.

    Attributes:
        is_caught_up: Whether the state is known to include all commands that
            former leaders committed.
    """

    def __init__(self, deps: Dependencies) -> None:
        self._deps = deps
        self._state = deps.state
        self._node = deps.node
        self._clock = deps.clock
        self.is_caught_up = False
        self._plan_requested = asyncio.Event()
        now_s = deps.clock.monotonic()
        elected_at_s = deps.node.elected_at_s
        self._serve_leases = serve_leases_lib.ServeLeases(elected_at_s)
        self._upstream_leases = grant_leases_lib.UpstreamLeases(
            deps.state, elected_at_s, now_s
        )
        self._shares = shares_lib.ShareAllocator(now_s)
        self._membership = group_members_lib.MembershipManager(
            deps.node, deps.clock
        )
        self._control_link = control_link_lib.ControlLink(
            deps.directory, deps.clock, deps.list_control_addresses
        )
        self._contract_limits = contract_limits_lib.ContractLimits(
            deps.state, deps.contracts
        )
        self._mover = moves_lib.Mover(
            deps.state,
            self._serve_leases,
            self._upstream_leases,
            self._commit,
            deps.client,
            deps.clock,
            deps.timeline,
            self._contract_limits.get_longest_deadline_s,
        )
        self._registry = registry_lib.Registry(
            deps.state,
            self._upstream_leases,
            self._commit,
            self._mover.spawn,
            deps.clock,
        )
        self._planner = planner_lib.Planner(
            deps.state,
            self._serve_leases,
            self._upstream_leases,
            deps.make_policy,
            optional_moves_lib.OptionalMoveGate(
                deps.state,
                deps.node,
                self._serve_leases,
                self._contract_limits.get_longest_deadline_s,
                elected_at_s,
            ),
        )

    async def run(self) -> None:
        """Runs the leader's periodic tasks until cancelled."""
        await self._catch_up()
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(
                    self._run_periodically(self._tick, times.TICK_S)
                )
                tasks.create_task(
                    self._run_periodically(
                        self._send_heartbeat, times.ZONE_HEARTBEAT_INTERVAL_S
                    )
                )
                tasks.create_task(
                    self._run_periodically(
                        self._membership.reconcile,
                        times.SERVE_RENEWAL_INTERVAL_S,
                    )
                )
                tasks.create_task(self._run_planner())
        finally:
            self.is_caught_up = False
            self._mover.stop()

    async def _catch_up(self) -> None:
        """Waits until all entries of former leaders are applied here.

        This holds once an entry of the leader's own term is applied.
        """
        while True:
            # An empty feed is a no-op.
            match await self._commit(messages.ApplyFeed()):
                case Success(_):
                    break
            await self._clock.sleep(_RETRY_INTERVAL_S)
        now_s = self._clock.monotonic()
        for upstream in self._state.upstreams.list_current():
            self._upstream_leases.get_or_create(
                upstreams_lib.get_owner(upstream), now_s
            )
        self._upstream_leases.restart_detection(now_s)
        self._last_tick_s = now_s
        self.is_caught_up = True
        self._deps.timeline.record("zone", "authority_open")

    async def _run_periodically(
        self, duty: Callable[[], Any], interval_s: float
    ) -> None:
        while True:
            try:
                await duty()
            except Exception:
                _log.exception("A duty of the zone authority failed.")
            await self._clock.sleep(interval_s)

    def can_grant_leases(self) -> bool:
        """Returns whether leases may be granted now."""
        if not self.is_caught_up or not self._node.is_leader:
            return False
        item = self._state.feed.zones.get(self._state.zone)
        if item is not None and item.group_epoch > self._state.group_epoch:
            return False
        return self._node.has_leader_lease()

    def handle_applied(self, command: Any) -> None:
        """Reacts to a command that was applied to the state."""
        if isinstance(
            command,
            messages.BeginMove | messages.FinishMove | messages.ApplyFeed,
        ):
            self._upstream_leases.clear_grant_lists()
        if isinstance(
            command,
            messages.PutUpstream | messages.ApplyFeed | messages.FinishMove,
        ):
            self._plan_requested.set()

    # Handlers.

    def renew_serve_lease(
        self, message: messages.RenewLease
    ) -> messages.LeaseReply:
        """Renews the serve lease of an instance.

        Raises:
            errors.HandlerError: The instance is no member of the group.
        """
        if not self.can_grant_leases():
            return messages.LeaseReply(
                leader_address=self._get_leader_address()
            )
        if not self._membership.is_member(
            message.instance, message.incarnation
        ):
            raise errors.HandlerError("not_member", message.instance)
        now_s = self._clock.monotonic()
        self._membership.record_applied_index(
            message.instance, message.incarnation, message.applied_index
        )
        holder = self._serve_leases.record_renewal(message)
        self._serve_leases.extend(holder, now_s)
        clock_offset_ms = self._control_link.wall_offset_ms
        lapse_s = min(times.SERVE_LEASE_S, self._control_link.get_lease_s())
        return messages.LeaseReply(
            granted=True,
            lease_ms=times.to_ms(times.SERVE_LEASE_S),
            lapse_lease_ms=times.to_ms(lapse_s),
            shares=self._allocate_shares(message.instance, now_s),
            wall_ms=self._clock.wall_ms() + clock_offset_ms
            if clock_offset_ms is not None
            else 0,
            commit_index=self._node.commit_index,
        )

    def renew_grant_lease(
        self, message: messages.UpstreamBeat
    ) -> messages.UpstreamBeatReply:
        """Renews the grant lease of an upstream that sent a heartbeat."""
        if not self.can_grant_leases():
            return messages.UpstreamBeatReply(
                "not_leader", leader_address=self._get_leader_address()
            )
        owner = assignments.Owner(message.id, message.incarnation)
        if self._upstream_leases.is_lost(owner):
            return messages.UpstreamBeatReply("announce")
        now_s = self._clock.monotonic()
        lease = self._upstream_leases.record_heartbeat(owner, message, now_s)
        self._registry.update_state(owner, message.state)
        self._upstream_leases.extend(lease, now_s)
        current = self._upstream_leases.list_grants(owner)
        unchanged = current.version == message.grants_version
        lapse_s = min(times.GRANT_LEASE_S, self._control_link.get_lease_s())
        return messages.UpstreamBeatReply(
            "ok",
            times.to_ms(times.GRANT_LEASE_S),
            current.version,
            unchanged,
            () if unchanged else current.grants,
            lapse_lease_ms=times.to_ms(lapse_s),
        )

    async def join(self, message: messages.Join) -> messages.JoinReply:
        """Adds an instance to the group as a learner."""
        if not self.can_grant_leases():
            return messages.JoinReply(leader_address=self._get_leader_address())
        return messages.JoinReply(accepted=await self._membership.add(message))

    async def propose(self, message: Any) -> Result[Any, errors.ProposeError]:
        """Commits a command from a member and returns its result message."""
        if not isinstance(message, _MEMBER_COMMANDS):
            return Failure(_make_refusal("forbidden", type(message).__name__))
        if not self.is_caught_up:
            return Failure(
                _make_refusal("not_leader", "the leader is not ready")
            )
        if isinstance(message, messages.PutUpstream):
            return await self._registry.register(message)
        if isinstance(message, messages.BeginRequest | messages.ReportCrash):
            clock_offset_ms = abs(message.now_ms - self._clock.wall_ms())
            if clock_offset_ms > _MAX_CLOCK_DIFFERENCE_MS:
                detail = f"wall clocks differ by {clock_offset_ms} ms"
                return Failure(_make_refusal("clock", detail))
        return await self._commit(message)

    def explain(self, message: messages.Explain) -> messages.ExplainReply:
        """Describes the assignment of one key."""
        return messages.ExplainReply(
            explain_lib.describe(
                self._state,
                message,
                self._mover,
                self._upstream_leases,
                self._clock.monotonic(),
            )
        )

    # Periodic tasks of the leader.

    async def _tick(self) -> None:
        """Detects lost upstreams, and advances moves in progress."""
        now_s = self._clock.monotonic()
        paused = now_s - self._last_tick_s > times.LEADER_PAUSE_S
        self._last_tick_s = now_s
        if paused or not self.can_grant_leases():
            # Heartbeats could not reach this leader, so their absence does not
            # mean that an upstream is lost.
            self._upstream_leases.restart_detection(now_s)
        for owner in self._upstream_leases.detect_lost(now_s):
            _log.warning("Upstream %s is lost.", owner.id)
            self._deps.timeline.record("zone", "upstream_lost", id=owner.id)
            self._plan_requested.set()
        if self.can_grant_leases():
            self._mover.advance(now_s)
        self._serve_leases.remove_expired(now_s)

    async def _run_planner(self) -> None:
        """Plans at each relevant change, and at a regular interval."""
        while True:
            try:
                async with asyncio.timeout(times.PLAN_INTERVAL_S):
                    await self._plan_requested.wait()
            except TimeoutError:
                pass
            self._plan_requested.clear()
            # Batches changes that arrive together, such as upstreams that
            # start at the same time.
            await self._clock.sleep(times.TICK_S)
            try:
                await self._plan()
            except Exception:
                _log.exception("Planning failed.")

    async def _plan(self) -> None:
        if not self.can_grant_leases():
            return
        plan = self._planner.plan(self._clock.monotonic())
        self._mover.begin(plan.moves)
        for release in plan.releases:
            await self._commit(release)
        await self._registry.remove_lost()

    async def _send_heartbeat(self) -> None:
        now_s = self._clock.monotonic()
        heartbeat = zone_heartbeat.make_heartbeat(
            self._deps.identity,
            self._state,
            self._node,
            [key.instance for key in self._serve_leases.list_live(now_s)],
            self._planner,
            self._contract_limits.get_longest_deadline_s,
            now_s,
        )
        reply = await self._control_link.send(heartbeat)
        if reply is not None:
            await control_link_lib.apply_feed(self._state, reply, self._commit)

    def _allocate_shares(
        self, instance: str, now_s: float
    ) -> tuple[messages.Share, ...]:
        entry_instances = {
            item.instance
            for item in self._state.feed.list_entry_instances(self._state.zone)
        }
        demands = {
            key.instance: holder.report.demand
            for key, holder in self._serve_leases.list_live(now_s).items()
            if key.instance in entry_instances
        }
        return self._shares.allocate(
            instance, self._contract_limits.get_limits(), demands, now_s
        )

    def _get_leader_address(self) -> str:
        leader = self._node.leader
        return leader.address if leader is not None else ""

    async def _commit(self, message: Any) -> Result[Any, errors.ProposeError]:
        return await group_lib.propose(self._node, message, _PROPOSE_TIMEOUT_S)


def _make_refusal(code: str, detail: str) -> errors.ProposeError:
    return errors.ProposeError(code, detail, False)


def encode_result(
    result: Result[Any, errors.ProposeError], leader_address: str
) -> messages.ProposeReply:
    """Returns the reply to a command from a member."""
    match result:
        case Success(value):
            return messages.ProposeReply(ok=True, result=wire.pack(value))
        case Failure(error):
            code = "unknown" if error.applied_unknown else error.code
            return messages.ProposeReply(
                code=code, leader_address=leader_address
            )
    raise AssertionError
