"""Answers entry instances that follow the state of the leader."""

from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple
import zlib

from bamboosill_common import clock as clock_lib
from bamboosill_common import wire
from bamboosill_common.generated import fleet as messages
from bamboosilld.consensus import signals
from bamboosilld.fleet import state as state_lib

# An entry instance is answered at least this often, so that it notices early
# when the leader or the connection is gone.
_HOLD_S = 0.5
# Entry instances that have not asked for longer are not counted any more.
_COUNTED_FOR_S = 5.0
# Most bytes of commands in one answer; beyond that, a snapshot is smaller.
_MAX_COMMAND_BYTES = 128 * 1024
# Loads and paces are sent to an entry instance at most this often: there are
# many instances, and bytes between zones are costly.
_SIGHTS_INTERVAL_S = 0.45
# Shortest time between two answers to one entry instance, for each instance:
# with many of them, changes are collected. 80 instances get about six answers
# a second each, a tenth of the changes of a busy service.
_INTERVAL_PER_ENTRY_S = 0.002
# Commands of fewer bytes are sent as they are.
_MIN_PACKED_BYTES = 200


class Sights(NamedTuple):
    """Loads and paces of all upstreams of a revision, a byte for each."""

    revision: int
    loads: bytes
    paces: bytes


class Feed:
    """Long polls of entry instances."""

    def __init__(
        self,
        state: state_lib.FleetState,
        changed: signals.Signal,
        clock: clock_lib.Clock,
        get_sights: Callable[[], Sights],
    ) -> None:
        self._state = state
        self._changed = changed
        self._clock = clock
        self._get_sights = get_sights
        self._asked_s: dict[str, float] = {}
        self._answered_s: dict[str, float] = {}
        self._sights_s: dict[str, float] = {}
        # Packed commands up to a revision, by the revision before them: most
        # instances ask for the same.
        self._packed: dict[int, bytes] = {}
        self._packed_revision = 0

    async def answer(self, request: messages.Follow) -> messages.FollowReply:
        """Returns what has changed, or nothing after a while."""
        begun_s = self._clock.monotonic()
        self._asked_s[request.instance] = begun_s
        await self._changed.wait_until(
            lambda: self._state.revision > request.revision, _HOLD_S
        )
        await self._collect(request.instance, begun_s)
        state = self._state
        if request.revision > state.revision:
            # This leader has not yet applied what its predecessor committed.
            return messages.FollowReply(revision=state.revision)
        reply = messages.FollowReply(
            revision=state.revision, entry_count=self._count_entries()
        )
        return self._add_changes(self._add_sights(reply, request), request)

    async def _collect(self, instance: str, begun_s: float) -> None:
        """Waits until the last answer to an instance is old enough."""
        answered_s = self._answered_s.get(instance, float("-inf"))
        interval_s = len(self._asked_s) * _INTERVAL_PER_ENTRY_S
        now_s = self._clock.monotonic()
        left_s = min(answered_s + interval_s, begun_s + _HOLD_S) - now_s
        if left_s > 0:
            await self._clock.sleep(left_s)
        self._answered_s[instance] = self._clock.monotonic()

    def _add_sights(
        self, reply: messages.FollowReply, request: messages.Follow
    ) -> messages.FollowReply:
        now_s = self._clock.monotonic()
        sent_s = self._sights_s.get(request.instance, float("-inf"))
        sights = self._get_sights()
        is_due = now_s - sent_s >= _SIGHTS_INTERVAL_S
        if not is_due or sights.revision != reply.revision:
            return reply
        self._sights_s[request.instance] = now_s
        return reply._replace(loads=sights.loads, paces=sights.paces)

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
            self._packed.clear()
        packed = self._packed.get(request.revision)
        if packed is None:
            packed = self._packed[request.revision] = pack_commands(commands)
        return reply._replace(packed=packed)

    def _count_entries(self) -> int:
        now_s = self._clock.monotonic()
        self._asked_s = {
            instance: asked_s
            for instance, asked_s in self._asked_s.items()
            if now_s - asked_s < _COUNTED_FOR_S
        }
        return len(self._asked_s)


def pack_commands(commands: Sequence[messages.RevisedCommand]) -> bytes:
    """Returns commands in a compressed form."""
    data = wire.encode(messages.RevisedCommands(tuple(commands)))
    return zlib.compress(data, 1)


def unpack_commands(data: bytes) -> tuple[messages.RevisedCommand, ...]:
    """Returns the commands written by `pack_commands`.

    Raises:
        wire.DecodeError: The bytes are bad.
    """
    unpacker = zlib.decompressobj()
    try:
        unpacked = unpacker.decompress(data, wire.MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise wire.DecodeError(f"bad compressed bytes: {error}") from error
    return wire.decode(messages.RevisedCommands, unpacked).commands
