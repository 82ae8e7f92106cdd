"""The latest heartbeats of each zone, kept by the control leader.

This state is not replicated: a new leader starts without it.
"""

from typing import NamedTuple

from bamboosill_common.generated import control as messages
from bamboosilld.control import timing

# Unfenced deadlines count from the heartbeats of one delegation lease: 1.5 s at
# one heartbeat per 250 ms.
_KEPT_HEARTBEATS = 8


class ZoneView(NamedTuple):
    """The last heartbeats of one zone and the lease it was granted.

    Attributes:
        last_heartbeat_s: Monotonic time of the last heartbeat.
        lease_end_s: End of the last delegation lease; it starts with the reply.
        heartbeats: The last heartbeats, newest last.
    """

    last_heartbeat_s: float
    lease_end_s: float
    heartbeats: tuple[messages.ZoneBeat, ...]

    @property
    def last_heartbeat(self) -> messages.ZoneBeat:
        """The last heartbeat."""
        return self.heartbeats[-1]

    def get_slots(self, service: str) -> int:
        """Returns the slots of a service's live upstreams."""
        return sum(
            each.slots
            for each in self.last_heartbeat.services
            if each.service == service
        )

    def get_max_unfenced_deadline_s(self, service: str = "") -> float:
        """Returns the longest deadline at upstreams that check no fences.

        Such requests may still run after the zone's leases have expired. An
        empty service name stands for all services.
        """
        return max(
            (
                each.unfenced_deadline_ms / 1000
                for heartbeat in self.heartbeats
                for each in heartbeat.services
                if service in ("", each.service)
            ),
            default=0.0,
        )


def add_heartbeat(
    view: ZoneView | None,
    heartbeat: messages.ZoneBeat,
    now_s: float,
    lease_end_s: float,
) -> ZoneView:
    """Returns the view with a new heartbeat appended."""
    heartbeats = (
        (*view.heartbeats[1 - _KEPT_HEARTBEATS :], heartbeat)
        if view
        else (heartbeat,)
    )
    return ZoneView(now_s, lease_end_s, heartbeats)


def is_live(view: ZoneView | None, now_s: float) -> bool:
    """Returns whether a heartbeat came within one delegation lease."""
    return view is not None and (
        now_s - view.last_heartbeat_s < timing.DELEGATION_LEASE_S
    )
