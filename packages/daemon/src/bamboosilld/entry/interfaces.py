"""What the entry role expects of the parts that are given to it.

Deadlines called `deadline_s` are durations in seconds; those called `until`
are times of the monotonic clock.
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
        """Longest request head."""

    @property
    def max_body_bytes(self) -> int:
        """Longest request body."""


class Deadlines(Protocol):
    """Deadlines of one service in a contract, in milliseconds."""

    @property
    def default(self) -> int:
        """Deadline of a request that states none."""

    @property
    def longest(self) -> int:
        """Longest deadline that a request may state."""


class Operation(Protocol):
    """How one operation of a service is treated."""

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
        """Deadlines."""

    @property
    def weight(self) -> float:
        """Share when an upstream is short of slots."""

    def find_operation(self, method: str, path: str) -> Operation:
        """Returns the operation of a method and path."""


class Contract(Protocol):
    """The contract of one customer."""

    @property
    def customer(self) -> str:
        """The customer."""

    @property
    def services(self) -> Sequence[Any]:
        """All services."""

    def find_service(self, name: str) -> Any | None:
        """Returns the service of that name, a `Service`."""


class Route(Protocol):
    """Where a key is served now."""

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
        """Fence of the assignment."""

    @property
    def upstream(self) -> zone_messages.Upstream | None:
        """The owner, for a local route."""

    @property
    def zone(self) -> str:
        """The zone that serves the key."""

    @property
    def addresses(self) -> Sequence[str]:
        """Caller addresses of that zone, for a remote route."""


class Member(Protocol):
    """This instance's part in its zone group."""

    @property
    def clock_skew_ms(self) -> int:
        """Wall clock of this instance minus that of the control leader."""

    def find_contract(self, customer: str) -> Contract | None:
        """Returns a customer's contract in force."""

    def route(self, customer: str, service: str, key: str) -> Route:
        """Returns where a key is served now."""

    async def wait_change(self, deadline_s: float) -> object:
        """Waits until routes may have changed, at most `deadline_s`."""

    def begin_dispatch(self, route: Any, deadline_s: float) -> Any | None:
        """Returns a dispatch in flight, or None to route again."""

    def check_dispatch(self, dispatch: Any) -> bool:
        """Returns whether the lease and the route of a dispatch still hold."""

    def end_dispatch(self, dispatch: Any) -> None:
        """Ends a dispatch."""

    async def propose(
        self, message: Any, deadline_s: float
    ) -> Result[object, errors.ProposeError]:
        """Commits a command in the zone group."""

    def find_quarantine(self, fingerprint: bytes) -> Any | None:
        """Returns why a request is quarantined, a `Quarantine`, or None."""

    def contracts(self) -> Mapping[str, Any]:
        """Returns all contracts in force by customer."""

    def upstreams(self) -> Sequence[zone_messages.Upstream]:
        """Returns the upstreams of the zone."""

    def set_reporter(self, reporter: Callable[[], Any]) -> None:
        """Sets what provides the figures sent with each lease renewal."""

    def add_share_listener(self, listener: Callable[[Any], None]) -> None:
        """Calls `listener(shares)` when shares of limits arrive."""

    def add_contract_listener(
        self, listener: Callable[[str, Any], None]
    ) -> None:
        """Calls `listener(customer, contract or None)` at each change."""

    async def beat_upstream(
        self, beat: zone_messages.UpstreamBeat
    ) -> Result[zone_messages.UpstreamBeatReply, errors.PeerError]:
        """Passes an upstream's heartbeat to the zone authority."""

    async def announce_upstream(
        self, upstream: zone_messages.Upstream
    ) -> Result[Any, Any]:
        """Registers an upstream with the zone authority."""

    def is_ready(self) -> tuple[bool, str]:
        """Returns whether requests can be served, and why not."""


class Quarantine(Protocol):
    """Why a request is quarantined."""

    @property
    def until_ms(self) -> int:
        """Wall time at which it is released, in milliseconds."""

    @property
    def crashes(self) -> Sequence[tuple[str, int, int]]:
        """Upstream, incarnation and wall time of each crash."""


class Permit(Protocol):
    """Admission of one request."""

    def release(self) -> None:
        """Ends the request."""


class Gate(Protocol):
    """Applies the limits of contracts."""

    async def admit(
        self, customer: str, service: str, class_: str, until: float
    ) -> Result[Permit, refusal.Refusal]:
        """Returns a permit, or why the request is refused."""

    def update_contract(
        self, customer: str, contract: Any | None, new: bool = False
    ) -> None:
        """Puts a contract in force, or ends it."""

    def update_shares(self, shares: Any) -> None:
        """Puts shares of limits in force."""

    def report_demand(self) -> tuple[zone_messages.Demand, ...]:
        """Returns the recent demand of each customer and service."""


class Slot(Protocol):
    """One of the requests that an upstream may run at a time."""

    def release(self, outcome: str, latency_s: float) -> None:
        """Gives the slot back.

        Args:
            outcome: One of `admission.queues`: ok, shed, failure, cancelled.
            latency_s: Seconds from dispatch to the end of the answer.
        """


class Queue(Protocol):
    """Requests that wait for one upstream."""

    async def acquire(
        self, customer: str, weight: float, class_: str, until: float
    ) -> Result[Slot, refusal.Refusal]:
        """Returns a slot, or why the request is refused."""


class Queues(Protocol):
    """The queues of all upstreams."""

    def get(self, upstream: zone_messages.Upstream) -> Queue:
        """Returns the queue of an upstream."""

    def drop(self, upstream_id: str) -> None:
        """Forgets an upstream that is gone."""


class Budget(Protocol):
    """Bounds retries to a part of recent requests."""

    def record_request(self, customer: str) -> None:
        """Counts a first attempt."""

    def try_retry(self, customer: str) -> bool:
        """Takes one retry from the budget; returns whether there was one."""


Spawn = Callable[[Coroutine[Any, Any, Any]], object]
