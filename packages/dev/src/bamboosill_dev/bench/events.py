"""An event heap with its own clock."""

from collections.abc import Callable
import heapq
from typing import Any


class Heap:
    """Calls functions at given times of an injected clock.

    Attributes:
        now_s: Present time in seconds.
    """

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[..., Any], tuple]] = []
        self._count = 0

    def monotonic(self) -> float:
        """Returns the present time, as a clock of the product."""
        return self.now_s

    def wall_ms(self) -> int:
        """Returns the present time in milliseconds."""
        return int(self.now_s * 1000)

    async def sleep(self, seconds: float) -> None:
        """Is not used: the bench drives synchronous functions."""
        raise NotImplementedError

    def call_later(
        self, delay_s: float, function: Callable[..., Any], *arguments: Any
    ) -> None:
        """Calls a function after a delay."""
        self._count += 1
        entry = (self.now_s + delay_s, self._count, function, arguments)
        heapq.heappush(self._events, entry)

    def run_until(self, end_s: float) -> None:
        """Runs all events up to a time."""
        events = self._events
        while events and events[0][0] <= end_s:
            self.now_s, _, function, arguments = heapq.heappop(events)
            function(*arguments)
        self.now_s = end_s
