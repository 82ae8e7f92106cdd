"""Replicates the fleet's state from the leader to entry instances.

Entry instances poll with the revision of their copy. A reply has the commands
since then, or a snapshot, and at intervals the loads and relative latencies of
upstreams.
"""

from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple
import zlib

from bamboosill_common import clock as clock_lib
from bamboosill_common import logs
from bamboosill_common import metrics
from bamboosill_common import wire
from bamboosill_common.generated import fleet as messages
from bamboosilld.consensus import change_notifier
from bamboosilld.fleet import state as state_lib

# A poll is answered after this time even without changes, so that an entry
# instance soon notices when the leader or the connection has failed.
_LONG_POLL_S = 0.5
# Entry instances that have not polled for longer are no longer counted.
_ENTRY_EXPIRY_S = 5.0
# Most bytes of commands in one reply; beyond that, a snapshot is smaller.
_MAX_COMMAND_BYTES = 128 * 1024
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
    ) -> None:
        self._state = state
        self._changed = changed
        self._clock = clock
        self._get_stats = get_stats
        self._last_request_s: dict[str, float] = {}
        self._last_reply_s: dict[str, float] = {}
        self._last_stats_s: dict[str, float] = {}
        # Compressed commands up to `_packed_revision`, by the revision before
        # them: most instances poll for the same ones.
        self._packed_commands: dict[int, bytes] = {}
        self._packed_revision = 0

    async def answer(self, request: messages.Follow) -> messages.FollowReply:
        """Waits for changes and returns them, or nothing after a while."""
        started_s = self._clock.monotonic()
        self._last_request_s[request.instance] = started_s
        await self._changed.wait_until(
            lambda: self._state.revision > request.revision, _LONG_POLL_S
        )
        await self._throttle(request.instance, started_s)
        state = self._state
        if request.revision > state.revision:
            # This leader has not yet applied all commands of its predecessor.
            return messages.FollowReply(revision=state.revision)
        reply = messages.FollowReply(
            revision=state.revision, entry_count=self._count_entries()
        )
        reply = self._add_changes(self._add_stats(reply, request), request)
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

    async def _throttle(self, instance: str, started_s: float) -> None:
        """Delays a reply that would follow the last one too soon."""
        reply_s = self._last_reply_s.get(instance, float("-inf"))
        interval_s = len(self._last_request_s) * _REPLY_INTERVAL_PER_ENTRY_S
        now_s = self._clock.monotonic()
        delay_s = min(reply_s + interval_s, started_s + _LONG_POLL_S) - now_s
        if delay_s > 0:
            await self._clock.sleep(delay_s)
        self._last_reply_s[instance] = self._clock.monotonic()

    def _add_stats(
        self, reply: messages.FollowReply, request: messages.Follow
    ) -> messages.FollowReply:
        now_s = self._clock.monotonic()
        sent_s = self._last_stats_s.get(request.instance, float("-inf"))
        stats = self._get_stats()
        is_due = now_s - sent_s >= _STATS_INTERVAL_S
        if not is_due or stats.revision != reply.revision:
            return reply
        self._last_stats_s[request.instance] = now_s
        return reply._replace(loads=stats.loads, paces=stats.relative_latencies)

    def _add_changes(
        self, reply: messages.FollowReply, request: messages.Follow
    ) -> messages.FollowReply:
        commands = self._state.list_commands(request.revision)
        size = sum(len(each.command) for each in commands or ())
        if commands is None or size > _MAX_COMMAND_BYTES:
            return reply._replace(snapshot=self._state.snapshot())
        if not request.takes_packed or size < _MIN_PACKED_BYTES:
            return reply._replace(commands=tuple(commands))
        if self._packed_revision != reply.revision:
            self._packed_revision = reply.revision
            self._packed_commands.clear()
        packed = self._packed_commands.get(request.revision)
        if packed is None:
            packed = self._packed_commands[request.revision] = pack_commands(
                commands
            )
        return reply._replace(packed=packed)

    def _count_entries(self) -> int:
        now_s = self._clock.monotonic()
        self._last_request_s = {
            instance: request_s
            for instance, request_s in self._last_request_s.items()
            if now_s - request_s < _ENTRY_EXPIRY_S
        }
        return len(self._last_request_s)


def measure_content(reply: messages.FollowReply) -> Content:
    """Returns what a reply has of the state, and its size."""
    if reply.snapshot:
        return Content("snapshot", len(reply.snapshot))
    if reply.packed:
        return Content("packed", len(reply.packed))
    size_bytes = sum(len(each.command) for each in reply.commands)
    return Content("commands" if reply.commands else "none", size_bytes)


def pack_commands(commands: Sequence[messages.RevisedCommand]) -> bytes:
    """Returns commands, encoded and compressed."""
    data = wire.encode(messages.RevisedCommands(tuple(commands)))
    return zlib.compress(data, 1)


def unpack_commands(data: bytes) -> tuple[messages.RevisedCommand, ...]:
    """Returns the commands encoded by `pack_commands`.

    Raises:
        wire.DecodeError: The bytes are not valid.
    """
    unpacker = zlib.decompressobj()
    try:
        unpacked = unpacker.decompress(data, wire.MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise wire.DecodeError(
            f"cannot decompress commands: {error}"
        ) from error
    return wire.decode(messages.RevisedCommands, unpacked).commands
