"""Faults that keep an instance from starting, each with its place."""

from collections.abc import Awaitable
import errno
import os
from typing import TypeVar

from bamboosill_common import findings
from bamboosilld.consensus import interfaces

T = TypeVar("T")

_LISTEN_REASONS = {
    errno.EADDRINUSE: "the port is in use by another process",
    errno.EADDRNOTAVAIL: "this machine has no such address",
    errno.EACCES: "not permitted to listen on this port",
}


class StartError(Exception):
    """The instance cannot start.

    Attributes:
        finding: What is wrong, and the setting that it belongs to.
    """

    def __init__(self, place: str, message: str) -> None:
        self.finding = findings.Finding(findings.Place(place), message)
        super().__init__(self.finding.format())


async def listen(place: str, address: str, starting: Awaitable[T]) -> T:
    """Returns the result of starting a listener.

    Args:
        place: Flag of the address.
        address: The address, for the message.
        starting: Starts the listener.

    Raises:
        StartError: The address cannot be listened on.
    """
    try:
        return await starting
    except OSError as error:
        raise explain_listen(place, address, error) from error


def explain_listen(place: str, address: str, error: OSError) -> StartError:
    """Returns the fault of a listener that could not be started."""
    reason = _LISTEN_REASONS.get(error.errno or 0) or describe(error)
    return StartError(place, f"{address}: {reason}")


async def open_storage(folder: str, opening: Awaitable[T]) -> T:
    """Returns the result of opening a data folder.

    Raises:
        StartError: The folder is damaged, of another instance, in use by
            another process, or cannot be read or written.
    """
    try:
        return await opening
    except interfaces.StorageError as error:
        cause = error.__cause__
        if isinstance(cause, BlockingIOError):
            detail = f"{folder}: in use by another process"
        elif isinstance(cause, OSError):
            detail = f"{cause.filename or folder}: {describe(cause)}"
        else:
            detail = str(error)
        raise StartError("--data-dir", detail) from error


def make_data_folder(folder: str) -> None:
    """Creates a data folder that does not exist, readable by its owner only.

    Raises:
        StartError: The folder cannot be created.
    """
    try:
        os.makedirs(folder, mode=0o700, exist_ok=True)
    except OSError as error:
        detail = f"{folder}: cannot be created: {describe(error)}"
        raise StartError("--data-dir", detail) from error


def describe(error: OSError) -> str:
    """Returns the system's text for an error, without numbers and names."""
    return os.strerror(error.errno) if error.errno else str(error)
