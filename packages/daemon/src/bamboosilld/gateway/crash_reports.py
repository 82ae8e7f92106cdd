"""Tells the leader of crashes, and of answers that clear suspected requests.

A popular request is in flight at most crashes that another one causes, and is
reported with it by each instance that has not answered it within a minute. Each
of its answers shows that it is harmless, and the first one is reported.
"""

import asyncio

from bamboosill_common import logs
from bamboosill_common import metrics
from bamboosill_common.generated import fleet as messages
from bamboosilld import crash_detector as crash_detector_lib
from bamboosilld.fleet import follower as follower_lib

# Answers that come while so many reports are in flight are not reported: those
# that come later are.
_MAX_REPORTS_IN_FLIGHT = 64

_log = logs.get_logger("gateway")


class CrashReporter:
    """Reports the findings of an instance's crash detector to the leader."""

    def __init__(self, follower: follower_lib.Follower) -> None:
        self._follower = follower
        self._reports_by_fingerprint: dict[bytes, asyncio.Task[None]] = {}

    async def report_crash(self, crash: crash_detector_lib.Crash) -> None:
        """Reports requests that may have crashed an upstream.

        An upstream that leaves ends its last connections itself.
        """
        item = self._follower.state.upstreams.get(crash.target.upstream)
        if (
            not crash.fingerprints
            or item is None
            or item.born_ms != crash.target.incarnation
            or item.draining
        ):
            return
        await self._follower.report_crash(
            messages.UpstreamCrash(
                crash.target.upstream,
                crash.target.incarnation,
                fingerprints=crash.fingerprints,
            )
        )

    def report_answer(self, fingerprint: bytes) -> None:
        """Reports a harmless request, if it is suspected, without waiting."""
        reports = self._reports_by_fingerprint
        if (
            not self._follower.state.quarantine.is_suspected(fingerprint)
            or fingerprint in reports
            or len(reports) >= _MAX_REPORTS_IN_FLIGHT
        ):
            return
        task = asyncio.create_task(self._report_answer(fingerprint))
        reports[fingerprint] = task
        task.add_done_callback(lambda _: reports.pop(fingerprint))

    async def _report_answer(self, fingerprint: bytes) -> None:
        is_cleared = False
        try:
            is_cleared = await self._follower.report_answered(fingerprint)
        except Exception:
            _log.exception("Report of an answer failed.")
        outcome = "recorded" if is_cleared else "failure"
        metrics.gateway_answer_reports.labels(outcome).inc()
