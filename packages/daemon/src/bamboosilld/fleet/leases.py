"""Leases of upstreams on keys, as the leader counts them.

Leases are not replicated. A new leader assumes that each holder renewed its
lease just before the former leader lost its leader lease.
"""

from bamboosill_common import clock as clock_lib
from bamboosilld.fleet import state as state_lib

# The leader's clock runs at most this much faster than an upstream's.
_MAX_CLOCK_RATIO = 1.02
# Longest time between a check of the leader lease and the reply to an upstream.
_REPLY_MARGIN_S = 0.3


class Leases:
    """Expiry of the lease of each incarnation of an upstream.

    After it, the upstream has certainly stopped using its keys.

    Attributes:
        lease_s: Length of a lease, as upstreams are told.
    """

    def __init__(
        self, clock: clock_lib.Clock, lease_s: float, delay_s: float = 0.0
    ) -> None:
        """Initializes the instance.

        Args:
            clock: The leader's clock.
            lease_s: Length of a lease.
            delay_s: Longest time from when a renewal is sent until the
                upstream begins to count its lease.
        """
        self._clock = clock
        self.lease_s = lease_s
        self._guarded_lease_s = (
            lease_s * _MAX_CLOCK_RATIO + _REPLY_MARGIN_S + delay_s
        )
        self._expiries_s: dict[state_lib.UpstreamIncarnation, float] = {}
        self._default_expiry_s = 0.0

    def reset(self) -> None:
        """Drops all leases; called after each election."""
        self._expiries_s.clear()
        self._default_expiry_s = self._clock.monotonic() + self._guarded_lease_s

    def renew(self, incarnation: state_lib.UpstreamIncarnation) -> None:
        """Starts the lease of an incarnation anew."""
        self._expiries_s[incarnation] = (
            self._clock.monotonic() + self._guarded_lease_s
        )

    def get_expiry_s(self, incarnation: state_lib.UpstreamIncarnation) -> float:
        """Returns the monotonic time after which a lease is certainly over."""
        return self._expiries_s.get(incarnation, self._default_expiry_s)

    def has_expired(self, incarnation: state_lib.UpstreamIncarnation) -> bool:
        """Returns whether a lease is certainly over."""
        return self._clock.monotonic() >= self.get_expiry_s(incarnation)
