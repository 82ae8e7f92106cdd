"""Answers polls of the entry instances of a zone in place of the leader.

Each control instance has the replicated state. One that does not lead serves
it to the entry instances of its availability zone, passes their polls on to the
leader together, and gets the stats of upstreams and the rate limits once for
all of them. It answers the load of fleets with many entry instances: most
traffic between zones was polls of single instances.

A relay that loses contact with the leader, or whose copy of the state falls
behind, answers no more polls; the entry instances then poll the leader.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bamboosill_common import clock as clock_lib
from bamboosill_common import errors
from bamboosill_common import logs
from bamboosill_common import metrics
from bamboosill_common import wire
from bamboosill_common.generated import fleet as messages
from bamboosilld.consensus import change_notifier
from bamboosilld.fleet import compression
from bamboosilld.fleet import replication_feed as replication_feed_lib
from bamboosilld.fleet import state as state_lib

# From this many entry instances on, relays answer polls.
MIN_ENTRIES = 24
# Time between two exchanges with the leader.
_EXCHANGE_INTERVAL_S = 0.25
# A relay is current for this time after an exchange with the leader, and for
# this time after its copy of the state fell behind the leader's. Both together
# are well below the time within which a configuration must be in force.
_MAX_EXCHANGE_AGE_S = 0.6
_MAX_BEHIND_S = 0.3
# The leader names relays whose last exchange is not older than this.
_MAX_LISTED_AGE_S = 1.0
# Polls that wait for the next exchange; while the leader is away, older ones
# are dropped.
_MAX_WAITING_POLLS = 512

_log = logs.get_logger("relay")

CallLeader = Callable[
    [messages.RelayPolls],
    Awaitable[Result[messages.RelayPollsReply, errors.PeerError]],
]


class _UpstreamStats(NamedTuple):
    """Encoded stats of an upstream: load and relative latency."""

    load: int = 0
    relative_latency: int = 0


class Relays:
    """The relays that the leader knows, by zone."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._last_exchange_s: dict[tuple[str, str], float] = {}

    def record_exchange(self, zone: str, address: str) -> None:
        """Records that a relay has sent polls."""
        self._last_exchange_s[zone, address] = self._clock.monotonic()

    def list_addresses(self, zone: str, entry_count: int) -> tuple[str, ...]:
        """Returns the relays of a zone, or none in a small fleet."""
        if entry_count < MIN_ENTRIES:
            return ()
        oldest_s = self._clock.monotonic() - _MAX_LISTED_AGE_S
        return tuple(
            address
            for (each_zone, address), exchange_s in sorted(
                self._last_exchange_s.items()
            )
            if each_zone == zone and exchange_s >= oldest_s
        )


class Relay:
    """The relay of one control instance."""

    def __init__(
        self,
        address: str,
        state: state_lib.FleetState,
        changed: change_notifier.ChangeNotifier,
        clock: clock_lib.Clock,
        call_leader: CallLeader,
    ) -> None:
        self._address = address
        self._state = state
        self._clock = clock
        self._call_leader = call_leader
        self._polls: list[messages.Follow] = []
        self._reply = messages.RelayPollsReply()
        self._exchanged_s = float("-inf")
        self._behind_since_s: float | None = None
        # Stats of a later revision than that of the state.
        self._pending: messages.RelayPollsReply | None = None
        self._stats: dict[str, _UpstreamStats] = {}
        self._encoded = replication_feed_lib.EncodedStats(-1, b"", b"")
        self._forwarders_version = 0
        # Revisions of the last changes of upstreams and of evacuations: what
        # the leader said of limits before these is outdated.
        self._changed_at: dict[state_lib.UpstreamIncarnation, int] = {}
        self._all_changed_at = 0
        self._feed = replication_feed_lib.Feed(
            state,
            changed,
            clock,
            self._encode_stats,
            self._list_limits,
            lambda: self._reply.entry_count,
        )
        state.add_listener(self._apply_change)

    @property
    def is_current(self) -> bool:
        """Whether this relay may answer polls now."""
        now_s = self._clock.monotonic()
        is_recent = now_s - self._exchanged_s <= _MAX_EXCHANGE_AGE_S
        behind_s = self._behind_since_s
        return (
            is_recent
            and self._reply.entry_count >= MIN_ENTRIES
            and (behind_s is None or now_s - behind_s <= _MAX_BEHIND_S)
        )

    async def run_once(self, has_leader: bool) -> None:
        """Exchanges polls and stats with the leader once, after a pause.

        Args:
            has_leader: Whether this instance follows a leader.
        """
        await self._clock.sleep(_EXCHANGE_INTERVAL_S)
        try:
            if has_leader:
                await self.exchange()
            else:
                self._polls.clear()
        except Exception:
            _log.exception("Exchange with the leader failed.")

    async def answer(
        self, request: messages.Follow, zone: str
    ) -> messages.FollowReply:
        """Answers a poll of an entry instance of the own zone."""
        del self._polls[:-_MAX_WAITING_POLLS]
        self._polls.append(request)
        return await self._feed.answer(request, zone)

    async def exchange(self) -> None:
        """Sends the polls since the last exchange and applies the reply."""
        polls, self._polls = self._polls, []
        result = await self._call_leader(
            messages.RelayPolls(
                self._address,
                compression.pack(messages.Polls(tuple(polls))),
                self._forwarders_version,
            )
        )
        match result:
            case Success(reply):
                self._apply_reply(reply)
            case Failure(error):
                metrics.fleet_relay_exchanges.labels("failed").inc()
                _log.info("No exchange with the leader. Reason: %s.", error)

    def _apply_reply(self, reply: messages.RelayPollsReply) -> None:
        now_s = self._clock.monotonic()
        metrics.fleet_relay_exchanges.labels("done").inc()
        self._exchanged_s = now_s
        if reply.forwarders_version:
            self._forwarders_version = reply.forwarders_version
            self._feed.forwarders.set_remote(reply.forwarders)
        self._reply = reply
        self._pending = reply
        self._changed_at = {
            incarnation: revision
            for incarnation, revision in self._changed_at.items()
            if revision > reply.revision
        }
        if self._state.revision >= reply.revision:
            self._behind_since_s = None
        elif self._behind_since_s is None:
            self._behind_since_s = now_s
        self._apply_pending()

    def _apply_change(self, command: Any) -> None:
        revision = self._state.revision
        if isinstance(command, messages.SetUpstreams):
            for item in command.upstreams:
                incarnation = state_lib.UpstreamIncarnation(
                    item.upstream, item.born_ms
                )
                self._changed_at[incarnation] = revision
        elif command is None or isinstance(command, messages.SetEvacuation):
            self._all_changed_at = revision
        self._apply_pending()

    def _apply_pending(self) -> None:
        """Applies stats once the state has their revision."""
        reply = self._pending
        if reply is None or self._state.revision < reply.revision:
            return
        self._behind_since_s = None
        self._pending = None
        upstreams = sorted(self._state.upstreams)
        is_same = self._state.revision == reply.revision
        if is_same and len(reply.loads) == len(reply.paces) == len(upstreams):
            self._stats = {
                upstream: _UpstreamStats(*stats)
                for upstream, *stats in zip(
                    upstreams, reply.loads, reply.paces, strict=True
                )
            }
            self._encoded = replication_feed_lib.EncodedStats(-1, b"", b"")

    def _encode_stats(self) -> replication_feed_lib.EncodedStats:
        if self._encoded.revision != self._state.revision:
            unknown = _UpstreamStats()
            stats = [
                self._stats.get(upstream, unknown)
                for upstream in sorted(self._state.upstreams)
            ]
            self._encoded = replication_feed_lib.EncodedStats(
                self._state.revision,
                bytes(each.load for each in stats),
                bytes(each.relative_latency for each in stats),
            )
        return self._encoded

    def _list_limits(self) -> tuple[messages.UpstreamLimit, ...]:
        """Returns the limits that the leader sent, with their age now.

        Those from before a change that instances know already are left out: an
        upstream may have become cold with it.
        """
        if self._all_changed_at > self._reply.revision:
            return ()
        passed_ms = round((self._clock.monotonic() - self._exchanged_s) * 1000)
        return tuple(
            each._replace(
                age_ms=each.age_ms + passed_ms,
                cold_ms=max(0, each.cold_ms - passed_ms),
            )
            for each in self._reply.limits
            if state_lib.UpstreamIncarnation(each.upstream, each.born_ms)
            not in self._changed_at
        )


def read_polls(request: messages.RelayPolls) -> tuple[messages.Follow, ...]:
    """Returns the polls that a relay has passed on.

    Raises:
        errors.HandlerError: They cannot be decoded.
    """
    try:
        return compression.unpack(messages.Polls, request.packed).polls
    except wire.DecodeError as error:
        raise errors.HandlerError("invalid", str(error)) from error
