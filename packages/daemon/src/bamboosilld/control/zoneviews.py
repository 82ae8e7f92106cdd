"""What the control leader has heard of the zones; not replicated."""

from typing import NamedTuple

from bamboosill_common.generated import control as messages
from bamboosilld.control import timing

# Beats whose statements count: those of the last lease, at 250 ms each.
_KEPT_BEATS = 8


class ZoneView(NamedTuple):
    """What was heard of one zone.

    Attributes:
        heard_s: Time of the last beat.
        lease_end_s: End of the last delegation lease, from sending the reply.
        beats: The last beats, newest last.
    """

    heard_s: float
    lease_end_s: float
    beats: tuple[messages.ZoneBeat, ...]

    @property
    def beat(self) -> messages.ZoneBeat:
        """The last beat."""
        return self.beats[-1]

    def get_slots(self, service: str) -> int:
        """Returns the slots of a service's live upstreams."""
        return sum(
            each.slots for each in self.beat.services if each.service == service
        )

    def get_unfenced_s(self, service: str = "") -> float:
        """Returns how long unfenced requests may run on; "" for any service."""
        return max(
            (
                each.unfenced_deadline_ms / 1000
                for beat in self.beats
                for each in beat.services
                if service in ("", each.service)
            ),
            default=0.0,
        )


def add_beat(
    view: ZoneView | None,
    beat: messages.ZoneBeat,
    now_s: float,
    lease_end_s: float,
) -> ZoneView:
    """Returns the view after a beat."""
    beats = (*view.beats[1 - _KEPT_BEATS :], beat) if view else (beat,)
    return ZoneView(now_s, lease_end_s, beats)


def is_live(view: ZoneView | None, now_s: float) -> bool:
    """Returns whether the zone was heard within one delegation lease."""
    return view is not None and (
        now_s - view.heard_s < timing.DELEGATION_LEASE_S
    )
