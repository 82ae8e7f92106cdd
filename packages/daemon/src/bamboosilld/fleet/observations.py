"""Measurements of keys and upstreams that entry instances report."""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from bamboosill_common import clock as clock_lib
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import relative_latency as relative_latency_lib
from bamboosilld.fleet import suspicion
from bamboosilld.fleet import work_rates as work_rates_lib

# Older loads count as none.
_LOAD_MAX_AGE_S = 3.0


class _Load(NamedTuple):
    """The latest load of an upstream that an entry instance reported.

    Attributes:
        requests: Requests that run or wait at the upstream.
        reported_s: When the report arrived.
    """

    requests: int
    reported_s: float


class Observations:
    """Recent work of keys, and relative latencies and loads of upstreams.

    Attributes:
        work_rates: Work of keys, by service.
        relative_latencies: Relative latencies of upstreams.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self.work_rates: dict[str, work_rates_lib.WorkRates] = (
            collections.defaultdict(work_rates_lib.WorkRates)
        )
        self.relative_latencies = relative_latency_lib.RelativeLatencies(clock)
        self._loads: dict[str, _Load] = {}
        self._suspicions = suspicion.Suspicions(clock)

    def add(self, request: messages.Follow) -> None:
        """Adds what an entry instance has measured since its last poll."""
        for work in request.works:
            self.work_rates[work.service].add(work.block, float(work.work_ms))
        for each in request.paces:
            self.relative_latencies.add(each.upstream, each.pace, each.usual_ms)
        for load in request.loads:
            if load.is_silent and not request.is_cut_off:
                self._suspicions.add(load.upstream, request.instance)
            elif not load.is_silent:
                self._suspicions.clear(load.upstream)
                self._add_load(load.upstream, load.requests)
        if request.is_cut_off:
            self._suspicions.drop_reporter(request.instance)

    def encode_loads(self, upstreams: Iterable[tuple[str, bool]]) -> bytes:
        """Returns the latest loads of upstreams, one byte each.

        Suspected upstreams have `suspicion.SUSPECT_LOAD_MARKER`.

        Args:
            upstreams: Ids, and whether their heartbeats are late.
        """
        loads = bytearray()
        for upstream, is_late in upstreams:
            load = self._get_load(upstream)
            requests = load.requests if load is not None else 0
            if self._suspicions.is_suspect(upstream, is_late):
                loads.append(suspicion.SUSPECT_LOAD_MARKER)
            else:
                loads.append(min(requests, suspicion.SUSPECT_LOAD_MARKER - 1))
        return bytes(loads)

    def _add_load(self, upstream: str, requests: int) -> None:
        self._loads[upstream] = _Load(requests, self._clock.monotonic())

    def _get_load(self, upstream: str) -> _Load | None:
        load = self._loads.get(upstream)
        now_s = self._clock.monotonic()
        if load is None or now_s - load.reported_s >= _LOAD_MAX_AGE_S:
            return None
        return load
