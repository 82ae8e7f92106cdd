"""Change notification for asyncio tasks."""

import asyncio
from collections.abc import Callable


class ChangeNotifier:
    """Wakes all tasks that wait for a change.

    A notification without waiting tasks is not remembered.
    """

    def __init__(self) -> None:
        self._future: asyncio.Future[None] | None = None

    def notify(self) -> None:
        """Wakes all tasks that wait now."""
        future, self._future = self._future, None
        if future is not None and not future.done():
            future.set_result(None)

    async def wait(self) -> None:
        """Waits for the next `notify`."""
        if self._future is None:
            self._future = asyncio.get_running_loop().create_future()
        # All waiters share one future; without the shield, cancelling one
        # would cancel the others.
        await asyncio.shield(self._future)

    async def wait_until(
        self, predicate: Callable[[], bool], deadline_s: float
    ) -> bool:
        """Waits until a predicate holds; returns False at the deadline."""
        try:
            async with asyncio.timeout(deadline_s):
                while not predicate():
                    await self.wait()
        except TimeoutError:
            return False
        return True
