"""What an entry instance derives from its copy of the fleet's state."""

from collections.abc import Iterator
from typing import Any

from bamboosill_common import clock as clock_lib
from bamboosill_common.generated import fleet as messages
from bamboosilld.consensus import signals
from bamboosilld.fleet import follower as follower_lib
from bamboosilld.fleet import state as state_lib
from bamboosilld.gateway import balance
from bamboosilld.gateway import routes as routes_lib


class View:
    """Routes, services and upstreams, kept up to date.

    Attributes:
        state: The copy of the fleet's state.
        routes: Routes in force.
        services: Services in force, by name.
        changed: Notified after each change of the state.
    """

    def __init__(
        self,
        state: state_lib.FleetState,
        clock: clock_lib.Clock,
        request_id_name: bytes,
    ) -> None:
        self.state = state
        self._clock = clock
        self._id_name = request_id_name
        self.routes = routes_lib.Routes(())
        self.services: dict[str, messages.ServiceItem] = {}
        self.changed = signals.Signal()
        self._upstreams: dict[state_lib.Life, balance.Upstream] = {}
        self._by_service: dict[str, list[balance.Upstream]] = {}
        state.add_listener(self._take_change)

    def list_upstreams(self, service: str) -> list[balance.Upstream]:
        """Returns the upstreams of a service that take requests."""
        return self._by_service.get(service, [])

    def find_holder(self, service: str, key: int) -> balance.Upstream | None:
        """Returns the upstream that holds a key, or None."""
        table = self.state.keys.get(service)
        if table is None:
            return None
        held = table.find(key)
        holder = self._upstreams.get(
            state_lib.Life(held.upstream, held.born_ms)
        )
        if holder is None or holder.item.draining:
            return None
        return holder

    def get_fence(self, service: str, key: int) -> int:
        """Returns the fence with which a key was granted, or 0."""
        table = self.state.keys.get(service)
        return table.find(key).fence if table is not None else 0

    def list_new_paces(self) -> Iterator[messages.UpstreamPace]:
        """Yields the paces of the answers since the last call."""
        for upstream in self._upstreams.values():
            pace, usual_s = upstream.take_answers()
            if usual_s:
                yield messages.UpstreamPace(
                    upstream.item.upstream, pace, usual_s * 1000
                )

    def list_new_loads(self) -> Iterator[tuple[str, int, bool]]:
        """Yields what upstreams reported since the last call.

        Yields:
            Id, requests, and whether it did not answer at all.
        """
        for upstream in self._upstreams.values():
            requests = upstream.take_new_load()
            is_silent = upstream.take_silence()
            if requests is not None or is_silent:
                yield upstream.item.upstream, requests or 0, is_silent

    def take_sights(self, sights: dict[str, follower_lib.Sight]) -> None:
        """Takes what all entry instances together have seen."""
        for upstream in self._upstreams.values():
            sight = sights.get(upstream.item.upstream)
            if sight is not None:
                upstream.take_shared_load(sight.requests)
                upstream.take_shared_pace(sight.pace)

    def sweep(self) -> None:
        """Closes connections that are not used any more."""
        for upstream in self._upstreams.values():
            upstream.pool.sweep()

    def _take_change(self, command: Any) -> None:
        if command is None or isinstance(command, messages.ChangeConfiguration):
            configuration = self.state.configuration
            self.routes = routes_lib.Routes(configuration.routes)
            self.services = {each.name: each for each in configuration.services}
        if command is None or isinstance(command, messages.SetUpstreams):
            self._take_upstreams()
        self.changed.notify()

    def _take_upstreams(self) -> None:
        upstreams: dict[state_lib.Life, balance.Upstream] = {}
        by_service: dict[str, list[balance.Upstream]] = {}
        for item in self.state.upstreams.values():
            life = state_lib.Life(item.upstream, item.born_ms)
            upstream = self._upstreams.get(life)
            if upstream is None or upstream.item.address != item.address:
                upstream = balance.Upstream(item, self._clock, self._id_name)
            upstream.item = item
            upstreams[life] = upstream
            if not item.draining:
                by_service.setdefault(item.service, []).append(upstream)
        for life, upstream in self._upstreams.items():
            if life not in upstreams:
                upstream.pool.close_idle()
        self._upstreams = upstreams
        self._by_service = by_service
