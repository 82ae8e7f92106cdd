"""The control role of a fleet: one member of the group that decides.

Every control instance takes the orders of operators and the reports of
upstreams, and passes them to the leader.
"""

import asyncio
import pathlib
import random
import secrets
from typing import Any
from typing import NamedTuple
from typing import TypeVar

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bamboosill_common import clock as clock_lib
from bamboosill_common import errors
from bamboosill_common import events
from bamboosill_common import logs
from bamboosill_common import peer
from bamboosill_common import wire
from bamboosill_common.generated import consensus as consensus_messages
from bamboosill_common.generated import fleet as messages
from bamboosill_common.generated import peer as peer_messages
from bamboosilld.consensus import groups as groups_lib
from bamboosilld.consensus import interfaces
from bamboosilld.consensus import joining
from bamboosilld.consensus import node as node_lib
from bamboosilld.consensus import signals
from bamboosilld.fleet import authority as authority_lib
from bamboosilld.fleet import configuration as configuration_lib
from bamboosilld.fleet import feed as feed_lib
from bamboosilld.fleet import membership as membership_lib
from bamboosilld.fleet import settings as settings_lib
from bamboosilld.fleet import state as state_lib
from bamboosilld.storage import disk

GROUP = "fleet"
_INCARNATION_FILE = "incarnation"
# Upstreams and operators wait one second for an answer.
_CALL_TIMEOUT_S = 0.85
_TICK_S = 0.2
# Machines with a part of a core can stall for a tenth of a second; the leader
# lease is the shortest election timeout less a margin of 0.2 s.
_HEARTBEAT_S = 0.1
_ELECTION_MIN_S = 0.5
_ELECTION_MAX_S = 0.9
# Commands that a member applies again after a restart, at most.
_SNAPSHOT_ENTRIES = 300
_JOIN_INTERVAL_S = 0.3
_JOIN_TIMEOUT_S = 1.0
# A member that heard no leader for longer asks to be added again.
_LEADERLESS_S = 2.0
# Time after a failed write before the data folder is opened again.
_REOPEN_DELAY_S = 0.5
# Heartbeats in a lease. Shorter leases free the keys of a lost upstream
# sooner; longer ones outlast an election and a lost heartbeat.
_LEASE_HEARTBEATS = 4.5

_log = logs.get_logger("control")

Reply = TypeVar("Reply", bound=NamedTuple)


class ControlMember:
    """Consensus member, leader's duties and the calls of other instances."""

    def __init__(
        self,
        settings: settings_lib.FleetSettings,
        directory: peer.Directory,
        handlers: peer.Handlers,
        clock: clock_lib.Clock,
        timeline: events.Timeline,
        list_seeds: Any,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._clock = clock
        self._timeline = timeline
        self._list_seeds = list_seeds
        self._groups = groups_lib.Groups(handlers)
        self._folder = pathlib.Path(settings.data_dir)
        self._handlers: dict[type[Any], Any] = {
            messages.UpstreamReport: self._on_report,
            messages.UpstreamLeave: self._on_leave,
            messages.SubmitChange: self._on_submit,
            messages.ReadConfiguration: self._on_read,
        }
        for message_type in self._handlers:
            handlers.register(message_type)(self._on_forwarded)
        handlers.register(messages.Follow)(self._on_follow)
        handlers.register(messages.JoinControl)(self._on_join)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Opens the data folder and starts this member.

        Raises:
            interfaces.StorageError: The data folder cannot be used.
        """
        await self._open(clock_lib.PROCESS_BEGUN_S)
        for run in (self._run_duties, self._run_joining, self._run_reopening):
            self._tasks.append(asyncio.create_task(run()))

    async def stop(self) -> None:
        """Stops this member."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.node.stop()

    async def call(
        self, message: Any, reply_type: type[Reply]
    ) -> Result[Reply, errors.PeerError]:
        """Passes a message to the leader, which may be this member."""
        if self.authority.leads():
            try:
                async with asyncio.timeout(_CALL_TIMEOUT_S):
                    reply = await self._handlers[type(message)](message)
                return Success(reply)
            except errors.HandlerError as error:
                return Failure(errors.PeerError(error.code, error.detail, True))
            except TimeoutError:
                return Failure(errors.PeerError("timeout", "leader", True))
        leader = self.node.leader
        if leader is None or self.node.is_leader:
            return Failure(errors.PeerError("no_leader", "none known", False))
        return await self._directory.call(
            leader.address, message, reply_type, _CALL_TIMEOUT_S
        )

    async def _open(self, unheard_since_s: float | None) -> None:
        settings = self._settings
        incarnation = self._load_incarnation()
        seeds = tuple(self._list_seeds())
        member = consensus_messages.Member(
            settings.peer_address,
            incarnation,
            settings.peer_address,
            incarnation == 0,
        )
        founding = None
        if incarnation == 0:
            founding = consensus_messages.Membership(
                tuple(
                    consensus_messages.Member(address, 0, address, True)
                    for address in sorted(seeds)
                )
            )
        make_node = node_lib.Node if founding else joining.JoiningNode
        self.state = state_lib.FleetState()
        self.changed = signals.Signal()
        self.state.add_listener(lambda command: self.changed.notify())
        self.node: node_lib.Node = make_node(
            node_lib.GroupConfig(
                GROUP,
                member,
                founding,
                heartbeat_s=_HEARTBEAT_S,
                election_min_s=_ELECTION_MIN_S,
                election_max_s=_ELECTION_MAX_S,
                snapshot_entries=_SNAPSHOT_ENTRIES,
                unheard_since_s=unheard_since_s,
            ),
            disk.DiskStorage(
                self._folder,
                consensus_messages.StorageIdentity(
                    GROUP, f"{settings.peer_address}/{incarnation}"
                ),
                segment_bytes=1024 * 1024,
            ),
            groups_lib.PeerTransport(self._directory),
            self.state,
            self._clock,
            random.Random(secrets.randbits(64)),
            self._timeline,
        )
        self._member = member
        self.authority = authority_lib.Authority(
            self.node,
            self.state,
            self._clock,
            min(
                settings.max_lease_ms / 1000,
                settings.heartbeat_ms / 1000 * _LEASE_HEARTBEATS,
            ),
            settings.heartbeat_ms / 1000,
        )
        self._keeper = membership_lib.Keeper(self.node, self._clock)
        self.feed = feed_lib.Feed(
            self.state,
            self.changed,
            self._clock,
            self.authority.encode_sights,
        )
        await self.node.start()
        self._groups.add(GROUP, self.node)
        _log.info(
            "Data folder opened. Incarnation: %d. Revision: %d.",
            incarnation,
            self.state.revision,
        )

    def _load_incarnation(self) -> int:
        """Returns which life of the data folder this is; 0 for founders.

        A member whose folder was lost must not vote under its old identity.
        """
        self._folder.mkdir(parents=True, exist_ok=True)
        path = self._folder / _INCARNATION_FILE
        try:
            return int(path.read_text())
        except FileNotFoundError:
            pass
        except ValueError:
            _log.warning("Incarnation file is damaged; joining anew.")
        founds = (
            self._settings.founds
            and self._settings.peer_address in self._list_seeds()
        )
        incarnation = 0 if founds else secrets.randbits(48) + 1
        files = disk.files_lib.SystemFiles()
        temporary = path.with_suffix(".new")
        temporary.unlink(missing_ok=True)
        files.create(temporary, str(incarnation).encode())
        files.sync(temporary)
        files.rename(temporary, path)
        files.sync_folder(self._folder)
        return incarnation

    async def _run_duties(self) -> None:
        while True:
            await self._clock.sleep(_TICK_S)
            try:
                if self.authority.leads():
                    await self.authority.tick()
                    await self._keeper.tick()
            except errors.HandlerError as error:
                _log.warning("Duty not done. Reason: %s.", error)
            except Exception:
                _log.exception("Duties of the leader failed.")

    async def _run_joining(self) -> None:
        heard_s = self._clock.monotonic()
        while True:
            await self._clock.sleep(_JOIN_INTERVAL_S)
            now_s = self._clock.monotonic()
            if self.node.leader is not None and self.node.membership.members:
                heard_s = now_s
            is_new = not self.node.membership.members
            if is_new or now_s - heard_s > _LEADERLESS_S:
                await self._ask_to_join()

    async def _ask_to_join(self) -> None:
        addresses = dict.fromkeys(
            [member.address for member in self.node.membership.members]
            + list(self._list_seeds())
        )
        request = messages.JoinControl(
            self._member.instance,
            self._member.incarnation,
            self._member.address,
        )
        for address in addresses:
            if address == self._settings.peer_address:
                continue
            await self._directory.call(
                address, request, messages.JoinControlReply, _JOIN_TIMEOUT_S
            )

    async def _run_reopening(self) -> None:
        while True:
            await self._clock.sleep(_TICK_S)
            if not self.node.failure:
                continue
            _log.error("Storage failed. Reason: %s.", self.node.failure)
            self._groups.remove(GROUP)
            await self.node.stop()
            while True:
                await self._clock.sleep(_REOPEN_DELAY_S)
                try:
                    # This process may have heard a leader just before.
                    await self._open(None)
                    break
                except (interfaces.StorageError, OSError) as error:
                    _log.error("Data folder not opened. Reason: %s.", error)

    async def _on_forwarded(
        self, message: Any, hello: peer_messages.Hello
    ) -> Any:
        if not self.authority.leads():
            raise errors.HandlerError("not_leader", "this member does not lead")
        return await self._handlers[type(message)](message)

    async def _on_report(
        self, report: messages.UpstreamReport
    ) -> messages.ReportReply:
        return await self.authority.handle_report(report)

    async def _on_leave(
        self, leave: messages.UpstreamLeave
    ) -> messages.ReportReply:
        await self.authority.handle_leave(leave.life)
        return messages.ReportReply(accepted=True)

    async def _on_submit(
        self, submit: messages.SubmitChange
    ) -> messages.SubmitReply:
        change = submit.change
        barrier = await self.node.read_barrier(_CALL_TIMEOUT_S)
        if isinstance(barrier, Failure):
            raise errors.HandlerError("unavailable", "no majority answered")
        if not self.state.find_order(change.digest):
            current = self.state.configuration
            if change.base != current.version:
                return self._answer_change(change, "conflict", "")
            faults = configuration_lib.check_change(current, change)
            if faults:
                detail = "; ".join(each.format() for each in faults[:5])
                return self._answer_change(change, "invalid", detail)
            result = await self.node.propose(wire.pack(change), _CALL_TIMEOUT_S)
            match result:
                case Success(applied):
                    return self._answer_change(change, applied.value, "")
                case Failure(error):
                    raise errors.HandlerError(error.code, error.detail)
        return self._answer_change(change, "repeated", "")

    def _answer_change(
        self, change: messages.ChangeConfiguration, outcome: str, detail: str
    ) -> messages.SubmitReply:
        current = self.state.configuration.version
        _log.info(
            "Change to version %d on %d. Outcome: %s. Current: %d. %s",
            change.version,
            change.base,
            outcome,
            current,
            detail,
        )
        return messages.SubmitReply(outcome, current, detail)

    async def _on_read(
        self, request: messages.ReadConfiguration
    ) -> messages.ConfigurationReply:
        barrier = await self.node.read_barrier(_CALL_TIMEOUT_S)
        if isinstance(barrier, Failure):
            raise errors.HandlerError("unavailable", "no majority answered")
        return messages.ConfigurationReply(self.state.configuration)

    async def _on_follow(
        self, request: messages.Follow, hello: peer_messages.Hello
    ) -> messages.FollowReply:
        if not self.authority.leads():
            leader = self.node.leader
            raise errors.HandlerError(
                "not_leader", leader.address if leader else ""
            )
        self.authority.observations.add(request)
        reply = await self.feed.answer(request)
        if not self.authority.leads():
            raise errors.HandlerError("not_leader", "")
        if request.takes_packed and not reply.loads:
            # Sent as often as the loads; an older instance needs it always.
            return reply
        return reply._replace(
            control_peers=tuple(
                member.address for member in self.node.membership.members
            )
        )

    async def _on_join(
        self, request: messages.JoinControl, hello: peer_messages.Hello
    ) -> messages.JoinControlReply:
        if not self.authority.leads():
            leader = self.node.leader
            if leader is None or leader.address == self._settings.peer_address:
                raise errors.HandlerError("no_leader", "none known")
            result = await self._directory.call(
                leader.address,
                request,
                messages.JoinControlReply,
                _JOIN_TIMEOUT_S,
            )
            return result.value_or(messages.JoinControlReply())
        member = consensus_messages.Member(
            request.instance, request.incarnation, request.address, False
        )
        return messages.JoinControlReply(await self._keeper.join(member))
