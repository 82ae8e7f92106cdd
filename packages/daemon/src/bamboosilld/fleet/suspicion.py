"""Which upstreams answer nobody, as far as entry instances have reported.

One entry instance that cannot reach an upstream may itself be cut off, so its
word counts only together with a late heartbeat or the word of others.
"""

import collections

from bamboosill_common import clock as clock_lib

# How a suspect upstream is shown among the loads.
SUSPECT_LOAD = 255
# A report counts for this long.
_REPORT_LIFE_S = 2.5
# Instances that suffice while heartbeats arrive.
_ENOUGH_INSTANCES = 3


class Suspicions:
    """Recent reports of upstreams that did not answer."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._reports: dict[str, dict[str, float]] = collections.defaultdict(
            dict
        )

    def add(self, upstream: str, instance: str) -> None:
        """Counts the report of one entry instance."""
        self._reports[upstream][instance] = self._clock.monotonic()

    def clear(self, upstream: str) -> None:
        """Forgets all reports: an instance got an answer."""
        self._reports.pop(upstream, None)

    def is_suspect(self, upstream: str, has_late_heartbeat: bool) -> bool:
        """Returns whether entry instances should use other upstreams."""
        reports = self._reports.get(upstream)
        if not reports:
            return False
        oldest_s = self._clock.monotonic() - _REPORT_LIFE_S
        count = sum(at_s >= oldest_s for at_s in reports.values())
        return count >= (1 if has_late_heartbeat else _ENOUGH_INSTANCES)
