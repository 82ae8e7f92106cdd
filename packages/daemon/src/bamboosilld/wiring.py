"""Adapters between the zone member, the entry role and admission."""

from collections.abc import Mapping
import random
from typing import Any
from typing import NamedTuple

from bamboosill_common import clock as clock_lib
from bamboosill_common import contract as contract_lib
from bamboosill_common.generated import zone as zone_messages

from bamboosilld.admission import gate as gate_lib
from bamboosilld.admission import queues as queues_lib
from bamboosilld.admission import retry
from bamboosilld.placement import load
from bamboosilld.zone import member as member_lib

_ENTRY_ROLE = "entry"


class OperationView(NamedTuple):
    """An operation as the entry role reads it."""

    repeatable: bool
    class_: str


class ServiceView(NamedTuple):
    """A service of a contract as the entry role reads it."""

    service: contract_lib.Service

    @property
    def limits(self) -> contract_lib.Limits:
        """Limits of the service."""
        return self.service.limits

    @property
    def deadline_ms(self) -> contract_lib.Deadlines:
        """Deadlines in milliseconds."""
        return self.service.deadlines

    @property
    def weight(self) -> float:
        """Share when an upstream is short of slots."""
        return self.service.weight

    def find_operation(self, method: str, path: str) -> OperationView:
        """Returns the operation of a method and path."""
        found = self.service.find_operation(method, path)
        return OperationView(found.repeatable, found.traffic_class)


class ContractView(NamedTuple):
    """A contract as the entry role reads it."""

    services: Mapping[str, ServiceView]


def view_contract(contract: contract_lib.Contract) -> ContractView:
    """Returns the entry role's view of a contract."""
    return ContractView({each.name: ServiceView(each) for each in contract.services})


class UpstreamMeter:
    """What this instance observed of each upstream since the last report."""

    def __init__(self) -> None:
        self._in_flight: dict[str, int] = {}
        self._seen: dict[str, zone_messages.UpstreamView] = {}

    def begin(self, upstream: str) -> None:
        """Counts a request that begins."""
        self._in_flight[upstream] = self._in_flight.get(upstream, 0) + 1

    def end(self, upstream: str, outcome: str, latency_s: float) -> None:
        """Counts a request that ended."""
        self._in_flight[upstream] -= 1
        seen = self._seen.get(upstream, zone_messages.UpstreamView(id=upstream))
        completions = seen.completions + (outcome == "ok")
        latency_ms = seen.latency_ms
        if outcome == "ok":
            latency_ms += (latency_s * 1000 - latency_ms) / completions
        self._seen[upstream] = seen._replace(
            completions=completions,
            latency_ms=latency_ms,
            refusals=seen.refusals + (outcome == "shed"),
            failures=seen.failures + (outcome == "failed"),
        )

    def report(self) -> tuple[zone_messages.UpstreamView, ...]:
        """Returns the figures since the last report and starts again."""
        names = {*self._seen, *(n for n, c in self._in_flight.items() if c)}
        views = tuple(
            self._seen.get(
                name, zone_messages.UpstreamView(id=name)
            )._replace(in_flight=max(0, self._in_flight.get(name, 0)))
            for name in sorted(names)
        )
        self._seen.clear()
        return views


class MeteredSlot:
    """A slot whose use is counted."""

    def __init__(
        self, slot: queues_lib.Slot, meter: UpstreamMeter, upstream: str
    ) -> None:
        self._slot = slot
        self._meter = meter
        self._upstream = upstream
        self._released = False
        meter.begin(upstream)

    def release(self, outcome: str, latency_s: float) -> None:
        """Gives the slot back."""
        if not self._released:
            self._released = True
            self._meter.end(self._upstream, outcome, latency_s)
        self._slot.release(outcome, latency_s)


class MeteredQueue:
    """The queue of one upstream, with its use counted."""

    def __init__(
        self, queue: queues_lib.UpstreamQueue, meter: UpstreamMeter
    ) -> None:
        self._queue = queue
        self._meter = meter

    async def acquire(
        self, customer: str, weight: float, class_: str, until: float
    ) -> Any:
        """Returns a slot, or why the request is refused."""
        result = await self._queue.acquire(customer, weight, class_, until)
        return result.map(
            lambda slot: MeteredSlot(slot, self._meter, self._queue.upstream.id)
        )


class MeteredQueues:
    """The queues of all upstreams, with their use counted."""

    def __init__(self, queues: queues_lib.Queues, meter: UpstreamMeter) -> None:
        self._queues = queues
        self._meter = meter

    def get(self, upstream: zone_messages.Upstream) -> MeteredQueue:
        """Returns the queue of an upstream."""
        return MeteredQueue(self._queues.get(upstream), self._meter)


class EntryBudget:
    """The retry budget under the names that the entry role uses."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._budget = retry.Budget(clock)

    def note_request(self, customer: str) -> None:
        """Counts a request that is no retry."""
        self._budget.record_request(customer)

    def can_retry(self, customer: str) -> bool:
        """Takes one retry from the budget if there is one."""
        return self._budget.try_retry(customer)

    def compute_backoff(self, attempt: int, rng: random.Random) -> float:
        """Returns the delay in seconds before a retry."""
        return retry.compute_backoff_s(attempt, rng)


class EntryMember:
    """The zone member as the entry role uses it; counts load by shard."""

    def __init__(
        self, member: member_lib.ZoneMember, meter: load.Meter
    ) -> None:
        self._member = member
        self._meter = meter
        self._views: dict[str, tuple[Any, ContractView]] = {}

    def __getattr__(self, name: str) -> Any:
        return getattr(self._member, name)

    def find_contract(self, customer: str) -> ContractView | None:
        """Returns a customer's contract in force."""
        contract = self._member.find_contract(customer)
        if contract is None:
            self._views.pop(customer, None)
            return None
        known = self._views.get(customer)
        if known is None or known[0] is not contract:
            known = self._views[customer] = (contract, view_contract(contract))
        return known[1]

    def begin_dispatch(self, route: Any, deadline_s: float) -> Any | None:
        """Returns a dispatch in flight, or None to route again."""
        dispatch = self._member.begin_dispatch(route, deadline_s)
        if dispatch is not None:
            self._meter.record(route.keyspace, route.shard, route.key)
        return dispatch

    def is_quarantined(self, fingerprint: bytes) -> str | None:
        """Returns why a request is quarantined, or None."""
        found = self._member.find_quarantine(fingerprint)
        return None if found is None else str(found)

    def count_entry_instances(self) -> int:
        """Returns how many entry instances the zone has, at least 1."""
        return self._member.count_entry_instances()


class Admission:
    """Admission of one entry instance, tied to its zone member."""

    def __init__(
        self,
        member: member_lib.ZoneMember,
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._started_s = clock.monotonic()
        self.meter = load.Meter()
        self.upstream_meter = UpstreamMeter()
        self.gate = gate_lib.Gate(clock, rng, member.count_entry_instances)
        queues = queues_lib.Queues(clock, rng, member.count_entry_instances)
        self.gate.watch_queues(queues.get_longest_wait_s)
        self.queues = MeteredQueues(queues, self.upstream_meter)
        self.budget = EntryBudget(clock)
        self.member = EntryMember(member, self.meter)
        member.add_contract_listener(self._update_contract)
        member.add_share_listener(self.gate.update_shares)
        member.set_reporter(self._report)

    def _update_contract(
        self, customer: str, contract: contract_lib.Contract | None
    ) -> None:
        view = None if contract is None else view_contract(contract)
        self.gate.update_contract(customer, view)

    def _report(self) -> member_lib.Report:
        return member_lib.Report(
            self.gate.report_demand(),
            self.upstream_meter.report(),
            self.meter.report(self._clock.monotonic()),
        )
