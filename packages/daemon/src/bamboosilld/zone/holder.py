"""The serve lease of this instance, as its holder sees it."""

import collections
from typing import NamedTuple

from bamboosill_common.generated import zone as messages

# Renewals of about 16 s; all older ones have ended.
_MAX_PENDING = 64


class _Pending(NamedTuple):
    """A lease that counts once the log is applied up to an index."""

    needed_index: int
    until_s: float
    lapse_until_s: float


class LeaseHolder:
    """Serve leases, counted from when the renewal was sent."""

    def __init__(self) -> None:
        self._pending: collections.deque[_Pending] = collections.deque(
            maxlen=_MAX_PENDING
        )
        self._until_s = float("-inf")
        self._lapse_until_s = float("-inf")

    def accept(self, reply: messages.LeaseReply, sent_s: float) -> None:
        """Stores a granted lease.

        It counts only when everything that was committed at the time of the
        grant is applied here: an instance that was cut off may lack moves that
        were completed without it.
        """
        self._pending.append(
            _Pending(
                reply.commit_index,
                sent_s + reply.lease_ms / 1000,
                sent_s + reply.lapse_lease_ms / 1000,
            )
        )

    def is_valid(
        self, is_lapse: bool, applied_index: int, now_s: float
    ) -> bool:
        """Returns whether this instance may dispatch now."""
        while self._pending and self._pending[0].needed_index <= applied_index:
            lease = self._pending.popleft()
            self._until_s = max(self._until_s, lease.until_s)
            self._lapse_until_s = max(self._lapse_until_s, lease.lapse_until_s)
        until_s = self._lapse_until_s if is_lapse else self._until_s
        return now_s < min(until_s, self._until_s)
