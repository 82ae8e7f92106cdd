"""The serve lease of this instance, tracked by the instance that holds it."""

import collections
from typing import NamedTuple

from bamboosill_common.generated import zone as messages

# Renewals of about 16 s; all older leases have expired.
_MAX_PENDING = 64


class _Pending(NamedTuple):
    """A lease that becomes valid once the log is applied up to an index."""

    required_index: int
    expires_s: float
    lapse_expires_s: float


class LeaseHolder:
    """Serve lease, counted from when the renewal was sent."""

    def __init__(self) -> None:
        self._pending: collections.deque[_Pending] = collections.deque(
            maxlen=_MAX_PENDING
        )
        self._expires_s = float("-inf")
        self._lapse_expires_s = float("-inf")

    def accept(self, reply: messages.LeaseReply, sent_s: float) -> None:
        """Stores a granted lease.

        The lease becomes valid when everything that was committed at the time
        of the grant is applied here. An instance that was cut off may not know
        of moves that were completed without it.
        """
        self._pending.append(
            _Pending(
                reply.commit_index,
                sent_s + reply.lease_ms / 1000,
                sent_s + reply.lapse_lease_ms / 1000,
            )
        )

    def is_valid(
        self, delegation_lapses: bool, applied_index: int, now_s: float
    ) -> bool:
        """Returns whether this instance may dispatch requests now."""
        while (
            self._pending and self._pending[0].required_index <= applied_index
        ):
            lease = self._pending.popleft()
            self._expires_s = max(self._expires_s, lease.expires_s)
            self._lapse_expires_s = max(
                self._lapse_expires_s, lease.lapse_expires_s
            )
        expires_s = (
            self._lapse_expires_s if delegation_lapses else self._expires_s
        )
        return now_s < min(expires_s, self._expires_s)
