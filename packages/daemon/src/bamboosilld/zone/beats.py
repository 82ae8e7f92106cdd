"""Beats of the zone leader to the control leader, and the delegation lease."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from returns.result import Success

from bamboosill_common import clock as clock_lib
from bamboosill_common import logs
from bamboosill_common import peer
from bamboosill_common.generated import control
from bamboosill_common.generated import zone as messages
from bamboosilld.zone import moves as moves_lib
from bamboosilld.zone import state as state_lib

_CALL_S = 0.25

_log = logs.get_logger("zone")


class Reply(NamedTuple):
    """An accepted beat."""

    message: control.ZoneBeatReply
    sent_s: float


class ControlLink:
    """Finds the control leader and keeps the delegation lease.

    Attributes:
        lease_until_s: End of the delegation lease, counted from when the
            beat was sent.
        wall_offset_ms: Control's wall time minus this instance's, or None.
    """

    def __init__(
        self,
        directory: peer.Directory,
        clock: clock_lib.Clock,
        list_addresses: Callable[[], tuple[str, ...]],
    ) -> None:
        self._directory = directory
        self._clock = clock
        self._list_addresses = list_addresses
        self._last = ""
        self.lease_until_s = float("-inf")
        self.wall_offset_ms: int | None = None

    async def send(
        self, beat: control.ZoneBeat
    ) -> control.ZoneBeatReply | None:
        """Sends a beat to the control leader, wherever it is."""
        addresses = dict.fromkeys((self._last, *self._list_addresses()))
        for address in [each for each in addresses if each]:
            sent_s = self._clock.monotonic()
            result = await self._directory.call(
                address, beat, control.ZoneBeatReply, _CALL_S
            )
            match result:
                case Success(reply):
                    self._last = address
                    self.wall_offset_ms = reply.wall_ms - self._clock.wall_ms()
                    until_s = sent_s + reply.lease_ms / 1000
                    self.lease_until_s = max(self.lease_until_s, until_s)
                    return reply
        return None

    def get_lease_s(self) -> float:
        """Returns the rest of the delegation lease in seconds."""
        return max(0.0, self.lease_until_s - self._clock.monotonic())


async def apply_feed(
    state: state_lib.ZoneState,
    reply: control.ZoneBeatReply,
    propose: moves_lib.Propose,
) -> None:
    """Commits the feed items of a reply that are newer than the state."""
    if reply.revision <= state.feed.revision:
        return
    command: Any = messages.ApplyFeed(reply.revision, reply.full, reply.items)
    await propose(command)
