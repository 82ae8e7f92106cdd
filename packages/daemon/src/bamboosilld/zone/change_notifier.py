"""Notification of waiting tasks about changes."""

import asyncio


class ChangeNotifier:
    """An event that wakes all waiting tasks each time it is notified."""

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Wakes all tasks that are waiting now."""
        event, self._event = self._event, asyncio.Event()
        event.set()

    async def wait(self, deadline_s: float) -> bool:
        """Waits for the next `notify`; returns False at the deadline."""
        try:
            async with asyncio.timeout(deadline_s):
                await self._event.wait()
        except TimeoutError:
            return False
        return True
