"""Heartbeats of the zone leader to the control leader.

Each accepted heartbeat renews the delegation lease. Delegations of keyspaces
with zone loss `lapse` are valid only while this lease lasts. The reply also
carries changed items of the control state.
"""

from collections.abc import Callable
from typing import Any

from returns.result import Success

from bamboosill_common import clock as clock_lib
from bamboosill_common import peer
from bamboosill_common.generated import control
from bamboosill_common.generated import zone as messages
from bamboosilld.zone import moves as moves_lib
from bamboosilld.zone import state as state_lib

_CALL_TIMEOUT_S = 0.25


class ControlLink:
    """Sends heartbeats to the control leader and tracks the lease.

    Attributes:
        lease_expires_s: End of the delegation lease, counted from when the
            heartbeat was sent.
        wall_offset_ms: Wall time of control minus that of this instance;
            None before the first reply.
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
        self._last_address = ""
        self.lease_expires_s = float("-inf")
        self.wall_offset_ms: int | None = None

    async def send(
        self, beat: control.ZoneBeat
    ) -> control.ZoneBeatReply | None:
        """Tries each control instance until one accepts the heartbeat."""
        addresses = dict.fromkeys((self._last_address, *self._list_addresses()))
        for address in [each for each in addresses if each]:
            sent_s = self._clock.monotonic()
            result = await self._directory.call(
                address, beat, control.ZoneBeatReply, _CALL_TIMEOUT_S
            )
            match result:
                case Success(reply):
                    self._last_address = address
                    self._set_wall_offset(reply.wall_ms, sent_s)
                    expires_s = sent_s + reply.lease_ms / 1000
                    self.lease_expires_s = max(self.lease_expires_s, expires_s)
                    return reply
        return None

    def _set_wall_offset(self, wall_ms: int, sent_s: float) -> None:
        # The reply was made about half a round trip ago.
        round_trip_s = self._clock.monotonic() - sent_s
        replied_ms = self._clock.wall_ms() - round(round_trip_s * 500)
        self.wall_offset_ms = wall_ms - replied_ms

    def get_lease_s(self) -> float:
        """Returns the remaining time of the delegation lease."""
        return max(0.0, self.lease_expires_s - self._clock.monotonic())


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
