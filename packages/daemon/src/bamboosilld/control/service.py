"""Message handlers and periodic tasks of the control group's leader.

The leader registers instances, answers the heartbeats of zones with leases and
changed data, and proposes commands: those of operators, and its own, which
delegate shards and replace failed zone groups.
"""

from typing import Any

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bamboosill_common import clock as clock_lib
from bamboosill_common import contract as contract_lib
from bamboosill_common import errors
from bamboosill_common import events as events_lib
from bamboosill_common import logs
from bamboosill_common import peer
from bamboosill_common import wire
from bamboosill_common.generated import control as messages
from bamboosill_common.generated import peer as peer_messages
from bamboosilld.consensus import interfaces
from bamboosilld.control import commands
from bamboosilld.control import delegator as delegator_lib
from bamboosilld.control import founder as founder_lib
from bamboosilld.control import settlement as settlement_lib
from bamboosilld.control import state as state_lib
from bamboosilld.control import timing
from bamboosilld.control import zoneviews

_log = logs.get_logger("control")

SubmitResult = Result[messages.CommandResult, errors.ProposeError]


class ControlService:
    """Serves instances, zones and operators while this member leads."""

    def __init__(
        self,
        node: interfaces.Node,
        state: state_lib.ControlState,
        clock: clock_lib.Clock,
        timeline: events_lib.Timeline,
        shards_per_keyspace: int,
    ) -> None:
        self.node = node
        self.state = state
        self._clock = clock
        self._timeline = timeline
        self._shards_per_keyspace = shards_per_keyspace
        self.views: dict[str, zoneviews.ZoneView] = {}
        self._elected_at_s: float | None = None
        self._reset_leader_state(0.0)

    def register_handlers(self, peer_handlers: peer.Handlers) -> None:
        """Registers the handlers of the messages to the control leader."""
        peer_handlers.register(messages.RegisterInstance)(self._on_register)
        peer_handlers.register(messages.ZoneBeat)(self._on_zone_heartbeat)
        peer_handlers.register(messages.SubmitCommand)(self._on_submit)

    async def run(self) -> None:
        """Runs the periodic tasks while this member leads."""
        while True:
            await self._clock.sleep(timing.TICK_INTERVAL_S)
            try:
                if self.is_active_leader() or await self._take_over():
                    await self.tick()
            except Exception:
                _log.exception("Duties of the leader failed.")

    def is_active_leader(self) -> bool:
        """Returns whether this member may act as leader now."""
        return (
            self.node.is_leader
            and self.node.has_leader_lease()
            and self.node.elected_at_s == self._elected_at_s
        )

    async def tick(self) -> None:
        """Proposes all commands that are due now."""
        self._keyspace_change_guard.record_applied_revision(self.views)
        for creation in self._group_recovery.list_due_commands(self.views):
            await self._propose_internal(creation)
        delegations = self._delegator.list_due_commands(self.views)
        # These commands take shards from the zones. A zone that sends a
        # heartbeat before they are applied must not get a lease.
        for command in delegations:
            for zone in delegator_lib.find_zones_losing_shards(
                self.state.tables, self.views, command
            ):
                self._required_revisions[zone] = None
        if not delegations and None in self._required_revisions.values():
            # An empty command settles earlier commands of unknown outcome:
            # they precede it in the log, so once it is applied they either
            # are applied or never will be.
            delegations = [messages.SetDelegations()]
        elected_at_s = self._elected_at_s
        for command in delegations:
            if (
                not self.is_active_leader()
                or self._elected_at_s != elected_at_s
            ):
                return
            if not await self._propose_internal(command):
                return
        for zone, revision in self._required_revisions.items():
            if revision is None:
                self._required_revisions[zone] = self.state.revision

    async def submit(self, command: Any) -> SubmitResult:
        """Proposes a command of an operator or an instance."""
        if isinstance(command, messages.AcceptContract):
            command = command._replace(shards=self._shards_per_keyspace)
            refusal = self._keyspace_change_guard.find_refusal(command)
            if refusal:
                return Success(refusal)
        result = await self._propose(command)
        match result:
            case Success(value) if value.ok:
                self._timeline.record(
                    "control",
                    "command-applied",
                    command=type(command).__name__,
                    revision=value.revision,
                )
            case Success(value):
                self._timeline.record(
                    "control",
                    "command-refused",
                    command=type(command).__name__,
                    code=value.code,
                )
        return result

    def validate_accept(
        self, command: messages.AcceptContract
    ) -> messages.CommandResult | None:
        """Returns why a contract would be refused now, or None."""
        return commands.validate_accept(
            self.state.tables, command
        ) or self._keyspace_change_guard.find_refusal(command)

    def get_longest_deadline_s(self, service: str = "") -> float:
        """Returns the longest deadline that contracts allow a service."""
        return max(
            (
                each.deadlines.longest / 1000
                for contract in self.state.tables.parsed.values()
                for each in contract.services
                if service in ("", each.name)
            ),
            default=contract_lib.DEFAULT_LONGEST_MS / 1000,
        )

    async def _take_over(self) -> bool:
        """Prepares to lead after an election; returns whether it leads."""
        if not (self.node.is_leader and self.node.has_leader_lease()):
            return False
        elected_at_s = self.node.elected_at_s
        # All commands that former leaders committed must be applied first.
        match await self.node.read_barrier(timing.PROPOSE_DEADLINE_S):
            case Failure(_):
                return False
        if self.node.elected_at_s != elected_at_s:
            return False
        self._reset_leader_state(elected_at_s)
        self._elected_at_s = elected_at_s
        self._timeline.record("control", "leader-ready")
        return self.is_active_leader()

    def _reset_leader_state(self, elected_at_s: float) -> None:
        """Discards what this member learned in a former leader term."""
        self.views.clear()
        self._group_recovery = founder_lib.GroupRecovery(
            self.state, self._clock, self
        )
        self._delegator = delegator_lib.Delegator(
            self.state, self._clock, self, elected_at_s
        )
        self._keyspace_change_guard = settlement_lib.KeyspaceChangeGuard(
            self.state, self._clock
        )
        # Revision that a zone must have applied to get a lease; None while
        # a command that takes shards from the zone is pending.
        self._required_revisions: dict[str, int | None] = {}
        self._default_required_revision = self.state.revision

    async def _propose(self, command: Any) -> SubmitResult:
        outcome = await self.node.propose(
            wire.pack(command), timing.PROPOSE_DEADLINE_S
        )
        result: SubmitResult = outcome.map(lambda applied: applied.value)
        return result

    async def _propose_internal(self, command: Any) -> bool:
        """Proposes a command of the leader; returns if the outcome is known."""
        match await self._propose(command):
            case Success(result) if result.ok:
                for name, fields in delegator_lib.iter_events(command):
                    self._timeline.record("control", name, **fields)
            case Success(result):
                _log.warning(
                    "%s was refused. %s", type(command).__name__, result.detail
                )
            case Failure(error):
                _log.warning(
                    "%s was not applied. %s", type(command).__name__, error
                )
                return False
        return True

    def _require_leader(self) -> None:
        if not self.is_active_leader():
            leader = self.node.leader
            # The detail is the leader's address, which the caller tries next.
            raise errors.HandlerError(
                "not_leader", leader.address if leader else ""
            )

    async def _on_submit(
        self, message: messages.SubmitCommand, hello: peer_messages.Hello
    ) -> messages.CommandResult:
        self._require_leader()
        try:
            command = wire.unpack(message.command)
        except wire.DecodeError as error:
            raise errors.HandlerError("bad_command", str(error)) from error
        match await self.submit(command):
            case Success(result):
                return result
            case Failure(error):
                raise errors.HandlerError(error.code, error.detail)
        raise AssertionError

    async def _on_register(
        self, message: messages.RegisterInstance, hello: peer_messages.Hello
    ) -> messages.RegisterReply:
        self._require_leader()
        item = message.item._replace(revision=0)
        if hello.instance != item.instance:
            return self._refuse_instance(item, "the hello names another")
        problem = self._find_identity_problem(item)
        if problem:
            return self._refuse_instance(item, problem)
        registered = self.state.tables.instances.get(item.instance)
        if registered is None or item != registered._replace(revision=0):
            command = messages.PutInstance(item=item)
            match await self._propose(command):
                case Failure(error):
                    raise errors.HandlerError(error.code, error.detail)
                case Success(result) if not result.ok:
                    return self._refuse_instance(item, result.detail)
            self._timeline.record(
                "control",
                "instance-registered",
                id=item.instance,
                incarnation=item.incarnation,
            )
        if not item.removed and item.zone not in self.state.tables.zones:
            await self._propose_internal(
                founder_lib.make_found_zone_command(item, 1)
            )
        # Instances register only while their zone has no leader known to them.
        self._group_recovery.mark_leaderless(item)
        return self._make_register_reply(item)

    def _find_identity_problem(self, item: messages.InstanceItem) -> str:
        registered = self.state.tables.instances.get(item.instance)
        if registered is None:
            return ""
        if item.incarnation < registered.incarnation:
            return "a newer incarnation is registered"
        if item.incarnation == registered.incarnation:
            zone = self.state.tables.zones.get(item.zone)
            if (
                zone
                and zone.lost
                and not item.removed
                and registered.revision < zone.revision
            ):
                return "its zone was declared lost; restart the instance"
            return ""
        address_changed = item.peer_address != registered.peer_address
        view = self.views.get(registered.zone)
        if (
            address_changed
            and not registered.removed
            and view is not None
            and zoneviews.is_live(view, self._clock.monotonic())
            and item.instance in view.last_heartbeat.live_instances
        ):
            return "the id is in use by a live instance at another address"
        return ""

    def _refuse_instance(
        self, item: messages.InstanceItem, detail: str
    ) -> messages.RegisterReply:
        _log.warning("Instance %s refused. Reason: %s.", item.instance, detail)
        self._timeline.record(
            "control", "instance-refused", id=item.instance, detail=detail
        )
        return messages.RegisterReply(
            accepted=False, detail=detail, wall_ms=self._clock.wall_ms()
        )

    def _make_register_reply(
        self, item: messages.InstanceItem
    ) -> messages.RegisterReply:
        tables = self.state.tables
        return messages.RegisterReply(
            accepted=True,
            zone=tables.zones.get(item.zone, messages.ZoneItem()),
            instances=tuple(
                each
                for each in tables.instances.values()
                if each.zone == item.zone and not each.removed
            ),
            wall_ms=self._clock.wall_ms(),
        )

    async def _on_zone_heartbeat(
        self, heartbeat: messages.ZoneBeat, hello: peer_messages.Hello
    ) -> messages.ZoneBeatReply:
        self._require_leader()
        self._check_heartbeat(heartbeat)
        voters = founder_lib.make_voters_command(self.state.tables, heartbeat)
        if voters:
            await self._propose_internal(voters)
            self._require_leader()
            self._check_heartbeat(heartbeat)
        self._group_recovery.clear_leaderless(heartbeat.zone)
        # A zone that has not yet applied the loss of a shard gets no lease,
        # because it would still serve that shard.
        required = self._required_revisions.get(
            heartbeat.zone, self._default_required_revision
        )
        up_to_date = (
            required is not None and heartbeat.applied_revision >= required
        )
        feed = self.state.list_changes_since(heartbeat.applied_revision)
        now_s = self._clock.monotonic()
        view = self.views.get(heartbeat.zone)
        lease_end_s = now_s + timing.DELEGATION_LEASE_S
        if not up_to_date:
            lease_end_s = (
                view.lease_end_s
                if view
                else (self._delegator.get_former_leader_lease_end_s())
            )
        self.views[heartbeat.zone] = zoneviews.add_heartbeat(
            view, heartbeat, now_s, lease_end_s
        )
        return messages.ZoneBeatReply(
            lease_ms=int(timing.DELEGATION_LEASE_S * 1000) if up_to_date else 0,
            wall_ms=self._clock.wall_ms(),
            revision=feed.revision,
            full=feed.full,
            items=feed.items,
        )

    def _check_heartbeat(self, heartbeat: messages.ZoneBeat) -> None:
        """Raises HandlerError if the sender is not the zone's leader."""
        zone = self.state.tables.zones.get(heartbeat.zone)
        if zone is None:
            raise errors.HandlerError("unknown_zone", heartbeat.zone)
        if zone.lost:
            raise errors.HandlerError("zone_lost", heartbeat.zone)
        if zone.group_epoch != heartbeat.group_epoch:
            raise errors.HandlerError(
                "stale_group", f"group epoch is {zone.group_epoch}"
            )
        view = self.views.get(heartbeat.zone)
        if (
            view
            and view.last_heartbeat.group_epoch == heartbeat.group_epoch
            and heartbeat.group_term < view.last_heartbeat.group_term
        ):
            raise errors.HandlerError(
                "stale_leader", "a newer zone leader was heard"
            )
