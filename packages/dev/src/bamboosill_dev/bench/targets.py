"""Stand-ins for upstreams: slots, service times, cold start, reports."""

import collections
from collections.abc import Callable

from bamboosill_common.generated import zone
from bamboosill_dev.bench import deployments
from bamboosill_dev.bench import events
from bamboosilld.placement import load
from bamboosilld.placement import policy

# A cold target is this much slower at first, and as fast as others after.
_COLD_FACTOR = 3.0
_COLD_S = 10.0
# Requests waiting inside a target, per slot, above which it sheds.
_QUEUE_PER_SLOT = 2


class Target:
    """One upstream.

    Attributes:
        announcement: What it announced.
        reachable: False while lost or frozen.
        frozen: True while it accepts connections but does nothing.
        silent_since_s: When its heartbeats stopped, or None.
        state: `cold`, `warm` or `draining`.
        speed: Work per second of a warm slot.
        lie: Factor on its reports.
    """

    def __init__(
        self,
        name: str,
        where: str,
        service: deployments.Service,
        heap: events.Heap,
    ) -> None:
        self.announcement = zone.Upstream(
            id=name,
            incarnation=1,
            service=service.name,
            zone=where,
            slots=service.slots,
            connections=service.connections,
            state=policy.WARM,
        )
        self.reachable = True
        self.frozen = False
        self.silent_since_s: float | None = None
        self.started_s = heap.now_s - 3600.0
        self.draining = False
        self.speed = 1.0
        self.lie = 1.0
        self.in_flight = 0
        self.latency_s = service.service_s
        self.completions = 0
        self._heap = heap
        self._running = 0
        # Requests that run, in order of their start.
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
        """Begins a new, cold incarnation."""
        self.announcement = self.announcement._replace(
            incarnation=self.announcement.incarnation + 1, state=policy.COLD
        )
        self.reachable = True
        self.frozen = False
        self.draining = False
        self.silent_since_s = None
        self.started_s = now_s
        self.in_flight = 0
        self._running = 0
        self._fail()

    def stop(self, now_s: float, frozen: bool) -> None:
        """Stops answering, with or without open connections."""
        self.reachable = False
        self.frozen = frozen
        self.silent_since_s = now_s
        if not frozen:
            self._fail()

    def view(self, now_s: float, effective: float) -> policy.TargetView:
        """Returns the target as the leader sees it."""
        state = self.announcement.state
        if state == policy.COLD and now_s - self.started_s >= _COLD_S:
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

    def report(self, now_s: float) -> load.Report:
        """Returns the report before the last one, as reports lag."""
        running = int(self._running * self.lie)
        waiting = int(len(self._waiting) * self.lie)
        self._reports.append(load.Report(running, waiting, now_s))
        return self._reports[0]._replace(received_s=now_s)

    def accept(self, work_s: float, done: Callable[[bool], None]) -> bool:
        """Runs or queues a request; returns False when it is shed."""
        slots = self.announcement.slots
        if self._running < slots:
            self._start(work_s, done)
            return True
        if len(self._waiting) >= _QUEUE_PER_SLOT * slots:
            return False
        self._waiting.append((work_s, done))
        return True

    def _fail(self) -> None:
        """Breaks the connections of all requests that it has."""
        for _, done in self._waiting:
            done(False)
        for done in self._active:
            done(False)
        self._waiting.clear()
        self._active.clear()

    def _start(self, work_s: float, done: Callable[[bool], None]) -> None:
        self._running += 1
        self._active[done] = None
        incarnation = self.announcement.incarnation
        self._heap.call_later(
            work_s * self._compute_slowness(), self._finish, incarnation, done
        )

    def _compute_slowness(self) -> float:
        slowness = 1.0 / self.speed
        age_s = self._heap.now_s - self.started_s
        if age_s < _COLD_S:
            slowness *= _COLD_FACTOR - (_COLD_FACTOR - 1) * age_s / _COLD_S
        return slowness

    def _finish(self, incarnation: int, done: Callable[[bool], None]) -> None:
        if not self.reachable or incarnation != self.announcement.incarnation:
            return
        self._running -= 1
        del self._active[done]
        done(True)
        if self._waiting and self._running < self.announcement.slots:
            self._start(*self._waiting.popleft())
