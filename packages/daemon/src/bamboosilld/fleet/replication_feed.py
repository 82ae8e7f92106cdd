"""Replicates the fleet's state from the leader to entry instances.

Entry instances poll with the revision of their copy. A reply has commands since
then, or a snapshot, and at intervals the loads and relative latencies of
upstreams. What takes long to encode is encoded once and sent to all instances.
"""

import collections
from collections.abc import Callable
from collections.abc import Sequence
import random
from typing import NamedTuple

from bamboosill_common import clock as clock_lib
from bamboosill_common import logs
from bamboosill_common import metrics
from bamboosill_common.generated import fleet as messages
from bamboosilld.consensus import change_notifier
from bamboosilld.fleet import compression
from bamboosilld.fleet import forwarders as forwarders_lib
from bamboosilld.fleet import state as state_lib

# A poll is answered after this time even without changes, so that an entry
# instance soon notices when the leader or the connection has failed.
_LONG_POLL_S = 0.5
# Entry instances that have not polled for longer are no longer counted.
_ENTRY_EXPIRY_S = 5.0
# Up to this many bytes, commands are always preferred to a snapshot.
_MAX_COMMAND_BYTES = 128 * 1024
# A command of this size is sent alone, so that all instances get the same
# bytes.
_LARGE_COMMAND_BYTES = 16 * 1024
_MAX_CACHED_REPLIES = 32
# Loads and relative latencies are sent to an entry instance at most this often:
# there are many instances, and traffic between zones is expensive.
_STATS_INTERVAL_S = 0.45
# Shortest time between two replies to one entry instance, multiplied by the
# number of entry instances: with many of them, changes are batched. 80
# instances get about six replies a second each, a tenth of the changes of a
# busy service.
_REPLY_INTERVAL_PER_ENTRY_S = 0.002
# Fewer bytes of commands are sent uncompressed.
_MIN_PACKED_BYTES = 200

_log = logs.get_logger("feed")


class EncodedStats(NamedTuple):
    """Loads and relative latencies of a revision's upstreams, a byte each.

    They are in the order of the ids of the upstreams.
    """

    revision: int
    loads: bytes
    relative_latencies: bytes


class _Snapshot(NamedTuple):
    """An encoded state, and its size before compression."""

    revision: int
    configuration_version: int
    evacuated_zones: frozenset[str]
    data: bytes
    state_bytes: int


class Content(NamedTuple):
    """What a reply has of the state, and its size."""

    name: str
    size_bytes: int


class Feed:
    """Answers the long polls of entry instances."""

    def __init__(
        self,
        state: state_lib.FleetState,
        changed: change_notifier.ChangeNotifier,
        clock: clock_lib.Clock,
        get_stats: Callable[[], EncodedStats],
        list_limits: Callable[
            [], tuple[messages.UpstreamLimit, ...]
        ] = lambda: (),
        get_entry_count: Callable[[], int] = lambda: 0,
    ) -> None:
        """Creates a feed.

        Args:
            state: The state to replicate.
            changed: Notified after each change of the state.
            clock: Source of time.
            get_stats: Returns the stats to send.
            list_limits: Returns the rate limits to send.
            get_entry_count: Returns how many entry instances there are if not
                all of them poll this feed.
        """
        self._state = state
        self._changed = changed
        self._clock = clock
        self._get_stats = get_stats
        self._list_limits = list_limits
        self._get_entry_count = get_entry_count
        self._last_request_s: dict[str, float] = {}
        # Entry instances that poll a relay.
        self._relayed_s: dict[str, float] = {}
        self._last_reply_s: dict[str, float] = {}
        self._last_stats_s: dict[str, float] = {}
        # Compressed commands by their first and last revision, least recently
        # used first: most instances poll for the same ones.
        self._packed_commands: collections.OrderedDict[
            tuple[int, int], bytes
        ] = collections.OrderedDict()
        self._snapshot: _Snapshot | None = None
        self.forwarders = forwarders_lib.Forwarders(random.Random())

    async def answer(
        self, request: messages.Follow, zone: str = ""
    ) -> messages.FollowReply:
        """Waits for changes and returns them, or nothing after a while.

        Args:
            request: The poll of an entry instance.
            zone: Its availability zone.
        """
        started_s = self._clock.monotonic()
        self._last_request_s[request.instance] = started_s
        self.forwarders.add(request, zone)
        await self._changed.wait_until(
            lambda: self._state.revision > request.revision, _LONG_POLL_S
        )
        await self._throttle(request.instance, started_s)
        state = self._state
        if request.revision > state.revision:
            # This leader has not yet applied all commands of its predecessor.
            return messages.FollowReply(revision=state.revision)
        reply = messages.FollowReply(
            revision=state.revision, entry_count=self.count_entries()
        )
        reply = self._add_changes(reply, request)
        if reply.revision < state.revision:
            # The rest is sent without a delay.
            self._last_reply_s.pop(request.instance, None)
        reply = self._add_stats(reply, request)
        reply = self.forwarders.add_to(reply, request)
        content = measure_content(reply)
        metrics.fleet_feed_replies.labels(content.name).inc()
        metrics.fleet_feed_bytes.labels(content.name).inc(content.size_bytes)
        if reply.snapshot:
            _log.info(
                "Sending a snapshot. Instance: %s.",
                request.instance,
                extra={
                    "revision": reply.revision,
                    "behind": reply.revision - request.revision,
                    "bytes": content.size_bytes,
                },
            )
        return reply

    def add_relayed(self, request: messages.Follow, zone: str) -> None:
        """Records a poll that a relay has answered."""
        self._relayed_s[request.instance] = self._clock.monotonic()
        self.forwarders.add(request, zone)

    def count_entries(self) -> int:
        """Returns the number of entry instances, wherever they poll."""
        return max(self._get_entry_count(), self._count_polling())

    async def _throttle(self, instance: str, started_s: float) -> None:
        """Delays a reply that would follow the last one too soon."""
        reply_s = self._last_reply_s.get(instance, float("-inf"))
        interval_s = self.count_entries() * _REPLY_INTERVAL_PER_ENTRY_S
        now_s = self._clock.monotonic()
        delay_s = min(reply_s + interval_s, started_s + _LONG_POLL_S) - now_s
        if delay_s > 0:
            await self._clock.sleep(delay_s)
        self._last_reply_s[instance] = self._clock.monotonic()

    def _add_stats(
        self, reply: messages.FollowReply, request: messages.Follow
    ) -> messages.FollowReply:
        """Adds loads and relative latencies if they are due.

        They belong to the upstreams of the latest revision.
        """
        now_s = self._clock.monotonic()
        sent_s = self._last_stats_s.get(request.instance, float("-inf"))
        stats = self._get_stats()
        is_due = now_s - sent_s >= _STATS_INTERVAL_S
        if not is_due or stats.revision != reply.revision:
            if not request.revision:
                # It serves callers from this reply on.
                return reply._replace(limits=self._list_limits())
            return reply
        self._last_stats_s[request.instance] = now_s
        return reply._replace(
            loads=stats.loads,
            paces=stats.relative_latencies,
            limits=self._list_limits(),
        )

    def _add_changes(
        self, reply: messages.FollowReply, request: messages.Follow
    ) -> messages.FollowReply:
        """Adds commands or a snapshot, and the revision that they lead to."""
        commands = self._state.list_commands(request.revision)
        # An instance serves callers once it has a configuration. Commands from
        # the first one on would bring it older ones before that in force.
        is_starting = request.revision == 0 < self._state.revision
        if (
            is_starting
            or commands is None
            or self._is_snapshot_smaller(commands)
        ):
            snapshot = self._get_snapshot()
            return reply._replace(
                revision=snapshot.revision, snapshot=snapshot.data
            )
        commands = _select_commands(commands)
        if commands:
            reply = reply._replace(revision=commands[-1].revision)
        if not request.takes_packed or _sum_sizes(commands) < _MIN_PACKED_BYTES:
            return reply._replace(commands=tuple(commands))
        return reply._replace(packed=self._pack(commands))

    def _is_snapshot_smaller(
        self, commands: Sequence[messages.RevisedCommand]
    ) -> bool:
        size_bytes = _sum_sizes(commands)
        if size_bytes <= _MAX_COMMAND_BYTES:
            return False
        return size_bytes > self._get_snapshot().state_bytes

    def _get_snapshot(self) -> _Snapshot:
        """Returns a snapshot with the configuration and orders in force.

        An instance that starts serves callers with it. It is encoded anew after
        a change of the configuration or of the evacuated zones, and when more
        bytes of commands would follow it than it has itself.
        """
        state, snapshot = self._state, self._snapshot
        version = state.configuration.version
        zones = frozenset(state.evacuated_zones)
        if (
            snapshot is not None
            and snapshot.configuration_version == version
            and snapshot.evacuated_zones == zones
        ):
            later = state.list_commands(snapshot.revision)
            limit_bytes = max(_MAX_COMMAND_BYTES, snapshot.state_bytes)
            if later is not None and _sum_sizes(later) <= limit_bytes:
                return snapshot
        data = state.snapshot()
        self._snapshot = _Snapshot(
            state.revision,
            version,
            zones,
            data,
            len(compression.decompress(data)),
        )
        return self._snapshot

    def _pack(self, commands: Sequence[messages.RevisedCommand]) -> bytes:
        cache = self._packed_commands
        span = commands[0].revision, commands[-1].revision
        packed = cache.pop(span, None) or pack_commands(commands)
        cache[span] = packed
        if len(cache) > _MAX_CACHED_REPLIES:
            cache.popitem(last=False)
        return packed

    def _count_polling(self) -> int:
        """Forgets instances that no longer poll, and counts the others."""
        oldest_s = self._clock.monotonic() - _ENTRY_EXPIRY_S
        self._last_request_s = _drop_before(self._last_request_s, oldest_s)
        self._relayed_s = _drop_before(self._relayed_s, oldest_s)
        for times_s in (self._last_reply_s, self._last_stats_s):
            for instance in times_s.keys() - self._last_request_s.keys():
                del times_s[instance]
        polling = self._last_request_s.keys() | self._relayed_s.keys()
        self.forwarders.retain(polling)
        return len(polling)


def _drop_before(
    times_s: dict[str, float], oldest_s: float
) -> dict[str, float]:
    return {
        instance: time_s
        for instance, time_s in times_s.items()
        if time_s > oldest_s
    }


def _select_commands(
    commands: Sequence[messages.RevisedCommand],
) -> Sequence[messages.RevisedCommand]:
    """Returns the commands before the first large one, or that one alone."""
    for position, each in enumerate(commands):
        if len(each.command) >= _LARGE_COMMAND_BYTES:
            return commands[: max(position, 1)]
    return commands


def _sum_sizes(commands: Sequence[messages.RevisedCommand]) -> int:
    return sum(len(each.command) for each in commands)


def measure_content(reply: messages.FollowReply) -> Content:
    """Returns what a reply has of the state, and its size."""
    if reply.snapshot:
        return Content("snapshot", len(reply.snapshot))
    if reply.packed:
        return Content("packed", len(reply.packed))
    return Content(
        "commands" if reply.commands else "none", _sum_sizes(reply.commands)
    )


def pack_commands(commands: Sequence[messages.RevisedCommand]) -> bytes:
    """Returns commands, encoded and compressed."""
    return compression.pack(messages.RevisedCommands(tuple(commands)))


def unpack_commands(data: bytes) -> tuple[messages.RevisedCommand, ...]:
    """Returns the commands encoded by `pack_commands`.

    Raises:
        wire.DecodeError: The bytes are not valid.
    """
    return compression.unpack(messages.RevisedCommands, data).commands
