"""The entry role of an instance: listeners, request handling and shutdown."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import random
import ssl
import sys
from typing import Any

from aiohttp import web
from returns.result import Failure
from returns.result import Success

from bamboosill_common import auth
from bamboosill_common import clock as clock_lib
from bamboosill_common import events
from bamboosill_common import logs
from bamboosill_common import metrics
from bamboosill_common import peer
from bamboosill_common import requestid
from bamboosill_common import settings as settings_lib
from bamboosill_common.generated import zone as zone_messages
from bamboosilld import crash_detector as crash_detector_lib
from bamboosilld import memory_account
from bamboosilld.entry import contract_sync
from bamboosilld.entry import dispatch as dispatch_lib
from bamboosilld.entry import forward as forward_lib
from bamboosilld.entry import headers
from bamboosilld.entry import idempotency as idempotency_lib
from bamboosilld.entry import interfaces
from bamboosilld.entry import listener as listener_lib
from bamboosilld.entry import load_stats as load_stats_lib
from bamboosilld.entry import rejections
from bamboosilld.entry import request_parser as request_parser_lib
from bamboosilld.entry import responder as responder_lib
from bamboosilld.entry import router as router_lib
from bamboosilld.entry import unlimited
from bamboosilld.entry import upstreams as upstreams_lib

READY_PATH = "/readyz"
# Stores the traffic class on the aiohttp request, for its metrics.
_TRAFFIC_CLASS_KEY = web.RequestKey("traffic_class", str)
# Load balancers check readiness about once a second; all of them must see that
# the instance is draining before it refuses connections.
DRAIN_NOTICE_S = 3.0
_SWEEP_INTERVAL_S = 5.0
_CRASH_REPORT_TIMEOUT_S = 5.0
_DRAIN_POLL_S = 0.02
_MIN_FLUSH_S = 0.1
_MAX_FLUSH_S = 5.0

_DRAINING = rejections.Rejection(
    503,
    headers.OUTCOME_NOT_RUN,
    "draining",
    "this instance stops before the request's deadline",
    retry_after_s=1.0,
)

_log = logs.get_logger("entry")


class EntryServer:
    """Serves callers and upstreams on their two addresses.

    Attributes:
        caller_address: Address bound for callers; empty before `start`.
        upstream_address: Address bound for upstreams; empty before `start`.
    """

    def __init__(
        self,
        *,
        member: interfaces.ZoneMember,
        authenticator: auth.Authenticator,
        clock: clock_lib.Clock,
        rng: random.Random,
        timeline: events.Timeline,
        instance: peer.Identity,
        gate: interfaces.Gate | None = None,
        queues: interfaces.Queues | None = None,
        budget: interfaces.RetryBudget | None = None,
        server_tls: ssl.SSLContext | None = None,
        client_tls: ssl.SSLContext | None = None,
        instance_count: Callable[[], int] | None = None,
        account: memory_account.MemoryAccount | None = None,
    ) -> None:
        """Creates the role; `start` begins to listen.

        Args:
            member: The zone member of this instance.
            authenticator: Verifies and signs tokens.
            clock: Source of time.
            rng: Source of randomness.
            timeline: Receives events of the instance.
            instance: Identity of this instance.
            gate: Applies the limits of contracts; by default there are none.
            queues: Queues of upstreams; by default no request is queued.
            budget: Limits retries; by default all are allowed.
            server_tls: TLS context of both listeners.
            client_tls: TLS context for entry instances of other zones.
            instance_count: Returns the number of entry instances of the
                zone, among which the connection limit of each upstream is
                divided.
            account: Counts the bytes of request bodies; by default they are
                not bounded together.
        """
        self._member = member
        self._authenticator = authenticator
        self._clock = clock
        self._rng = rng
        self._timeline = timeline
        self._instance = instance
        self._admission = (
            gate or unlimited.Gate(),
            budget or unlimited.RetryBudget(),
        )
        self._queues = queues or unlimited.Queues()
        self._client_tls = client_tls
        self._parser = request_parser_lib.Parser(
            member, authenticator, clock, rng
        )
        self._api = upstreams_lib.UpstreamApi(
            member, authenticator, instance.zone
        )
        self._callers = listener_lib.Listener(self._handle, server_tls)
        self._upstreams = listener_lib.Listener(self._api.handle, server_tls)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._in_flight = 0
        self._draining = False
        # Time at which requests in flight are broken off, once it is known.
        self._stop_at_s = float("inf")
        self._instance_count = instance_count or (lambda: 1)
        self._account = account or memory_account.MemoryAccount(sys.maxsize)
        self._load_recorder = load_stats_lib.LoadRecorder(
            clock, self._admission[0]
        )
        self.caller_address = ""
        self.upstream_address = ""

    @property
    def in_flight(self) -> int:
        """Number of caller requests in progress."""
        return self._in_flight

    def is_ready(self) -> tuple[bool, str]:
        """Returns whether the instance accepts callers, and why not."""
        if self._draining:
            return False, "draining"
        return self._member.is_ready()

    async def start(self, caller_address: str, upstream_address: str) -> None:
        """Starts to listen on both addresses."""
        self._crash_detector = crash_detector_lib.CrashDetector(
            self._report_crash, self._clock
        )
        self._dispatcher = dispatch_lib.Dispatcher(
            self._member,
            self._queues,
            self._crash_detector,
            self._load_recorder,
            self._clock,
            self._instance_count,
            self._spawn,
        )
        self._forwarder = forward_lib.Forwarder(
            self._authenticator,
            self._clock,
            self._rng,
            self._client_tls,
            settings_lib.split_address(caller_address)[0],
        )
        records = idempotency_lib.IdempotencyRecords(
            self._member,
            self._clock,
            (self._instance.instance, self._instance.incarnation),
            self._spawn,
        )
        self._router = router_lib.Router(
            self._member,
            self._admission,
            self._dispatcher,
            self._forwarder,
            records,
            self._crash_detector,
            self._load_recorder,
            self._clock,
            self._rng,
        )
        contract_sync.connect_gate(self._member, self._admission[0])
        self._member.set_load_reporter(self._load_recorder.report)
        self._sweeper = asyncio.create_task(self._sweep())
        self.caller_address = await self._callers.start(caller_address)
        self.upstream_address = await self._upstreams.start(upstream_address)

    async def stop(
        self, grace_s: float, notice_s: float = DRAIN_NOTICE_S
    ) -> None:
        """Stops gracefully: drains requests in flight, then closes connections.

        Args:
            grace_s: Maximum time to wait for requests in flight.
            notice_s: Time for which connections are still accepted after
                readiness has ended; included in `grace_s`.
        """
        self._draining = True
        self._timeline.record("entry", "draining", in_flight=self._in_flight)
        self._stop_at_s = self._clock.monotonic() + grace_s
        await self._clock.sleep(min(notice_s, grace_s))
        self._callers.stop_accepting()
        while self._has_work() and self._clock.monotonic() < self._stop_at_s:
            await self._clock.sleep(_DRAIN_POLL_S)
        if self._has_work():
            _log.warning("Stopped with %d requests in flight.", self._in_flight)
        # Responses of finished requests may still be in write buffers.
        remaining_s = self._stop_at_s - self._clock.monotonic()
        flush_s = max(_MIN_FLUSH_S, min(_MAX_FLUSH_S, remaining_s))
        await self._callers.close(flush_s)
        await self._upstreams.close(_MIN_FLUSH_S)
        await self._close_resources()
        self._timeline.record("entry", "stopped", in_flight=self._in_flight)

    def _has_work(self) -> bool:
        return bool(self._in_flight or self._tasks)

    async def _close_resources(self) -> None:
        self._sweeper.cancel()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(
            self._sweeper, *self._tasks, return_exceptions=True
        )
        await self._crash_detector.close()
        await self._forwarder.close()
        for pools in self._list_pools():
            pools.close()

    def _list_pools(self) -> tuple[Any, ...]:
        return (
            self._dispatcher.pools,
            self._dispatcher.control_pools,
            self._forwarder.pools,
        )

    async def _sweep(self) -> None:
        while True:
            await self._clock.sleep(_SWEEP_INTERVAL_S)
            for pools in self._list_pools():
                pools.sweep()
            present = frozenset(
                each.id for each in self._member.list_upstreams()
            )
            for upstream_id in self._load_recorder.forget_missing(present):
                self._queues.drop(upstream_id)

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.raw_path == READY_PATH:
            return self._make_readiness_response()
        self._in_flight += 1
        begun_s = self._clock.monotonic()
        try:
            response = await self._serve(request)
        finally:
            self._in_flight -= 1
        if self._draining:
            response.force_close()
        traffic_class = request.get(_TRAFFIC_CLASS_KEY, "none")
        metrics.request_duration.labels(traffic_class).observe(
            self._clock.monotonic() - begun_s
        )
        metrics.answers.labels(
            response.headers[headers.OUTCOME],
            response.headers[headers.REASON],
            traffic_class,
        ).inc()
        return response

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        hold = self._account.open()
        try:
            return await self._serve_held(request, hold)
        finally:
            hold.release()

    async def _serve_held(
        self, request: web.BaseRequest, hold: memory_account.Hold
    ) -> web.StreamResponse:
        """Serves a request whose body is counted until the response is sent."""
        parsed = await self._parser.parse(request, hold)
        if isinstance(parsed, Failure):
            given = request.headers.get(headers.REQUEST_ID, "")
            # A malformed id is not echoed.
            valid = requestid.parse_request_id(given)
            return rejections.make_response(
                parsed.failure(), given if isinstance(valid, Success) else ""
            )
        inbound = parsed.unwrap()
        request[_TRAFFIC_CLASS_KEY] = inbound.operation.traffic_class
        if inbound.until > self._stop_at_s:
            # Another instance has the whole time for it.
            return rejections.make_response(_DRAINING, inbound.request_id)
        responder = responder_lib.Responder(
            request,
            inbound.request_id,
            inbound.until - self._clock.monotonic(),
        )
        context = router_lib.RequestContext(inbound, responder)
        if inbound.operation.repeatable:
            await self._router.serve(context)
        else:
            # Continues after the caller disconnects, so that the outcome is
            # recorded for a resend.
            task = self._spawn(self._router.serve(context))
            task_hold = hold.move()
            task.add_done_callback(lambda _: task_hold.release())
            try:
                await asyncio.shield(task)
            except asyncio.CancelledError:
                context.caller_disconnected = True
                raise
        assert responder.response is not None
        return responder.response

    async def _report_crash(self, crash: crash_detector_lib.Crash) -> None:
        report = zone_messages.ReportCrash(
            upstream=crash.target.upstream,
            incarnation=crash.target.incarnation,
            fingerprints=crash.fingerprints,
            now_ms=self._clock.wall_ms(),
        )
        await self._member.propose(report, _CRASH_REPORT_TIMEOUT_S)

    def _make_readiness_response(self) -> web.Response:
        ready, reason = self.is_ready()
        return web.Response(
            status=200 if ready else 503,
            text="ready" if ready else reason,
            headers={
                headers.OUTCOME: headers.OUTCOME_NOT_RUN,
                headers.REASON: "ready" if ready else "not-ready",
            },
        )
