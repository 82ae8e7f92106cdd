"""Replays a trace through gates, queues and targets of one deployment."""

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

PLAN_EVERY_S = 0.5
SHARE_EVERY_S = 0.5
SAMPLE_EVERY_S = 0.5
DEADLINE_S = 2.0
# One-way delay inside a zone, and what a new connection adds.
LOCAL_DELAY_S = 0.0002
_WEIGHT = 1.0


class Entry:
    """One entry instance: the product's gate, queues and retry budget."""

    def __init__(
        self,
        heap: events.Heap,
        where: str,
        seed: int,
        count: int,
        services: int,
    ) -> None:
        rng = random.Random(seed)
        self.zone = where
        self.rng = rng
        self.gate = gate.Gate(heap, rng, lambda: count)
        self.queues = queues.Queues(heap, rng, lambda: count)
        self.gate.set_upstream_wait_source(self.queues.get_longest_wait_s)
        self.budget = retry.RetryBudget(heap)
        self.meters = [load.Meter() for _ in range(services)]


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """One request on its way."""

    arrived_s: float
    deadline_s: float
    service: int
    key: int
    customer: str
    class_: str
    work_s: float
    repeatable: bool
    entry: Entry
    conforming: bool
    attempts: int = 0


class Engine:
    """One run: a deployment, a scenario and a policy."""

    def __init__(
        self,
        deployment: deployments.Deployment,
        recorded: trace_module.Trace,
        policy_name: str,
        seed: int,
        placement_only: bool = False,
    ) -> None:
        self.deployment = deployment
        self._placement_only = placement_only
        self.heap = events.Heap()
        self.trace = recorded
        self.cut_zone: str | None = None
        self.measures = measures.Measures()
        self.entries = [
            Entry(
                self.heap,
                deployment.zones[index % len(deployment.zones)],
                seed * 100 + index,
                deployment.instances,
                len(deployment.services),
            )
            for index in range(deployment.instances)
        ]
        self.targets = [
            [
                self._make_target(service, index)
                for index in range(service.targets)
            ]
            for service in deployment.services
        ]
        self.places = [places.Places(item) for item in recorded.keyspaces]
        self.leaders = [
            leader.Leader(
                self.heap,
                service,
                deployment.weights,
                policy_name,
                self.places[index],
                self.targets[index],
                [item.meters[index] for item in self.entries],
            )
            for index, service in enumerate(deployment.services)
        ]
        self._contracts: dict[str, deployments.Contract] = {}
        self._ideal: dict[tuple[str, str], token_bucket.Bucket] = {}
        self._known = [
            {item.name: item for item in members} for members in self.targets
        ]
        self.extra_load = False
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
            self.heap,
        )

    def accept_contract(
        self, customer: deployments.Customer, new: bool
    ) -> None:
        """Puts a contract in force at all instances."""
        contract = deployments.make_contract(self.deployment, customer)
        self._contracts[customer.name] = contract
        for entry in self.entries:
            entry.gate.update_contract(customer.name, contract, new)
        for name, service in contract.services.items():
            limits = service.limits
            self._ideal[customer.name, name] = token_bucket.Bucket(
                limits.rate_per_s, limits.burst, self.heap.now_s
            )

    def add_target(self, service: int) -> None:
        """Adds a cold target."""
        members = self.targets[service]
        target = self._make_target(
            self.deployment.services[service], len(members)
        )
        target.restart(self.heap.now_s)
        members.append(target)
        self._known[service][target.name] = target

    def stop_target(
        self, service: int, target: targets.Target, frozen: bool
    ) -> None:
        """Makes a target lost or frozen."""
        target.stop(self.heap.now_s, frozen)
        self.places[service].lose(target, self.heap.now_s)
        self.heap.call_later(leader.DETECT_S, self._drop_queues, target)

    def restart_target(self, service: int, target: targets.Target) -> None:
        """Brings a target back as a new incarnation without shards."""
        for place in self.places[service].list_all():
            if place.owner is target:
                place.owner = None
                if place.down_since_s is None:
                    place.down_since_s = self.heap.now_s
        target.restart(self.heap.now_s)

    def _drop_queues(self, target: targets.Target) -> None:
        if not target.reachable:
            for entry in self.entries:
                entry.queues.drop(target.name)

    def run(self, end_s: float) -> None:
        """Replays the trace up to a time."""
        heap = self.heap
        heap.call_later(0.0, self._plan)
        heap.call_later(SHARE_EVERY_S, self._split)
        heap.call_later(SAMPLE_EVERY_S, self._sample)
        for row, at_s in enumerate(self.trace.times):
            if at_s >= end_s:
                break
            heap.run_until(at_s)
            self._arrive(row)
        heap.run_until(end_s)

    def _plan(self) -> None:
        for item in self.leaders:
            item.tick()
        self.heap.call_later(PLAN_EVERY_S, self._plan)

    def _split(self) -> None:
        names = [str(index) for index in range(len(self.entries))]
        demands = {
            name: entry.gate.collect_demand()
            for name, entry in zip(names, self.entries, strict=True)
        }
        limits = {
            (customer, name): share_split.Limits(*service.limits[:3])
            for customer, contract in self._contracts.items()
            for name, service in contract.services.items()
        }
        split = share_split.split(limits, demands, names)
        for name, entry in zip(names, self.entries, strict=True):
            entry.gate.update_shares(split[name])
        self.heap.call_later(SHARE_EVERY_S, self._split)

    def compute_rates(self, service: int, ramped: bool = True) -> np.ndarray:
        """Returns the expected admitted rate of each key.

        Args:
            service: Number of the service.
            ramped: Whether a new customer counts by its present ramp.
        """
        keys = self.trace.keyspaces[service]
        rates = keys.rates + keys.added if self.extra_load else keys.rates
        rates = rates.copy()
        name = self.deployment.services[service].name
        names = np.array(keys.customers)
        for customer, contract in self._contracts.items():
            rows = names == customer
            part = (
                self.entries[0].gate.get_ramp_fraction(customer)
                if ramped
                else 1.0
            )
            limit = contract.services[name].limits.rate_per_s * part
            total = rates[rows].sum()
            if total > limit:
                rates[rows] *= limit / total
        return rates

    def _sample(self) -> None:
        for index, owned in enumerate(self.places):
            live = [
                item
                for item in self.leaders[index].list_seen()
                if not item.draining and item.reachable
            ]
            loads = owned.compute_loads(self.compute_rates(index), live)
            self.measures.add_sample(
                self.deployment.services[index].name, self.heap.now_s, loads
            )
        self.heap.call_later(SAMPLE_EVERY_S, self._sample)

    def _arrive(self, row: int) -> None:
        recorded = self.trace
        service = recorded.services[row]
        name = self.deployment.services[service].name
        key = recorded.keys[row]
        customer = recorded.keyspaces[service].customers[key]
        now_s = self.heap.now_s
        request = Request(
            arrived_s=now_s,
            deadline_s=now_s + DEADLINE_S,
            service=service,
            key=key,
            customer=customer,
            class_=recorded.classes[row],
            work_s=recorded.work[row],
            repeatable=recorded.repeatable[row],
            entry=self.entries[recorded.instances[row]],
            conforming=self._ideal[customer, name].try_take(now_s),
        )
        if self._placement_only:
            self._measure_only(request)
            return
        request.entry.budget.record_request(customer)

        def decide(ticket: limiter_lib.Ticket) -> None:
            if ticket.refused is not None:
                self.measures.add_refusal(request, ticket.refused.reason)
            else:
                self._enter(request)

        answer = request.entry.gate.request(
            customer, name, request.deadline_s, decide
        )
        if isinstance(answer, refusal.Refusal):
            self.measures.add_refusal(request, answer.reason)
        elif answer.admitted_s is not None:
            self._enter(request)
        else:
            self._wake_gate(request.entry, customer, name)

    def _measure_only(self, request: Request) -> None:
        """Counts a request that the contract allows, and runs nothing."""
        gate_ = self.entries[0].gate
        gate_.update_limits()
        part = gate_.get_ramp_fraction(request.customer)
        if request.conforming and request.entry.rng.random() < part:
            self._record_load(request)

    def _wake_gate(self, entry: Entry, customer: str, name: str) -> None:
        """Pumps a gate when the next waiting request may be admitted."""
        wake_s = entry.gate.compute_wake_s(customer, name)
        if wake_s is not None:
            delay_s = min(max(wake_s - self.heap.now_s, 1e-3), gate.STEP_S)
            self.heap.call_later(
                delay_s, self._pump_gate, entry, customer, name
            )

    def _pump_gate(self, entry: Entry, customer: str, name: str) -> None:
        entry.gate.process_waiting(customer, name)
        self._wake_gate(entry, customer, name)

    def _enter(self, request: Request) -> None:
        self._record_load(request)
        self._route(request)

    def _record_load(self, request: Request) -> None:
        place = self.places[request.service].find(request.key)
        service = request.service
        keys = self.trace.keyspaces[service]
        request.entry.meters[service].record(
            self.deployment.services[service].name,
            place.shard,
            keys.names[request.key],
        )

    def _route(self, request: Request) -> None:
        now_s = self.heap.now_s
        if now_s >= request.deadline_s:
            self._end(request, refusal.DEADLINE)
            return
        place = self.places[request.service].find(request.key)
        if place.next is not None:
            place.held.append(lambda: self._route(request))
            return
        target = place.owner
        if target is None or not self._is_connected(request.entry, target):
            self._end(request, "no_owner")
            return
        queue = request.entry.queues.get(target.announcement)

        def decide(waiter: fairness.Waiter) -> None:
            if waiter.refused is not None:
                self._end(request, waiter.refused.reason)
            else:
                self._dispatch(request, target, queue)

        answer = queue.request(
            request.customer,
            _WEIGHT,
            request.class_,
            request.deadline_s,
            decide,
        )
        if isinstance(answer, refusal.Refusal):
            self._retry(request, answer.reason)
        elif answer.dispatched:
            self._dispatch(request, target, queue)
        else:
            self.heap.call_later(DEADLINE_S, queue.expire)

    def _is_connected(self, entry: Entry, target: targets.Target) -> bool:
        if self.cut_zone is None:
            return True
        inside = entry.zone == self.cut_zone
        if self.deployment.zone_loss == "lapse" and inside:
            return False
        return inside == (target.announcement.zone == self.cut_zone)

    def _dispatch(
        self,
        request: Request,
        target: targets.Target,
        queue: queues.UpstreamQueue,
    ) -> None:
        local = request.entry.zone == target.announcement.zone
        delay_s = LOCAL_DELAY_S + (
            0.0 if local else self.deployment.zone_delay_s
        )
        sent_s = self.heap.now_s
        target.in_flight += 1

        def finish(outcome: str) -> None:
            now_s = self.heap.now_s
            target.in_flight = max(0, target.in_flight - 1)
            queue.release(outcome, now_s - sent_s)
            if outcome == queues.OK:
                target.completions += 1
                target.latency_s += 0.02 * (now_s - sent_s - target.latency_s)
                self._end(request, queues.OK)
            else:
                self._retry(request, outcome)

        def answer(outcome: str) -> None:
            self.heap.call_later(delay_s, finish, outcome)

        def end(ran: bool) -> None:
            answer(queues.OK if ran else queues.FAILURE)

        def receive() -> None:
            if target.frozen:
                left_s = request.deadline_s - self.heap.now_s
                self.heap.call_later(max(0.0, left_s), finish, queues.FAILURE)
            elif not target.reachable:
                answer(queues.FAILURE)
            elif not target.accept(request.work_s, end):
                answer(queues.SHED)

        self.heap.call_later(delay_s, receive)

    def _retry(self, request: Request, outcome: str) -> None:
        """Tries again where nothing ran or the operation is repeatable."""
        safe = request.repeatable or outcome != queues.FAILURE
        delay_s = retry.compute_backoff_s(request.attempts, request.entry.rng)
        late = self.heap.now_s + delay_s >= request.deadline_s
        if (
            not safe
            or late
            or not request.entry.budget.try_retry(request.customer)
        ):
            self._end(request, outcome)
            return
        request.attempts += 1
        self.heap.call_later(delay_s, self._route, request)

    def _end(self, request: Request, outcome: str) -> None:
        name = self.deployment.services[request.service].name
        now_s = self.heap.now_s
        request.entry.gate.release(
            request.customer, name, now_s - request.arrived_s
        )
        if outcome == queues.OK:
            self.measures.add_answer(request, now_s)
        else:
            self.measures.add_refusal(request, outcome)
