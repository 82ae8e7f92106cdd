"""Clocks, injected so that tests can control time."""

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic time, wall time and delays."""

    def monotonic(self) -> float:
        """Returns seconds that never go back and include suspended time."""

    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch."""

    async def sleep(self, seconds: float) -> None:
        """Waits for the given number of seconds."""


# CLOCK_BOOTTIME also counts time while the machine is suspended, so that
# leases end on time after it resumes.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
# When this process began, a few milliseconds late, on the system clock.
PROCESS_STARTED_S = time.clock_gettime(_CLOCK)


class SystemClock:
    """The clock of the machine."""

    def monotonic(self) -> float:
        """Returns seconds since boot."""
        return time.clock_gettime(_CLOCK)

    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000

    async def sleep(self, seconds: float) -> None:
        """Waits for the given number of seconds."""
        await asyncio.sleep(seconds)


class LoopClock:
    """A clock that follows the event loop, real or virtual.

    Attributes:
        offset_s: Added to monotonic time; lets a test pause one instance.
        wall_start_ms: Wall time at loop time zero.
    """

    def __init__(self, wall_start_ms: int = 1_700_000_000_000) -> None:
        self.offset_s = 0.0
        self.wall_start_ms = wall_start_ms

    def monotonic(self) -> float:
        """Returns the loop's time in seconds plus the offset."""
        return asyncio.get_running_loop().time() + self.offset_s

    def wall_ms(self) -> int:
        """Returns the wall time derived from the loop's time."""
        return self.wall_start_ms + int(self.monotonic() * 1000)

    async def sleep(self, seconds: float) -> None:
        """Waits for the given number of seconds."""
        await asyncio.sleep(seconds)
