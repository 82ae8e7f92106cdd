"""Protocols of the components that the entry role depends on.

`deadline_s` is a duration in seconds; `until` is a time of the monotonic
clock.
"""

from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import Protocol

from returns.result import Result

from bamboosill_common import errors
from bamboosill_common.generated import zone as zone_messages
from bamboosilld.admission import refusal


class Limits(Protocol):
    """Limits of one service in a contract."""

    @property
    def max_header_bytes(self) -> int:
        """Maximum size of a request head, in bytes."""

    @property
    def max_body_bytes(self) -> int:
        """Maximum size of a request body, in bytes."""


class Deadlines(Protocol):
    """Deadlines of one service in a contract, in milliseconds."""

    @property
    def default(self) -> int:
        """Deadline of requests that do not set one."""

    @property
    def longest(self) -> int:
        """Maximum deadline; a longer one in a request is shortened to it."""


class Operation(Protocol):
    """One operation of a service."""

    @property
    def repeatable(self) -> bool:
        """Whether it may run more than once."""

    @property
    def traffic_class(self) -> str:
        """Priority class: counter, wait or lag."""


class Service(Protocol):
    """One service of a contract."""

    @property
    def limits(self) -> Limits:
        """Size limits."""

    @property
    def deadlines(self) -> Deadlines:
        """Default and maximum deadline."""

    @property
    def weight(self) -> float:
        """Weight in the queue of an overloaded upstream."""

    def find_operation(self, method: str, path: str) -> Operation:
        """Returns the operation of a method and path."""


class Contract(Protocol):
    """The contract of one customer."""

    @property
    def customer(self) -> str:
        """Name of the customer."""

    @property
    def services(self) -> Sequence[Any]:
        """All services."""

    def find_service(self, name: str) -> Any | None:
        """Returns the service of that name, a `Service`."""


class Route(Protocol):
    """The current owner of a key."""

    @property
    def status(self) -> str:
        """One of local, remote, moving, unassigned, unreachable, ..."""

    @property
    def keyspace(self) -> str:
        """Keyspace of the key."""

    @property
    def shard(self) -> int:
        """Shard of the key."""

    @property
    def key(self) -> str:
        """Name of the key as `sharding.format_hot_key` gives it."""

    @property
    def fence(self) -> int:
        """Fencing token of the assignment."""

    @property
    def upstream(self) -> zone_messages.Upstream | None:
        """The owning upstream, for a local route."""

    @property
    def zone(self) -> str:
        """The zone that owns the key."""

    @property
    def addresses(self) -> Sequence[str]:
        """Caller addresses of that zone, for a remote route."""


class ZoneMember(Protocol):
    """The member of the zone group that runs in this instance."""

    @property
    def clock_skew_ms(self) -> int:
        """Wall clock of this instance minus that of the control leader."""

    def find_contract(self, customer: str) -> Contract | None:
        """Returns a customer's contract in force."""

    def route(self, customer: str, service: str, key: str) -> Route:
        """Returns where a key is served now."""

    async def wait_for_routing_change(self, deadline_s: float) -> object:
        """Waits until routes may have changed, for at most `deadline_s`."""

    def begin_dispatch(self, route: Any, deadline_s: float) -> Any | None:
        """Registers a dispatch; returns None if it must not be sent.

        That is so if the route or the lease is no longer valid; the request
        must then be routed again.
        """

    def check_dispatch(self, dispatch: Any) -> bool:
        """Returns whether the lease and route of a dispatch are still valid."""

    def end_dispatch(self, dispatch: Any) -> None:
        """Unregisters a dispatch."""

    async def propose(
        self, message: Any, deadline_s: float
    ) -> Result[object, errors.ProposeError]:
        """Commits a command in the zone group."""

    def find_quarantine(self, fingerprint: bytes) -> Any | None:
        """Returns the `Quarantine` of a request, or None."""

    def list_contracts(self) -> Mapping[str, Any]:
        """Returns all contracts in force by customer."""

    def list_upstreams(self) -> Sequence[zone_messages.Upstream]:
        """Returns the upstreams of the zone."""

    def set_load_reporter(self, reporter: Callable[[], Any]) -> None:
        """Sets the source of the load report sent with each lease renewal."""

    def add_share_listener(self, listener: Callable[[Any], None]) -> None:
        """Calls `listener(shares)` when limit shares arrive."""

    def add_contract_listener(
        self, listener: Callable[[str, Any], None]
    ) -> None:
        """Calls `listener(customer, contract or None)` on each change."""

    async def forward_heartbeat(
        self, beat: zone_messages.UpstreamBeat
    ) -> Result[zone_messages.UpstreamBeatReply, errors.PeerError]:
        """Forwards an upstream's heartbeat to the zone authority."""

    async def register_upstream(
        self, upstream: zone_messages.Upstream
    ) -> Result[Any, Any]:
        """Registers an upstream with the zone authority."""

    def is_ready(self) -> tuple[bool, str]:
        """Returns whether requests can be served, and why not."""


class Quarantine(Protocol):
    """Quarantine of a request: its end, and the crashes that caused it."""

    @property
    def until_ms(self) -> int:
        """Unix time at which the quarantine ends, in milliseconds."""

    @property
    def crashes(self) -> Sequence[tuple[str, int, int]]:
        """Upstream, incarnation and Unix time in ms of each crash."""


class Permit(Protocol):
    """The admission of one request."""

    def release(self) -> None:
        """Returns the permit when the request has ended."""


class Gate(Protocol):
    """Admission control: applies the limits of contracts."""

    async def admit(
        self, customer: str, service: str, traffic_class: str, until: float
    ) -> Result[Permit, refusal.Refusal]:
        """Returns a permit, or why the request is refused."""

    def update_contract(
        self, customer: str, contract: Any | None, new: bool = False
    ) -> None:
        """Applies a new or changed contract, or removes it if None."""

    def update_shares(self, shares: Any) -> None:
        """Applies this instance's shares of the limits."""

    def collect_demand(self) -> tuple[zone_messages.Demand, ...]:
        """Returns the recent demand of each customer and service."""


class Slot(Protocol):
    """Permission to run one of an upstream's concurrent requests."""

    def release(self, outcome: str, latency_s: float) -> None:
        """Releases the slot.

        Args:
            outcome: One of `admission.queues`: ok, shed, failure, cancelled.
            latency_s: Seconds since the slot was acquired.
        """


class Queue(Protocol):
    """The queue of requests for one upstream."""

    async def acquire(
        self,
        customer: str,
        weight: float,
        traffic_class: str,
        until: float,
    ) -> Result[Slot, refusal.Refusal]:
        """Returns a slot, or why the request is refused."""


class Queues(Protocol):
    """The queues of all upstreams."""

    def get(self, upstream: zone_messages.Upstream) -> Queue:
        """Returns the queue of an upstream."""

    def drop(self, upstream_id: str) -> None:
        """Removes the queue of an upstream that no longer exists."""


class RetryBudget(Protocol):
    """Limits retries to a fraction of recent requests."""

    def record_request(self, customer: str) -> None:
        """Counts a first attempt."""

    def try_retry(self, customer: str) -> bool:
        """Takes one retry from the budget; returns false if it is used up."""


Spawn = Callable[[Coroutine[Any, Any, Any]], object]
