"""What the leader knows of an upstream that takes keys by calls."""

import asyncio
from typing import NamedTuple

from bamboosill_common.generated import fleet as messages

# An upstream that has responded to no call for _MAX_FAILING_S is called no more
# and granted no keys for _UNREACHABLE_S. Its keys become free meanwhile: each
# call without a response extends its lease.
_MAX_FAILING_S = 1.6
_UNREACHABLE_S = 6.0


class _Uncertainty(NamedTuple):
    """Keys of a grant without a response, and when its lease is over."""

    first: int
    last: int
    until_s: float


class Grant:
    """When a range was and will be granted or renewed.

    Attributes:
        due_s: When the next call is due.
        sent_s: When the last call was sent.
        is_unanswered: Whether the last call had no response.
        task: The call in flight, or None.
    """

    def __init__(self, due_s: float) -> None:
        self.due_s = due_s
        self.sent_s = 0.0
        self.is_unanswered = False
        self.task: asyncio.Task[None] | None = None


class CalledUpstream:
    """One incarnation of an upstream, and the calls to it.

    Attributes:
        item: The upstream as it last announced itself.
        heard_s: When it last sent a heartbeat or answered a call.
        grants: Its grants, by range.
        releases: Releases in flight, by range.
        refusals: Calls that were refused in a row.
    """

    def __init__(self, item: messages.UpstreamItem, heard_s: float) -> None:
        self.item = item
        self.heard_s = heard_s
        self.grants: dict[messages.KeyRange, Grant] = {}
        self.releases: dict[messages.KeyRange, asyncio.Task[None]] = {}
        self.refusals = 0
        # Grants without a response.
        self._uncertainties: list[_Uncertainty] = []
        # First call without a response since the last response.
        self._failing_since_s = float("-inf")

    def record_response(self, now_s: float) -> None:
        """Records that it has responded to a call."""
        self.heard_s = now_s
        self._failing_since_s = float("-inf")

    def record_failure(self, now_s: float) -> None:
        """Records a call without a response."""
        if now_s - self._failing_since_s >= _MAX_FAILING_S + _UNREACHABLE_S:
            self._failing_since_s = now_s

    def is_reachable(self, now_s: float) -> bool:
        """Returns whether it responds to calls, as far as known."""
        failing_s = now_s - self._failing_since_s
        return not (
            _MAX_FAILING_S <= failing_s < _MAX_FAILING_S + _UNREACHABLE_S
        )

    def may_call(self, grant: Grant, now_s: float) -> bool:
        """Returns whether a grant may be sent again.

        After a call without a response, only an upstream that has given a sign
        of life since is called again: the lease of one that has failed must
        end.
        """
        is_silent = grant.is_unanswered and self.heard_s < grant.sent_s
        return not is_silent and self.is_reachable(now_s)

    def add_uncertainty(
        self, each: messages.KeyRange, until_s: float, now_s: float
    ) -> None:
        """Records a grant without a response, and when its lease is over."""
        self._uncertainties = [
            known
            for known in self._uncertainties
            if known.until_s > now_s
            and (known.first, known.last) != (each.first, each.last)
        ]
        self._uncertainties.append(_Uncertainty(each.first, each.last, until_s))

    def find_certain_s(self, first: int, last: int) -> float:
        """Returns when no grant of keys without a response is left."""
        return max(
            (
                each.until_s
                for each in self._uncertainties
                if each.first <= last and first <= each.last
            ),
            default=0.0,
        )
