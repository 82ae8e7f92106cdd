"""Hands out parts of customers' limits to entry instances."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from bamboosill_common.generated import zone as messages
from bamboosilld.admission import shares as split_lib
from bamboosilld.zone import times

_RESEND_S = 1.0

Split = Callable[
    [
        Mapping[split_lib.LimitId, split_lib.Limits],
        Mapping[str, Iterable[messages.Demand]],
        Sequence[str],
    ],
    dict[str, tuple[messages.Share, ...]],
]


class _Given(NamedTuple):
    """A share in force at an instance."""

    share: messages.Share
    until_s: float


class ShareBook:
    """Shares in force; together they never exceed the contract."""

    def __init__(self, now_s: float, split: Split = split_lib.split) -> None:
        self._split = split
        # Shares that a former leader gave may be in force until then.
        self._begin_s = now_s + times.SHARE_S
        self._wanted: dict[str, tuple[messages.Share, ...]] = {}
        self._wanted_s = float("-inf")
        self._given: dict[split_lib.LimitId, dict[str, _Given]] = {}

    def give(
        self,
        instance: str,
        limits: Mapping[split_lib.LimitId, split_lib.Limits],
        demands: Mapping[str, Iterable[messages.Demand]],
        now_s: float,
    ) -> tuple[messages.Share, ...]:
        """Returns the shares of an instance, which then are in force.

        A share that did not change is sent again after a second only.

        Args:
            instance: The instance that renews its lease.
            limits: Limits by customer and service.
            demands: Last report of each instance with a lease.
            now_s: The leader's time.
        """
        if now_s < self._begin_s:
            return ()
        if (
            instance not in self._wanted
            or now_s - self._wanted_s >= times.SERVE_RENEWAL_S
        ):
            # Once for all instances that renew in the same interval.
            self._wanted = self._split(limits, demands, sorted(demands))
            self._wanted_s = now_s
        given = []
        for share in self._wanted.get(instance, ()):
            place = (share.customer, share.service)
            if place not in limits:
                continue
            book = self._given.setdefault(place, {})
            for other in [o for o in book if book[o].until_s <= now_s]:
                del book[other]
            rest = [
                each.share for other, each in book.items() if other != instance
            ]
            share = _bound(share, limits[place], rest)
            former = book.get(instance)
            resend_s = now_s + times.SHARE_S - _RESEND_S
            if former and former.share == share and former.until_s > resend_s:
                continue
            book[instance] = _Given(share, now_s + times.SHARE_S)
            given.append(share)
        return tuple(given)


def _bound(
    share: messages.Share,
    limits: split_lib.Limits,
    others: list[messages.Share],
) -> messages.Share:
    """Returns at most what the shares of the others leave."""
    rate = limits.rate_per_s - sum(each.rate_per_s for each in others)
    burst = limits.burst - sum(each.burst for each in others)
    concurrency = limits.concurrency - sum(each.concurrency for each in others)
    return share._replace(
        rate_per_s=max(0.0, min(share.rate_per_s, rate)),
        burst=max(0.0, min(share.burst, burst)),
        concurrency=max(0.0, min(share.concurrency, concurrency)),
    )
