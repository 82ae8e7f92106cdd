"""The control role of a fleet: a member of the control group.

The control group replicates the fleet's state by consensus. Every control
instance accepts changes of the configuration from operators and heartbeats from
upstreams, and forwards them to the leader of the group.
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
from bamboosilld.consensus import change_notifier
from bamboosilld.consensus import groups as groups_lib
from bamboosilld.consensus import interfaces
from bamboosilld.consensus import joining_node
from bamboosilld.consensus import node as node_lib
from bamboosilld.fleet import authority as authority_lib
from bamboosilld.fleet import configuration as configuration_lib
from bamboosilld.fleet import evacuation
from bamboosilld.fleet import membership as membership_lib
from bamboosilld.fleet import relay as relay_lib
from bamboosilld.fleet import replication_feed as replication_feed_lib
from bamboosilld.fleet import settings as settings_lib
from bamboosilld.fleet import state as state_lib
from bamboosilld.fleet import upstream_calls
from bamboosilld.storage import disk

GROUP = "fleet"
_INCARNATION_FILE = "incarnation"
# Upstreams and operators time out after one second.
_CALL_TIMEOUT_S = 0.85
_TICK_INTERVAL_S = 0.2
# Consensus timeouts. Machines with a fraction of a core can stall for 0.1 s;
# the leader lease is the shortest election timeout less a margin of 0.2 s.
_HEARTBEAT_S = 0.1
_ELECTION_MIN_S = 0.5
_ELECTION_MAX_S = 0.9
# Entries of the log between two snapshots: a restarted member replays at most
# this many commands.
_SNAPSHOT_ENTRIES = 300
_JOIN_INTERVAL_S = 0.3
_JOIN_TIMEOUT_S = 1.0
# A member that has known no leader for longer asks to be added again.
_REJOIN_AFTER_S = 2.0
# Delay after a storage failure before the data folder is opened again.
_REOPEN_DELAY_S = 0.5
# Length of a lease in heartbeat intervals. Shorter leases free the keys of a
# failed upstream sooner; longer ones outlast an election and a lost heartbeat.
_LEASE_HEARTBEATS = 4.5

_log = logs.get_logger("control")

Reply = TypeVar("Reply", bound=NamedTuple)


class ControlMember:
    """Consensus member, tasks of the leader, and handlers of peer calls."""

    def __init__(
        self,
        settings: settings_lib.FleetSettings,
        directory: peer.Directory,
        handlers: peer.Handlers,
        clock: clock_lib.Clock,
        timeline: events.Timeline,
        list_seeds: Any,
        call_format: upstream_calls.CallFormat,
    ) -> None:
        self._settings = settings
        self._call_client = upstream_calls.HttpCallClient(
            call_format, clock, settings.peer_address.rpartition(":")[0]
        )
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
            messages.ReportUpstreamCrash: self._on_report_crash,
            messages.ReportAnswered: self._on_report_answered,
            messages.ChangeEvacuation: self._on_change_evacuation,
        }
        for message_type in self._handlers:
            handlers.register(message_type)(self._on_leader_request)
        handlers.register(messages.Follow)(self._on_follow)
        handlers.register(messages.RelayPolls)(self._on_relay_polls)
        handlers.register(messages.AcquirePermits)(self._on_acquire_permits)
        handlers.register(messages.JoinControl)(self._on_join)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Opens the data folder and starts the consensus node.

        Raises:
            interfaces.StorageError: The data folder cannot be used.
        """
        await self._open_node(clock_lib.PROCESS_STARTED_S)
        for run in (
            self._run_leader_tasks,
            self._run_joining,
            self._run_reopening,
            self._run_relay,
        ):
            self._tasks.append(asyncio.create_task(run()))

    async def stop(self) -> None:
        """Stops the tasks and the consensus node."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.node.stop()

    async def call(
        self, message: Any, reply_type: type[Reply]
    ) -> Result[Reply, errors.PeerError]:
        """Has a message handled by the leader, which may be this member."""
        if self.authority.is_active_leader():
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

    async def _open_node(self, no_leader_contact_since_s: float | None) -> None:
        settings = self._settings
        incarnation = self._load_incarnation()
        seeds = tuple(self._list_seeds())
        member = consensus_messages.Member(
            settings.peer_address,
            incarnation,
            settings.peer_address,
            incarnation == 0,
        )
        founding_membership = None
        if incarnation == 0:
            founding_membership = consensus_messages.Membership(
                tuple(
                    consensus_messages.Member(address, 0, address, True)
                    for address in sorted(seeds)
                )
            )
        make_node = (
            node_lib.Node if founding_membership else joining_node.JoiningNode
        )
        self.state = state_lib.FleetState()
        self.changed = change_notifier.ChangeNotifier()
        self.state.add_listener(lambda command: self.changed.notify())
        self.node: node_lib.Node = make_node(
            node_lib.GroupConfig(
                GROUP,
                member,
                founding_membership,
                heartbeat_s=_HEARTBEAT_S,
                election_min_s=_ELECTION_MIN_S,
                election_max_s=_ELECTION_MAX_S,
                snapshot_entries=_SNAPSHOT_ENTRIES,
                no_leader_contact_since_s=no_leader_contact_since_s,
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
            self._call_client,
            random.Random(),
        )
        self._membership_manager = membership_lib.MembershipManager(
            self.node, self._clock
        )
        self.feed = replication_feed_lib.Feed(
            self.state,
            self.changed,
            self._clock,
            self.authority.encode_stats,
            lambda: self.authority.permits.list_limits(),
        )
        self._relay = relay_lib.Relay(
            settings.peer_address,
            self.state,
            self.changed,
            self._clock,
            self._send_relay_polls,
        )
        self._relays = relay_lib.Relays(self._clock)
        await self.node.start()
        self._groups.add(GROUP, self.node)
        _log.info(
            "Data folder opened. Incarnation: %d. Revision: %d.",
            incarnation,
            self.state.revision,
        )

    def _load_incarnation(self) -> int:
        """Returns the incarnation of the data folder; 0 for a founding member.

        A member that lost its folder gets a new incarnation: it must not vote
        under its old identity, as it may have voted before.
        """
        self._folder.mkdir(parents=True, exist_ok=True)
        path = self._folder / _INCARNATION_FILE
        try:
            return int(path.read_text())
        except FileNotFoundError:
            pass
        except ValueError:
            _log.warning("Incarnation file is damaged; joining anew.")
        bootstraps = (
            self._settings.bootstraps
            and self._settings.peer_address in self._list_seeds()
        )
        incarnation = 0 if bootstraps else secrets.randbits(48) + 1
        files = disk.files_lib.SystemFiles()
        temporary = path.with_suffix(".new")
        temporary.unlink(missing_ok=True)
        try:
            files.create(temporary, str(incarnation).encode())
            files.sync(temporary)
            files.rename(temporary, path)
            files.sync_folder(self._folder)
        finally:
            files.close()
        return incarnation

    async def _run_leader_tasks(self) -> None:
        while True:
            await self._clock.sleep(_TICK_INTERVAL_S)
            try:
                if self.authority.is_active_leader():
                    await self.authority.tick()
                    await self._membership_manager.tick()
            except errors.HandlerError as error:
                _log.warning("Duty not done. Reason: %s.", error)
            except Exception:
                _log.exception("Duties of the leader failed.")

    async def _run_relay(self) -> None:
        while True:
            # The relay is another one once the data folder was opened again.
            await self._relay.run_once(self._follows_leader())

    def _follows_leader(self) -> bool:
        return self.node.leader is not None and not self.node.is_leader

    async def _send_relay_polls(
        self, polls: messages.RelayPolls
    ) -> Result[messages.RelayPollsReply, errors.PeerError]:
        leader = self.node.leader
        if leader is None:
            return Failure(errors.PeerError("no_leader", "none known", False))
        return await self._directory.call(
            leader.address, polls, messages.RelayPollsReply, _CALL_TIMEOUT_S
        )

    async def _run_joining(self) -> None:
        last_leader_s = self._clock.monotonic()
        while True:
            await self._clock.sleep(_JOIN_INTERVAL_S)
            now_s = self._clock.monotonic()
            if self.node.leader is not None and self.node.membership.members:
                last_leader_s = now_s
            is_unadmitted = not self.node.membership.members
            if is_unadmitted or now_s - last_leader_s > _REJOIN_AFTER_S:
                await self._request_join()

    async def _request_join(self) -> None:
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
            await self._clock.sleep(_TICK_INTERVAL_S)
            if not self.node.failure:
                continue
            _log.error("Storage failed. Reason: %s.", self.node.failure)
            self._groups.remove(GROUP)
            await self.node.stop()
            while True:
                await self._clock.sleep(_REOPEN_DELAY_S)
                try:
                    # None: this process may have heard from a leader just now.
                    await self._open_node(None)
                    break
                except (interfaces.StorageError, OSError) as error:
                    _log.error("Data folder not opened. Reason: %s.", error)
                except Exception:
                    _log.exception("Data folder not opened.")

    async def _on_leader_request(
        self, message: Any, hello: peer_messages.Hello
    ) -> Any:
        if not self.authority.is_active_leader():
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

    async def _on_report_crash(
        self, report: messages.ReportUpstreamCrash
    ) -> messages.ReportUpstreamCrashReply:
        await self.authority.crashes.record(report.crash)
        return messages.ReportUpstreamCrashReply()

    async def _on_report_answered(
        self, report: messages.ReportAnswered
    ) -> messages.ReportAnsweredReply:
        await self.authority.crashes.record_answered(report)
        return messages.ReportAnsweredReply()

    async def _on_change_evacuation(
        self, message: messages.ChangeEvacuation
    ) -> messages.ChangeEvacuationReply:
        return await evacuation.change(
            message, self.node, self.state, _CALL_TIMEOUT_S
        )

    async def _on_submit(
        self, submit: messages.SubmitChange
    ) -> messages.SubmitReply:
        change = submit.change
        barrier = await self.node.read_barrier(_CALL_TIMEOUT_S)
        if isinstance(barrier, Failure):
            raise errors.HandlerError("unavailable", "no majority answered")
        if not self.state.has_accepted(change.digest):
            current = self.state.configuration
            if change.base != current.version:
                return self._make_submit_reply(change, "conflict", "")
            problems = configuration_lib.check_change(current, change)
            if problems:
                detail = "; ".join(each.format() for each in problems[:5])
                return self._make_submit_reply(change, "invalid", detail)
            result = await self.node.propose(wire.pack(change), _CALL_TIMEOUT_S)
            match result:
                case Success(applied):
                    return self._make_submit_reply(change, applied.value, "")
                case Failure(error):
                    raise errors.HandlerError(error.code, error.detail)
        return self._make_submit_reply(change, "repeated", "")

    def _make_submit_reply(
        self, change: messages.ChangeConfiguration, outcome: str, detail: str
    ) -> messages.SubmitReply:
        current = self.state.configuration.version
        _log.info(
            "Configuration change to version %d, based on %d. Outcome: %s. "
            "Current: %d. %s",
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
        if not self.authority.is_active_leader():
            leader = self.node.leader
            is_own_zone = hello.zone == self._settings.zone
            if leader and is_own_zone and self._relay.is_current:
                reply = await self._relay.answer(request, hello.zone)
                reply = reply._replace(leader=leader.address)
                return self._add_peers(reply, request)
            raise errors.HandlerError(
                "not_leader", leader.address if leader else ""
            )
        self.authority.observations.add(request)
        reply = await self.feed.answer(request, hello.zone)
        if not self.authority.is_active_leader():
            raise errors.HandlerError("not_leader", "")
        relays = self._relays.list_addresses(hello.zone, reply.entry_count)
        return self._add_peers(reply._replace(relays=relays), request)

    def _add_peers(
        self, reply: messages.FollowReply, request: messages.Follow
    ) -> messages.FollowReply:
        if request.takes_packed and not reply.loads:
            # Addresses are sent as often as loads, but to older entry
            # instances in every reply.
            return reply
        return reply._replace(
            control_peers=tuple(
                member.address for member in self.node.membership.members
            )
        )

    async def _on_relay_polls(
        self, request: messages.RelayPolls, hello: peer_messages.Hello
    ) -> messages.RelayPollsReply:
        if not self.authority.is_active_leader():
            raise errors.HandlerError("not_leader", "this member does not lead")
        self._relays.record_exchange(hello.zone, request.relay)
        for poll in relay_lib.read_polls(request):
            self.authority.observations.add(poll)
            self.feed.add_relayed(poll, hello.zone)
        stats = self.authority.encode_stats()
        forwarders, version = self.feed.forwarders.list_for_relay(
            hello.zone, request.forwarders_version
        )
        return messages.RelayPollsReply(
            stats.revision,
            self.feed.count_entries(),
            stats.loads,
            stats.relative_latencies,
            limits=self.authority.permits.list_limits(),
            forwarders=forwarders,
            forwarders_version=version,
        )

    async def _on_acquire_permits(
        self, request: messages.AcquirePermits, hello: peer_messages.Hello
    ) -> messages.AcquirePermitsReply:
        if not self.authority.is_active_leader():
            raise errors.HandlerError("not_leader", "this member does not lead")
        return self.authority.permits.acquire(request)

    async def _on_join(
        self, request: messages.JoinControl, hello: peer_messages.Hello
    ) -> messages.JoinControlReply:
        if not self.authority.is_active_leader():
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
        return messages.JoinControlReply(
            await self._membership_manager.join(member)
        )
