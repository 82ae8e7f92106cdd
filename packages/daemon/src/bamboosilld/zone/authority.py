"""Duties of the leader of a zone group, for the time of one leadership."""

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
from bamboosilld.zone import beats as beats_lib
from bamboosilld.zone import contracts as contracts_lib
from bamboosilld.zone import explain as explain_lib
from bamboosilld.zone import facts as facts_lib
from bamboosilld.zone import grants as grants_lib
from bamboosilld.zone import group as group_lib
from bamboosilld.zone import joins as joins_lib
from bamboosilld.zone import leases as leases_lib
from bamboosilld.zone import moves as moves_lib
from bamboosilld.zone import optional as optional_lib
from bamboosilld.zone import planner as planner_lib
from bamboosilld.zone import registry as registry_lib
from bamboosilld.zone import shares as shares_lib
from bamboosilld.zone import state as state_lib
from bamboosilld.zone import summary
from bamboosilld.zone import times
from bamboosilld.zone import upstream_client as client_lib
from bamboosilld.zone import upstreams as upstreams_lib

_PROPOSE_S = 2.0
_RETRY_S = 0.1
# A member whose wall clock is off by more must not begin requests: it could
# expire records of others. Above the 1 s at which an instance stops itself.
_MAX_CLOCK_DIFFERENCE_MS = 2_000

# Commands that members may send; the others are decided by the leader.
_MEMBER_COMMANDS = (
    messages.PutUpstream,
    messages.BeginRequest,
    messages.FinishRequest,
    messages.AbandonRequest,
    messages.ReportCrash,
)

_log = logs.get_logger("zone")


class Parts(NamedTuple):
    """What an authority is made of."""

    identity: peer.Identity
    state: state_lib.ZoneState
    node: interfaces.Node
    directory: peer.Directory
    clock: clock_lib.Clock
    timeline: events.Timeline
    make_policy: planner_lib.MakePolicy
    client: client_lib.UpstreamClient
    contracts: contracts_lib.ContractBook
    list_control_addresses: Callable[[], tuple[str, ...]]


class Authority:
    """Grants leases and moves shards while its node leads.

    Attributes:
        is_open: Whether the state is known to hold all that former leaders
            committed.
    """

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        self._state = parts.state
        self._node = parts.node
        self._clock = parts.clock
        self.is_open = False
        self._wake = asyncio.Event()
        now_s = parts.clock.monotonic()
        elected_at_s = parts.node.elected_at_s
        self._serve_leases = leases_lib.ServeLeases(elected_at_s)
        self._upstream_leases = grants_lib.UpstreamLeases(
            parts.state, elected_at_s, now_s
        )
        self._shares = shares_lib.ShareBook(now_s)
        self._membership = joins_lib.Membership(parts.node, parts.clock)
        self._link = beats_lib.ControlLink(
            parts.directory, parts.clock, parts.list_control_addresses
        )
        self._facts = facts_lib.ContractFacts(parts.state, parts.contracts)
        self._mover = moves_lib.Mover(
            parts.state,
            self._serve_leases,
            self._upstream_leases,
            self._commit,
            parts.client,
            parts.clock,
            parts.timeline,
            self._facts.get_longest_deadline_s,
        )
        self._registry = registry_lib.Registry(
            parts.state,
            self._upstream_leases,
            self._commit,
            self._mover.spawn,
            parts.clock,
        )
        self._planner = planner_lib.Planner(
            parts.state,
            self._serve_leases,
            self._upstream_leases,
            parts.make_policy,
            optional_lib.OptionalMoves(
                parts.state,
                parts.node,
                self._serve_leases,
                self._facts.get_longest_deadline_s,
                elected_at_s,
            ),
        )

    async def run(self) -> None:
        """Does the leader's duties until cancelled."""
        await self._open()
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._repeat(self._advance, times.TICK_S))
                tasks.create_task(self._repeat(self._beat, times.ZONE_BEAT_S))
                tasks.create_task(
                    self._repeat(self._membership.adjust, times.SERVE_RENEWAL_S)
                )
                tasks.create_task(self._plan_often())
        finally:
            self.is_open = False
            self._mover.stop()

    async def _open(self) -> None:
        """Waits until all entries of former leaders are applied here."""
        while True:
            # An empty feed changes nothing.
            match await self._commit(messages.ApplyFeed()):
                case Success(_):
                    break
            await self._clock.sleep(_RETRY_S)
        now_s = self._clock.monotonic()
        for upstream in self._state.upstreams.list_current():
            self._upstream_leases.find(upstreams_lib.get_owner(upstream), now_s)
        self._upstream_leases.excuse(now_s)
        self._last_tick_s = now_s
        self.is_open = True
        self._parts.timeline.record("zone", "authority_open")

    async def _repeat(self, work: Callable[[], Any], interval_s: float) -> None:
        while True:
            try:
                await work()
            except Exception:
                _log.exception("A duty of the zone authority failed.")
            await self._clock.sleep(interval_s)

    def has_authority(self) -> bool:
        """Returns whether leases may be granted now."""
        if not self.is_open or not self._node.is_leader:
            return False
        item = self._state.feed.zones.get(self._state.zone)
        if item is not None and item.group_epoch > self._state.group_epoch:
            return False
        return self._node.has_leader_lease()

    def note_applied(self, command: Any) -> None:
        """Follows a command that was applied to the state."""
        if isinstance(
            command,
            messages.BeginMove | messages.FinishMove | messages.ApplyFeed,
        ):
            self._upstream_leases.clear_lists()
        if isinstance(
            command,
            messages.PutUpstream | messages.ApplyFeed | messages.FinishMove,
        ):
            self._wake.set()

    # Handlers.

    def renew_lease(self, message: messages.RenewLease) -> messages.LeaseReply:
        """Answers a renewal of a serve lease.

        Raises:
            errors.HandlerError: The instance is no member of the group.
        """
        if not self.has_authority():
            return messages.LeaseReply(
                leader_address=self._get_leader_address()
            )
        if not self._membership.is_member(
            message.instance, message.incarnation
        ):
            raise errors.HandlerError("not_member", message.instance)
        now_s = self._clock.monotonic()
        self._membership.note_applied(
            message.instance, message.incarnation, message.applied_index
        )
        holder = self._serve_leases.record(message)
        self._serve_leases.grant(holder, now_s)
        offset_ms = self._link.wall_offset_ms
        lapse_s = min(times.SERVE_LEASE_S, self._link.get_lease_s())
        return messages.LeaseReply(
            granted=True,
            lease_ms=times.to_ms(times.SERVE_LEASE_S),
            lapse_lease_ms=times.to_ms(lapse_s),
            shares=self._give_shares(message.instance, now_s),
            wall_ms=self._clock.wall_ms() + offset_ms
            if offset_ms is not None
            else 0,
            commit_index=self._node.commit_index,
        )

    def beat_upstream(
        self, message: messages.UpstreamBeat
    ) -> messages.UpstreamBeatReply:
        """Answers a heartbeat of an upstream."""
        if not self.has_authority():
            return messages.UpstreamBeatReply(
                "not_leader", leader_address=self._get_leader_address()
            )
        owner = assignments.Owner(message.id, message.incarnation)
        if self._upstream_leases.is_lost(owner):
            return messages.UpstreamBeatReply("announce")
        now_s = self._clock.monotonic()
        lease = self._upstream_leases.record_beat(owner, message, now_s)
        self._registry.follow_state(owner, message.state)
        self._upstream_leases.grant(lease, now_s)
        current = self._upstream_leases.list_grants(owner)
        unchanged = current.version == message.grants_version
        lapse_s = min(times.GRANT_LEASE_S, self._link.get_lease_s())
        return messages.UpstreamBeatReply(
            "ok",
            times.to_ms(times.GRANT_LEASE_S),
            current.version,
            unchanged,
            () if unchanged else current.grants,
            lapse_lease_ms=times.to_ms(lapse_s),
        )

    async def join(self, message: messages.Join) -> messages.JoinReply:
        """Adds an instance to the group."""
        if not self.has_authority():
            return messages.JoinReply(leader_address=self._get_leader_address())
        return messages.JoinReply(accepted=await self._membership.add(message))

    async def propose(self, message: Any) -> Result[Any, errors.ProposeError]:
        """Commits a command of a member and returns its result message."""
        if not isinstance(message, _MEMBER_COMMANDS):
            return Failure(_refuse("forbidden", type(message).__name__))
        if not self.is_open:
            return Failure(_refuse("not_leader", "the leader is not ready"))
        if isinstance(message, messages.PutUpstream):
            return await self._registry.put(message)
        if isinstance(message, messages.BeginRequest | messages.ReportCrash):
            offset_ms = abs(message.now_ms - self._clock.wall_ms())
            if offset_ms > _MAX_CLOCK_DIFFERENCE_MS:
                detail = f"wall clocks differ by {offset_ms} ms"
                return Failure(_refuse("clock", detail))
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

    # Duties.

    async def _advance(self) -> None:
        now_s = self._clock.monotonic()
        paused = now_s - self._last_tick_s > times.PAUSE_S
        self._last_tick_s = now_s
        if paused or not self.has_authority():
            # Heartbeats did not reach this leader; silence proves nothing.
            self._upstream_leases.excuse(now_s)
        for owner in self._upstream_leases.detect_lost(now_s):
            _log.warning("Upstream %s is lost.", owner.id)
            self._parts.timeline.record("zone", "upstream_lost", id=owner.id)
            self._wake.set()
        if self.has_authority():
            self._mover.advance(now_s)
        self._serve_leases.forget(now_s)

    async def _plan_often(self) -> None:
        while True:
            try:
                async with asyncio.timeout(times.PLAN_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            # Gathers changes that arrive together, such as upstreams that
            # start at the same time.
            await self._clock.sleep(times.TICK_S)
            try:
                await self._plan()
            except Exception:
                _log.exception("Planning failed.")

    async def _plan(self) -> None:
        if not self.has_authority():
            return
        plan = self._planner.plan(self._clock.monotonic())
        self._mover.begin(plan.moves)
        for release in plan.releases:
            await self._commit(release)
        await self._registry.drop_lost()

    async def _beat(self) -> None:
        now_s = self._clock.monotonic()
        beat = summary.make_beat(
            self._parts.identity,
            self._state,
            self._node,
            [key.instance for key in self._serve_leases.list_live(now_s)],
            self._planner,
            self._facts.get_longest_deadline_s,
            now_s,
        )
        reply = await self._link.send(beat)
        if reply is not None:
            await beats_lib.apply_feed(self._state, reply, self._commit)

    def _give_shares(
        self, instance: str, now_s: float
    ) -> tuple[messages.Share, ...]:
        entry = {
            item.instance
            for item in self._state.feed.list_entry_instances(self._state.zone)
        }
        demands = {
            key.instance: holder.report.demand
            for key, holder in self._serve_leases.list_live(now_s).items()
            if key.instance in entry
        }
        return self._shares.give(
            instance, self._facts.get_limits(), demands, now_s
        )

    def _get_leader_address(self) -> str:
        leader = self._node.leader
        return leader.address if leader is not None else ""

    async def _commit(self, message: Any) -> Result[Any, errors.ProposeError]:
        return await group_lib.propose(self._node, message, _PROPOSE_S)


def _refuse(code: str, detail: str) -> errors.ProposeError:
    return errors.ProposeError(code, detail, False)


def encode_result(
    result: Result[Any, errors.ProposeError], leader_address: str
) -> messages.ProposeReply:
    """Returns the reply to a command that a member sent."""
    match result:
        case Success(value):
            return messages.ProposeReply(ok=True, result=wire.pack(value))
        case Failure(error):
            code = "unknown" if error.applied_unknown else error.code
            return messages.ProposeReply(
                code=code, leader_address=leader_address
            )
    raise AssertionError
