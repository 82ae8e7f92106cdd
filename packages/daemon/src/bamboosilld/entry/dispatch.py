"""Sends one request to the upstream that owns its key."""

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
from bamboosilld.admission import queues as queues_lib
from bamboosilld.admission import refusal as refusal_lib
from bamboosilld.entry import answers
from bamboosilld.entry import connection as connection_lib
from bamboosilld.entry import crashes as crashes_lib
from bamboosilld.entry import exchange
from bamboosilld.entry import faults
from bamboosilld.entry import headers
from bamboosilld.entry import identity as identity_lib
from bamboosilld.entry import inbound as inbound_lib
from bamboosilld.entry import interfaces
from bamboosilld.entry import pools as pools_lib
from bamboosilld.entry import tally as tally_lib

# Part of the remaining time after which a repeatable request that saw no
# byte is sent again; the rest must suffice for the second attempt.
_SILENCE_FRACTION = 0.5
_CANCEL_DEADLINE_S = 1.0
_CONTROL_CONNECTIONS = 2
_CANCEL_PATH = "/bamboosill/cancel"
_REFUSING_STATUSES = {409: "stale-fence", 503: "shed"}

Deliver = Callable[[exchange.Answer], Awaitable[bool]]


class Attempt(NamedTuple):
    """How one attempt is made.

    Attributes:
        fresh: Whether it needs a new connection.
        may_give_up: Asked when the upstream stays silent for half of the
            remaining time; None if the attempt must not be given up.
        deliver: Passes an answer on to the caller; returns whether the whole
            answer was read.
    """

    fresh: bool
    may_give_up: Callable[[], bool] | None
    deliver: Deliver


class Stopped(NamedTuple):
    """The attempt was refused before a byte was written."""

    refused: answers.Refused


Ended = faults.Fault | Stopped


class Dispatcher:
    """Exchanges requests with the upstreams of this zone."""

    def __init__(
        self,
        member: interfaces.Member,
        queues: interfaces.Queues,
        crashes: crashes_lib.Crashes,
        tally: tally_lib.Tally,
        clock: clock_lib.Clock,
        instance_count: Callable[[], int],
        spawn: interfaces.Spawn,
    ) -> None:
        self._member = member
        self._queues = queues
        self._crashes = crashes
        self._tally = tally
        self._instance_count = instance_count
        self._clock = clock
        self._spawn = spawn
        self.pools = pools_lib.Pools()
        # Cancellations must not wait for the connections whose requests they
        # cancel.
        self.control_pools = pools_lib.Pools()

    async def run(
        self,
        inbound: inbound_lib.Inbound,
        route: interfaces.Route,
        attempt: Attempt,
    ) -> Result[None, Ended]:
        """Makes one attempt; success means that the answer was delivered."""
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
            return Failure(_describe_wait(slot.failure()))
        started_s = self._clock.monotonic()
        metrics.queue_wait.labels("upstream").observe(started_s - arrived_s)
        self._tally.begin(upstream.id)
        outcome = queues_lib.CANCELLED
        try:
            result = await self._run_with_slot(inbound, route, attempt)
            outcome = _judge(result)
            return result
        finally:
            latency_s = self._clock.monotonic() - started_s
            slot.unwrap().release(outcome, latency_s)
            self._tally.end(upstream.id, outcome, latency_s)

    async def _run_with_slot(
        self,
        inbound: inbound_lib.Inbound,
        route: interfaces.Route,
        attempt: Attempt,
    ) -> Result[None, Ended]:
        upstream = route.upstream
        assert upstream is not None
        limit = upstream.connections // max(1, self._instance_count())
        pool = self.pools.get(
            upstream.address, max(1, limit), _identify(upstream)
        )
        acquired = await pool.acquire(
            inbound.until - self._clock.monotonic(), attempt.fresh
        )
        if isinstance(acquired, Failure):
            if acquired.failure().code == identity_lib.SILENT:
                pool.discard_idle()
            return Failure(acquired.failure())
        connection = acquired.unwrap()
        # Nothing waits between here and the write, so that the lease is
        # checked immediately before it.
        remaining_s = inbound.until - self._clock.monotonic()
        if remaining_s <= 0:
            pool.put_back(connection)
            return Failure(_not_run("deadline", "the deadline has passed"))
        dispatch = self._member.begin_dispatch(route, remaining_s)
        if dispatch is None:
            pool.put_back(connection)
            return Failure(_not_run("moved", "the key is being moved"))
        ended_for_certain = False
        try:
            if not self._member.check_dispatch(dispatch):
                pool.put_back(connection)
                ended_for_certain = True
                return Failure(_not_run("moved", "the lease has ended"))
            result = await self._write(
                inbound, route, upstream, attempt, (pool, connection)
            )
            ended_for_certain = not _may_still_run(result)
            return result
        finally:
            self._end(dispatch, upstream, inbound, ended_for_certain)

    def _end(
        self,
        dispatch: Any,
        upstream: zone_messages.Upstream,
        inbound: inbound_lib.Inbound,
        ended_for_certain: bool,
    ) -> None:
        """Ends a dispatch once its request certainly runs no more.

        An upstream that checks fences refuses what is late. Another one may
        run an abandoned request until its deadline, and a move of the key
        must wait for that.
        """
        if ended_for_certain or upstream.checks_fences:
            self._member.end_dispatch(dispatch)
            return
        asyncio.get_running_loop().call_later(
            max(0.0, inbound.until - self._clock.monotonic()),
            self._member.end_dispatch,
            dispatch,
        )

    async def _write(
        self,
        inbound: inbound_lib.Inbound,
        route: interfaces.Route,
        upstream: zone_messages.Upstream,
        attempt: Attempt,
        link: tuple[pools_lib.Pool, connection_lib.Connection],
    ) -> Result[None, Ended]:
        pool, connection = link
        remaining_s = inbound.until - self._clock.monotonic()
        give_up = attempt.may_give_up
        timing = exchange.Timing(
            remaining_s,
            remaining_s * _SILENCE_FRACTION if give_up else 0.0,
            give_up or _never,
        )
        request = _format(
            inbound,
            route,
            upstream.address,
            remaining_s,
            self._clock.wall_ms(),
        )
        self._crashes.begin(upstream, inbound.fingerprint)
        complete = False
        try:
            result = await exchange.run_exchange(
                pool,
                connection,
                request,
                inbound.request_id,
                inbound.method == "HEAD",
                timing,
            )
            if isinstance(result, Failure) and not connection.received:
                # Whatever lost track of this connection may have lost the
                # idle ones too.
                pool.discard_idle()
            ended = await self._settle(result, upstream, attempt)
            complete = True
            return ended
        finally:
            self._crashes.end(upstream, inbound.fingerprint)
            if not complete or _is_late(ended):
                self._cancel(inbound, upstream)

    async def _settle(
        self,
        result: Result[exchange.Answer, faults.Fault],
        upstream: zone_messages.Upstream,
        attempt: Attempt,
    ) -> Result[None, Ended]:
        if isinstance(result, Failure):
            fault = result.failure()
            if fault.code in ("broken", "truncated"):
                await self._crashes.inquire(upstream)
            return Failure(fault)
        answer = result.unwrap()
        refusal = _find_refusal(answer)
        if refusal is not None:
            return Failure(refusal)
        try:
            whole = await attempt.deliver(answer)
        finally:
            if answer.rest is not None:
                answer.rest.close()
        if not whole:
            detail = f"{upstream.address}: the answer was truncated"
            await self._crashes.inquire(upstream)
            return Failure(faults.Fault("cut", detail, True))
        return Success(None)

    def _cancel(
        self, inbound: inbound_lib.Inbound, upstream: zone_messages.Upstream
    ) -> None:
        if upstream.accepts_cancellation and inbound.operation.repeatable:
            self._spawn(self._send_cancel(inbound, upstream))

    async def _send_cancel(
        self, inbound: inbound_lib.Inbound, upstream: zone_messages.Upstream
    ) -> None:
        pool = self.control_pools.get(
            upstream.address, _CONTROL_CONNECTIONS, _identify(upstream)
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
            timing = exchange.Timing(_CANCEL_DEADLINE_S, 0.0, _never)
            await exchange.run_exchange(
                pool,
                acquired.unwrap(),
                request,
                inbound.request_id,
                False,
                timing,
            )


def _identify(upstream: zone_messages.Upstream) -> identity_lib.Identity:
    return identity_lib.Identity(upstream.id, upstream.incarnation)


def _never() -> bool:
    return False


def _not_run(code: str, detail: str) -> faults.Fault:
    return faults.Fault(code, detail, False)


def _is_late(ended: Result[Any, Ended]) -> bool:
    if not isinstance(ended, Failure):
        return False
    fault = ended.failure()
    # A silent exchange is repeated under the same id, so that a cancellation
    # would end its successor.
    return isinstance(fault, faults.Fault) and fault.code == "deadline"


def _judge(result: Result[Any, Ended]) -> str:
    """Returns how an attempt counts for the upstream's concurrency limit."""
    if not isinstance(result, Failure):
        return queues_lib.OK
    ended = result.failure()
    if isinstance(ended, Stopped):
        return queues_lib.CANCELLED
    if ended.code == "shed":
        return queues_lib.SHED
    if ended.code == "silent":
        # The connection may be at fault; the upstream's heartbeats tell.
        return queues_lib.CANCELLED
    if ended.may_have_run or ended.code in ("refused", "connect"):
        return queues_lib.FAILURE
    return queues_lib.CANCELLED


def _describe_wait(refusal: refusal_lib.Refusal) -> Ended:
    if refusal.reason == refusal_lib.CLOSED:
        # The upstream is gone; its keys get another owner.
        return _not_run("moved", refusal.detail)
    return Stopped(answers.describe_refusal(refusal))


def _find_refusal(answer: exchange.Answer) -> faults.Fault | None:
    """Returns the fault if an upstream states that it ran nothing."""
    code = _REFUSING_STATUSES.get(answer.status)
    if code is None or answer.rest is not None:
        return None
    if answer.fields.get(headers.NOT_RUN.lower()) != "1":
        return None
    return _not_run(code, f"the upstream refused: {code}")


def _may_still_run(result: Result[None, Ended]) -> bool:
    if isinstance(result, Success):
        return False
    ended = result.failure()
    return not isinstance(ended, Stopped) and ended.may_have_run


def _format(
    inbound: inbound_lib.Inbound,
    route: interfaces.Route,
    address: str,
    remaining_s: float,
    now_ms: int,
) -> bytes:
    remaining_ms = max(1, int(remaining_s * 1000))
    lines = (
        *inbound.lines,
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
        inbound.method, inbound.target, address, lines, inbound.body
    )
