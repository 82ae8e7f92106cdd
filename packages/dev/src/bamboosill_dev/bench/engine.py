"""Simulates a deployment that serves a trace of requests.

Requests pass the gates and queues of the daemon and run on simulated targets,
while simulated leaders place the shards.
"""

import dataclasses
import random

import numpy as np

from bamboosill_dev.bench import deployments
from bamboosill_dev.bench import events
from bamboosill_dev.bench import leader
from bamboosill_dev.bench import measures
from bamboosill_dev.bench import places
from bamboosill_dev.bench import targets
from bamboosill_dev.bench import trace as trace_module
from bamboosilld.admission import fairness
from bamboosilld.admission import gate
from bamboosilld.admission import limiter as limiter_lib
from bamboosilld.admission import queues
from bamboosilld.admission import refusal
from bamboosilld.admission import retry
from bamboosilld.admission import share_split
from bamboosilld.admission import token_bucket
from bamboosilld.placement import load

PLAN_INTERVAL_S = 0.5
SHARE_INTERVAL_S = 0.5
SAMPLE_INTERVAL_S = 0.5
REQUEST_DEADLINE_S = 2.0
# One-way network delay inside a zone.
INTRA_ZONE_DELAY_S = 0.0002
_QUEUE_WEIGHT = 1.0


class EntryInstance:
    """One entry instance, with the daemon's gate, queues and retry budget."""

    def __init__(
        self,
        scheduler: events.EventScheduler,
        zone_name: str,
        seed: int,
        entry_count: int,
        service_count: int,
    ) -> None:
        rng = random.Random(seed)
        self.zone = zone_name
        self.rng = rng
        self.gate = gate.Gate(scheduler, rng, lambda: entry_count)
        self.queues = queues.Queues(scheduler, rng, lambda: entry_count)
        self.gate.set_upstream_wait_source(self.queues.get_longest_wait_s)
        self.retry_budget = retry.RetryBudget(scheduler)
        self.meters = [load.Meter() for _ in range(service_count)]


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """A request in progress.

    Attributes:
        arrived_s: Arrival time.
        deadline_s: Time at which it is given up.
        service_index: Index of the service in the deployment.
        key_row: Row of its key in the keyspace of the service.
        customer: Name of the customer.
        class_: Traffic class.
        service_time_s: Service time in a warm slot.
        idempotent: Whether it may be repeated after it ran.
        entry: Entry instance that received it.
        conforming: Whether it is within the contract of the customer, as a
            single rate limiter of the whole deployment decides.
        attempts: Number of retries so far.
    """

    arrived_s: float
    deadline_s: float
    service_index: int
    key_row: int
    customer: str
    class_: str
    service_time_s: float
    idempotent: bool
    entry: EntryInstance
    conforming: bool
    attempts: int = 0


class Simulation:
    """Simulation of one deployment under one trace and placement policy.

    Attributes:
        deployment: Deployment that is simulated.
        scheduler: Scheduler of all events.
        trace: Requests that are replayed.
        isolated_zone: Zone that is cut off from all others, or None.
        measurements: Measurements of the run.
        entries: Entry instances.
        targets: Targets of each service.
        placements: Ownership of shards and hot keys of each service.
        leaders: Zone leader of each service.
        event_load: Whether the event has added its load.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        request_trace: trace_module.Trace,
        policy_name: str,
        seed: int,
        placement_only: bool = False,
    ) -> None:
        self.deployment = deployment
        self._placement_only = placement_only
        self.scheduler = events.EventScheduler()
        self.trace = request_trace
        self.isolated_zone: str | None = None
        self.measurements = measures.RunMeasurements()
        self.entries = [
            EntryInstance(
                self.scheduler,
                deployment.zones[index % len(deployment.zones)],
                seed * 100 + index,
                deployment.instance_count,
                len(deployment.services),
            )
            for index in range(deployment.instance_count)
        ]
        self.targets = [
            [
                self._make_target(service, index)
                for index in range(service.target_count)
            ]
            for service in deployment.services
        ]
        self.placements = [
            places.ServicePlacement(item) for item in request_trace.keyspaces
        ]
        self.leaders = [
            leader.Leader(
                self.scheduler,
                service,
                deployment.weights,
                policy_name,
                self.placements[index],
                self.targets[index],
                [item.meters[index] for item in self.entries],
            )
            for index, service in enumerate(deployment.services)
        ]
        self._contracts: dict[str, deployments.Contract] = {}
        self._contract_buckets: dict[tuple[str, str], token_bucket.Bucket] = {}
        self._targets_by_name = [
            {item.name: item for item in service_targets}
            for service_targets in self.targets
        ]
        self.event_load = False
        for customer in deployments.CUSTOMERS:
            self.accept_contract(customer, False)

    def _make_target(
        self, service: deployments.Service, index: int
    ) -> targets.Target:
        zones = self.deployment.zones
        return targets.Target(
            f"{service.name}-{index:02d}",
            zones[index % len(zones)],
            service,
            self.scheduler,
        )

    def accept_contract(
        self, customer: deployments.Customer, new: bool
    ) -> None:
        """Puts the contract of a customer into force at all instances."""
        contract = deployments.make_contract(self.deployment, customer)
        self._contracts[customer.name] = contract
        for entry in self.entries:
            entry.gate.update_contract(customer.name, contract, new)
        for name, service in contract.services.items():
            limits = service.limits
            self._contract_buckets[customer.name, name] = token_bucket.Bucket(
                limits.rate_per_s, limits.burst, self.scheduler.now_s
            )

    def add_target(self, service_index: int) -> None:
        """Adds a cold target to a service."""
        service_targets = self.targets[service_index]
        target = self._make_target(
            self.deployment.services[service_index], len(service_targets)
        )
        target.restart(self.scheduler.now_s)
        service_targets.append(target)
        self._targets_by_name[service_index][target.name] = target

    def stop_target(
        self, service_index: int, target: targets.Target, frozen: bool
    ) -> None:
        """Stops a target, which is then lost or frozen."""
        target.stop(self.scheduler.now_s, frozen)
        self.placements[service_index].mark_unserved(
            target, self.scheduler.now_s
        )
        self.scheduler.call_later(
            leader.FAILURE_DETECTION_S, self._drop_queues, target
        )

    def restart_target(
        self, service_index: int, target: targets.Target
    ) -> None:
        """Restarts a target as a new incarnation that owns nothing."""
        for unit in self.placements[service_index].list_units():
            if unit.owner is target:
                unit.owner = None
                if unit.down_since_s is None:
                    unit.down_since_s = self.scheduler.now_s
        target.restart(self.scheduler.now_s)

    def _drop_queues(self, target: targets.Target) -> None:
        if not target.reachable:
            for entry in self.entries:
                entry.queues.drop(target.name)

    def run(self, end_s: float) -> None:
        """Replays the trace until a time."""
        scheduler = self.scheduler
        scheduler.call_later(0.0, self._plan)
        scheduler.call_later(SHARE_INTERVAL_S, self._split_limits)
        scheduler.call_later(SAMPLE_INTERVAL_S, self._sample_loads)
        for row, at_s in enumerate(self.trace.arrival_times_s):
            if at_s >= end_s:
                break
            scheduler.run_until(at_s)
            self._handle_arrival(row)
        scheduler.run_until(end_s)

    def _plan(self) -> None:
        for item in self.leaders:
            item.tick()
        self.scheduler.call_later(PLAN_INTERVAL_S, self._plan)

    def _split_limits(self) -> None:
        entry_names = [str(index) for index in range(len(self.entries))]
        demands = {
            name: entry.gate.collect_demand()
            for name, entry in zip(entry_names, self.entries, strict=True)
        }
        limits = {
            (customer, name): share_split.Limits(*service.limits[:3])
            for customer, contract in self._contracts.items()
            for name, service in contract.services.items()
        }
        split = share_split.split(limits, demands, entry_names)
        for name, entry in zip(entry_names, self.entries, strict=True):
            entry.gate.update_shares(split[name])
        self.scheduler.call_later(SHARE_INTERVAL_S, self._split_limits)

    def compute_rates(
        self, service_index: int, ramped: bool = True
    ) -> np.ndarray:
        """Returns the expected admitted rate of each key.

        Args:
            service_index: Index of the service in the deployment.
            ramped: Whether a new customer is limited by its current rate ramp
                rather than by its full contract.
        """
        keyspace = self.trace.keyspaces[service_index]
        rates = (
            keyspace.base_rates_per_s + keyspace.event_rates_per_s
            if self.event_load
            else keyspace.base_rates_per_s
        )
        rates = rates.copy()
        name = self.deployment.services[service_index].name
        key_customers = np.array(keyspace.customers)
        for customer, contract in self._contracts.items():
            rows = key_customers == customer
            ramp_part = (
                self.entries[0].gate.get_ramp_fraction(customer)
                if ramped
                else 1.0
            )
            limit_per_s = contract.services[name].limits.rate_per_s * ramp_part
            total_per_s = rates[rows].sum()
            if total_per_s > limit_per_s:
                rates[rows] *= limit_per_s / total_per_s
        return rates

    def _sample_loads(self) -> None:
        for index, placement in enumerate(self.placements):
            live_targets = [
                item
                for item in self.leaders[index].list_targets_with_heartbeat()
                if not item.draining and item.reachable
            ]
            loads = placement.compute_loads(
                self.compute_rates(index), live_targets
            )
            self.measurements.add_sample(
                self.deployment.services[index].name,
                self.scheduler.now_s,
                loads,
            )
        self.scheduler.call_later(SAMPLE_INTERVAL_S, self._sample_loads)

    def _handle_arrival(self, row: int) -> None:
        request_trace = self.trace
        service_index = request_trace.services[row]
        service_name = self.deployment.services[service_index].name
        key_row = request_trace.keys[row]
        customer = request_trace.keyspaces[service_index].customers[key_row]
        now_s = self.scheduler.now_s
        request = Request(
            arrived_s=now_s,
            deadline_s=now_s + REQUEST_DEADLINE_S,
            service_index=service_index,
            key_row=key_row,
            customer=customer,
            class_=request_trace.classes[row],
            service_time_s=request_trace.service_times_s[row],
            idempotent=request_trace.idempotent[row],
            entry=self.entries[request_trace.instances[row]],
            conforming=self._contract_buckets[customer, service_name].try_take(
                now_s
            ),
        )
        if self._placement_only:
            self._record_without_running(request)
            return
        request.entry.retry_budget.record_request(customer)

        def on_decision(admission: limiter_lib.Ticket) -> None:
            if admission.refused is not None:
                self.measurements.add_refusal(request, admission.refused.reason)
            else:
                self._handle_admitted(request)

        decision = request.entry.gate.request(
            customer, service_name, request.deadline_s, on_decision
        )
        if isinstance(decision, refusal.Refusal):
            self.measurements.add_refusal(request, decision.reason)
        elif decision.admitted_s is not None:
            self._handle_admitted(request)
        else:
            self._schedule_gate_pump(request.entry, customer, service_name)

    def _record_without_running(self, request: Request) -> None:
        """Records the load of a conforming request without running it."""
        admission_gate = self.entries[0].gate
        admission_gate.update_limits()
        ramp_part = admission_gate.get_ramp_fraction(request.customer)
        if request.conforming and request.entry.rng.random() < ramp_part:
            self._record_load(request)

    def _schedule_gate_pump(
        self, entry: EntryInstance, customer: str, service_name: str
    ) -> None:
        """Schedules a pump of the gate for the next admissible request."""
        wake_s = entry.gate.compute_wake_s(customer, service_name)
        if wake_s is not None:
            delay_s = min(max(wake_s - self.scheduler.now_s, 1e-3), gate.STEP_S)
            self.scheduler.call_later(
                delay_s, self._pump_gate, entry, customer, service_name
            )

    def _pump_gate(
        self, entry: EntryInstance, customer: str, service_name: str
    ) -> None:
        entry.gate.process_waiting(customer, service_name)
        self._schedule_gate_pump(entry, customer, service_name)

    def _handle_admitted(self, request: Request) -> None:
        self._record_load(request)
        self._route(request)

    def _record_load(self, request: Request) -> None:
        unit = self.placements[request.service_index].find_unit(request.key_row)
        service_index = request.service_index
        keyspace = self.trace.keyspaces[service_index]
        request.entry.meters[service_index].record(
            self.deployment.services[service_index].name,
            unit.shard,
            keyspace.hot_key_names[request.key_row],
        )

    def _route(self, request: Request) -> None:
        now_s = self.scheduler.now_s
        if now_s >= request.deadline_s:
            self._finish_request(request, refusal.DEADLINE)
            return
        unit = self.placements[request.service_index].find_unit(request.key_row)
        if unit.next is not None:
            unit.held.append(lambda: self._route(request))
            return
        target = unit.owner
        if target is None or not self._can_reach(request.entry, target):
            self._finish_request(request, "no_owner")
            return
        queue = request.entry.queues.get(target.announcement)

        def on_decision(waiter: fairness.Waiter) -> None:
            if waiter.refused is not None:
                self._finish_request(request, waiter.refused.reason)
            else:
                self._dispatch(request, target, queue)

        decision = queue.request(
            request.customer,
            _QUEUE_WEIGHT,
            request.class_,
            request.deadline_s,
            on_decision,
        )
        if isinstance(decision, refusal.Refusal):
            self._retry(request, decision.reason)
        elif decision.dispatched:
            self._dispatch(request, target, queue)
        else:
            self.scheduler.call_later(REQUEST_DEADLINE_S, queue.expire)

    def _can_reach(self, entry: EntryInstance, target: targets.Target) -> bool:
        if self.isolated_zone is None:
            return True
        entry_is_isolated = entry.zone == self.isolated_zone
        if self.deployment.zone_loss == "lapse" and entry_is_isolated:
            return False
        return entry_is_isolated == (
            target.announcement.zone == self.isolated_zone
        )

    def _dispatch(
        self,
        request: Request,
        target: targets.Target,
        queue: queues.UpstreamQueue,
    ) -> None:
        same_zone = request.entry.zone == target.announcement.zone
        delay_s = INTRA_ZONE_DELAY_S + (
            0.0 if same_zone else self.deployment.zone_delay_s
        )
        sent_s = self.scheduler.now_s
        target.in_flight += 1

        def receive_answer(outcome: str) -> None:
            now_s = self.scheduler.now_s
            target.in_flight = max(0, target.in_flight - 1)
            queue.release(outcome, now_s - sent_s)
            if outcome == queues.OK:
                target.completions += 1
                target.latency_s += 0.02 * (now_s - sent_s - target.latency_s)
                self._finish_request(request, queues.OK)
            else:
                self._retry(request, outcome)

        def send_answer(outcome: str) -> None:
            self.scheduler.call_later(delay_s, receive_answer, outcome)

        def on_end(ran: bool) -> None:
            send_answer(queues.OK if ran else queues.FAILURE)

        def receive_request() -> None:
            if target.frozen:
                left_s = request.deadline_s - self.scheduler.now_s
                self.scheduler.call_later(
                    max(0.0, left_s), receive_answer, queues.FAILURE
                )
            elif not target.reachable:
                send_answer(queues.FAILURE)
            elif not target.accept(request.service_time_s, on_end):
                send_answer(queues.SHED)

        self.scheduler.call_later(delay_s, receive_request)

    def _retry(self, request: Request, outcome: str) -> None:
        """Retries a request that did not run or that is idempotent."""
        safe_to_retry = request.idempotent or outcome != queues.FAILURE
        delay_s = retry.compute_backoff_s(request.attempts, request.entry.rng)
        past_deadline = self.scheduler.now_s + delay_s >= request.deadline_s
        if (
            not safe_to_retry
            or past_deadline
            or not request.entry.retry_budget.try_retry(request.customer)
        ):
            self._finish_request(request, outcome)
            return
        request.attempts += 1
        self.scheduler.call_later(delay_s, self._route, request)

    def _finish_request(self, request: Request, outcome: str) -> None:
        service_name = self.deployment.services[request.service_index].name
        now_s = self.scheduler.now_s
        request.entry.gate.release(
            request.customer, service_name, now_s - request.arrived_s
        )
        if outcome == queues.OK:
            self.measurements.add_answer(request, now_s)
        else:
            self.measurements.add_refusal(request, outcome)
