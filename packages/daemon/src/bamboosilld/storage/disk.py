"""Durable storage of a member in one data folder.

The folder holds an identity file, the segments of a write-ahead log (see
`segments`) and the latest snapshot. After each snapshot, a fresh segment is
written that repeats the hard state and the entries after the snapshot. Once
both are durable, the older segments and snapshots are removed.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import concurrent.futures
import pathlib
from typing import TypeVar

from bamboosill_common import wire
from bamboosill_common.generated import consensus as messages
from bamboosilld.consensus import interfaces
from bamboosilld.storage import files as files_lib
from bamboosilld.storage import frames
from bamboosilld.storage import recovery
from bamboosilld.storage import segments
from bamboosilld.storage import snapshots

_SEGMENT_BYTES = 4 * 1024 * 1024

T = TypeVar("T")


class DiskStorage:
    """Storage of one member in one folder; see `interfaces.Storage`.

    After a failed write or sync, the content of the file is unknown: a second
    sync can succeed although the first one lost data. The storage therefore
    refuses all further operations until it is opened again.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        identity: messages.StorageIdentity,
        files: files_lib.Files | None = None,
        segment_bytes: int = _SEGMENT_BYTES,
        in_thread: bool = True,
    ) -> None:
        """Creates a closed storage; `load` opens it.

        Args:
            folder: The data folder; created if it does not exist.
            identity: Member that must own the folder.
            files: File system interface.
            segment_bytes: Space for records in a new segment.
            in_thread: Whether files are accessed in a separate thread. Tests
                with virtual time access them in the event loop.
        """
        self._folder = folder
        self._identity = identity
        self._files = files or files_lib.SystemFiles()
        self._segment_bytes = segment_bytes
        self._executor = (
            concurrent.futures.ThreadPoolExecutor(1, "storage")
            if in_thread
            else None
        )
        self._failure = ""
        self._is_closed = False
        self._hard_state = messages.HardState()
        self._snapshot: interfaces.Snapshot | None = None
        self._entries: list[messages.LogEntry] = []
        self._segment_number = 0
        self._write_offset = 0
        self._segment_size = 0
        self._next_sequence = 0

    async def load(self) -> interfaces.StoredState:
        """Opens the folder and returns its content.

        A storage that cannot be opened is closed, so that the next one can lock
        the folder.

        Raises:
            interfaces.StorageError: The folder is damaged, belongs to
                another member or cannot be read.
        """
        try:
            return await self._run(self._load)
        except interfaces.StorageError:
            await self.close()
            raise

    async def write(
        self,
        hard_state: messages.HardState | None,
        entries: Sequence[messages.LogEntry],
    ) -> None:
        """Stores a hard state and entries in one sync.

        Raises:
            interfaces.StorageError: The write or sync failed.
        """
        await self._run(lambda: self._write(hard_state, entries))

    async def save_snapshot(self, snapshot: interfaces.Snapshot) -> None:
        """Stores a snapshot and removes the files that it replaces.

        Raises:
            interfaces.StorageError: A write or sync failed.
        """
        await self._run(lambda: self._save_snapshot(snapshot))

    async def close(self) -> None:
        """Closes the files after the operation in progress, if still open."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._executor is None:
            self._files.close()
            return
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(self._executor, self._files.close)
        self._executor.shutdown(wait=False)

    async def _run(self, work: Callable[[], T]) -> T:
        if self._failure:
            raise interfaces.StorageError(self._failure)
        try:
            if self._executor is None:
                return work()
            loop = asyncio.get_running_loop()
            return await loop.run_in_executor(self._executor, work)
        except (OSError, frames.CorruptionError) as error:
            self._failure = f"{self._folder}: {error}"
            raise interfaces.StorageError(self._failure) from error

    def _load(self) -> interfaces.StoredState:
        self._files.make_folder(self._folder)
        self._files.lock(self._folder / "lock")
        recovered = recovery.recover(self._files, self._folder)
        if recovered.identity is None:
            self._initialize_folder(recovered)
        elif recovered.identity != self._identity:
            raise frames.CorruptionError(
                f"folder of {recovered.identity}, expected {self._identity}"
            )
        else:
            self._restore(recovered)
        return interfaces.StoredState(
            self._hard_state, self._snapshot, tuple(self._entries)
        )

    def _initialize_folder(self, recovered: recovery.RecoveredState) -> None:
        # The identity file is written last, so a folder without one may hold at
        # most an empty segment.
        if recovered.hard_state.term or recovered.entries or recovered.snapshot:
            raise frames.CorruptionError(f"{recovery.IDENTITY_FILE}: missing")
        for name in recovered.obsolete_names:
            self._files.remove(self._folder / name)
        self._start_segment(fresh=True)
        data = frames.encode(0, wire.encode(self._identity))
        self._create_durably(recovery.IDENTITY_FILE, data)

    def _restore(self, recovered: recovery.RecoveredState) -> None:
        self._hard_state = recovered.hard_state
        self._snapshot = recovered.snapshot
        self._entries = list(recovered.entries)
        self._segment_number = recovered.last_segment_number
        self._write_offset = recovered.last_segment.end
        self._segment_size = recovered.last_segment.header.size_bytes
        self._next_sequence = recovered.last_segment.next_sequence
        if recovered.last_segment.torn:
            # Overwritten with zeros, so that left-over bytes of the torn write
            # cannot pass for records later.
            path = self._folder / segments.make_name(self._segment_number)
            zeros = bytes(self._segment_size - self._write_offset)
            self._files.write_at(path, self._write_offset, zeros)
            self._files.sync(path)
        if recovered.needs_fresh_segment:
            self._start_segment(fresh=True)
        for name in recovered.obsolete_names:
            self._files.remove(self._folder / name)

    def _write(
        self,
        hard_state: messages.HardState | None,
        entries: Sequence[messages.LogEntry],
    ) -> None:
        for record in segments.split_records(hard_state, entries):
            payload = wire.encode(record)
            data = frames.encode(self._next_sequence, payload)
            if (
                self._write_offset + len(data) + frames.HEADER_BYTES
                > self._segment_size
            ):
                self._start_segment(fresh=False, room=len(data))
                data = frames.encode(self._next_sequence, payload)
            path = self._folder / segments.make_name(self._segment_number)
            self._files.write_at(path, self._write_offset, data)
            self._files.sync(path)
            self._write_offset += len(data)
            marker = segments.encode_marker(self._next_sequence)
            self._files.write_at(path, self._write_offset, marker)
            self._write_offset += len(marker)
            self._next_sequence += 1
        if hard_state is not None:
            self._hard_state = hard_state
        recovery.replay(self._entries, entries)

    def _save_snapshot(self, snapshot: interfaces.Snapshot) -> None:
        data = snapshots.encode(snapshot)
        self._create_durably(snapshots.make_name(snapshot.last_index), data)
        names = self._files.list_names(self._folder)
        self._entries = recovery.list_entries_after(self._entries, snapshot)
        self._snapshot = snapshot
        self._start_segment(fresh=True)
        current = snapshots.make_name(snapshot.last_index)
        for name in names:
            if name != current and recovery.is_data_file(name):
                self._files.remove(self._folder / name)

    def _start_segment(self, fresh: bool, room: int = 0) -> None:
        """Creates a segment and makes it the current one.

        Args:
            fresh: Whether the segment starts with the hard state and all
                entries, so that older segments are not needed.
            room: Minimum space in bytes for the next record.
        """
        records = (
            segments.split_records(self._hard_state, self._entries)
            if fresh
            else []
        )
        header = messages.SegmentHeader(
            number=self._segment_number + 1,
            size_bytes=max(self._segment_bytes, room + frames.HEADER_BYTES),
            first_sequence=self._next_sequence,
            fresh=fresh,
            base_index=self._snapshot.last_index if self._snapshot else 0,
            base_term=self._snapshot.last_term if self._snapshot else 0,
        )
        data, end = segments.build(header, records)
        self._create_durably(segments.make_name(header.number), data)
        self._segment_number = header.number
        self._write_offset = end
        self._segment_size = len(data)
        self._next_sequence += 1 + len(records)

    def _create_durably(self, name: str, data: bytes) -> None:
        temporary = self._folder / f"{name}{recovery.TEMPORARY_SUFFIX}"
        self._files.create(temporary, data)
        self._files.sync(temporary)
        self._files.rename(temporary, self._folder / name)
        self._files.sync_folder(self._folder)
