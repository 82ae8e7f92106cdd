"""Duties of the control leader: registry, zone beats and commands."""

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
    """Answers instances and zones while this member leads the group."""

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
        self._shards = shards_per_keyspace
        self.views: dict[str, zoneviews.ZoneView] = {}
        self._elected_at_s: float | None = None
        self._prepare(0.0)

    def register_handlers(self, peer_handlers: peer.Handlers) -> None:
        """Registers the handlers of the messages to the control leader."""
        peer_handlers.register(messages.RegisterInstance)(self._on_register)
        peer_handlers.register(messages.ZoneBeat)(self._on_zone_beat)
        peer_handlers.register(messages.SubmitCommand)(self._on_submit)

    async def run(self) -> None:
        """Delegates shards and founds groups while this member leads."""
        while True:
            await self._clock.sleep(timing.TICK_INTERVAL_S)
            try:
                if self.leads() or await self._take_over():
                    await self.tick()
            except Exception:
                _log.exception("Duties of the leader failed.")

    def leads(self) -> bool:
        """Returns whether this member may act as leader now."""
        return (
            self.node.is_leader
            and self.node.has_leader_lease()
            and self.node.elected_at_s == self._elected_at_s
        )

    async def tick(self) -> None:
        """Does once what is due."""
        self._settlement.observe(self.views)
        for founding in self._founder.list_due(self.views):
            await self._propose_own(founding)
        delegations = self._delegator.list_due(self.views)
        # A zone that beats while these commands are on their way gets no
        # lease, because the commands take its shards.
        for command in delegations:
            for zone in delegator_lib.find_taken_zones(
                self.state.tables, self.views, command
            ):
                self._taken[zone] = None
        if not delegations and None in self._taken.values():
            # Commands without a known outcome come before this one in the
            # log, so they are applied, or never will be, once it is.
            delegations = [messages.SetDelegations()]
        elected_at_s = self._elected_at_s
        for command in delegations:
            if not self.leads() or self._elected_at_s != elected_at_s:
                return
            if not await self._propose_own(command):
                return
        for zone, revision in self._taken.items():
            if revision is None:
                self._taken[zone] = self.state.revision

    async def submit(self, command: Any) -> SubmitResult:
        """Proposes an operator's or instance's command."""
        if isinstance(command, messages.AcceptContract):
            command = command._replace(shards=self._shards)
            refusal = self._settlement.find_refusal(command)
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

    def find_accept_refusal(
        self, command: messages.AcceptContract
    ) -> messages.CommandResult | None:
        """Returns why a contract would be refused now, or None."""
        return commands.find_accept_refusal(
            self.state.tables, command
        ) or self._settlement.find_refusal(command)

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
        """Begins the duties after an election; returns whether it leads."""
        if not (self.node.is_leader and self.node.has_leader_lease()):
            return False
        elected_at_s = self.node.elected_at_s
        # What former leaders committed must be applied before acting on it.
        match await self.node.read_barrier(timing.PROPOSE_DEADLINE_S):
            case Failure(_):
                return False
        if self.node.elected_at_s != elected_at_s:
            return False
        self._prepare(elected_at_s)
        self._elected_at_s = elected_at_s
        self._timeline.record("control", "leader-ready")
        return self.leads()

    def _prepare(self, elected_at_s: float) -> None:
        """Forgets what a former leadership of this member heard."""
        self.views.clear()
        self._founder = founder_lib.Founder(self.state, self._clock, self)
        self._delegator = delegator_lib.Delegator(
            self.state, self._clock, self, elected_at_s
        )
        self._settlement = settlement_lib.Settlement(self.state, self._clock)
        # Revision that a zone must have applied to get a lease; None while
        # a command that takes its shards is not yet applied.
        self._taken: dict[str, int | None] = {}
        self._taken_before = self.state.revision

    async def _propose(self, command: Any) -> SubmitResult:
        outcome = await self.node.propose(
            wire.pack(command), timing.PROPOSE_DEADLINE_S
        )
        result: SubmitResult = outcome.map(lambda applied: applied.value)
        return result

    async def _propose_own(self, command: Any) -> bool:
        """Proposes a command; returns whether its outcome is known."""
        match await self._propose(command):
            case Success(result) if result.ok:
                for name, fields in delegator_lib.describe(command):
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
        if not self.leads():
            leader = self.node.leader
            # The detail is the leader's address, for the caller to go there.
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
        known = self.state.tables.instances.get(item.instance)
        if known is None or item != known._replace(revision=0):
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
            await self._propose_own(founder_lib.make_founding(item, 1))
        # An instance registers only while it has no zone leader.
        self._founder.observe_leaderless(item)
        return self._make_register_reply(item)

    def _find_identity_problem(self, item: messages.InstanceItem) -> str:
        known = self.state.tables.instances.get(item.instance)
        if known is None:
            return ""
        if item.incarnation < known.incarnation:
            return "a newer incarnation is registered"
        if item.incarnation == known.incarnation:
            zone = self.state.tables.zones.get(item.zone)
            if (
                zone
                and zone.lost
                and not item.removed
                and known.revision < zone.revision
            ):
                return "its zone was declared lost; restart the instance"
            return ""
        moved = item.peer_address != known.peer_address
        view = self.views.get(known.zone)
        if (
            moved
            and not known.removed
            and view is not None
            and zoneviews.is_live(view, self._clock.monotonic())
            and item.instance in view.beat.live_instances
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

    async def _on_zone_beat(
        self, beat: messages.ZoneBeat, hello: peer_messages.Hello
    ) -> messages.ZoneBeatReply:
        self._require_leader()
        self._check_beat(beat)
        voters = founder_lib.make_voters_command(self.state.tables, beat)
        if voters:
            await self._propose_own(voters)
            self._require_leader()
            self._check_beat(beat)
        self._founder.forget_leaderless(beat.zone)
        # A zone that has not applied the loss of a shard gets no lease: it
        # would serve that shard under its former delegation.
        needed = self._taken.get(beat.zone, self._taken_before)
        current = needed is not None and beat.applied_revision >= needed
        feed = self.state.items_since(beat.applied_revision)
        now_s = self._clock.monotonic()
        view = self.views.get(beat.zone)
        lease_end_s = now_s + timing.DELEGATION_LEASE_S
        if not current:
            lease_end_s = (
                view.lease_end_s
                if view
                else (self._delegator.get_unknown_lease_end_s())
            )
        self.views[beat.zone] = zoneviews.add_beat(
            view, beat, now_s, lease_end_s
        )
        return messages.ZoneBeatReply(
            lease_ms=int(timing.DELEGATION_LEASE_S * 1000) if current else 0,
            wall_ms=self._clock.wall_ms(),
            revision=feed.revision,
            full=feed.full,
            items=feed.items,
        )

    def _check_beat(self, beat: messages.ZoneBeat) -> None:
        """Raises HandlerError if the beat is not from the zone's group."""
        zone = self.state.tables.zones.get(beat.zone)
        if zone is None:
            raise errors.HandlerError("unknown_zone", beat.zone)
        if zone.lost:
            raise errors.HandlerError("zone_lost", beat.zone)
        if zone.group_epoch != beat.group_epoch:
            raise errors.HandlerError(
                "stale_group", f"group epoch is {zone.group_epoch}"
            )
        view = self.views.get(beat.zone)
        if (
            view
            and view.beat.group_epoch == beat.group_epoch
            and beat.group_term < view.beat.group_term
        ):
            raise errors.HandlerError(
                "stale_leader", "a newer zone leader was heard"
            )
