"""Load statistics that this instance reports to the zone leader."""

from typing import NamedTuple

from bamboosill_common import clock as clock_lib
from bamboosill_common.generated import zone as zone_messages
from bamboosilld.admission import queues as queues_lib
from bamboosilld.entry import interfaces
from bamboosilld.placement import load as load_lib

_LATENCY_SMOOTHING = 0.1


class LoadReport(NamedTuple):
    """Load statistics that are sent with each renewal of the serve lease."""

    demand: tuple[zone_messages.Demand, ...]
    upstreams: tuple[zone_messages.UpstreamView, ...]
    shard_load: tuple[zone_messages.ShardLoad, ...]


class _Counts:
    def __init__(self) -> None:
        self.in_flight = 0
        self.latency_s = 0.0
        self.refusals = 0
        self.completions = 0
        self.failures = 0


class LoadRecorder:
    """Collects load by upstream, shard and key between two reports."""

    def __init__(self, clock: clock_lib.Clock, gate: interfaces.Gate) -> None:
        self._clock = clock
        self._gate = gate
        self._meter = load_lib.Meter()
        self._upstreams: dict[str, _Counts] = {}

    def record_key(self, route: interfaces.Route) -> None:
        """Counts a request for the key of a route."""
        self._meter.record(route.keyspace, route.shard, route.key)

    def begin_request(self, upstream_id: str) -> None:
        """Counts a request that acquired a slot of an upstream."""
        counts = self._upstreams.get(upstream_id)
        if counts is None:
            counts = self._upstreams[upstream_id] = _Counts()
        counts.in_flight += 1

    def end_request(
        self, upstream_id: str, outcome: str, latency_s: float
    ) -> None:
        """Counts the end of a request.

        Args:
            upstream_id: The upstream.
            outcome: One of the outcomes in `admission.queues`.
            latency_s: Seconds since the slot was acquired.
        """
        counts = self._upstreams[upstream_id]
        counts.in_flight -= 1
        if outcome == queues_lib.OK:
            counts.completions += 1
            if not counts.latency_s:
                counts.latency_s = latency_s
            counts.latency_s += _LATENCY_SMOOTHING * (
                latency_s - counts.latency_s
            )
        elif outcome == queues_lib.SHED:
            counts.refusals += 1
        elif outcome == queues_lib.FAILURE:
            counts.failures += 1

    def report(self) -> LoadReport:
        """Returns the load since the last report and resets the counts."""
        upstream_views = []
        for upstream_id, counts in self._upstreams.items():
            upstream_views.append(
                zone_messages.UpstreamView(
                    id=upstream_id,
                    in_flight=counts.in_flight,
                    latency_ms=counts.latency_s * 1000,
                    refusals=counts.refusals,
                    completions=counts.completions,
                    failures=counts.failures,
                )
            )
            counts.refusals = counts.completions = counts.failures = 0
        return LoadReport(
            self._gate.collect_demand(),
            tuple(upstream_views),
            self._meter.report(self._clock.monotonic()),
        )

    def forget_missing(self, present: frozenset[str]) -> tuple[str, ...]:
        """Removes idle upstreams that are not present; returns their ids."""
        removed = tuple(
            upstream_id
            for upstream_id, counts in self._upstreams.items()
            if upstream_id not in present and not counts.in_flight
        )
        for upstream_id in removed:
            del self._upstreams[upstream_id]
        return removed
