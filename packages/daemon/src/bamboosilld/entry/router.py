"""Routes a request to the owner of its key, in this zone or another one.

Applies admission control, waits while a key has no owner, retries failed
attempts, and keeps idempotency records of requests that are not repeatable.
"""

import random

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bamboosill_common import clock as clock_lib
from bamboosill_common import metrics
from bamboosilld import crash_detector as crash_detector_lib
from bamboosilld.admission import retry as retry_lib
from bamboosilld.entry import dispatch as dispatch_lib
from bamboosilld.entry import exchange
from bamboosilld.entry import faults
from bamboosilld.entry import forward as forward_lib
from bamboosilld.entry import headers
from bamboosilld.entry import idempotency as idempotency_lib
from bamboosilld.entry import interfaces
from bamboosilld.entry import load_stats as load_stats_lib
from bamboosilld.entry import rejections
from bamboosilld.entry import request_parser as request_parser_lib
from bamboosilld.entry import responder as responder_lib
from bamboosilld.entry import retry

# Requests that may wait concurrently for keys without an owner.
MAX_HELD_REQUESTS = 1000
# A key is moved within 3 s; callers with longer deadlines resend.
_HOLD_LIMIT_S = 3.0
# Timeout for a route change after a fault that such a change may explain.
_REROUTE_WAIT_S = 0.25
_REJECTED_ROUTES = {
    "unreachable": (503, "zone-unreachable"),
    "unknown_service": (404, "unknown-service"),
    "unknown_customer": (404, "unknown-customer"),
}
_HELD_ROUTES = {"moving": "moving", "unassigned": "no-owner"}


class RequestContext:
    """State of one request while this instance serves it.

    Attributes:
        inbound: The parsed request.
        responder: Builds the response to the caller.
        attempts: Attempts made so far.
        new_connection: Whether the next attempt needs a new connection.
        held_until: Monotonic time until which the request may wait for an
            owner of its key, or 0 before the first wait.
        unknown_fault: The first fault after which the request may have run.
        recorded: Whether this zone holds a record that was begun for it.
        caller_disconnected: Whether its caller has disconnected.
        delivered: The response, once it was read completely.
    """

    def __init__(
        self,
        inbound: request_parser_lib.InboundRequest,
        responder: responder_lib.Responder,
    ) -> None:
        self.inbound = inbound
        self.responder = responder
        self.attempts = 0
        self.new_connection = False
        self.held_until = 0.0
        self.unknown_fault: faults.Fault | None = None
        self.recorded = False
        self.caller_disconnected = False
        self.delivered: exchange.HttpResponse | None = None


class Router:
    """Routes, dispatches, forwards and retries requests."""

    def __init__(
        self,
        member: interfaces.ZoneMember,
        admission: tuple[interfaces.Gate, interfaces.RetryBudget],
        dispatcher: dispatch_lib.Dispatcher,
        forwarder: forward_lib.Forwarder,
        records: idempotency_lib.IdempotencyRecords,
        crash_detector: crash_detector_lib.CrashDetector,
        load_recorder: load_stats_lib.LoadRecorder,
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        self._member = member
        self._gate, self._budget = admission
        self._dispatcher = dispatcher
        self._forwarder = forwarder
        self._records = records
        self._crash_detector = crash_detector
        self._load_recorder = load_recorder
        self._clock = clock
        self._rng = rng
        self._held_count = 0

    async def serve(self, context: RequestContext) -> None:
        """Serves one request; the responder then holds the response."""
        inbound = context.inbound
        quarantine = self._member.find_quarantine(inbound.fingerprint)
        if quarantine is not None:
            context.responder.refuse(
                rejections.make_quarantine_rejection(
                    quarantine, self._clock.wall_ms()
                )
            )
            return
        if inbound.hops:
            # Already admitted by the instance that the caller is connected to.
            await self._serve_admitted(context)
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
            context.responder.refuse(
                rejections.make_admission_rejection(permit.failure())
            )
            return
        metrics.queue_wait.labels("contract").observe(
            self._clock.monotonic() - arrived_s
        )
        try:
            self._budget.record_request(inbound.customer)
            await self._serve_admitted(context)
        finally:
            permit.unwrap().release()

    async def _serve_admitted(self, context: RequestContext) -> None:
        if context.inbound.operation.repeatable:
            rejection = await self._run(context)
        else:
            rejection = await self._run_recorded(context)
        if rejection is not None:
            context.responder.refuse(rejection)

    async def _run_recorded(
        self, context: RequestContext
    ) -> rejections.Rejection | None:
        rejection = self._records.claim_id(context.inbound)
        if rejection is not None:
            return rejection
        try:
            rejection = await self._run(context)
            if context.recorded:
                await self._end_record(context, rejection)
            return rejection
        finally:
            self._records.release_id(context.inbound)

    async def _end_record(
        self, context: RequestContext, rejection: rejections.Rejection | None
    ) -> None:
        if context.delivered is not None:
            self._records.finish(context.inbound, context.delivered)
        elif (
            rejection is not None
            and rejection.outcome == headers.OUTCOME_NOT_RUN
        ):
            await self._records.abandon(context.inbound)
        else:
            self._records.finish_unknown(context.inbound)

    async def _run(
        self, context: RequestContext
    ) -> rejections.Rejection | None:
        """Returns a rejection, or None if a response was delivered."""
        inbound = context.inbound
        while True:
            if self._clock.monotonic() >= inbound.until:
                return self._reject_fault(
                    context,
                    faults.Fault("deadline", "the deadline has passed", False),
                )
            route = self._member.route(
                inbound.customer, inbound.service, inbound.key
            )
            if route.status in _HELD_ROUTES:
                rejection = await self._wait_for_owner(
                    context, _HELD_ROUTES[route.status]
                )
                if rejection is not None:
                    return self._prefer_unknown_outcome(context, rejection)
                continue
            if route.status in _REJECTED_ROUTES:
                status, reason = _REJECTED_ROUTES[route.status]
                detail = f"{reason}: zone {route.zone}"
                return self._prefer_unknown_outcome(
                    context, rejections.refuse(status, reason, detail)
                )
            result = await self._run_attempt(context, route)
            if not isinstance(result, Failure):
                return None
            failure_cause = result.failure()
            if isinstance(failure_cause, dispatch_lib.Rejected):
                return self._prefer_unknown_outcome(
                    context, failure_cause.rejection
                )
            if not await self._prepare_retry(context, failure_cause):
                return self._reject_fault(context, failure_cause)

    async def _run_attempt(
        self, context: RequestContext, route: interfaces.Route
    ) -> Result[None, dispatch_lib.AttemptFailure]:
        if route.status == "remote":
            if context.recorded:
                # The zone that owns the key now begins a record of its own.
                await self._records.abandon(context.inbound)
                context.recorded = False
            context.attempts += 1
            metrics.forwards.inc()
            return await self._forwarder.run(
                context.inbound,
                route,
                self._make_attempt_options(
                    context, context.responder.deliver_forwarded
                ),
            )
        if not context.inbound.operation.repeatable and not context.recorded:
            begun = await self._records.begin(context.inbound, route)
            if isinstance(begun, Failure):
                return Failure(dispatch_lib.Rejected(begun.failure()))
            replay = begun.unwrap()
            if replay is not None:
                context.responder.replay(replay)
                return Success(None)
            context.recorded = True
        context.attempts += 1
        if context.attempts == 1:
            self._load_recorder.record_key(route)
        return await self._dispatcher.run(
            context.inbound,
            route,
            self._make_attempt_options(context, context.responder.deliver),
        )

    def _make_attempt_options(
        self, context: RequestContext, deliver: dispatch_lib.DeliverResponse
    ) -> dispatch_lib.AttemptOptions:
        inbound = context.inbound

        async def deliver_and_record(
            http_response: exchange.HttpResponse,
        ) -> bool:
            fully_read = await deliver(http_response)
            if fully_read:
                context.delivered = http_response
            return fully_read

        take_retry = None
        if (
            inbound.operation.repeatable
            and context.attempts < retry.MAX_UNKNOWN_OUTCOME_ATTEMPTS
        ):

            def take_retry() -> bool:
                return self._budget.try_retry(inbound.customer)

        return dispatch_lib.AttemptOptions(
            context.new_connection, take_retry, deliver_and_record
        )

    async def _prepare_retry(
        self, context: RequestContext, fault: faults.Fault
    ) -> bool:
        """Waits as the retry rule demands; returns whether to retry."""
        inbound = context.inbound
        if fault.may_have_run and context.unknown_fault is None:
            context.unknown_fault = fault
        if context.responder.response is not None:
            return False
        rule = retry.find_rule(
            fault,
            inbound.operation.repeatable,
            self._crash_detector.is_suspect(inbound.fingerprint),
            context.attempts,
        )
        if rule is None or context.caller_disconnected:
            return False
        if rule.budget and not self._budget.try_retry(inbound.customer):
            return False
        if rule.hold and not self._may_wait(context):
            return False
        context.new_connection = rule.new_connection
        remaining_s = inbound.until - self._clock.monotonic()
        if rule.backoff:
            delay_s = retry_lib.compute_backoff_s(
                context.attempts - 1, self._rng
            )
            if delay_s >= remaining_s:
                return False
            await self._clock.sleep(delay_s)
        if rule.reroute:
            await self._member.wait_for_routing_change(
                max(0.0, min(_REROUTE_WAIT_S, remaining_s))
            )
        metrics.retries.labels(fault.code).inc()
        return True

    async def _wait_for_owner(
        self, context: RequestContext, reason: str
    ) -> rejections.Rejection | None:
        """Waits for a route change, or returns a rejection."""
        now_s = self._clock.monotonic()
        if not self._may_wait(context):
            detail = "the key has no owner at this moment"
            return rejections.refuse(503, reason, detail)
        if self._held_count >= MAX_HELD_REQUESTS:
            detail = "too many requests wait for keys without an owner"
            return rejections.refuse(503, reason, detail)
        self._held_count += 1
        try:
            await self._member.wait_for_routing_change(
                context.held_until - now_s
            )
        finally:
            self._held_count -= 1
        return None

    def _may_wait(self, context: RequestContext) -> bool:
        now_s = self._clock.monotonic()
        if not context.held_until:
            context.held_until = min(
                now_s + _HOLD_LIMIT_S, context.inbound.until
            )
        return now_s < context.held_until

    def _reject_fault(
        self, context: RequestContext, fault: faults.Fault
    ) -> rejections.Rejection:
        return self._prefer_unknown_outcome(
            context, rejections.make_fault_rejection(fault)
        )

    def _prefer_unknown_outcome(
        self, context: RequestContext, rejection: rejections.Rejection
    ) -> rejections.Rejection:
        # If an earlier attempt may have run, "not run" would be wrong even if
        # the last attempt certainly did not run.
        if (
            context.unknown_fault is None
            or rejection.outcome == headers.OUTCOME_UNKNOWN
        ):
            return rejection
        return rejections.make_fault_rejection(context.unknown_fault)
