"""Routing data that an entry instance derives from the fleet's state."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

from bamboosill_common import clock as clock_lib
from bamboosill_common import logs
from bamboosill_common.generated import fleet as messages
from bamboosilld.consensus import change_notifier
from bamboosilld.fleet import follower as follower_lib
from bamboosilld.fleet import state as state_lib
from bamboosilld.gateway import evacuation
from bamboosilld.gateway import load_balancing
from bamboosilld.gateway import routes as routes_lib

_log = logs.get_logger("gateway")


class View:
    """Routes, services and upstreams, updated with each state change.

    Attributes:
        state: This instance's replica of the fleet's state.
        routes: Active routes.
        services: Active services by name.
        changed: Notified after each state change.
    """

    def __init__(
        self,
        state: state_lib.FleetState,
        clock: clock_lib.Clock,
        request_id_name: bytes,
        local_host: str = "",
        drain_s: float = load_balancing.DEFAULT_DRAIN_S,
        evacuation_s: float = evacuation.DEFAULT_BOUND_S,
        get_last_sync_s: Callable[[], float] | None = None,
    ) -> None:
        """Initializes the instance.

        Args:
            state: This instance's replica of the fleet's state.
            clock: Clock of this instance.
            request_id_name: Name of the header with the id of a request.
            local_host: Source IP address of connections to upstreams.
            drain_s: Time for which a leaving upstream still takes requests.
            evacuation_s: Time within which the order to evacuate a zone is in
                force at all instances.
            get_last_sync_s: See `evacuation.Evacuations`; by default, changes
                of the state are known at once.
        """
        self._drain_s = drain_s
        self._evacuations = evacuation.Evacuations(
            evacuation_s, get_last_sync_s or clock.monotonic
        )
        self.state = state
        self._clock = clock
        self._request_id_name = request_id_name
        self._local_host = local_host
        self.routes = routes_lib.Routes(())
        self.services: dict[str, messages.ServiceItem] = {}
        self.changed = change_notifier.ChangeNotifier()
        self._upstreams: dict[
            state_lib.UpstreamIncarnation, load_balancing.Upstream
        ] = {}
        self._by_service: dict[str, list[load_balancing.Upstream]] = {}
        state.add_listener(self._apply_change)

    def list_upstreams(self, service: str) -> list[load_balancing.Upstream]:
        """Returns the upstreams of a service that are not draining."""
        return self._by_service.get(service, [])

    def list_all_upstreams(self) -> list[load_balancing.Upstream]:
        """Returns the upstreams of all services."""
        return list(self._upstreams.values())

    def find_holder(
        self, service: str, key: int
    ) -> load_balancing.Upstream | None:
        """Returns the upstream that holds a key, or None if it is gone."""
        table = self.state.keys.get(service)
        if table is None:
            return None
        held = table.find(key)
        holder = self._upstreams.get(
            state_lib.UpstreamIncarnation(held.upstream, held.born_ms)
        )
        if holder is None or holder.item.draining:
            return None
        return holder

    def get_fence(self, service: str, key: int) -> int:
        """Returns the fencing token of a key's grant, or 0."""
        table = self.state.keys.get(service)
        return table.find(key).fence if table is not None else 0

    def list_new_relative_latencies(self) -> Iterator[messages.UpstreamPace]:
        """Yields relative latencies of the responses since the last call."""
        for upstream in self._upstreams.values():
            relative_latency, baseline_s = upstream.pop_relative_latency()
            if baseline_s:
                yield messages.UpstreamPace(
                    upstream.item.upstream, relative_latency, baseline_s * 1000
                )

    def list_new_loads(self) -> Iterator[tuple[str, int, bool]]:
        """Yields the upstream loads observed since the last call.

        Yields:
            Upstream id, number of requests that run or wait at it (0 if no load
            was observed since), and whether an attempt got no response.
        """
        for upstream in self._upstreams.values():
            load = upstream.pop_new_load()
            no_response = upstream.pop_no_response()
            if load is not None or no_response:
                yield upstream.item.upstream, load or 0, no_response

    def update_stats(
        self, stats: dict[str, follower_lib.UpstreamStats]
    ) -> None:
        """Applies the combined stats of all entry instances."""
        for upstream in self._upstreams.values():
            upstream_stats = stats.get(upstream.item.upstream)
            if upstream_stats is not None:
                upstream.update_shared_load(upstream_stats.requests)
                upstream.update_shared_relative_latency(
                    upstream_stats.relative_latency
                )

    def update_limits(self, limits: tuple[messages.UpstreamLimit, ...]) -> None:
        """Applies the rate limits that other instances have observed."""
        now_s = self._clock.monotonic()
        for limit in limits:
            upstream = self._upstreams.get(
                state_lib.UpstreamIncarnation(limit.upstream, limit.born_ms)
            )
            if upstream is not None:
                upstream.rate_limit.apply(limit, now_s)

    def sweep(self) -> None:
        """Closes idle connections that may not be reused any more."""
        for upstream in self._upstreams.values():
            upstream.pool.sweep()

    def _apply_change(self, command: Any) -> None:
        if command is None or isinstance(command, messages.ChangeConfiguration):
            configuration = self.state.configuration
            self.routes = routes_lib.Routes(configuration.routes)
            self.services = {each.name: each for each in configuration.services}
            self._update_cold_rates()
        if command is None or isinstance(command, messages.SetUpstreams):
            self._update_upstreams()
            self._mark_cold(
                self.state.upstreams.values()
                if command is None
                else command.upstreams
            )
        if command is None or isinstance(
            command, messages.SetUpstreams | messages.SetEvacuation
        ):
            self._update_evacuations()
        self.changed.notify()

    def _update_evacuations(self) -> None:
        """Applies which zones are evacuated.

        The upstreams of a zone whose evacuation has ended may have become cold
        meanwhile.
        """
        withdrawn = self._evacuations.update(self.state.evacuated_zones)
        for upstream in self._upstreams.values():
            zone = upstream.item.zone
            upstream.availability.set_evacuation(
                self._evacuations.get_holders_until_s(zone)
            )
            service = self.services.get(upstream.item.service)
            if zone in withdrawn and service is not None:
                upstream.mark_cold(service.warmup_ms / 1000)

    def _update_cold_rates(self) -> None:
        for upstream in self._upstreams.values():
            upstream.rate_limit.set_cold_rate(
                self._get_cold_rate(upstream.item.service)
            )

    def _get_cold_rate(self, service: str) -> float:
        item = self.services.get(service)
        return item.warmup_per_s if item is not None else 0.0

    def _mark_cold(self, items: Iterable[messages.UpstreamItem]) -> None:
        """Marks upstreams as cold that were so when they were committed.

        The item of a snapshot may be old; the leader's replies correct that.
        """
        for item in items:
            upstream = self._upstreams.get(
                state_lib.UpstreamIncarnation(item.upstream, item.born_ms)
            )
            if upstream is not None and self._get_cold_rate(item.service):
                upstream.mark_cold(item.warmup_ms / 1000)

    def _update_upstreams(self) -> None:
        upstreams: dict[
            state_lib.UpstreamIncarnation, load_balancing.Upstream
        ] = {}
        by_service: dict[str, list[load_balancing.Upstream]] = {}
        for item in self.state.upstreams.values():
            incarnation = state_lib.UpstreamIncarnation(
                item.upstream, item.born_ms
            )
            known = upstream = self._upstreams.get(incarnation)
            if upstream is None or upstream.item.address != item.address:
                try:
                    upstream = load_balancing.Upstream(
                        item,
                        self._clock,
                        self._request_id_name,
                        self._local_host,
                        self._drain_s,
                    )
                except ValueError as error:
                    # Earlier versions registered any address.
                    _log.warning(
                        "Upstream %s cannot be used. Reason: %s.",
                        item.upstream,
                        error,
                    )
                    continue
                if known is not None:
                    upstream.availability = known.availability
                    upstream.rate_limit = known.rate_limit
            upstream.item = item
            upstream.rate_limit.set_cold_rate(self._get_cold_rate(item.service))
            upstreams[incarnation] = upstream
            if not item.draining:
                by_service.setdefault(item.service, []).append(upstream)
        for incarnation, upstream in self._upstreams.items():
            if incarnation not in upstreams:
                upstream.pool.close_idle()
        self._upstreams = upstreams
        self._by_service = by_service
