"""File system interface of the disk storage; tests replace it."""

import fcntl
import os
import pathlib
from typing import Protocol


class Files(Protocol):
    """File operations of the disk storage; all may raise OSError."""

    def make_folder(self, folder: pathlib.Path) -> None:
        """Creates a folder durably if it does not exist."""

    def lock(self, path: pathlib.Path) -> None:
        """Locks a file exclusively; fails if another process holds it."""

    def list_names(self, folder: pathlib.Path) -> list[str]:
        """Returns the names of the files in a folder."""

    def read(self, path: pathlib.Path) -> bytes:
        """Returns the content of a file."""

    def create(self, path: pathlib.Path, data: bytes) -> None:
        """Creates or replaces a file; not durable until synced."""

    def write_at(self, path: pathlib.Path, offset: int, data: bytes) -> None:
        """Writes to an existing file; not durable until synced."""

    def sync(self, path: pathlib.Path) -> None:
        """Makes the content of a file durable."""

    def rename(self, old: pathlib.Path, new: pathlib.Path) -> None:
        """Renames a file; not durable until the folder is synced."""

    def remove(self, path: pathlib.Path) -> None:
        """Removes a file."""

    def sync_folder(self, folder: pathlib.Path) -> None:
        """Makes file creations and renames in a folder durable."""

    def close(self) -> None:
        """Closes open files and releases the lock."""


class SystemFiles:
    """Access to the real file system.

    Keeps the file that was used last open.
    """

    def __init__(self) -> None:
        self._path: pathlib.Path | None = None
        self._descriptor = -1
        self._lock = -1

    def make_folder(self, folder: pathlib.Path) -> None:
        """Creates a folder durably if it does not exist."""
        if not folder.is_dir():
            folder.mkdir(mode=0o700)
            self.sync_folder(folder.parent)

    def lock(self, path: pathlib.Path) -> None:
        """Locks a file exclusively; fails if another process holds it."""
        self._lock = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)

    def list_names(self, folder: pathlib.Path) -> list[str]:
        """Returns the names of the files in a folder."""
        return sorted(os.listdir(folder))

    def read(self, path: pathlib.Path) -> bytes:
        """Returns the content of a file."""
        return path.read_bytes()

    def create(self, path: pathlib.Path, data: bytes) -> None:
        """Creates or replaces a file; not durable until synced."""
        self._close_file()
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC
        self._descriptor = os.open(path, flags, 0o600)
        self._path = path
        self.write_at(path, 0, data)

    def write_at(self, path: pathlib.Path, offset: int, data: bytes) -> None:
        """Writes to an existing file; not durable until synced."""
        descriptor = self._open(path)
        view = memoryview(data)
        while view:
            written = os.pwrite(descriptor, view, offset)
            view, offset = view[written:], offset + written

    def sync(self, path: pathlib.Path) -> None:
        """Makes the content of a file durable."""
        os.fdatasync(self._open(path))

    def rename(self, old: pathlib.Path, new: pathlib.Path) -> None:
        """Renames a file; not durable until the folder is synced."""
        os.rename(old, new)
        if self._path == old:
            self._path = new

    def remove(self, path: pathlib.Path) -> None:
        """Removes a file."""
        os.remove(path)

    def sync_folder(self, folder: pathlib.Path) -> None:
        """Makes file creations and renames in a folder durable."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        """Closes open files and releases the lock."""
        self._close_file()
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def _open(self, path: pathlib.Path) -> int:
        if path != self._path:
            self._close_file()
            self._descriptor = os.open(path, os.O_RDWR)
            self._path = path
        return self._descriptor

    def _close_file(self) -> None:
        if self._path is not None:
            os.close(self._descriptor)
            self._path = None
