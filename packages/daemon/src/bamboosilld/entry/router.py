"""Brings a request to the owner of its key, wherever that is."""

import random

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bamboosill_common import clock as clock_lib
from bamboosill_common import metrics
from bamboosilld.admission import retry as retry_lib
from bamboosilld.entry import answers
from bamboosilld.entry import crashes as crashes_lib
from bamboosilld.entry import dispatch as dispatch_lib
from bamboosilld.entry import exchange
from bamboosilld.entry import faults
from bamboosilld.entry import forward as forward_lib
from bamboosilld.entry import headers
from bamboosilld.entry import inbound as inbound_lib
from bamboosilld.entry import interfaces
from bamboosilld.entry import records as records_lib
from bamboosilld.entry import responder as responder_lib
from bamboosilld.entry import retry
from bamboosilld.entry import tally as tally_lib

# Requests that may wait at a time for a key that is being moved.
MAX_HELD = 1000
# Moves end within 3 s; a caller with a longer deadline resends.
_HOLD_LIMIT_S = 3.0
# Wait for a new route after a fault that a route change explains.
_REROUTE_WAIT_S = 0.25
_REFUSED_ROUTES = {
    "unreachable": (503, "zone-unreachable"),
    "unknown_service": (404, "unknown-service"),
    "unknown_customer": (404, "unknown-customer"),
}
_HELD_ROUTES = {"moving": "moving", "unassigned": "no-owner"}


class Flight:
    """State of one request at this instance.

    Attributes:
        unsure: The first fault after which the request may have run.
        recorded: Whether a record was begun for it here.
        abandoned: Whether its caller has gone.
    """

    def __init__(
        self, inbound: inbound_lib.Inbound, responder: responder_lib.Responder
    ) -> None:
        self.inbound = inbound
        self.responder = responder
        self.attempts = 0
        self.fresh = False
        self.held_until = 0.0
        self.unsure: faults.Fault | None = None
        self.recorded = False
        self.abandoned = False
        self.delivered: exchange.Answer | None = None


class Router:
    """Routes, dispatches, forwards and repeats requests."""

    def __init__(
        self,
        member: interfaces.Member,
        admission: tuple[interfaces.Gate, interfaces.Budget],
        dispatcher: dispatch_lib.Dispatcher,
        forwarder: forward_lib.Forwarder,
        records: records_lib.Records,
        crashes: crashes_lib.Crashes,
        tally: tally_lib.Tally,
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        self._member = member
        self._gate, self._budget = admission
        self._dispatcher = dispatcher
        self._forwarder = forwarder
        self._records = records
        self._crashes = crashes
        self._tally = tally
        self._clock = clock
        self._rng = rng
        self._held = 0

    async def serve(self, flight: Flight) -> None:
        """Serves one request; the responder then holds the answer."""
        inbound = flight.inbound
        quarantine = self._member.find_quarantine(inbound.fingerprint)
        if quarantine is not None:
            flight.responder.refuse(
                answers.describe_quarantine(quarantine, self._clock.wall_ms())
            )
            return
        if inbound.hops:
            # Admitted by the instance that the caller is connected to.
            await self._serve_admitted(flight)
            return
        arrived_s = self._clock.monotonic()
        permit = await self._gate.admit(
            inbound.customer,
            inbound.service,
            inbound.operation.traffic_class,
            inbound.until,
        )
        if isinstance(permit, Failure):
            metrics.admission_refusals.labels(
                "contract", permit.failure().reason
            ).inc()
            flight.responder.refuse(answers.describe_refusal(permit.failure()))
            return
        metrics.queue_wait.labels("contract").observe(
            self._clock.monotonic() - arrived_s
        )
        try:
            self._budget.record_request(inbound.customer)
            await self._serve_admitted(flight)
        finally:
            permit.unwrap().release()

    async def _serve_admitted(self, flight: Flight) -> None:
        if flight.inbound.operation.repeatable:
            refused = await self._run(flight)
        else:
            refused = await self._run_once(flight)
        if refused is not None:
            flight.responder.refuse(refused)

    async def _run_once(self, flight: Flight) -> answers.Refused | None:
        refused = self._records.enter(flight.inbound)
        if refused is not None:
            return refused
        try:
            refused = await self._run(flight)
            if flight.recorded:
                await self._settle_record(flight, refused)
            return refused
        finally:
            self._records.leave(flight.inbound)

    async def _settle_record(
        self, flight: Flight, refused: answers.Refused | None
    ) -> None:
        if flight.delivered is not None:
            self._records.finish(flight.inbound, flight.delivered)
        elif refused is not None and refused.outcome == headers.OUTCOME_NOT_RUN:
            await self._records.abandon(flight.inbound)
        else:
            self._records.leave_unknown(flight.inbound)

    async def _run(self, flight: Flight) -> answers.Refused | None:
        """Returns a refusal, or None if an answer was delivered."""
        inbound = flight.inbound
        while True:
            if self._clock.monotonic() >= inbound.until:
                return self._conclude(
                    flight,
                    faults.Fault("deadline", "the deadline has passed", False),
                )
            route = self._member.route(
                inbound.customer, inbound.service, inbound.key
            )
            if route.status in _HELD_ROUTES:
                refused = await self._hold(flight, _HELD_ROUTES[route.status])
                if refused is not None:
                    return self._override(flight, refused)
                continue
            if route.status in _REFUSED_ROUTES:
                status, reason = _REFUSED_ROUTES[route.status]
                detail = f"{reason}: zone {route.zone}"
                return self._override(
                    flight, answers.refuse(status, reason, detail)
                )
            done = await self._attempt(flight, route)
            if not isinstance(done, Failure):
                return None
            ended = done.failure()
            if isinstance(ended, dispatch_lib.Stopped):
                return self._override(flight, ended.refused)
            if not await self._prepare_retry(flight, ended):
                return self._conclude(flight, ended)

    async def _attempt(
        self, flight: Flight, route: interfaces.Route
    ) -> Result[None, dispatch_lib.Ended]:
        if route.status == "remote":
            if flight.recorded:
                # The zone that owns the key now keeps its own record.
                await self._records.abandon(flight.inbound)
                flight.recorded = False
            flight.attempts += 1
            metrics.forwards.inc()
            return await self._forwarder.run(
                flight.inbound,
                route,
                self._make_attempt(flight, flight.responder.relay),
            )
        if not flight.inbound.operation.repeatable and not flight.recorded:
            begun = await self._records.begin(flight.inbound, route)
            if isinstance(begun, Failure):
                return Failure(dispatch_lib.Stopped(begun.failure()))
            replay = begun.unwrap()
            if replay is not None:
                flight.responder.replay(replay)
                return Success(None)
            flight.recorded = True
        flight.attempts += 1
        if flight.attempts == 1:
            self._tally.record(route)
        return await self._dispatcher.run(
            flight.inbound,
            route,
            self._make_attempt(flight, flight.responder.deliver),
        )

    def _make_attempt(
        self, flight: Flight, deliver: dispatch_lib.Deliver
    ) -> dispatch_lib.Attempt:
        inbound = flight.inbound

        async def note(answer: exchange.Answer) -> bool:
            whole = await deliver(answer)
            if whole:
                flight.delivered = answer
            return whole

        give_up = None
        if (
            inbound.operation.repeatable
            and flight.attempts < retry.MAX_UNSURE_ATTEMPTS
        ):

            def give_up() -> bool:
                return self._budget.try_retry(inbound.customer)

        return dispatch_lib.Attempt(flight.fresh, give_up, note)

    async def _prepare_retry(self, flight: Flight, fault: faults.Fault) -> bool:
        """Returns whether the request is to be sent again now."""
        inbound = flight.inbound
        if fault.may_have_run and flight.unsure is None:
            flight.unsure = fault
        if flight.responder.response is not None:
            return False
        rule = retry.find_rule(
            fault,
            inbound.operation.repeatable,
            self._crashes.is_suspect(inbound.fingerprint),
            flight.attempts,
        )
        if rule is None or flight.abandoned:
            return False
        if rule.budget and not self._budget.try_retry(inbound.customer):
            return False
        if rule.hold and not self._may_hold(flight):
            return False
        flight.fresh = rule.fresh
        remaining_s = inbound.until - self._clock.monotonic()
        if rule.backoff:
            delay_s = retry_lib.compute_backoff_s(
                flight.attempts - 1, self._rng
            )
            if delay_s >= remaining_s:
                return False
            await self._clock.sleep(delay_s)
        if rule.reroute:
            await self._member.wait_change(
                max(0.0, min(_REROUTE_WAIT_S, remaining_s))
            )
        metrics.retries.labels(fault.code).inc()
        return True

    async def _hold(
        self, flight: Flight, reason: str
    ) -> answers.Refused | None:
        """Waits for a change of routes, or returns a refusal."""
        now_s = self._clock.monotonic()
        if not self._may_hold(flight):
            detail = "the key has no owner at this moment"
            return answers.refuse(503, reason, detail)
        if self._held >= MAX_HELD:
            detail = "too many requests wait for keys without an owner"
            return answers.refuse(503, reason, detail)
        self._held += 1
        try:
            await self._member.wait_change(flight.held_until - now_s)
        finally:
            self._held -= 1
        return None

    def _may_hold(self, flight: Flight) -> bool:
        now_s = self._clock.monotonic()
        if not flight.held_until:
            flight.held_until = min(now_s + _HOLD_LIMIT_S, flight.inbound.until)
        return now_s < flight.held_until

    def _conclude(self, flight: Flight, fault: faults.Fault) -> answers.Refused:
        return self._override(flight, answers.describe_fault(fault))

    def _override(
        self, flight: Flight, refused: answers.Refused
    ) -> answers.Refused:
        # An earlier attempt may have run, whatever became of the last one.
        if flight.unsure is None or refused.outcome == headers.OUTCOME_UNKNOWN:
            return refused
        return answers.describe_fault(flight.unsure)
