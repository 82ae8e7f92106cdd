"""Leases of upstreams on keys, as their leader counts them.

They are not replicated. A new leader assumes that each holder renewed its
lease just before the former leader lost its own.
"""

from bamboosill_common import clock as clock_lib
from bamboosilld.fleet import state as state_lib

# An upstream's clock may run this much slower than the leader's.
_SLOW_CLOCK_RATIO = 1.02
# Bound on the time between a check of the leader lease and the answer.
_MARGIN_S = 0.3


class Leases:
    """When each life of an upstream stops using its keys by itself."""

    def __init__(self, clock: clock_lib.Clock, lease_s: float) -> None:
        self._clock = clock
        self.lease_s = lease_s
        self._length_s = lease_s * _SLOW_CLOCK_RATIO + _MARGIN_S
        self._ends: dict[state_lib.Life, float] = {}
        self._unknown_end = 0.0

    def begin(self) -> None:
        """Forgets all leases; called by a leader after its election."""
        self._ends.clear()
        self._unknown_end = self._clock.monotonic() + self._length_s

    def renew(self, life: state_lib.Life) -> None:
        """Counts a lease from now on."""
        self._ends[life] = self._clock.monotonic() + self._length_s

    def get_end(self, life: state_lib.Life) -> float:
        """Returns the monotonic time at which a lease has certainly ended."""
        return self._ends.get(life, self._unknown_end)

    def has_ended(self, life: state_lib.Life) -> bool:
        """Returns whether a lease has certainly ended."""
        return self._clock.monotonic() >= self.get_end(life)
