"""Answers entry instances that follow the state of the leader."""

from bamboosill_common import clock as clock_lib
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


class Feed:
    """Long polls of entry instances."""

    def __init__(
        self,
        state: state_lib.FleetState,
        changed: signals.Signal,
        clock: clock_lib.Clock,
    ) -> None:
        self._state = state
        self._changed = changed
        self._clock = clock
        self._asked_s: dict[str, float] = {}

    async def answer(self, request: messages.Follow) -> messages.FollowReply:
        """Returns what has changed, or nothing after a while."""
        self._asked_s[request.instance] = self._clock.monotonic()
        await self._changed.wait_until(
            lambda: self._state.revision > request.revision, _HOLD_S
        )
        state = self._state
        if request.revision > state.revision:
            # This leader has not yet applied what its predecessor committed.
            return messages.FollowReply(revision=state.revision)
        commands = state.list_commands(request.revision)
        reply = messages.FollowReply(
            revision=state.revision, entry_count=self._count_entries()
        )
        size = sum(len(each.command) for each in commands or ())
        if commands is None or size > _MAX_COMMAND_BYTES:
            return reply._replace(snapshot=state.snapshot())
        return reply._replace(commands=tuple(commands))

    def _count_entries(self) -> int:
        now_s = self._clock.monotonic()
        self._asked_s = {
            instance: asked_s
            for instance, asked_s in self._asked_s.items()
            if now_s - asked_s < _COUNTED_FOR_S
        }
        return len(self._asked_s)
