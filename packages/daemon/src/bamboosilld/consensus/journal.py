"""Writes a member's log to its storage, many records in one sync."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence

from bamboosill_common.generated import consensus as messages
from bamboosilld.consensus import interfaces

_Record = messages.HardState | messages.LogEntry | interfaces.Snapshot


class Journal:
    """An ordered queue of records and the task that writes them.

    Records queued while a sync runs are written together by the next one.

    Attributes:
        durable_index: Last index of the log that is durable.
        failure: Why writing ended, or an empty text.
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
        self._waiting: list[tuple[int, asyncio.Future[None]]] = []

    def put(self, records: Sequence[_Record]) -> None:
        """Queues records; an entry replaces those at or after its index."""
        self._queue.extend(records)
        self._queued_count += len(records)
        self.durable_index = _limit_to_replaced(self.durable_index, records)
        self._wake.set()

    def put_installed(self, snapshot: interfaces.Snapshot) -> None:
        """Queues a snapshot that may replace the whole log."""
        self.durable_index = 0
        self.put([snapshot])

    async def flush(self) -> None:
        """Waits until everything queued so far is durable.

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
        self._waiting.append((self._queued_count, future))
        await future

    def close(self) -> None:
        """Ends all waits; what is still queued is not written."""
        self._fail("stopped")

    async def run(self) -> None:
        """Writes what is queued until a write fails."""
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
            last = _find_last_index(self.durable_index, records)
            self.durable_index = _limit_to_replaced(last, self._queue)
            self._release()
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

    def _release(self) -> None:
        kept = []
        for count, future in self._waiting:
            if count > self._written_count:
                kept.append((count, future))
            elif not future.done():
                future.set_result(None)
        self._waiting = kept

    def _fail(self, detail: str) -> None:
        self.failure = self.failure or detail
        for _, future in self._waiting:
            if not future.done():
                future.set_exception(interfaces.StorageError(detail))
        self._waiting = []
        self._on_failure(detail)


def _find_last_index(index: int, records: Sequence[_Record]) -> int:
    for record in records:
        if isinstance(record, messages.LogEntry):
            index = record.index
        elif isinstance(record, interfaces.Snapshot):
            index = max(index, record.last_index)
    return index


def _limit_to_replaced(index: int, records: Sequence[_Record]) -> int:
    for record in records:
        if isinstance(record, messages.LogEntry):
            index = min(index, record.index - 1)
    return index
