"""Admits requests within their customer's contract at one entry instance.

Upstreams do not matter here, except that waits for them pause the ramp of new
customers; `queues` limits the requests to each upstream.
"""

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
from bamboosilld.admission import limiter as limiter_lib
from bamboosilld.admission import ramp
from bamboosilld.admission import refusal

# A share of the limits that was not renewed for this long is no longer used:
# the leader may have given it to another instance.
SHARE_MAX_AGE_S = 3.0
# Time constant of the average of demand, so that shares do not follow random
# variation of arrivals between two lease renewals.
_DEMAND_TIME_CONSTANT_S = 2.0
# Interval at which ramps grow and expired shares are dropped.
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


class _ReceivedShare(NamedTuple):
    share: zone.Share
    received_s: float


class _ServiceAdmission:
    """Admission state of one customer and service.

    Attributes:
        contract: Limits of the contract over all entry instances.
        share: This instance's share of them, if one is valid.
        is_started: Whether the limiter has its first real limits.
        limiter: Limiter with the limits of this instance.
        rate_per_s: Average rate of requests.
        concurrency: Average peak of concurrent requests; rises at once.
        refused_per_s: Average rate of refusals.
        timer: Timer of the next decision about waiting requests.
    """

    def __init__(self, limits: ContractLimits, now_s: float) -> None:
        self.contract = limits
        self.share: _ReceivedShare | None = None
        self.is_started = False
        self.limiter = limiter_lib.Limiter(
            limiter_lib.Limits(0, 0, 0, 0), now_s
        )
        self.rate_per_s = 0.0
        self.concurrency = 0.0
        self.refused_per_s = 0.0
        self.timer: asyncio.TimerHandle | None = None


class Permit:
    """The right to run one request; must be released exactly once."""

    def __init__(self, gate: "Gate", admission: _ServiceAdmission) -> None:
        self._gate = gate
        self._admission = admission
        self._admitted_s = gate.read_clock()
        self._released = False

    def release(self) -> None:
        """Releases the permit; further calls have no effect."""
        if not self._released:
            self._released = True
            self._gate.finish(self._admission, self._admitted_s)


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
        self._admissions: dict[tuple[str, str], _ServiceAdmission] = {}
        self._customers: set[str] = set()
        self._ramps: dict[str, ramp.Ramp] = {}
        self._get_upstream_wait_s: Callable[[], float] = lambda: 0.0
        # Set by the first `admit`; without a loop, the caller calls
        # `process_waiting`.
        self._loop: asyncio.AbstractEventLoop | None = None
        self._limits_updated_s = clock.monotonic()
        self._demand_collected_s = clock.monotonic()

    def set_upstream_wait_source(
        self, longest_wait_s: Callable[[], float]
    ) -> None:
        """Sets the function that returns the longest current wait.

        This is how long the longest-waiting request has waited for an upstream.
        """
        self._get_upstream_wait_s = longest_wait_s

    def read_clock(self) -> float:
        """Returns the current monotonic time."""
        return self._clock.monotonic()

    def update_contract(
        self, customer: str, contract: Contract | None, new: bool = False
    ) -> None:
        """Applies a contract, or removes it.

        Args:
            customer: Name of the customer.
            contract: Its contract, or None if it was retired.
            new: Whether the customer was accepted just now, so that its rate
                is to be ramped; false for state received after a restart.
        """
        now_s = self._clock.monotonic()
        services = contract.services if contract is not None else {}
        for limit_id in [
            item for item in self._admissions if item[0] == customer
        ]:
            if limit_id[1] not in services:
                self._close(self._admissions.pop(limit_id))
        if contract is None:
            self._customers.discard(customer)
            self._ramps.pop(customer, None)
            return
        if new and customer not in self._customers:
            self._ramps[customer] = ramp.Ramp(now_s)
        self._customers.add(customer)
        for name, service in services.items():
            limit_id = (customer, name)
            if limit_id not in self._admissions:
                self._admissions[limit_id] = _ServiceAdmission(
                    service.limits, now_s
                )
            self._admissions[limit_id].contract = service.limits
            self._apply_limits(limit_id, now_s)

    def update_shares(self, shares: Iterable[zone.Share]) -> None:
        """Applies the shares of a lease reply."""
        now_s = self._clock.monotonic()
        for share in shares:
            limit_id = (share.customer, share.service)
            if limit_id in self._admissions:
                self._admissions[limit_id].share = _ReceivedShare(share, now_s)
                self._apply_limits(limit_id, now_s)

    def update_limits(self) -> None:
        """Grows ramps and drops expired shares, once per `STEP_S` at most."""
        now_s = self._clock.monotonic()
        if now_s - self._limits_updated_s < STEP_S:
            return
        self._limits_updated_s = now_s
        for customer, customer_ramp in list(self._ramps.items()):
            customer_ramp.step(now_s, self._compute_longest_wait_s(now_s))
            if customer_ramp.is_done():
                del self._ramps[customer]
        for limit_id in self._admissions:
            self._apply_limits(limit_id, now_s)

    def request(
        self,
        customer: str,
        service: str,
        deadline_s: float,
        decided: limiter_lib.DecisionCallback | None = None,
    ) -> limiter_lib.Ticket | refusal.Refusal:
        """Admits, queues or refuses a request without waiting.

        Asynchronous callers use `admit`, which waits for the decision.
        """
        self.update_limits()
        admission = self._admissions.get((customer, service))
        if admission is None:
            return self._refuse_unknown(customer, service)
        return admission.limiter.request(
            self._clock.monotonic(), deadline_s, decided
        )

    def release(self, customer: str, service: str, service_s: float) -> None:
        """Ends a request that was admitted by `request`."""
        admission = self._admissions.get((customer, service))
        if admission is not None:
            admission.limiter.release(self._clock.monotonic(), service_s)

    async def admit(
        self,
        customer: str,
        service: str,
        traffic_class: str,
        until: float,
    ) -> result.Result[Permit, refusal.Refusal]:
        """Waits until the contract allows a request.

        Args:
            customer: Name of the customer.
            service: Name of the service.
            traffic_class: Class of the request; admission is by contract alone,
                so it only matters for the queues of upstreams.
            until: Monotonic time of the caller's deadline.
        """
        del traffic_class
        self._loop = asyncio.get_running_loop()
        future: asyncio.Future[None] = self._loop.create_future()

        def decide(_: limiter_lib.Ticket) -> None:
            if not future.done():
                future.set_result(None)

        decision = self.request(customer, service, until, decide)
        if isinstance(decision, refusal.Refusal):
            return result.Failure(decision)
        admission = self._admissions[customer, service]
        if decision.admitted_s is None:
            self._schedule_wake(admission)
            try:
                await future
            except asyncio.CancelledError:
                self._cancel(admission, decision)
                raise
        if decision.refused is not None:
            return result.Failure(decision.refused)
        return result.Success(Permit(self, admission))

    def finish(self, admission: _ServiceAdmission, started_s: float) -> None:
        """Releases a permit."""
        now_s = self._clock.monotonic()
        admission.limiter.release(now_s, now_s - started_s)
        self._schedule_wake(admission)

    def get_ramp_fraction(self, customer: str) -> float:
        """Returns the fraction of its contract that a customer may use now."""
        customer_ramp = self._ramps.get(customer)
        return customer_ramp.fraction if customer_ramp is not None else 1.0

    def compute_wake_s(self, customer: str, service: str) -> float | None:
        """Returns when to call `process_waiting`, or None if none waits."""
        admission = self._admissions.get((customer, service))
        if admission is None:
            return None
        return admission.limiter.compute_wake_s(self._clock.monotonic())

    def process_waiting(self, customer: str, service: str) -> None:
        """Decides about waiting requests, for callers without a loop."""
        self.update_limits()
        admission = self._admissions.get((customer, service))
        if admission is not None:
            admission.limiter.process_waiting(self._clock.monotonic())

    def collect_demand(self) -> tuple[zone.Demand, ...]:
        """Returns the recent demand of each customer and service."""
        now_s = self._clock.monotonic()
        elapsed_s = max(1e-3, now_s - self._demand_collected_s)
        self._demand_collected_s = now_s
        gain = 1.0 - math.exp(-elapsed_s / _DEMAND_TIME_CONSTANT_S)
        return tuple(
            _update_demand(limit_id, admission, elapsed_s, gain)
            for limit_id, admission in self._admissions.items()
        )

    def _refuse_unknown(self, customer: str, service: str) -> refusal.Refusal:
        if customer not in self._customers:
            detail = f"no contract of customer {customer} is in force"
            return refusal.Refusal(refusal.UNKNOWN_CUSTOMER, detail)
        detail = f"the contract of {customer} has no service {service}"
        return refusal.Refusal(refusal.UNKNOWN_SERVICE, detail)

    def _close(self, admission: _ServiceAdmission) -> None:
        detail = "the contract has ended"
        admission.limiter.close(refusal.Refusal(refusal.CLOSED, detail))
        if admission.timer is not None:
            admission.timer.cancel()

    def _cancel(
        self, admission: _ServiceAdmission, ticket: limiter_lib.Ticket
    ) -> None:
        if ticket.admitted_s is not None:
            self.finish(admission, ticket.admitted_s)
        else:
            admission.limiter.cancel(ticket)

    def _apply_limits(self, limit_id: tuple[str, str], now_s: float) -> None:
        """Sets a limiter's limits from the share, or else from the contract."""
        admission = self._admissions[limit_id]
        share = admission.share
        if share is not None and now_s - share.received_s >= SHARE_MAX_AGE_S:
            share = admission.share = None
        instances = max(1, self._instance_count())
        contract = admission.contract
        queue = math.ceil(contract.queue / instances)
        if share is not None:
            rate, burst, concurrency = share.share[2:5]
        else:
            rate = contract.rate_per_s / instances
            burst = contract.burst / instances
            # At least one, or the customer could not use this instance until
            # the zone has a leader again.
            concurrency = max(1.0, contract.concurrency // instances)
        customer_ramp = self._ramps.get(limit_id[0])
        if customer_ramp is not None:
            rate *= customer_ramp.fraction
            burst *= customer_ramp.fraction
        limits = limiter_lib.Limits(rate, burst, int(concurrency), queue)
        if not admission.is_started:
            # A new limiter starts with a full bucket; changing the limits of
            # the placeholder would not fill it.
            admission.is_started = True
            admission.limiter = limiter_lib.Limiter(limits, now_s)
        elif limits != admission.limiter.limits:
            admission.limiter.set_limits(limits, now_s)
            self._schedule_wake(admission)

    def _compute_longest_wait_s(self, now_s: float) -> float:
        """Returns the longest current or recent wait of established customers.

        Waits for upstreams count too. Customers that are still ramped, or had
        refusals since the last report, do not count.
        """
        waits_s = [
            max(
                admission.limiter.get_wait_s(now_s),
                admission.limiter.last_wait_s,
            )
            for limit_id, admission in self._admissions.items()
            if limit_id[0] not in self._ramps
            and admission.limiter.refusals == 0
        ]
        return max([self._get_upstream_wait_s(), *waits_s])

    def _schedule_wake(self, admission: _ServiceAdmission) -> None:
        """Sets the timer for the next decision about waiting requests."""
        if admission.timer is not None:
            admission.timer.cancel()
            admission.timer = None
        now_s = self._clock.monotonic()
        wake_s = admission.limiter.compute_wake_s(now_s)
        if wake_s is None or self._loop is None:
            return
        # No later than the next update, which may change the limits.
        delay_s = min(wake_s - now_s, STEP_S)
        admission.timer = self._loop.call_later(delay_s, self._wake, admission)

    def _wake(self, admission: _ServiceAdmission) -> None:
        self.update_limits()
        admission.limiter.process_waiting(self._clock.monotonic())
        self._schedule_wake(admission)


def _update_demand(
    limit_id: tuple[str, str],
    admission: _ServiceAdmission,
    elapsed_s: float,
    gain: float,
) -> zone.Demand:
    limiter_state = admission.limiter
    admission.rate_per_s += gain * (
        limiter_state.arrivals / elapsed_s - admission.rate_per_s
    )
    admission.refused_per_s += gain * (
        limiter_state.refusals / elapsed_s - admission.refused_per_s
    )
    # A rise is reported at once, so that smoothing does not delay a burst.
    admission.concurrency = max(
        float(limiter_state.peak),
        admission.concurrency
        + gain * (limiter_state.peak - admission.concurrency),
    )
    limiter_state.arrivals = 0
    limiter_state.refusals = 0
    limiter_state.peak = limiter_state.in_flight + limiter_state.count_waiting()
    return zone.Demand(
        limit_id[0],
        limit_id[1],
        admission.rate_per_s,
        admission.concurrency,
        admission.refused_per_s,
    )
