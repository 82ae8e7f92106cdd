"""In-memory file system with fault injection for tests of the disk storage.

It keeps the current and the synced content of each file apart, so that a
simulated crash can lose or tear whatever was not synced. It can also fail a
chosen operation or run out of space.
"""

import errno
import pathlib
import random

_SECTOR_BYTES = 512


class _MemoryFile:
    def __init__(self) -> None:
        self.synced = b""
        self.data = b""


class MemoryFiles:
    """Implements the file access of `bamboosilld.storage.disk` with faults.

    Attributes:
        operations: Number of operations so far that change files or names.
        fail_at: Index of the operation that fails, counted from 0; -1 for none.
        fail_torn: Whether the failing operation is torn, that is, takes effect
            in part, rather than not at all.
        space_bytes: Free space for new files; -1 for no limit.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._names: dict[pathlib.Path, _MemoryFile] = {}
        self._durable_names: dict[pathlib.Path, _MemoryFile] = {}
        self._unsynced_names: list[tuple[pathlib.Path, _MemoryFile | None]] = []
        self.operations = 0
        self.fail_at = -1
        self.fail_torn = False
        self.space_bytes = -1

    def crash(self) -> None:
        """Simulates a machine crash, in which unsynced data may be lost.

        Any subset of the sectors of a file that were written after its last
        sync may have reached the disk. Changes of names reach it in order,
        so that some number of the oldest unsynced ones survives.
        """
        kept = self._rng.randint(0, len(self._unsynced_names))
        for path, file in self._unsynced_names[:kept]:
            self._set_name(self._durable_names, path, file)
        for file in self._durable_names.values():
            file.data = file.synced = self._mix_sectors(file)
        self._names = dict(self._durable_names)
        self._unsynced_names = []
        self.fail_at = -1
        self.space_bytes = -1

    def get_data(self, path: pathlib.Path) -> bytes:
        """Returns the content of a file."""
        return self._names[path].data

    def set_data(self, path: pathlib.Path, data: bytes) -> None:
        """Overwrites the content of a file, which simulates corruption."""
        self._names[path].data = self._names[path].synced = data

    def list_paths(self) -> list[pathlib.Path]:
        """Returns the paths of all files."""
        return sorted(self._names)

    def make_folder(self, folder: pathlib.Path) -> None:
        """Does nothing: every folder exists."""

    def lock(self, path: pathlib.Path) -> None:
        """Does nothing: only one process uses the files."""

    def list_names(self, folder: pathlib.Path) -> list[str]:
        """Returns the names of the files in a folder, sorted."""
        return sorted(
            path.name for path in self._names if path.parent == folder
        )

    def read(self, path: pathlib.Path) -> bytes:
        """Returns the content of a file."""
        if path not in self._names:
            raise FileNotFoundError(path)
        return self._names[path].data

    def create(self, path: pathlib.Path, data: bytes) -> None:
        """Creates or replaces a file."""
        torn = self._count_operation()
        self._use_space(len(data))
        file = _MemoryFile()
        file.data = data[: len(data) // 2] if torn else data
        self._change_name(path, file)
        self._raise_if_torn(torn)

    def write_at(self, path: pathlib.Path, offset: int, data: bytes) -> None:
        """Overwrites part of a file."""
        torn = self._count_operation()
        if torn:
            data = data[: self._rng.randint(0, len(data))]
        file = self._names[path]
        end = offset + len(data)
        file.data = file.data[:offset] + data + file.data[end:]
        self._raise_if_torn(torn)

    def sync(self, path: pathlib.Path) -> None:
        """Makes the content of a file durable."""
        torn = self._count_operation()
        file = self._names[path]
        file.synced = self._mix_sectors(file) if torn else file.data
        self._raise_if_torn(torn)

    def rename(self, old: pathlib.Path, new: pathlib.Path) -> None:
        """Renames a file."""
        torn = self._count_operation()
        file = self._names[old]
        self._change_name(new, file)
        self._change_name(old, None)
        self._raise_if_torn(torn)

    def remove(self, path: pathlib.Path) -> None:
        """Removes a file."""
        torn = self._count_operation()
        self._change_name(path, None)
        self._raise_if_torn(torn)

    def sync_folder(self, folder: pathlib.Path) -> None:
        """Makes the file names of all folders durable."""
        torn = self._count_operation()
        if not torn:
            self._durable_names = dict(self._names)
            self._unsynced_names = []
        self._raise_if_torn(torn)

    def close(self) -> None:
        """Does nothing."""

    def _count_operation(self) -> bool:
        """Counts an operation and returns whether it must be torn.

        Raises:
            OSError: If this operation fails without any effect.
        """
        self.operations += 1
        if self.operations - 1 != self.fail_at:
            return False
        if not self.fail_torn:
            raise OSError(
                errno.EIO, "injected failure: operation had no effect"
            )
        return True

    def _raise_if_torn(self, torn: bool) -> None:
        if torn:
            raise OSError(errno.EIO, "injected failure: operation was torn")

    def _use_space(self, size: int) -> None:
        if self.space_bytes < 0:
            return
        if size > self.space_bytes:
            raise OSError(errno.ENOSPC, "injected failure: no space left")
        self.space_bytes -= size

    def _change_name(
        self, path: pathlib.Path, file: _MemoryFile | None
    ) -> None:
        self._set_name(self._names, path, file)
        self._unsynced_names.append((path, file))

    def _set_name(
        self,
        names: dict[pathlib.Path, _MemoryFile],
        path: pathlib.Path,
        file: _MemoryFile | None,
    ) -> None:
        if file is None:
            names.pop(path, None)
        else:
            names[path] = file

    def _mix_sectors(self, file: _MemoryFile) -> bytes:
        """Returns the synced content with some unsynced sectors, at random."""
        if file.data == file.synced:
            return file.synced
        size = self._rng.choice([len(file.synced), len(file.data)])
        parts = []
        for start in range(0, size, _SECTOR_BYTES):
            end = min(start + _SECTOR_BYTES, size)
            source = self._rng.choice([file.synced, file.data])
            parts.append(source[start:end].ljust(end - start, b"\0"))
        return b"".join(parts)
