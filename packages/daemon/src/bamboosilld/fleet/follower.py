"""Keeps an entry instance's copy of the fleet's state up to date.

The follower long-polls the leader of the control group, applies the commands
it gets, and reports what the instance has measured with each poll.
"""

import collections
from collections.abc import Callable
import random
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bamboosill_common import clock as clock_lib
from bamboosill_common import errors
from bamboosill_common import logs
from bamboosill_common import peer
from bamboosill_common import wire
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import relative_latency as relative_latency_lib
from bamboosilld.fleet import replication_feed as replication_feed_lib
from bamboosilld.fleet import state as state_lib

# The leader replies within half a second even if nothing changes.
_CALL_TIMEOUT_S = 1.2
# A snapshot of a large state takes that long over a slow link.
_TRANSFER_TIMEOUT_S = 60.0
_RETRY_DELAY_S = 0.1
_PERMIT_TIMEOUT_S = 0.25
# Longer in all than an election.
_REPORT_TIMEOUT_S = 1.0
_REPORT_ATTEMPTS = 10
_REPORT_RETRY_DELAY_S = 0.3
# Longer than an election and the time until all instances follow again.
_ENTRY_COUNT_KEPT_S = 5.0
# A relay that did not answer is not polled for this time.
_RELAY_PAUSE_S = 2.0

# Precedes the leader's address in the error of a peer that does not lead.
_LEADER_PREFIX = "not_leader: "

_log = logs.get_logger("follower")


class Measurements(NamedTuple):
    """What an entry instance has measured since its last poll."""

    key_work: tuple[messages.KeyWork, ...] = ()
    relative_latencies: tuple[messages.UpstreamPace, ...] = ()
    loads: tuple[messages.UpstreamLoad, ...] = ()
    is_cut_off: bool = False


class UpstreamStats(NamedTuple):
    """Load and relative latency of an upstream, over all entry instances.

    Attributes:
        requests: Requests that run or wait at the upstream, or
            `suspicion.SUSPECT_LOAD_MARKER`.
        relative_latency: Its latency relative to its service, or None if
            unknown.
    """

    requests: int
    relative_latency: float | None


class Follower:
    """Polls the leader and applies its commands.

    Attributes:
        state: The copy of the fleet's state.
        synced_s: When the leader last replied, on the monotonic clock.
        previous_sync_s: When it last replied before that. What its last reply
            changed was committed later.
    """

    def __init__(
        self,
        instance: str,
        directory: peer.Directory,
        clock: clock_lib.Clock,
        list_seeds: Callable[[], tuple[str, ...]],
        pop_measurements: Callable[[], Measurements],
        on_stats: Callable[[dict[str, UpstreamStats]], None],
        on_limits: Callable[
            [tuple[messages.UpstreamLimit, ...]], None
        ] = lambda limits: None,
        on_forwarders: Callable[
            [tuple[messages.EntryAddress, ...]], None
        ] = lambda forwarders: None,
    ) -> None:
        self._instance = instance
        self._directory = directory
        self._clock = clock
        self._list_seeds = list_seeds
        self._pop_measurements = pop_measurements
        self._on_stats = on_stats
        self._on_limits = on_limits
        self._on_forwarders = on_forwarders
        self._forwarders_version = 0
        self._control_peers: tuple[str, ...] = ()
        self._leader = ""
        # Control instances that answer in place of the leader.
        self._relays: tuple[str, ...] = ()
        self._relay_paused_until_s = float("-inf")
        self._last_poll_succeeded = False
        self.state = state_lib.FleetState()
        self._entry_counts: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self.synced_s = self.previous_sync_s = float("-inf")

    @property
    def is_synced(self) -> bool:
        """Whether a configuration has been received."""
        return self.state.configuration.version > 0

    @property
    def entry_count(self) -> int:
        """Number of entry instances that follow, this one included.

        The largest of the last seconds: a new leader counts from one, and parts
        of a limit that are too large add up to more than the limit.
        """
        return max((count for _, count in self._entry_counts), default=1)

    async def run(self) -> None:
        """Follows the leader until cancelled."""
        while True:
            self._last_poll_succeeded = False
            try:
                for address in self._list_candidates():
                    if await self._poll(address):
                        break
            except Exception:
                _log.exception("Poll failed.")
            if not self._last_poll_succeeded:
                await self._clock.sleep(_RETRY_DELAY_S)

    async def acquire_permits(
        self, request: messages.AcquirePermits
    ) -> Result[messages.AcquirePermitsReply, errors.PeerError]:
        """Asks the leader for permits to send to a limited upstream."""
        if not self._leader:
            return Failure(errors.PeerError("no_leader", "none known", False))
        return await self._directory.call(
            self._leader,
            request,
            messages.AcquirePermitsReply,
            _PERMIT_TIMEOUT_S,
        )

    async def report_crash(self, crash: messages.UpstreamCrash) -> bool:
        """Reports a crash to the leader; returns whether it was recorded.

        It is tried again for a while, as the leader may be changing.
        """
        reason = await self._report(
            messages.ReportUpstreamCrash(crash),
            messages.ReportUpstreamCrashReply,
            lambda: True,
        )
        if reason:
            _log.warning(
                "Crash not reported. Upstream: %s. Reason: %s.",
                crash.upstream,
                reason,
            )
        return not reason

    async def report_answered(self, fingerprint: bytes) -> bool:
        """Reports to the leader that a suspected request was answered.

        It is tried again for a while, unless the request is cleared or
        quarantined meanwhile.

        Returns:
            Whether it is not suspected any more.
        """
        reason = await self._report(
            messages.ReportAnswered(fingerprint),
            messages.ReportAnsweredReply,
            lambda: self.state.quarantine.is_suspected(fingerprint),
        )
        if reason:
            _log.info(
                "Answer not reported. Request: %s. Reason: %s.",
                fingerprint.hex(),
                reason,
            )
        return not reason

    async def _report(
        self,
        report: object,
        reply_type: type[NamedTuple],
        is_needed: Callable[[], bool],
    ) -> str:
        """Has the leader record something.

        Returns:
            Why it was not recorded, or an empty string.
        """
        reason = "none known"
        for _ in range(_REPORT_ATTEMPTS):
            if not is_needed():
                return ""
            if self._leader:
                result = await self._directory.call(
                    self._leader, report, reply_type, _REPORT_TIMEOUT_S
                )
                if isinstance(result, Success):
                    return ""
                reason = result.failure().code
            await self._clock.sleep(_REPORT_RETRY_DELAY_S)
        return reason

    def _list_candidates(self) -> list[str]:
        others = list(
            dict.fromkeys((*self._control_peers, *self._list_seeds()))
        )
        random.shuffle(others)
        first = [self._leader] if self._leader else []
        return list(dict.fromkeys(self._list_relays() + first + others))

    def _list_relays(self) -> list[str]:
        """Returns the relays to poll, in a random order to share the load."""
        if self._clock.monotonic() < self._relay_paused_until_s:
            return []
        return random.sample(self._relays, len(self._relays))

    async def _poll(self, address: str) -> bool:
        """Polls one instance.

        Returns:
            Whether to start again at the leader: the instance leads, or it
            named the instance that does.
        """
        measured = self._pop_measurements()
        request = messages.Follow(
            self.state.revision,
            self._instance,
            measured.key_work,
            measured.relative_latencies,
            measured.loads,
            takes_packed=True,
            is_cut_off=measured.is_cut_off,
            forwarders_version=self._forwarders_version,
        )
        started_s = self._clock.monotonic()
        result = await self._directory.call(
            address,
            request,
            messages.FollowReply,
            _CALL_TIMEOUT_S,
            _TRANSFER_TIMEOUT_S,
        )
        self._last_poll_succeeded = isinstance(result, Success)
        if address in self._relays and not self._last_poll_succeeded:
            self._pause_relays(address)
        reason = ""
        match result:
            case Success(reply):
                version = self.state.configuration.version
                self._apply_reply(address, reply)
                if self.state.configuration.version != version:
                    self._log_configuration(version, reply, started_s)
                return True
            case Failure(errors.PeerError(code="not_leader", detail=detail)):
                leader = detail.removeprefix(_LEADER_PREFIX)
                if leader not in ("", address):
                    self._leader = leader
                    return True
                reason = "not_leader"
            case Failure(error):
                reason = error.code
        if address == self._leader:
            _log.info(
                "Leader does not answer or no longer leads. Address: %s. "
                "Reason: %s.",
                address,
                reason,
            )
            self._leader = ""
        return False

    def _pause_relays(self, address: str) -> None:
        self._relay_paused_until_s = self._clock.monotonic() + _RELAY_PAUSE_S
        _log.info("Relay does not answer. Address: %s.", address)

    def _log_configuration(
        self, previous: int, reply: messages.FollowReply, started_s: float
    ) -> None:
        """Logs that another version is in force, and how it got here."""
        content = replication_feed_lib.measure_content(reply)
        _log.info(
            "Configuration in force. Version: %d. Previous: %d.",
            self.state.configuration.version,
            previous,
            extra={
                "revision": self.state.revision,
                "content": content.name,
                "bytes": content.size_bytes,
                "poll_ms": int((self._clock.monotonic() - started_s) * 1000),
            },
        )

    def _apply_reply(self, address: str, reply: messages.FollowReply) -> None:
        leader = reply.leader or address
        if self._leader != leader:
            _log.info(
                "Following the leader at %s. Revision: %d.",
                leader,
                reply.revision,
                extra={"polled": address},
            )
        self._leader = leader
        if not reply.leader:
            self._relays = reply.relays
        self._control_peers = reply.control_peers or self._control_peers
        self.previous_sync_s = self.synced_s
        self.synced_s = self._clock.monotonic()
        self._add_entry_count(max(1, reply.entry_count))
        if reply.snapshot and reply.revision > self.state.revision:
            try:
                self.state.restore(reply.snapshot)
            except wire.DecodeError as error:
                _log.error("Snapshot refused. Reason: %s.", error)
        for each in self._list_commands(reply):
            if each.revision > self.state.revision:
                self.state.apply(each.revision, each.command)
        self._on_limits(reply.limits)
        if reply.forwarders_version:
            self._forwarders_version = reply.forwarders_version
            self._on_forwarders(reply.forwarders)
        if reply.revision == self.state.revision:
            self._apply_stats(reply)

    def _add_entry_count(self, count: int) -> None:
        """Adds a count, and drops those that it or time replaces."""
        counts = self._entry_counts
        while counts and counts[-1][1] <= count:
            counts.pop()
        counts.append((self.synced_s, count))
        while counts[0][0] < self.synced_s - _ENTRY_COUNT_KEPT_S:
            counts.popleft()

    def _list_commands(
        self, reply: messages.FollowReply
    ) -> tuple[messages.RevisedCommand, ...]:
        if not reply.packed:
            return reply.commands
        try:
            return replication_feed_lib.unpack_commands(reply.packed)
        except wire.DecodeError as error:
            _log.error("Commands refused. Reason: %s.", error)
            return ()

    def _apply_stats(self, reply: messages.FollowReply) -> None:
        upstreams = sorted(self.state.upstreams)
        if not len(upstreams) == len(reply.loads) == len(reply.paces):
            return
        self._on_stats(
            {
                upstream: UpstreamStats(
                    requests, relative_latency_lib.decode(step)
                )
                for upstream, requests, step in zip(
                    upstreams, reply.loads, reply.paces, strict=True
                )
            }
        )
