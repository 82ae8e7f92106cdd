"""File system access of the disk storage, replaceable in tests."""

import fcntl
import os
import pathlib
from typing import Protocol


class Files(Protocol):
    """The operations that the disk storage uses; all may raise OSError."""

    def make_folder(self, folder: pathlib.Path) -> None:
        """Creates a folder durably unless it exists."""

    def lock(self, path: pathlib.Path) -> None:
        """Keeps other processes from locking the same file."""

    def list_names(self, folder: pathlib.Path) -> list[str]:
        """Returns the names in a folder."""

    def read(self, path: pathlib.Path) -> bytes:
        """Returns the content of a file."""

    def create(self, path: pathlib.Path, data: bytes) -> None:
        """Creates or replaces a file, not yet durable."""

    def write_at(self, path: pathlib.Path, offset: int, data: bytes) -> None:
        """Writes inside an existing file, not yet durable."""

    def sync(self, path: pathlib.Path) -> None:
        """Makes the content of a file durable."""

    def rename(self, old: pathlib.Path, new: pathlib.Path) -> None:
        """Renames a file, not yet durable."""

    def remove(self, path: pathlib.Path) -> None:
        """Removes a file."""

    def sync_folder(self, folder: pathlib.Path) -> None:
        """Makes the names in a folder durable."""

    def close(self) -> None:
        """Closes what is open."""


class SystemFiles:
    """The file system of the machine."""

    def __init__(self) -> None:
        self._path: pathlib.Path | None = None
        self._descriptor = -1
        self._lock = -1

    def make_folder(self, folder: pathlib.Path) -> None:
        """Creates a folder durably unless it exists."""
        if not folder.is_dir():
            folder.mkdir(mode=0o700)
            self.sync_folder(folder.parent)

    def lock(self, path: pathlib.Path) -> None:
        """Keeps other processes from locking the same file."""
        self._lock = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)

    def list_names(self, folder: pathlib.Path) -> list[str]:
        """Returns the names in a folder."""
        return sorted(os.listdir(folder))

    def read(self, path: pathlib.Path) -> bytes:
        """Returns the content of a file."""
        return path.read_bytes()

    def create(self, path: pathlib.Path, data: bytes) -> None:
        """Creates or replaces a file, not yet durable."""
        self._close_file()
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC
        self._descriptor = os.open(path, flags, 0o600)
        self._path = path
        self.write_at(path, 0, data)

    def write_at(self, path: pathlib.Path, offset: int, data: bytes) -> None:
        """Writes inside an existing file, not yet durable."""
        descriptor = self._open(path)
        view = memoryview(data)
        while view:
            written = os.pwrite(descriptor, view, offset)
            view, offset = view[written:], offset + written

    def sync(self, path: pathlib.Path) -> None:
        """Makes the content of a file durable."""
        os.fdatasync(self._open(path))

    def rename(self, old: pathlib.Path, new: pathlib.Path) -> None:
        """Renames a file, not yet durable."""
        os.rename(old, new)
        if self._path == old:
            self._path = new

    def remove(self, path: pathlib.Path) -> None:
        """Removes a file."""
        os.remove(path)

    def sync_folder(self, folder: pathlib.Path) -> None:
        """Makes the names in a folder durable."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        """Closes what is open."""
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
