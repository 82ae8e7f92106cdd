"""Startup errors that name the setting they belong to.

An operator then sees which setting to change instead of a traceback.
"""

from collections.abc import Awaitable
import errno
import os
from typing import TypeVar

from bamboosill_common import findings
from bamboosilld.consensus import interfaces

T = TypeVar("T")

_LISTEN_ERROR_TEXTS = {
    errno.EADDRINUSE: "the port is in use by another process",
    errno.EADDRNOTAVAIL: "this machine has no such address",
    errno.EACCES: "not permitted to listen on this port",
}


class StartupError(Exception):
    """The instance cannot start.

    Attributes:
        finding: The error and the setting that it belongs to.
    """

    def __init__(self, setting: str, message: str) -> None:
        self.finding = findings.Finding(findings.Location(setting), message)
        super().__init__(self.finding.format())


async def listen(setting: str, address: str, start: Awaitable[T]) -> T:
    """Starts a listener and returns the result.

    Args:
        setting: Flag that sets the address.
        address: The address, for the error message.
        start: Starts the listener when awaited.

    Raises:
        StartupError: The listener cannot bind the address.
    """
    try:
        return await start
    except OSError as error:
        raise make_listen_error(setting, address, error) from error


def make_listen_error(
    setting: str, address: str, error: OSError
) -> StartupError:
    """Returns the startup error of a listener that could not bind."""
    reason = _LISTEN_ERROR_TEXTS.get(error.errno or 0) or describe_os_error(
        error
    )
    return StartupError(setting, f"{address}: {reason}")


async def open_storage(folder: str, open_operation: Awaitable[T]) -> T:
    """Opens the storage in a data folder and returns the result.

    Raises:
        StartupError: The folder is damaged, belongs to another instance, is
            in use by another process, or cannot be read or written.
    """
    try:
        return await open_operation
    except interfaces.StorageError as error:
        cause = error.__cause__
        if isinstance(cause, BlockingIOError):
            detail = f"{folder}: in use by another process"
        elif isinstance(cause, OSError):
            detail = f"{cause.filename or folder}: {describe_os_error(cause)}"
        else:
            detail = str(error)
        raise StartupError("--data-dir", detail) from error


def create_data_folder(folder: str) -> None:
    """Creates a data folder if it does not exist, accessible to its owner only.

    Raises:
        StartupError: The folder cannot be created.
    """
    try:
        os.makedirs(folder, mode=0o700, exist_ok=True)
    except OSError as error:
        detail = f"{folder}: cannot be created: {describe_os_error(error)}"
        raise StartupError("--data-dir", detail) from error


def describe_os_error(error: OSError) -> str:
    """Returns the operating system's text for an error, without its number."""
    return os.strerror(error.errno) if error.errno else str(error)
