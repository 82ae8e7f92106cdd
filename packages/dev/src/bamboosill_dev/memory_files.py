"""A file system in memory that loses what was not synced, and fails."""

import errno
import pathlib
import random

_SECTOR_BYTES = 512


class _File:
    def __init__(self) -> None:
        self.synced = b""
        self.data = b""


class MemoryFiles:
    """File access for `bamboosilld.storage.disk` with faults.

    Attributes:
        operations: Number of changing operations so far.
        fail_at: Number of the operation that fails, or -1.
        fail_torn: Whether the failing operation takes effect in part.
        space_bytes: Room for files; -1 for no limit.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._names: dict[pathlib.Path, _File] = {}
        self._durable_names: dict[pathlib.Path, _File] = {}
        self._renamed: list[tuple[pathlib.Path, _File | None]] = []
        self.operations = 0
        self.fail_at = -1
        self.fail_torn = False
        self.space_bytes = -1

    def crash(self) -> None:
        """Ends the process and the machine: unsynced data may be lost.

        Of each file, any of the sectors written after its last sync may
        have reached the disk, and of each folder the first few changes.
        """
        kept = self._rng.randint(0, len(self._renamed))
        for path, file in self._renamed[:kept]:
            self._set_name(self._durable_names, path, file)
        for file in self._durable_names.values():
            file.data = file.synced = self._mix(file)
        self._names = dict(self._durable_names)
        self._renamed = []
        self.fail_at = -1
        self.space_bytes = -1

    def get_data(self, path: pathlib.Path) -> bytes:
        """Returns the content of a file."""
        return self._names[path].data

    def set_data(self, path: pathlib.Path, data: bytes) -> None:
        """Replaces the content of a file, as damage to the disk does."""
        self._names[path].data = self._names[path].synced = data

    def list_paths(self) -> list[pathlib.Path]:
        """Returns the paths of all files."""
        return sorted(self._names)

    def make_folder(self, folder: pathlib.Path) -> None:
        """Does nothing; folders exist."""

    def lock(self, path: pathlib.Path) -> None:
        """Does nothing; there is one process."""

    def list_names(self, folder: pathlib.Path) -> list[str]:
        """Returns the names in a folder."""
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
        torn = self._count()
        self._take_space(len(data))
        file = _File()
        file.data = data[: len(data) // 2] if torn else data
        self._change_name(path, file)
        self._raise_if(torn)

    def write_at(self, path: pathlib.Path, offset: int, data: bytes) -> None:
        """Writes inside a file."""
        torn = self._count()
        if torn:
            data = data[: self._rng.randint(0, len(data))]
        file = self._names[path]
        end = offset + len(data)
        file.data = file.data[:offset] + data + file.data[end:]
        self._raise_if(torn)

    def sync(self, path: pathlib.Path) -> None:
        """Makes the content of a file durable."""
        torn = self._count()
        file = self._names[path]
        file.synced = self._mix(file) if torn else file.data
        self._raise_if(torn)

    def rename(self, old: pathlib.Path, new: pathlib.Path) -> None:
        """Renames a file."""
        torn = self._count()
        file = self._names[old]
        self._change_name(new, file)
        self._change_name(old, None)
        self._raise_if(torn)

    def remove(self, path: pathlib.Path) -> None:
        """Removes a file."""
        torn = self._count()
        self._change_name(path, None)
        self._raise_if(torn)

    def sync_folder(self, folder: pathlib.Path) -> None:
        """Makes the names in a folder durable."""
        torn = self._count()
        if not torn:
            self._durable_names = dict(self._names)
            self._renamed = []
        self._raise_if(torn)

    def close(self) -> None:
        """Does nothing."""

    def _count(self) -> bool:
        """Counts an operation; returns whether it fails halfway."""
        self.operations += 1
        if self.operations - 1 != self.fail_at:
            return False
        if not self.fail_torn:
            raise OSError(errno.EIO, "injected failure")
        return True

    def _raise_if(self, torn: bool) -> None:
        if torn:
            raise OSError(errno.EIO, "injected failure halfway")

    def _take_space(self, size: int) -> None:
        if self.space_bytes < 0:
            return
        if size > self.space_bytes:
            raise OSError(errno.ENOSPC, "injected full disk")
        self.space_bytes -= size

    def _change_name(self, path: pathlib.Path, file: _File | None) -> None:
        self._set_name(self._names, path, file)
        self._renamed.append((path, file))

    def _set_name(
        self,
        names: dict[pathlib.Path, _File],
        path: pathlib.Path,
        file: _File | None,
    ) -> None:
        if file is None:
            names.pop(path, None)
        else:
            names[path] = file

    def _mix(self, file: _File) -> bytes:
        """Returns the synced content with some later sectors."""
        if file.data == file.synced:
            return file.synced
        size = self._rng.choice([len(file.synced), len(file.data)])
        parts = []
        for start in range(0, size, _SECTOR_BYTES):
            end = min(start + _SECTOR_BYTES, size)
            source = self._rng.choice([file.synced, file.data])
            parts.append(source[start:end].ljust(end - start, b"\0"))
        return b"".join(parts)
