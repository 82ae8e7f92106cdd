"""Failure detection of upstreams from reports of entry instances.

An entry instance that cannot reach an upstream may itself be partitioned. So
its report alone suffices only if heartbeats of the upstream are late, too;
otherwise several instances must report it.
"""

import collections

from bamboosill_common import clock as clock_lib

# Sent in place of the load of a suspected upstream; loads are capped below it.
SUSPECT_LOAD_MARKER = 255
# Older reports are ignored.
_REPORT_MAX_AGE_S = 2.5
# Entry instances that must report an upstream whose heartbeats are on time.
_MIN_INSTANCES_IF_ON_TIME = 3


class Suspicions:
    """Recent reports of upstreams that did not respond."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._reports: dict[str, dict[str, float]] = collections.defaultdict(
            dict
        )

    def add(self, upstream: str, instance: str) -> None:
        """Records the report of one entry instance."""
        self._reports[upstream][instance] = self._clock.monotonic()

    def clear(self, upstream: str) -> None:
        """Drops all reports on an upstream, as it answered an instance."""
        self._reports.pop(upstream, None)

    def drop_reporter(self, instance: str) -> None:
        """Drops all reports of an instance that reaches no upstream."""
        for reports in self._reports.values():
            reports.pop(instance, None)

    def is_suspect(self, upstream: str, has_late_heartbeat: bool) -> bool:
        """Returns whether entry instances should avoid an upstream."""
        reports = self._reports.get(upstream)
        if not reports:
            return False
        cutoff_s = self._clock.monotonic() - _REPORT_MAX_AGE_S
        count = sum(reported_s >= cutoff_s for reported_s in reports.values())
        return count >= (1 if has_late_heartbeat else _MIN_INSTANCES_IF_ON_TIME)
