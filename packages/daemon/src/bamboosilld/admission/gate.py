"""Admits requests by contract alone at one entry instance."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import math
import random
from typing import NamedTuple
from typing import Protocol

from returns import result

from bamboosill_common import clock as clock_module
from bamboosill_common.generated import zone
from bamboosilld.admission import lane
from bamboosilld.admission import ramp
from bamboosilld.admission import refusal

# A share that was not renewed for this long is no longer used: the leader may
# have given it to another instance.
SHARE_LIFE_S = 3.0
# Demand is averaged over about this time, so that shares do not follow the
# randomness of arrivals between two lease renewals.
_DEMAND_TIME_S = 2.0
# How often ramps grow and expired shares are noticed.
STEP_S = 0.25


class ContractLimits(Protocol):
    """Limits of one service of a contract, over all entry instances."""

    @property
    def rate_per_s(self) -> float: ...  # noqa: D102
    @property
    def burst(self) -> float: ...  # noqa: D102
    @property
    def concurrency(self) -> float: ...  # noqa: D102
    @property
    def queue(self) -> int: ...  # noqa: D102


class ContractService(Protocol):
    """One service of a contract."""

    @property
    def limits(self) -> ContractLimits: ...  # noqa: D102


class Contract(Protocol):
    """The part of a contract that the gate uses."""

    @property
    def services(self) -> Mapping[str, ContractService]: ...  # noqa: D102


class _Share(NamedTuple):
    share: zone.Share
    received_s: float


class _Entry:
    """A customer's use of one service."""

    def __init__(self, limits: ContractLimits, now_s: float) -> None:
        self.contract = limits
        self.share: _Share | None = None
        self.started = False
        self.lane = lane.Lane(lane.Limits(0, 0, 0, 0), now_s)
        self.rate_per_s = 0.0
        self.concurrency = 0.0
        self.refused_per_s = 0.0
        self.timer: asyncio.TimerHandle | None = None


class Permit:
    """The right to run one request; must be released exactly once."""

    def __init__(self, gate: "Gate", entry: _Entry) -> None:
        self._gate = gate
        self._entry = entry
        self._begun_s = gate.read_clock()
        self._released = False

    def release(self) -> None:
        """Ends the request; further calls have no effect."""
        if not self._released:
            self._released = True
            self._gate.finish(self._entry, self._begun_s)


class Gate:
    """Token buckets, concurrency limits and bounded queues per customer."""

    def __init__(
        self,
        clock: clock_module.Clock,
        rng: random.Random,
        instance_count: Callable[[], int],
    ) -> None:
        del rng
        self._clock = clock
        self._instance_count = instance_count
        self._entries: dict[tuple[str, str], _Entry] = {}
        self._customers: set[str] = set()
        self._ramps: dict[str, ramp.Ramp] = {}
        self._upstream_wait_s: Callable[[], float] = lambda: 0.0
        # Set by the first `admit`; without a loop the caller pumps the lanes.
        self._loop: asyncio.AbstractEventLoop | None = None
        self._stepped_s = clock.monotonic()
        self._reported_s = clock.monotonic()

    def watch_queues(self, longest_wait_s: Callable[[], float]) -> None:
        """Sets what tells the longest present wait for an upstream."""
        self._upstream_wait_s = longest_wait_s

    def read_clock(self) -> float:
        """Returns the present monotonic time."""
        return self._clock.monotonic()

    def update_contract(
        self, customer: str, contract: Contract | None, new: bool = False
    ) -> None:
        """Puts a contract in force, or ends it.

        Args:
            customer: Name of the customer.
            contract: Its contract, or None when it was retired.
            new: Whether the customer was accepted just now, so that its rate
                is to be ramped; false for state received after a restart.
        """
        now_s = self._clock.monotonic()
        services = contract.services if contract is not None else {}
        for place in [item for item in self._entries if item[0] == customer]:
            if place[1] not in services:
                self._close(self._entries.pop(place))
        if contract is None:
            self._customers.discard(customer)
            self._ramps.pop(customer, None)
            return
        if new and customer not in self._customers:
            self._ramps[customer] = ramp.Ramp(now_s)
        self._customers.add(customer)
        for name, service in services.items():
            place = (customer, name)
            if place not in self._entries:
                self._entries[place] = _Entry(service.limits, now_s)
            self._entries[place].contract = service.limits
            self._apply(place, now_s)

    def update_shares(self, shares: Iterable[zone.Share]) -> None:
        """Puts the shares of a lease reply in force."""
        now_s = self._clock.monotonic()
        for share in shares:
            place = (share.customer, share.service)
            if place in self._entries:
                self._entries[place].share = _Share(share, now_s)
                self._apply(place, now_s)

    def step(self) -> None:
        """Grows ramps and drops expired shares; called when time passes."""
        now_s = self._clock.monotonic()
        if now_s - self._stepped_s < STEP_S:
            return
        self._stepped_s = now_s
        for customer, growing in list(self._ramps.items()):
            growing.step(now_s, self._find_wait_s(now_s))
            if growing.is_done():
                del self._ramps[customer]
        for place in self._entries:
            self._apply(place, now_s)

    def request(
        self,
        customer: str,
        service: str,
        deadline_s: float,
        decided: lane.Decided | None = None,
    ) -> lane.Ticket | refusal.Refusal:
        """Decides without waiting; `admit` waits for the decision."""
        self.step()
        entry = self._entries.get((customer, service))
        if entry is None:
            return self._refuse_unknown(customer, service)
        return entry.lane.request(self._clock.monotonic(), deadline_s, decided)

    def release(self, customer: str, service: str, service_s: float) -> None:
        """Ends a request that `request` admitted."""
        entry = self._entries.get((customer, service))
        if entry is not None:
            entry.lane.release(self._clock.monotonic(), service_s)

    async def admit(
        self,
        customer: str,
        service: str,
        class_: str,
        deadline_s_absolute: float,
    ) -> result.Result[Permit, refusal.Refusal]:
        """Waits until the contract allows a request.

        Args:
            customer: Name of the customer.
            service: Name of the service.
            class_: Class of the request; admission is by contract alone, so
                it only matters for the queues of upstreams.
            deadline_s_absolute: Monotonic time of the caller's deadline.
        """
        del class_
        self._loop = asyncio.get_running_loop()
        future: asyncio.Future[None] = self._loop.create_future()

        def decide(_: lane.Ticket) -> None:
            if not future.done():
                future.set_result(None)

        answer = self.request(customer, service, deadline_s_absolute, decide)
        if isinstance(answer, refusal.Refusal):
            return result.Failure(answer)
        entry = self._entries[customer, service]
        if answer.admitted_s is None:
            self._arm(entry)
            try:
                await future
            except asyncio.CancelledError:
                self._abandon(entry, answer)
                raise
        if answer.refused is not None:
            return result.Failure(answer.refused)
        return result.Success(Permit(self, entry))

    def finish(self, entry: _Entry, begun_s: float) -> None:
        """Releases a permit."""
        now_s = self._clock.monotonic()
        entry.lane.release(now_s, now_s - begun_s)
        self._arm(entry)

    def get_ramp_part(self, customer: str) -> float:
        """Returns the part of its contract that a customer may use now."""
        growing = self._ramps.get(customer)
        return growing.part if growing is not None else 1.0

    def compute_wake_s(self, customer: str, service: str) -> float | None:
        """Returns when `pump` should run next, if any request waits."""
        entry = self._entries.get((customer, service))
        if entry is None:
            return None
        return entry.lane.compute_wake_s(self._clock.monotonic())

    def pump(self, customer: str, service: str) -> None:
        """Decides about waiting requests, for callers without a loop."""
        self.step()
        entry = self._entries.get((customer, service))
        if entry is not None:
            entry.lane.pump(self._clock.monotonic())

    def report_demand(self) -> tuple[zone.Demand, ...]:
        """Returns the recent demand of each customer and service."""
        now_s = self._clock.monotonic()
        elapsed_s = max(1e-3, now_s - self._reported_s)
        self._reported_s = now_s
        new = 1.0 - math.exp(-elapsed_s / _DEMAND_TIME_S)
        return tuple(
            _take_demand(place, entry, elapsed_s, new)
            for place, entry in self._entries.items()
        )

    def _refuse_unknown(self, customer: str, service: str) -> refusal.Refusal:
        if customer not in self._customers:
            detail = f"no contract of customer {customer} is in force"
            return refusal.Refusal(refusal.UNKNOWN_CUSTOMER, detail)
        detail = f"the contract of {customer} has no service {service}"
        return refusal.Refusal(refusal.UNKNOWN_SERVICE, detail)

    def _close(self, entry: _Entry) -> None:
        detail = "the contract has ended"
        entry.lane.close(refusal.Refusal(refusal.CLOSED, detail))
        if entry.timer is not None:
            entry.timer.cancel()

    def _abandon(self, entry: _Entry, ticket: lane.Ticket) -> None:
        if ticket.admitted_s is not None:
            self.finish(entry, ticket.admitted_s)
        else:
            entry.lane.cancel(ticket)

    def _apply(self, place: tuple[str, str], now_s: float) -> None:
        """Sets a lane's limits from the share, or from the contract."""
        entry = self._entries[place]
        share = entry.share
        if share is not None and now_s - share.received_s >= SHARE_LIFE_S:
            share = entry.share = None
        count = max(1, self._instance_count())
        contract = entry.contract
        queue = math.ceil(contract.queue / count)
        if share is not None:
            rate, burst, concurrency = share.share[2:5]
        else:
            rate = contract.rate_per_s / count
            burst = contract.burst / count
            # At least one, or the customer would get nothing here until the
            # zone has a leader again.
            concurrency = max(1.0, contract.concurrency // count)
        growing = self._ramps.get(place[0])
        if growing is not None:
            rate *= growing.part
            burst *= growing.part
        limits = lane.Limits(rate, burst, int(concurrency), queue)
        if not entry.started:
            # The bucket of a new lane is full.
            entry.started = True
            entry.lane = lane.Lane(limits, now_s)
        elif limits != entry.lane.limits:
            entry.lane.set_limits(limits, now_s)
            self._arm(entry)

    def _find_wait_s(self, now_s: float) -> float:
        """Returns the longest wait for upstreams of existing customers."""
        waits = [
            max(entry.lane.get_wait_s(now_s), entry.lane.last_wait_s)
            for place, entry in self._entries.items()
            if place[0] not in self._ramps and entry.lane.refusals == 0
        ]
        return max([self._upstream_wait_s(), *waits])

    def _arm(self, entry: _Entry) -> None:
        """Sets the timer for the next decision about waiting requests."""
        if entry.timer is not None:
            entry.timer.cancel()
            entry.timer = None
        now_s = self._clock.monotonic()
        wake_s = entry.lane.compute_wake_s(now_s)
        if wake_s is None or self._loop is None:
            return
        # Never later than the next step, which may bring other limits.
        delay_s = min(wake_s - now_s, STEP_S)
        entry.timer = self._loop.call_later(delay_s, self._wake, entry)

    def _wake(self, entry: _Entry) -> None:
        self.step()
        entry.lane.pump(self._clock.monotonic())
        self._arm(entry)


def _take_demand(
    place: tuple[str, str], entry: _Entry, elapsed_s: float, new: float
) -> zone.Demand:
    counted = entry.lane
    entry.rate_per_s += new * (counted.arrivals / elapsed_s - entry.rate_per_s)
    entry.refused_per_s += new * (
        counted.refusals / elapsed_s - entry.refused_per_s
    )
    # A rise shows at once, so that a burst is not held up by the average.
    entry.concurrency = max(
        float(counted.peak),
        entry.concurrency + new * (counted.peak - entry.concurrency),
    )
    counted.arrivals = 0
    counted.refusals = 0
    counted.peak = counted.in_flight + counted.count_waiting()
    return zone.Demand(
        place[0],
        place[1],
        entry.rate_per_s,
        entry.concurrency,
        entry.refused_per_s,
    )
