"""Volatile storage: a member that restarts is a new member."""

from collections.abc import Sequence

from bamboosill_common.generated import consensus as messages
from bamboosilld.consensus import interfaces


class MemoryStorage:
    """Holds nothing, because the node keeps the log in memory itself."""

    async def load(self) -> interfaces.Stored:
        """Returns an empty content."""
        return interfaces.Stored(messages.HardState(), None, ())

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
