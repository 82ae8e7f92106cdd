"""Queues a member's records and writes them to storage in batches."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence

from bamboosill_common.generated import consensus as messages
from bamboosilld.consensus import interfaces

_Record = messages.HardState | messages.LogEntry | interfaces.Snapshot


class Journal:
    """An ordered queue of records and the task that writes them.

    Records that are queued while a sync runs are written together in the next
    one (group commit).

    Attributes:
        durable_index: Last log index that is durable.
        failure: Why writing stopped, or an empty string.
    """

    def __init__(
        self,
        storage: interfaces.Storage,
        durable_index: int,
        on_durable: Callable[[], None],
        on_failure: Callable[[str], None],
    ) -> None:
        self._storage = storage
        self._on_durable = on_durable
        self._on_failure = on_failure
        self.durable_index = durable_index
        self.failure = ""
        self._queue: list[_Record] = []
        self._queued_count = 0
        self._written_count = 0
        self._wake = asyncio.Event()
        self._flush_waiters: list[tuple[int, asyncio.Future[None]]] = []

    def put(self, records: Sequence[_Record]) -> None:
        """Queues records; an entry replaces those at or after its index."""
        self._queue.extend(records)
        self._queued_count += len(records)
        self.durable_index = _cap_before_replaced(self.durable_index, records)
        self._wake.set()

    def put_leader_snapshot(self, snapshot: interfaces.Snapshot) -> None:
        """Queues a leader's snapshot, which may replace the whole log."""
        self.durable_index = 0
        self.put([snapshot])

    async def flush(self) -> None:
        """Waits until all records queued so far are durable.

        Raises:
            interfaces.StorageError: A write failed, now or earlier.
        """
        if self.failure:
            raise interfaces.StorageError(self.failure)
        if self._written_count >= self._queued_count:
            return
        future: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._flush_waiters.append((self._queued_count, future))
        await future

    def close(self) -> None:
        """Fails all pending flushes; records still queued are not written."""
        self._fail("stopped")

    async def run(self) -> None:
        """Writes queued records until a write fails."""
        while not self.failure:
            await self._wake.wait()
            self._wake.clear()
            records, self._queue = self._queue, []
            try:
                await self._write(records)
            except interfaces.StorageError as error:
                self._fail(str(error))
                return
            self._written_count += len(records)
            written_index = _find_last_index(self.durable_index, records)
            self.durable_index = _cap_before_replaced(
                written_index, self._queue
            )
            self._resolve_flush_waiters()
            self._on_durable()

    async def _write(self, records: Sequence[_Record]) -> None:
        hard_state: messages.HardState | None = None
        entries: list[messages.LogEntry] = []
        for record in records:
            if isinstance(record, messages.HardState):
                hard_state = record
            elif isinstance(record, messages.LogEntry):
                entries.append(record)
            else:
                if hard_state or entries:
                    await self._storage.write(hard_state, entries)
                hard_state, entries = None, []
                await self._storage.save_snapshot(record)
        if hard_state or entries:
            await self._storage.write(hard_state, entries)

    def _resolve_flush_waiters(self) -> None:
        pending = []
        for count, future in self._flush_waiters:
            if count > self._written_count:
                pending.append((count, future))
            elif not future.done():
                future.set_result(None)
        self._flush_waiters = pending

    def _fail(self, detail: str) -> None:
        self.failure = self.failure or detail
        for _, future in self._flush_waiters:
            if not future.done():
                future.set_exception(interfaces.StorageError(detail))
        self._flush_waiters = []
        self._on_failure(detail)


def _find_last_index(index: int, records: Sequence[_Record]) -> int:
    for record in records:
        if isinstance(record, messages.LogEntry):
            index = record.index
        elif isinstance(record, interfaces.Snapshot):
            index = max(index, record.last_index)
    return index


def _cap_before_replaced(index: int, records: Sequence[_Record]) -> int:
    for record in records:
        if isinstance(record, messages.LogEntry):
            index = min(index, record.index - 1)
    return index
