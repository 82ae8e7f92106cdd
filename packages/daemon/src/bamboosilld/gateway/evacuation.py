"""Evacuated availability zones, as an entry instance applies the orders.

Load pattern: from one moment on, a whole zone takes no more requests, while the
keys that its upstreams hold move to other zones for some seconds.

Upstreams without the key of a request get none from when an order is known
here. The holder of a key still gets requests for the key for a part of the
bound, as nobody else can serve them. The bound counts from the acknowledgement,
which this instance does not see: it takes the earliest time at which the order
can have been committed, its last reply of the leader without the order.
"""

from collections.abc import Callable
from collections.abc import Sequence
from collections.abc import Set

from bamboosill_common import logs
from bamboosilld.gateway import load_balancing

# Time within which an order is in force at all instances, unless set.
DEFAULT_BOUND_S = 5.0
# The holder of a key gets requests for the key for this fraction of the bound:
# the rest is for instances to learn of the order and for requests under way.
_HOLDER_FRACTION = 0.6

_log = logs.get_logger("gateway")


class Evacuations:
    """The orders in force, and until when holders of keys still serve."""

    def __init__(
        self, bound_s: float, get_last_sync_s: Callable[[], float]
    ) -> None:
        """Initializes the instance.

        Args:
            bound_s: Time within which an order is in force at all instances.
            get_last_sync_s: Returns when the leader last replied before the
                reply that is being applied; minus infinity before the first
                one.
        """
        self._holder_s = bound_s * _HOLDER_FRACTION
        self._get_last_sync_s = get_last_sync_s
        self._holders_until_s: dict[str, float] = {}

    def update(self, zones: Set[str]) -> Set[str]:
        """Applies which zones are evacuated; returns those that no longer are.

        Args:
            zones: The evacuated zones.
        """
        withdrawn = self._holders_until_s.keys() - zones
        for zone in sorted(withdrawn):
            del self._holders_until_s[zone]
            _log.info("Evacuation withdrawn. Zone: %s.", zone)
        for zone in sorted(zones - self._holders_until_s.keys()):
            ordered_s = self._get_last_sync_s()
            self._holders_until_s[zone] = ordered_s + self._holder_s
            _log.info("Zone %s is evacuated.", zone)
        return withdrawn

    def get_holders_until_s(self, zone: str) -> float | None:
        """Returns until when holders of keys in a zone get requests for them.

        Returns None if the zone is not evacuated.
        """
        return self._holders_until_s.get(zone)


def are_evacuated(upstreams: Sequence[load_balancing.Upstream]) -> bool:
    """Returns whether a service has upstreams, all in evacuated zones."""
    return bool(upstreams) and all(
        each.availability.is_evacuated for each in upstreams
    )
