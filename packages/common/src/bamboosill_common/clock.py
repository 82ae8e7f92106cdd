"""Clock interface and its implementations.

Clocks are passed in as dependencies, so that tests can control time.
"""

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic time, wall time and delays."""

    def monotonic(self) -> float:
        """Returns seconds that never decrease and include suspended time."""

    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch."""

    async def sleep(self, seconds: float) -> None:
        """Waits for the given number of seconds."""


# CLOCK_BOOTTIME includes the time while the machine is suspended, so that
# leases still expire on time after it resumes.
_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
# Start time of this process on the system clock. It is a few milliseconds late,
# because it is read when this module is imported.
PROCESS_STARTED_S = time.clock_gettime(_CLOCK_ID)


class SystemClock:
    """System clock of the machine."""

    def monotonic(self) -> float:
        """Returns seconds since boot."""
        return time.clock_gettime(_CLOCK_ID)

    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000

    async def sleep(self, seconds: float) -> None:
        """Waits for the given number of seconds."""
        await asyncio.sleep(seconds)


class LoopClock:
    """Clock based on the time of the event loop, which a test may simulate.

    Attributes:
        offset_s: Added to monotonic time, to simulate a pause of one
            instance.
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
