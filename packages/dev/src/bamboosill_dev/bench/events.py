"""Scheduler of the discrete-event simulation, with its own clock."""

from collections.abc import Callable
import heapq
from typing import Any


class EventScheduler:
    """Calls functions at given times of a simulated clock.

    It also is the clock that the code of the daemon is given.

    Attributes:
        now_s: Current simulated time in seconds.
    """

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[..., Any], tuple]] = []
        self._scheduled_count = 0

    def monotonic(self) -> float:
        """Returns the current time, as the daemon's clocks do."""
        return self.now_s

    def wall_ms(self) -> int:
        """Returns the current time in milliseconds."""
        return int(self.now_s * 1000)

    async def sleep(self, seconds: float) -> None:
        """Raises: the simulation calls only synchronous functions."""
        raise NotImplementedError

    def call_later(
        self, delay_s: float, function: Callable[..., Any], *arguments: Any
    ) -> None:
        """Schedules the call of a function after a delay."""
        self._scheduled_count += 1
        event = (
            self.now_s + delay_s,
            self._scheduled_count,
            function,
            arguments,
        )
        heapq.heappush(self._events, event)

    def run_until(self, end_s: float) -> None:
        """Runs all events due up to a time and advances the clock to it."""
        events = self._events
        while events and events[0][0] <= end_s:
            self.now_s, _, function, arguments = heapq.heappop(events)
            function(*arguments)
        self.now_s = end_s
