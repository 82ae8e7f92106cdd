"""Bounds the bytes of messages that a process holds, over all of them.

Limits of single messages do not bound their sum. Requests and responses are
added to one account while they are received, and taken off once they are sent.
"""

import ctypes

from bamboosill_common import logs

# Options of mallopt(3).
_M_MMAP_THRESHOLD = -3
_MMAP_THRESHOLD_BYTES = 256 * 1024

_log = logs.get_logger("memory")

# What long messages may hold together, so that short ones still find room.
_LONG_SHARE = 0.75
_SHORT_BYTES = 64 * 1024


def map_long_buffers() -> None:
    """Has each long buffer returned to the system when it is freed.

    By default, the C library raises the size from which it does so as buffers
    are freed, and keeps the memory of the others in a fragmented heap.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError) as error:
        _log.info("Allocator not configured. Reason: %s.", error)
        return
    mallopt(_M_MMAP_THRESHOLD, _MMAP_THRESHOLD_BYTES)


class MemoryAccount:
    """The bytes that all messages of a process hold.

    Attributes:
        limit_bytes: Largest number of them.
        held_bytes: Present number of them.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0

    def open(self) -> "Hold":
        """Returns what one request and its response hold: nothing yet."""
        return Hold(self)


class Hold:
    """The bytes that one request and its response hold.

    Attributes:
        held_bytes: Number of them.
    """

    def __init__(self, account: MemoryAccount) -> None:
        self._account = account
        self.held_bytes = 0

    def has_room(self, count: int) -> bool:
        """Returns whether this many more bytes may be held now."""
        limit_bytes = float(self._account.limit_bytes)
        if self.held_bytes + count > _SHORT_BYTES:
            limit_bytes *= _LONG_SHARE
        return self._account.held_bytes + count <= limit_bytes

    def try_add(self, count: int) -> bool:
        """Adds bytes; returns False, and adds none, without room for them."""
        if not self.has_room(count):
            return False
        self.held_bytes += count
        self._account.held_bytes += count
        return True

    def remove(self, count: int) -> None:
        """Takes off bytes that were added and are not held any more."""
        count = min(count, self.held_bytes)
        self.held_bytes -= count
        self._account.held_bytes -= count

    def move(self) -> "Hold":
        """Returns a hold that has all bytes of this one."""
        moved = Hold(self._account)
        moved.held_bytes, self.held_bytes = self.held_bytes, 0
        return moved

    def release(self) -> None:
        """Takes off all bytes."""
        self.remove(self.held_bytes)
