"""Load headers: what upstreams state of their load in responses."""

from typing import NamedTuple

from bamboosilld.gateway import http_messages

# Value of a stated slowness that stands for the usual speed.
_USUAL_SLOWNESS_PERCENT = 100
# Bounds of a stated slowness.
_MIN_SLOWNESS = 0.1
_MAX_SLOWNESS = 20.0


class LoadReport(NamedTuple):
    """What an upstream states of its load in a response.

    Attributes:
        running: Requests that run.
        waiting: Requests that wait for a slot.
        slots: Requests that it runs concurrently.
        slowness: How long work takes on its machine at this moment, 2 is twice
            as long as usual; None if it does not state it.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None


def parse(value: bytes) -> LoadReport | None:
    """Returns a load header with three or four values, or None if not valid."""
    parts = [
        http_messages.parse_count(part.strip()) for part in value.split(b",")
    ]
    counts = [part for part in parts if part is not None]
    if len(counts) != len(parts) or len(counts) not in (3, 4):
        return None
    slowness = None
    if len(counts) == 4:
        if not counts[3]:
            return None
        ratio = counts[3] / _USUAL_SLOWNESS_PERCENT
        slowness = min(_MAX_SLOWNESS, max(_MIN_SLOWNESS, ratio))
    return LoadReport(counts[0], counts[1], counts[2], slowness)
