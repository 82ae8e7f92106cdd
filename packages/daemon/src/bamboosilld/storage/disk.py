"""Durable storage in one data folder.

The folder holds an identity file, segments of a write-ahead log (see
`segments`), and the latest snapshot. A snapshot is followed by a fresh
segment that repeats the hard state and the entries after the snapshot; the
older segments are removed after both are durable.
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

    After a write or sync has failed, nothing is known about the bytes in the
    file (a second sync can succeed although the first one lost data), so the
    storage refuses all further work until it is opened again.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        identity: messages.StorageIdentity,
        files: files_lib.Files | None = None,
        segment_bytes: int = _SEGMENT_BYTES,
        in_thread: bool = True,
    ) -> None:
        """Prepares a storage; nothing is read before `load`.

        Args:
            folder: The data folder; created if it does not exist.
            identity: Whose folder it must be.
            files: File system access.
            segment_bytes: Room for records in a new segment.
            in_thread: Whether files are accessed in a thread of their own.
                Tests with virtual time access them in the event loop.
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
        self._hard_state = messages.HardState()
        self._snapshot: interfaces.Snapshot | None = None
        self._entries: list[messages.LogEntry] = []
        self._number = 0
        self._end = 0
        self._size = 0
        self._sequence = 0

    async def load(self) -> interfaces.Stored:
        """Opens the folder and returns its content.

        Raises:
            interfaces.StorageError: The folder is damaged, belongs to
                another member or cannot be read.
        """
        return await self._run(self._load)

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
        """Stores a snapshot and drops what it replaces.

        Raises:
            interfaces.StorageError: A write or sync failed.
        """
        await self._run(lambda: self._save_snapshot(snapshot))

    async def close(self) -> None:
        """Closes the files after the write in progress."""
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
        except (OSError, frames.DamageError) as error:
            self._failure = f"{self._folder}: {error}"
            raise interfaces.StorageError(self._failure) from error

    def _load(self) -> interfaces.Stored:
        self._files.make_folder(self._folder)
        self._files.lock(self._folder / "lock")
        found = recovery.read_folder(self._files, self._folder)
        if found.identity is None:
            self._found_folder(found)
        elif found.identity != self._identity:
            raise frames.DamageError(
                f"folder of {found.identity}, not of {self._identity}"
            )
        else:
            self._take(found)
        return interfaces.Stored(
            self._hard_state, self._snapshot, tuple(self._entries)
        )

    def _found_folder(self, found: recovery.Folder) -> None:
        # The identity is written last, so a folder without one may hold no
        # more than an empty segment.
        if found.hard_state.term or found.entries or found.snapshot:
            raise frames.DamageError(f"{recovery.IDENTITY}: missing")
        for name in found.old_names:
            self._files.remove(self._folder / name)
        self._start_segment(fresh=True)
        data = frames.encode(0, wire.encode(self._identity))
        self._create_durably(recovery.IDENTITY, data)

    def _take(self, found: recovery.Folder) -> None:
        self._hard_state = found.hard_state
        self._snapshot = found.snapshot
        self._entries = list(found.entries)
        self._number = found.last_number
        self._end = found.content.end
        self._size = found.content.header.size_bytes
        self._sequence = found.content.next_sequence
        if found.content.torn:
            # Left-over bytes must not look like records later.
            path = self._folder / segments.make_name(self._number)
            zeros = bytes(self._size - self._end)
            self._files.write_at(path, self._end, zeros)
            self._files.sync(path)
        if found.is_behind_snapshot:
            self._start_segment(fresh=True)
        for name in found.old_names:
            self._files.remove(self._folder / name)

    def _write(
        self,
        hard_state: messages.HardState | None,
        entries: Sequence[messages.LogEntry],
    ) -> None:
        for record in segments.split_records(hard_state, entries):
            payload = wire.encode(record)
            data = frames.encode(self._sequence, payload)
            if self._end + len(data) + frames.HEADER_BYTES > self._size:
                self._start_segment(fresh=False, room=len(data))
                data = frames.encode(self._sequence, payload)
            path = self._folder / segments.make_name(self._number)
            self._files.write_at(path, self._end, data)
            self._files.sync(path)
            self._end += len(data)
            marker = segments.encode_marker(self._sequence)
            self._files.write_at(path, self._end, marker)
            self._end += len(marker)
            self._sequence += 1
        if hard_state is not None:
            self._hard_state = hard_state
        recovery.replay(self._entries, entries)

    def _save_snapshot(self, snapshot: interfaces.Snapshot) -> None:
        data = snapshots.encode(snapshot)
        self._create_durably(snapshots.make_name(snapshot.last_index), data)
        old = self._files.list_names(self._folder)
        self._entries = recovery.keep_after(self._entries, snapshot)
        self._snapshot = snapshot
        self._start_segment(fresh=True)
        current = snapshots.make_name(snapshot.last_index)
        for name in old:
            if name != current and recovery.is_data(name):
                self._files.remove(self._folder / name)

    def _start_segment(self, fresh: bool, room: int = 0) -> None:
        """Makes a new segment the current one."""
        records = (
            segments.split_records(self._hard_state, self._entries)
            if fresh
            else []
        )
        header = messages.SegmentHeader(
            number=self._number + 1,
            size_bytes=max(self._segment_bytes, room + frames.HEADER_BYTES),
            first_sequence=self._sequence,
            fresh=fresh,
            base_index=self._snapshot.last_index if self._snapshot else 0,
            base_term=self._snapshot.last_term if self._snapshot else 0,
        )
        data, end = segments.build(header, records)
        self._create_durably(segments.make_name(header.number), data)
        self._number = header.number
        self._end = end
        self._size = len(data)
        self._sequence += 1 + len(records)

    def _create_durably(self, name: str, data: bytes) -> None:
        temporary = self._folder / f"{name}{recovery.TEMPORARY}"
        self._files.create(temporary, data)
        self._files.sync(temporary)
        self._files.rename(temporary, self._folder / name)
        self._files.sync_folder(self._folder)
