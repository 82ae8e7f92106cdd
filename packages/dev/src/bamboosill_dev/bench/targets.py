"""Simulated upstreams: slots, service times, cold start and load reports.

The placement policies call an upstream a target, and so does the benchmark.
"""

import collections
from collections.abc import Callable

from bamboosill_common.generated import zone
from bamboosill_dev.bench import deployments
from bamboosill_dev.bench import events
from bamboosilld.placement import load
from bamboosilld.placement import policy

# A request on a cold target takes this many times as long at first; the factor
# falls to 1 in the course of the warm-up.
_COLD_TIME_FACTOR = 3.0
_WARM_UP_S = 10.0
# A target sheds further requests while this many per slot wait inside it.
_MAX_WAITING_PER_SLOT = 2


class Target:
    """One simulated upstream.

    Attributes:
        announcement: What it announced to the zone leader.
        reachable: False while it is lost or frozen.
        frozen: True while it accepts connections but serves no request.
        silent_since_s: Time at which its heartbeats stopped, or None.
        started_s: Time at which its present incarnation started.
        draining: Whether it is being drained.
        speed: Speed of a warm slot; at 1 requests take their base time.
        report_factor: Factor on the load that it reports; 1 is truthful.
        in_flight: Requests sent to it and not yet answered.
        latency_s: Moving average of the latency of its responses.
        completions: Number of requests that it completed.
    """

    def __init__(
        self,
        name: str,
        zone_name: str,
        service: deployments.Service,
        scheduler: events.EventScheduler,
    ) -> None:
        self.announcement = zone.Upstream(
            id=name,
            incarnation=1,
            service=service.name,
            zone=zone_name,
            slots=service.slots,
            connections=service.connections,
            state=policy.WARM,
        )
        self.reachable = True
        self.frozen = False
        self.silent_since_s: float | None = None
        self.started_s = scheduler.now_s - 3600.0
        self.draining = False
        self.speed = 1.0
        self.report_factor = 1.0
        self.in_flight = 0
        self.latency_s = service.service_time_s
        self.completions = 0
        self._scheduler = scheduler
        self._running_count = 0
        # Callbacks of the running requests, in order of their start.
        self._active: dict[Callable[[bool], None], None] = {}
        self._waiting: collections.deque = collections.deque()
        self._reports: collections.deque[load.Report] = collections.deque(
            maxlen=2
        )

    @property
    def name(self) -> str:
        """Name of the target."""
        return self.announcement.id

    def restart(self, now_s: float) -> None:
        """Starts a new, cold incarnation; requests of the old one fail."""
        self.announcement = self.announcement._replace(
            incarnation=self.announcement.incarnation + 1, state=policy.COLD
        )
        self.reachable = True
        self.frozen = False
        self.draining = False
        self.silent_since_s = None
        self.started_s = now_s
        self.in_flight = 0
        self._running_count = 0
        self._fail_requests()

    def stop(self, now_s: float, frozen: bool) -> None:
        """Stops serving; unless frozen, its connections break as well."""
        self.reachable = False
        self.frozen = frozen
        self.silent_since_s = now_s
        if not frozen:
            self._fail_requests()

    def make_view(self, now_s: float, effective: float) -> policy.TargetView:
        """Returns the target as the placement policy sees it."""
        state = self.announcement.state
        if state == policy.COLD and now_s - self.started_s >= _WARM_UP_S:
            state = policy.WARM
            self.announcement = self.announcement._replace(state=state)
        return policy.TargetView(
            self.name,
            self.announcement.incarnation,
            self.announcement.slots,
            policy.DRAINING if self.draining else state,
            effective,
            now_s - self.started_s,
        )

    def make_report(self, now_s: float) -> load.Report:
        """Makes a load report and returns the previous one.

        This simulates the delay with which the leader receives reports.
        """
        running_count = int(self._running_count * self.report_factor)
        waiting_count = int(len(self._waiting) * self.report_factor)
        self._reports.append(load.Report(running_count, waiting_count, now_s))
        return self._reports[0]._replace(received_s=now_s)

    def accept(
        self, base_time_s: float, on_end: Callable[[bool], None]
    ) -> bool:
        """Runs or queues a request, or returns False if it sheds it.

        Args:
            base_time_s: Service time of the request in a warm slot.
            on_end: Called with whether the request succeeded.
        """
        slots = self.announcement.slots
        if self._running_count < slots:
            self._start(base_time_s, on_end)
            return True
        if len(self._waiting) >= _MAX_WAITING_PER_SLOT * slots:
            return False
        self._waiting.append((base_time_s, on_end))
        return True

    def _fail_requests(self) -> None:
        """Fails all waiting and running requests."""
        for _, on_end in self._waiting:
            on_end(False)
        for on_end in self._active:
            on_end(False)
        self._waiting.clear()
        self._active.clear()

    def _start(
        self, base_time_s: float, on_end: Callable[[bool], None]
    ) -> None:
        self._running_count += 1
        self._active[on_end] = None
        incarnation = self.announcement.incarnation
        self._scheduler.call_later(
            base_time_s * self._compute_time_factor(),
            self._finish,
            incarnation,
            on_end,
        )

    def _compute_time_factor(self) -> float:
        time_factor = 1.0 / self.speed
        age_s = self._scheduler.now_s - self.started_s
        if age_s < _WARM_UP_S:
            time_factor *= (
                _COLD_TIME_FACTOR - (_COLD_TIME_FACTOR - 1) * age_s / _WARM_UP_S
            )
        return time_factor

    def _finish(self, incarnation: int, on_end: Callable[[bool], None]) -> None:
        if not self.reachable or incarnation != self.announcement.incarnation:
            return
        self._running_count -= 1
        del self._active[on_end]
        on_end(True)
        if self._waiting and self._running_count < self.announcement.slots:
            self._start(*self._waiting.popleft())
