"""Event timeline across processes, ordered by hybrid logical clocks.

Source: Kulkarni et al., "Logical Physical Clocks and Consistent Snapshots in
Globally Distributed Databases", 2014.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple
from typing import TypedDict

from bamboosill_common import clock as clock_lib
from bamboosill_common import logs

LOGICAL_BITS = 16
MAX_EVENTS = 20_000
# Timestamps of peers beyond it are ignored; it lies in the year 4199.
_MAX_STAMP = 1 << 62

_log = logs.get_logger("events")


class EventDocument(TypedDict):
    """JSON form of an event."""

    stamp: int
    time_ms: int
    instance: str
    part: str
    name: str
    fields: dict[str, str | int | float | bool]


class Event(NamedTuple):
    """One recorded event; `stamp` is its hybrid logical timestamp."""

    stamp: int
    instance: str
    part: str
    name: str
    fields: dict[str, str | int | float | bool]

    def to_document(self) -> EventDocument:
        """Returns the JSON form of the event."""
        return {
            "stamp": self.stamp,
            "time_ms": self.stamp >> LOGICAL_BITS,
            "instance": self.instance,
            "part": self.part,
            "name": self.name,
            "fields": self.fields,
        }


class Timeline:
    """Log of this process's most recent events.

    Timestamps come from a hybrid logical clock, so that the events of several
    processes can be merged in order.
    """

    def __init__(
        self,
        clock: clock_lib.Clock,
        instance: str,
        max_events: int = MAX_EVENTS,
    ) -> None:
        self._clock = clock
        self._instance = instance
        self._stamp = 0
        self._listeners: list[Callable[[Event], None]] = []
        self._events: collections.deque[Event] = collections.deque(
            maxlen=max_events
        )

    def tick(self) -> int:
        """Returns a timestamp larger than all issued or observed so far."""
        self._stamp = max(
            self._stamp + 1, self._clock.wall_ms() << LOGICAL_BITS
        )
        return self._stamp

    def observe(self, stamp: int) -> None:
        """Advances the clock to a timestamp received from another process.

        An implausible one is ignored: no later one could be encoded.
        """
        if stamp > _MAX_STAMP:
            _log.warning("Timestamp of a peer ignored. Value: %d.", stamp)
            return
        self._stamp = max(self._stamp, stamp)

    def record(
        self, part: str, name: str, **fields: str | int | float | bool
    ) -> None:
        """Records an event with a new timestamp and notifies the listeners."""
        event = Event(self.tick(), self._instance, part, name, fields)
        self._events.append(event)
        for listener in self._listeners:
            listener(event)

    def add_listener(self, listener: Callable[[Event], None]) -> None:
        """Registers a callback for all events recorded from now on."""
        self._listeners.append(listener)

    def list_events(self, after: int = 0) -> list[Event]:
        """Returns the events with timestamps above `after`, oldest first."""
        return [event for event in self._events if event.stamp > after]


def merge_events(
    event_lists: Iterable[Iterable[EventDocument]],
) -> list[EventDocument]:
    """Merges the events of several processes, sorted by timestamp."""
    merged = [event for events in event_lists for event in events]
    return sorted(merged, key=lambda event: (event["stamp"], event["instance"]))
