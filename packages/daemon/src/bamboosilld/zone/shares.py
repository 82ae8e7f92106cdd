"""Splits customers' limits into shares for the entry instances of a zone.

A share is valid for a fixed time. A changed share is bounded by what the valid
shares of the other instances leave, so that all together never exceed the
contract.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from bamboosill_common.generated import zone as messages
from bamboosilld.admission import share_split as share_split_lib
from bamboosilld.zone import times

_RESEND_INTERVAL_S = 1.0

Split = Callable[
    [
        Mapping[share_split_lib.LimitId, share_split_lib.Limits],
        Mapping[str, Iterable[messages.Demand]],
        Sequence[str],
    ],
    dict[str, tuple[messages.Share, ...]],
]


class _ActiveShare(NamedTuple):
    """A valid share of an instance."""

    share: messages.Share
    expires_s: float


class ShareAllocator:
    """Allocates shares; together they never exceed the contract."""

    def __init__(
        self, now_s: float, split: Split = share_split_lib.split
    ) -> None:
        self._split = split
        # Shares that a former leader allocated may be valid until then.
        self._former_shares_expire_s = now_s + times.SHARE_LIFETIME_S
        self._target_shares: dict[str, tuple[messages.Share, ...]] = {}
        self._computed_s = float("-inf")
        self._active: dict[
            share_split_lib.LimitId, dict[str, _ActiveShare]
        ] = {}

    def allocate(
        self,
        instance: str,
        limits: Mapping[share_split_lib.LimitId, share_split_lib.Limits],
        demands: Mapping[str, Iterable[messages.Demand]],
        now_s: float,
    ) -> tuple[messages.Share, ...]:
        """Returns the shares of an instance, valid from now on.

        An unchanged share is sent again only after a second.

        Args:
            instance: The instance that renews its lease.
            limits: Limits by customer and service.
            demands: Last reported demand of each instance with a lease.
            now_s: The leader's time.
        """
        if now_s < self._former_shares_expire_s:
            return ()
        if (
            instance not in self._target_shares
            or now_s - self._computed_s >= times.SERVE_RENEWAL_INTERVAL_S
        ):
            # Computed once for all instances that renew in one interval.
            self._target_shares = self._split(limits, demands, sorted(demands))
            self._computed_s = now_s
        allocated = []
        for share in self._target_shares.get(instance, ()):
            limit_id = (share.customer, share.service)
            if limit_id not in limits:
                continue
            active = self._active.setdefault(limit_id, {})
            for other in [o for o in active if active[o].expires_s <= now_s]:
                del active[other]
            other_shares = [
                each.share
                for other, each in active.items()
                if other != instance
            ]
            share = _limit_share(share, limits[limit_id], other_shares)
            previous = active.get(instance)
            resend_s = now_s + times.SHARE_LIFETIME_S - _RESEND_INTERVAL_S
            if (
                previous
                and previous.share == share
                and previous.expires_s > resend_s
            ):
                continue
            active[instance] = _ActiveShare(
                share, now_s + times.SHARE_LIFETIME_S
            )
            allocated.append(share)
        return tuple(allocated)


def _limit_share(
    share: messages.Share,
    limits: share_split_lib.Limits,
    shares_in_force: list[messages.Share],
) -> messages.Share:
    """Returns the share, bounded by what the other shares leave."""
    rate = limits.rate_per_s - sum(each.rate_per_s for each in shares_in_force)
    burst = limits.burst - sum(each.burst for each in shares_in_force)
    concurrency = limits.concurrency - sum(
        each.concurrency for each in shares_in_force
    )
    return share._replace(
        rate_per_s=max(0.0, min(share.rate_per_s, rate)),
        burst=max(0.0, min(share.burst, burst)),
        concurrency=max(0.0, min(share.concurrency, concurrency)),
    )
