"""Volatile storage, for groups whose members lose their state on restart.

A restarted member joins again under a new incarnation.
"""

from collections.abc import Sequence

from bamboosill_common.generated import consensus as messages
from bamboosilld.consensus import interfaces


class MemoryStorage:
    """Stores nothing; the node itself keeps its log in memory."""

    async def load(self) -> interfaces.StoredState:
        """Returns empty content."""
        return interfaces.StoredState(messages.HardState(), None, ())

    async def write(
        self,
        hard_state: messages.HardState | None,
        entries: Sequence[messages.LogEntry],
    ) -> None:
        """Does nothing."""

    async def save_snapshot(self, snapshot: interfaces.Snapshot) -> None:
        """Does nothing."""

    async def close(self) -> None:
        """Does nothing."""
