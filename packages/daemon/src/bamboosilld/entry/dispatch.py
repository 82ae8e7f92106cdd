"""Sends a request to the upstream that owns its key and reads the response."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
from typing import Any
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bamboosill_common import clock as clock_lib
from bamboosill_common import metrics
from bamboosill_common.generated import zone as zone_messages
from bamboosilld import crash_detector as crash_detector_lib
from bamboosilld.admission import queues as queues_lib
from bamboosilld.admission import refusal as refusal_lib
from bamboosilld.entry import connection as connection_lib
from bamboosilld.entry import exchange
from bamboosilld.entry import faults
from bamboosilld.entry import headers
from bamboosilld.entry import identity as identity_lib
from bamboosilld.entry import interfaces
from bamboosilld.entry import load_stats as load_stats_lib
from bamboosilld.entry import pools as pools_lib
from bamboosilld.entry import rejections
from bamboosilld.entry import request_parser as request_parser_lib

# Timeout for the first byte of the response to a repeatable request, as a
# fraction of the remaining time. The remainder must suffice for a retry.
_FIRST_BYTE_TIMEOUT_FRACTION = 0.5
_CANCEL_DEADLINE_S = 1.0
_CONTROL_CONNECTIONS = 2
_CANCEL_PATH = "/bamboosill/cancel"
_REFUSAL_CODES_BY_STATUS = {409: "stale-fence", 503: "shed"}

DeliverResponse = Callable[[exchange.HttpResponse], Awaitable[bool]]


class AttemptOptions(NamedTuple):
    """Options of one attempt to send a request.

    Attributes:
        new_connection: Whether idle connections must not be used.
        may_abandon: Called when the first byte of the response is late;
            returns whether to abandon the attempt in order to retry. None
            if the attempt must continue until the deadline.
        deliver: Sends the response to the caller; returns whether it was read
            completely.
    """

    new_connection: bool
    may_abandon: Callable[[], bool] | None
    deliver: DeliverResponse


class Rejected(NamedTuple):
    """The request was rejected before any byte of it was written."""

    rejection: rejections.Rejection


AttemptFailure = faults.Fault | Rejected


class Dispatcher:
    """Sends requests to the upstreams of this zone."""

    def __init__(
        self,
        member: interfaces.ZoneMember,
        queues: interfaces.Queues,
        crash_detector: crash_detector_lib.CrashDetector,
        load_recorder: load_stats_lib.LoadRecorder,
        clock: clock_lib.Clock,
        instance_count: Callable[[], int],
        spawn: interfaces.Spawn,
    ) -> None:
        self._member = member
        self._queues = queues
        self._crash_detector = crash_detector
        self._load_recorder = load_recorder
        self._instance_count = instance_count
        self._clock = clock
        self._spawn = spawn
        self.pools = pools_lib.Pools()
        # Cancellations have their own connections; otherwise they would wait
        # for those of the requests that they cancel.
        self.control_pools = pools_lib.Pools()

    async def run(
        self,
        inbound: request_parser_lib.InboundRequest,
        route: interfaces.Route,
        options: AttemptOptions,
    ) -> Result[None, AttemptFailure]:
        """Makes one attempt; succeeds if the response was delivered."""
        upstream = route.upstream
        assert upstream is not None
        arrived_s = self._clock.monotonic()
        slot = await self._queues.get(upstream).acquire(
            inbound.customer,
            inbound.weight,
            inbound.operation.traffic_class,
            inbound.until,
        )
        if isinstance(slot, Failure):
            metrics.admission_refusals.labels(
                "upstream", slot.failure().reason
            ).inc()
            return Failure(_convert_queue_refusal(slot.failure()))
        started_s = self._clock.monotonic()
        metrics.queue_wait.labels("upstream").observe(started_s - arrived_s)
        self._load_recorder.begin_request(upstream.id)
        outcome = queues_lib.CANCELLED
        try:
            result = await self._run_in_slot(inbound, route, options)
            outcome = _classify_outcome(result)
            return result
        finally:
            latency_s = self._clock.monotonic() - started_s
            slot.unwrap().release(outcome, latency_s)
            self._load_recorder.end_request(upstream.id, outcome, latency_s)

    async def _run_in_slot(
        self,
        inbound: request_parser_lib.InboundRequest,
        route: interfaces.Route,
        options: AttemptOptions,
    ) -> Result[None, AttemptFailure]:
        upstream = route.upstream
        assert upstream is not None
        limit = upstream.connections // max(1, self._instance_count())
        pool = self.pools.get(
            upstream.address, max(1, limit), _make_identity(upstream)
        )
        acquired = await pool.acquire(
            inbound.until - self._clock.monotonic(), options.new_connection
        )
        if isinstance(acquired, Failure):
            if acquired.failure().code == identity_lib.NO_RESPONSE:
                pool.discard_idle()
            return Failure(acquired.failure())
        connection = acquired.unwrap()
        # There is no await between here and the write, so that the lease is
        # checked immediately before writing.
        remaining_s = inbound.until - self._clock.monotonic()
        if remaining_s <= 0:
            pool.return_unused(connection)
            return Failure(_not_run("deadline", "the deadline has passed"))
        dispatch = self._member.begin_dispatch(route, remaining_s)
        if dispatch is None:
            pool.return_unused(connection)
            return Failure(_not_run("moved", "the key is being moved"))
        certainly_ended = False
        try:
            if not self._member.check_dispatch(dispatch):
                pool.return_unused(connection)
                certainly_ended = True
                return Failure(_not_run("moved", "the lease has ended"))
            result = await self._exchange(
                inbound, route, upstream, options, (pool, connection)
            )
            certainly_ended = not _may_still_run(result)
            return result
        finally:
            self._end_dispatch(dispatch, upstream, inbound, certainly_ended)

    def _end_dispatch(
        self,
        dispatch: Any,
        upstream: zone_messages.Upstream,
        inbound: request_parser_lib.InboundRequest,
        certainly_ended: bool,
    ) -> None:
        """Ends a dispatch once its request can no longer run.

        An upstream that checks fences rejects late requests itself. Any other
        upstream may run an abandoned request until its deadline, and the key
        must not be moved before that.
        """
        if certainly_ended or upstream.checks_fences:
            self._member.end_dispatch(dispatch)
            return
        asyncio.get_running_loop().call_later(
            max(0.0, inbound.until - self._clock.monotonic()),
            self._member.end_dispatch,
            dispatch,
        )

    async def _exchange(
        self,
        inbound: request_parser_lib.InboundRequest,
        route: interfaces.Route,
        upstream: zone_messages.Upstream,
        options: AttemptOptions,
        pooled_connection: tuple[pools_lib.Pool, connection_lib.Connection],
    ) -> Result[None, AttemptFailure]:
        pool, connection = pooled_connection
        remaining_s = inbound.until - self._clock.monotonic()
        abandon_check = options.may_abandon
        timeouts = exchange.Timeouts(
            remaining_s,
            remaining_s * _FIRST_BYTE_TIMEOUT_FRACTION
            if abandon_check
            else 0.0,
            abandon_check or _never,
        )
        request = _format_request(
            inbound,
            route,
            upstream.address,
            remaining_s,
            self._clock.wall_ms(),
        )
        target = _make_target(upstream)
        exchange_number = self._crash_detector.begin_exchange(
            target, inbound.fingerprint
        )
        complete = False
        try:
            result = await exchange.run_exchange(
                pool,
                connection,
                request,
                inbound.request_id,
                inbound.method == "HEAD",
                timeouts,
            )
            if isinstance(result, Failure) and not connection.response_started:
                # A firewall or NAT device that dropped this connection may
                # have dropped the idle ones as well.
                pool.discard_idle()
            attempt_result = await self._handle_result(
                result, upstream, options
            )
            complete = True
            if isinstance(attempt_result, Success):
                self._crash_detector.record_answer(
                    inbound.fingerprint, attempt_result.unwrap()
                )
            return attempt_result.map(lambda _: None)
        finally:
            self._crash_detector.end_exchange(target, exchange_number)
            if not complete or _is_deadline_exceeded(attempt_result):
                self._cancel(inbound, upstream)

    async def _handle_result(
        self,
        result: Result[exchange.HttpResponse, faults.Fault],
        upstream: zone_messages.Upstream,
        options: AttemptOptions,
    ) -> Result[int, AttemptFailure]:
        """Delivers a response; returns its status, or why there is none."""
        if isinstance(result, Failure):
            fault = result.failure()
            if fault.code in ("broken", "truncated"):
                await self._crash_detector.check_crash(_make_target(upstream))
            return Failure(fault)
        response = result.unwrap()
        refusal = _find_upstream_refusal(response)
        if refusal is not None:
            return Failure(refusal)
        try:
            fully_read = await options.deliver(response)
        finally:
            if response.body_stream is not None:
                response.body_stream.close()
        if not fully_read:
            detail = f"{upstream.address}: the answer was truncated"
            await self._crash_detector.check_crash(_make_target(upstream))
            return Failure(faults.Fault("cut", detail, True))
        return Success(response.status)

    def _cancel(
        self,
        inbound: request_parser_lib.InboundRequest,
        upstream: zone_messages.Upstream,
    ) -> None:
        if upstream.accepts_cancellation and inbound.operation.repeatable:
            self._spawn(self._send_cancel(inbound, upstream))

    async def _send_cancel(
        self,
        inbound: request_parser_lib.InboundRequest,
        upstream: zone_messages.Upstream,
    ) -> None:
        pool = self.control_pools.get(
            upstream.address, _CONTROL_CONNECTIONS, _make_identity(upstream)
        )
        body = json.dumps(
            {
                "request_id": inbound.request_id,
                "customer": inbound.customer,
            }
        ).encode()
        request = exchange.format_request(
            "POST",
            _CANCEL_PATH,
            upstream.address,
            (
                (headers.REQUEST_ID, inbound.request_id),
                ("Content-Type", "application/json"),
            ),
            body,
        )
        acquired = await pool.acquire(_CANCEL_DEADLINE_S)
        if isinstance(acquired, Success):
            timeouts = exchange.Timeouts(_CANCEL_DEADLINE_S, 0.0, _never)
            await exchange.run_exchange(
                pool,
                acquired.unwrap(),
                request,
                inbound.request_id,
                False,
                timeouts,
            )


def _make_identity(upstream: zone_messages.Upstream) -> identity_lib.Identity:
    return identity_lib.Identity(upstream.id, upstream.incarnation)


def _never() -> bool:
    return False


def _not_run(code: str, detail: str) -> faults.Fault:
    return faults.Fault(code, detail, False)


def _is_deadline_exceeded(attempt_result: Result[Any, AttemptFailure]) -> bool:
    if not isinstance(attempt_result, Failure):
        return False
    fault = attempt_result.failure()
    # An exchange abandoned with code "silent" is not cancelled: it is retried
    # with the same id, so a cancellation would end the retry.
    return isinstance(fault, faults.Fault) and fault.code == "deadline"


def _classify_outcome(result: Result[Any, AttemptFailure]) -> str:
    """Returns the outcome that the upstream's concurrency limit is fed with."""
    if not isinstance(result, Failure):
        return queues_lib.OK
    failure_cause = result.failure()
    if isinstance(failure_cause, Rejected):
        return queues_lib.CANCELLED
    if failure_cause.code == "shed":
        return queues_lib.SHED
    if failure_cause.code == "silent":
        # Only the connection may be broken; a failed upstream is detected by
        # its heartbeats.
        return queues_lib.CANCELLED
    if failure_cause.may_have_run or failure_cause.code in (
        "refused",
        "connect",
    ):
        return queues_lib.FAILURE
    return queues_lib.CANCELLED


def _convert_queue_refusal(refusal: refusal_lib.Refusal) -> AttemptFailure:
    if refusal.reason == refusal_lib.CLOSED:
        # The upstream was removed; its keys are assigned to another owner.
        return _not_run("moved", refusal.detail)
    return Rejected(rejections.make_admission_rejection(refusal))


def _find_upstream_refusal(
    response: exchange.HttpResponse,
) -> faults.Fault | None:
    """Returns the fault if the upstream rejected the request unexecuted."""
    code = _REFUSAL_CODES_BY_STATUS.get(response.status)
    if code is None or response.body_stream is not None:
        return None
    if response.protocol_headers.get(headers.NOT_RUN.lower()) != "1":
        return None
    return _not_run(code, f"the upstream refused: {code}")


def _may_still_run(result: Result[None, AttemptFailure]) -> bool:
    if isinstance(result, Success):
        return False
    failure_cause = result.failure()
    return (
        not isinstance(failure_cause, Rejected) and failure_cause.may_have_run
    )


def _format_request(
    inbound: request_parser_lib.InboundRequest,
    route: interfaces.Route,
    address: str,
    remaining_s: float,
    now_ms: int,
) -> bytes:
    remaining_ms = max(1, int(remaining_s * 1000))
    header_fields = (
        *inbound.header_fields,
        (headers.KEYSPACE, route.keyspace),
        (headers.SHARD, str(route.shard)),
        (headers.FENCE, str(route.fence)),
        (headers.DEADLINE, str(remaining_ms)),
        (headers.EXPIRES, str(now_ms + remaining_ms)),
        (headers.REQUEST_ID, inbound.request_id),
        (headers.CUSTOMER, inbound.customer),
        (headers.KEY, inbound.key),
    )
    return exchange.format_request(
        inbound.method, inbound.target, address, header_fields, inbound.body
    )


def _make_target(upstream: zone_messages.Upstream) -> crash_detector_lib.Target:
    return crash_detector_lib.Target(
        upstream.id, upstream.incarnation, upstream.address
    )
