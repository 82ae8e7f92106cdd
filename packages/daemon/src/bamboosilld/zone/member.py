"""This instance as a member of its availability zone's consensus group.

`ZoneMember` is what the rest of the instance uses of the zone: routes, dispatch
checks, contracts, commands and readiness. It joins the group, renews the serve
lease, and runs an `Authority` while its node leads.
"""

import asyncio
from collections.abc import Callable
import random
from typing import Any

from returns.result import Result

from bamboosill_common import clock as clock_lib
from bamboosill_common import contract as contract_lib
from bamboosill_common import errors
from bamboosill_common import events
from bamboosill_common import logs
from bamboosill_common import peer
from bamboosill_common.generated import control
from bamboosill_common.generated import zone as messages
from bamboosilld import quarantine as quarantine_lib
from bamboosilld.zone import authority as authority_lib
from bamboosilld.zone import change_notifier
from bamboosilld.zone import contracts as contracts_lib
from bamboosilld.zone import feed as feed_lib
from bamboosilld.zone import handlers as handlers_lib
from bamboosilld.zone import inflight
from bamboosilld.zone import leader_client as leader_client_lib
from bamboosilld.zone import membership as membership_lib
from bamboosilld.zone import planner as planner_lib
from bamboosilld.zone import registration
from bamboosilld.zone import renewal as renewal_lib
from bamboosilld.zone import routes
from bamboosilld.zone import state as state_lib
from bamboosilld.zone import upstream_client as client_lib

Dispatch = inflight.Dispatch
LoadReport = renewal_lib.LoadReport
Route = routes.Route

# With more skew the instance is not ready; see section 2.6 of the design.
MAX_CLOCK_SKEW_MS = 1_000
_LEADER_CALL_TIMEOUT_S = 1.0
# Short, so that an upstream has time to try another instance.
_HEARTBEAT_TIMEOUT_S = 0.4

_log = logs.get_logger("zone")


class ZoneMember:
    """Joins the zone group, renews the serve lease and routes requests."""

    def __init__(
        self,
        identity: peer.Identity,
        instance_item: control.InstanceItem,
        control_addresses: tuple[str, ...],
        directory: peer.Directory,
        handlers: peer.Handlers,
        groups: Any,
        clock: clock_lib.Clock,
        rng: random.Random,
        timeline: events.Timeline,
        policy: planner_lib.MakePolicy,
        upstream_client: client_lib.UpstreamClient,
        parse_contract: contracts_lib.Parse = contract_lib.read_stored,
        make_node: membership_lib.MakeNode | None = None,
    ) -> None:
        """Prepares the member.

        Args:
            identity: This instance.
            instance_item: Registered with the control group.
            control_addresses: Peer addresses of control instances.
            directory: Connections to other instances.
            handlers: Registry for its message handlers.
            groups: Dispatches consensus messages to nodes.
            clock: Source of time.
            rng: Random number generator.
            timeline: Records events.
            policy: Creates the placement policy of one service.
            upstream_client: Sends notices to upstreams.
            parse_contract: Parses a contract document.
            make_node: Creates the consensus node; replaced in tests.
        """
        self._identity = identity
        self._control_addresses = control_addresses
        self._clock = clock
        self._contracts = contracts_lib.ContractCache(parse_contract)
        self._make_policy = policy
        self._client = upstream_client
        self._directory = directory
        self._timeline = timeline
        self._routing_changed = change_notifier.ChangeNotifier()
        self._in_flight = inflight.InFlightTable()
        self._share_listeners: list[Callable[[Any], None]] = []
        self._contract_view = contracts_lib.ContractView(self._contracts)
        self._authority: authority_lib.Authority | None = None
        self._authority_task: asyncio.Task[None] | None = None
        self._task: asyncio.Task[None] | None = None
        self._membership = membership_lib.Membership(
            membership_lib.Dependencies(
                identity,
                instance_item,
                directory,
                groups,
                clock,
                rng,
                timeline,
                registration.Registrar(
                    instance_item, control_addresses, directory, clock
                ),
                make_node or membership_lib.make_node,
                self._follow_group,
            )
        )
        self._renewal = renewal_lib.Renewal(
            identity,
            self._membership,
            self._in_flight,
            clock,
            self._call_leader,
        )
        self._renewal.on_lease = self._handle_lease
        self._leader_client = leader_client_lib.LeaderClient(
            self._membership, clock, self._call_leader, self._get_authority
        )
        handlers_lib.register(handlers, self._membership, self._get_authority)

    async def start(self) -> None:
        """Starts joining the group; `is_ready` tells when that is done."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Leaves the group."""
        tasks = [t for t in (self._task, self._authority_task) if t]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._membership.leave()

    async def _run(self) -> None:
        while True:
            try:
                await self._membership.enter()
                await self._renewal.run()
            except Exception:
                _log.exception("The zone group was left.")
                await self._clock.sleep(renewal_lib.RETRY_INTERVAL_S)
            await self._membership.leave()
            self._end_leadership()

    # Contracts.

    def find_contract(self, customer: str) -> Any | None:
        """Returns a customer's contract in force."""
        return self._contract_view.find(customer)

    def list_contracts(self) -> dict[str, Any]:
        """Returns all contracts in force by customer."""
        return self._contract_view.list_all()

    def add_contract_listener(
        self, listener: Callable[[str, Any], None]
    ) -> None:
        """Registers `listener(customer, contract or None)` for changes."""
        self._contract_view.add_listener(listener)

    # Routing.

    def route(self, customer: str, service: str, key: str) -> routes.Route:
        """Returns where requests for a key go now."""
        state = self._membership.state
        contract = self.find_contract(customer)
        if contract is None:
            return routes.Route(routes.UNKNOWN_CUSTOMER)
        if state is None or self._contract_view.feed is not state.feed:
            return routes.Route(routes.MOVING, zone=self._identity.zone)
        route = routes.find_route(state, contract, service, key)
        if route.status == routes.LOCAL and not self._has_lease(route):
            return route._replace(status=routes.MOVING)
        return route

    async def wait_for_routing_change(self, deadline_s: float) -> bool:
        """Waits until assignments or leases change, or the deadline."""
        return await self._routing_changed.wait(deadline_s)

    def begin_dispatch(
        self, route: routes.Route, deadline_s: float
    ) -> Dispatch | None:
        """Registers a request that is about to be sent to an upstream.

        Args:
            route: A local route.
            deadline_s: Seconds after which it has ended.

        Returns:
            None if the request must be routed again.
        """
        key = self._find_dispatchable(route)
        if key is None:
            return None
        deadline_at_s = self._clock.monotonic() + deadline_s
        return self._in_flight.begin(route, key, deadline_at_s)

    def check_dispatch(self, dispatch: Dispatch) -> bool:
        """Returns whether a dispatched request may still be sent now."""
        return self._find_dispatchable(dispatch.route) == dispatch.assignment

    def end_dispatch(self, dispatch: Dispatch) -> None:
        """Unregisters a request that is no longer in flight."""
        if not self._in_flight.end(dispatch):
            return
        state = self._membership.state
        value = state.assignments.find(dispatch.assignment) if state else None
        if value is not None and value.moving:
            self._renewal.renew_now()

    def _find_dispatchable(self, route: routes.Route) -> Any | None:
        state = self._membership.state
        if state is None or self._contract_view.feed is not state.feed:
            return None
        key = routes.find_current(state, route)
        return key if key is not None and self._has_lease(route) else None

    def _has_lease(self, route: routes.Route) -> bool:
        state = self._membership.state
        return state is not None and self._renewal.has_lease(
            state.feed.has_lapsing_delegations(route.keyspace)
        )

    # Commands and queries.

    async def propose(
        self, message: Any, deadline_s: float
    ) -> Result[Any, errors.ProposeError]:
        """Commits a command through the zone leader."""
        return await self._leader_client.propose(message, deadline_s)

    async def register_upstream(
        self, upstream: messages.Upstream
    ) -> Result[messages.CommandStatus, errors.ProposeError]:
        """Registers an upstream."""
        return await self.propose(
            messages.PutUpstream(upstream), _LEADER_CALL_TIMEOUT_S
        )

    async def drain_upstream(
        self, upstream_id: str
    ) -> Result[messages.CommandStatus, errors.ProposeError]:
        """Moves all work away from an upstream."""
        return await self._leader_client.drain(
            upstream_id, _LEADER_CALL_TIMEOUT_S
        )

    async def forward_heartbeat(
        self, beat: messages.UpstreamBeat
    ) -> Result[messages.UpstreamBeatReply, errors.PeerError]:
        """Forwards a heartbeat of an upstream to the zone leader."""
        return await self._leader_client.send_heartbeat(
            beat, _HEARTBEAT_TIMEOUT_S
        )

    async def explain_key(
        self, customer: str, service: str, key: str
    ) -> Result[dict[str, Any], errors.PeerError]:
        """Returns what the leader knows of a key's assignment."""
        route = self.route(customer, service, key)
        return await self._leader_client.explain(route, _LEADER_CALL_TIMEOUT_S)

    def list_upstreams(self) -> tuple[messages.Upstream, ...]:
        """Returns the upstreams of the zone."""
        state = self._membership.state
        return tuple(state.upstreams.list_current()) if state else ()

    def find_quarantine(
        self, fingerprint: bytes
    ) -> quarantine_lib.Explanation | None:
        """Returns why a request is quarantined, or None."""
        state = self._membership.state
        if state is None:
            return None
        return state.quarantine.find(fingerprint, self._clock.wall_ms())

    def count_entry_instances(self) -> int:
        """Returns how many entry instances the zone has, at least 1."""
        return max(
            1,
            sum(
                item.zone == self._identity.zone
                and "entry" in item.roles
                and not item.removed
                for item in self._contract_view.feed.instances.values()
            ),
        )

    # Load reports, shares of limits, clock skew and readiness.

    def set_load_reporter(self, reporter: Callable[[], LoadReport]) -> None:
        """Sets the source of the load reports in lease renewals."""
        self._renewal.reporter = reporter

    def add_share_listener(
        self, listener: Callable[[tuple[messages.Share, ...]], None]
    ) -> None:
        """Registers `listener(shares)`, called when shares of limits arrive."""
        self._share_listeners.append(listener)

    @property
    def clock_skew_ms(self) -> int:
        """Own wall clock minus that of control, at the last renewal."""
        return self._renewal.clock_skew_ms

    def is_ready(self) -> tuple[bool, str]:
        """Returns whether this instance can serve, and why not."""
        if self._membership.state is None:
            return False, "no zone group joined"
        if not self._renewal.has_lease(False):
            return False, "no serve lease"
        if self._contract_view.feed.revision == 0:
            return False, "no control state received"
        if abs(self.clock_skew_ms) > MAX_CLOCK_SKEW_MS:
            return False, f"wall clock is off by {self.clock_skew_ms} ms"
        return True, ""

    # Events of the group.

    def _follow_group(self, state: state_lib.ZoneState, node: Any) -> None:
        """Subscribes to the state and node of a group that is entered."""
        self._renewal.reset()
        state.add_listener(self._handle_applied)
        self._contract_view.set_initial_feed(state.feed)
        node.add_leadership_listener(self._handle_leadership)

    def _handle_applied(self, command: Any, result: Any) -> None:
        state = self._membership.state
        if state is None:
            return
        if self._authority is not None:
            self._authority.handle_applied(command)
        customers: frozenset[str] = frozenset()
        if command is None:
            customers = result
        elif isinstance(result, feed_lib.FeedChange):
            customers = result.customers
        self._contract_view.update_feed(state.feed, customers)
        if isinstance(command, messages.BeginMove | messages.FinishMove):
            self._renewal.renew_now()
        if not isinstance(command, leader_client_lib.RECORD_COMMANDS):
            self._routing_changed.notify()

    def _handle_leadership(self, is_leader: bool) -> None:
        self._end_leadership()
        node, state = self._membership.node, self._membership.state
        if not is_leader or node is None or state is None:
            return
        deps = authority_lib.Dependencies(
            self._identity,
            state,
            node,
            self._directory,
            self._clock,
            self._timeline,
            self._make_policy,
            self._client,
            self._contracts,
            self._list_control_addresses,
        )
        self._authority = authority_lib.Authority(deps)
        self._authority_task = asyncio.create_task(self._authority.run())

    def _end_leadership(self) -> None:
        self._authority = None
        if self._authority_task is not None:
            self._authority_task.cancel()
            self._authority_task = None

    def _get_authority(self) -> authority_lib.Authority | None:
        return self._authority

    def _list_control_addresses(self) -> tuple[str, ...]:
        known = [
            item.peer_address
            for _, item in sorted(self._contract_view.feed.instances.items())
            if feed_lib.CONTROL_ROLE in item.roles
        ]
        return tuple(dict.fromkeys((*self._control_addresses, *known)))

    async def _call_leader(
        self, message: Any, reply_type: type[Any], deadline_s: float
    ) -> Result[Any, errors.PeerError]:
        return await handlers_lib.call_leader(
            message,
            reply_type,
            deadline_s,
            self._membership,
            self._directory,
            self._authority,
        )

    def _handle_lease(
        self, shares: tuple[messages.Share, ...], is_new: bool
    ) -> None:
        if shares:
            for listener in self._share_listeners:
                listener(shares)
        if is_new:
            self._routing_changed.notify()
