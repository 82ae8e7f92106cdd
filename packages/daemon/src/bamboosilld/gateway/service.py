"""Handles the requests of callers: routes, sends and responds to each."""

import asyncio
import logging
import random
from typing import NamedTuple
import urllib.parse

from bamboosill_common import clock as clock_lib
from bamboosill_common import logs
from bamboosill_common import metrics
from bamboosill_common.generated import fleet as messages
from bamboosilld import crash_detector as crash_detector_lib
from bamboosilld.fleet import follower as follower_lib
from bamboosilld.fleet import keyranges
from bamboosilld.gateway import budget as budget_lib
from bamboosilld.gateway import crash_reports
from bamboosilld.gateway import evacuation
from bamboosilld.gateway import fingerprint
from bamboosilld.gateway import forwarding
from bamboosilld.gateway import http_messages
from bamboosilld.gateway import latency as latency_lib
from bamboosilld.gateway import load_balancing
from bamboosilld.gateway import permit_client
from bamboosilld.gateway import reachability as reachability_lib
from bamboosilld.gateway import request_context
from bamboosilld.gateway import request_sender
from bamboosilld.gateway import return_times as return_times_lib
from bamboosilld.gateway import upstream_connection as upstream_connection_lib
from bamboosilld.gateway import view as view_lib

_DEFAULT_DEADLINE_S = 30.0
# Retry-After of a refused request for which no better time is known: a fraction
# of its route's target latency.
_RETRY_AFTER_FRACTION = 0.4
# Retry-After before this instance has synced with the leader: about the time of
# an election and a heartbeat.
_UNSYNCED_RETRY_AFTER_S = 1.0
# Fraction of the caller's timeout for which a request waits for the first sync.
_SYNC_WAIT_FRACTION = 0.25
# Characters of a path and query that need no percent-encoding.
_URL_SAFE_CHARACTERS = "/?&=%:@!$'()*+,;~"
# Requests of other entry instances that are handled at once, at most.
_MAX_FORWARDED_IN_FLIGHT = 128
# All connections to a crashed upstream break within this time.
_CRASH_SETTLE_S = 0.1

_log = logs.get_logger("gateway")


class GatewaySettings(NamedTuple):
    """Settings of the request path.

    Attributes:
        instance: Name of this instance.
        zone: Availability zone of this instance.
        local_host: Source IP address of outgoing connections.
        names: Names of the headers.
        retry_ratio: Agreed retries as a fraction of requests.
        retry_constant: Agreed retries beyond that in a window, over all entry
            instances.
        retry_window_s: Length of the window of the retry budget in seconds.
        drain_s: Time for which an upstream that states that it leaves still
            takes requests.
        evacuation_s: Time within which the order to evacuate an availability
            zone is in force at all instances.
    """

    instance: str
    zone: str
    local_host: str
    names: http_messages.HeaderNames
    retry_ratio: float
    retry_constant: float
    retry_window_s: float
    drain_s: float = load_balancing.DEFAULT_DRAIN_S
    evacuation_s: float = evacuation.DEFAULT_BOUND_S


class Service:
    """Request handler of an entry instance.

    Attributes:
        in_flight: Requests that are being handled.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        follower: follower_lib.Follower,
        view: view_lib.View,
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._names = settings.names
        crash_reporter = crash_reports.CrashReporter(follower)
        self._context = request_context.SendContext(
            settings.zone,
            settings.names,
            view,
            clock,
            rng,
            permit_client.PermitClient(
                settings.instance,
                follower.acquire_permits,
                lambda: follower.entry_count,
                clock,
                rng,
            ),
            reachability_lib.Reachability(
                view.list_all_upstreams,
                self._format_probe,
                settings.zone,
                clock,
                rng,
            ),
            forwarding.Instances(
                settings.zone,
                clock,
                rng,
                settings.names.request_id,
                settings.local_host,
            ),
            request_context.Shutdown(),
            crash_detector_lib.CrashDetector(
                crash_reporter.report_crash,
                clock,
                _CRASH_SETTLE_S,
                crash_reporter.report_answer,
            ),
            return_times_lib.ReturnTimes(clock, rng),
        )
        self._follower = follower
        self._view = view
        self._clock = clock
        self._splitter = view_lib.routes_lib.TrafficSplitter(rng)
        self._started_s = clock.monotonic()
        self._retry_budgets: dict[str, budget_lib.RetryBudget] = {}
        self._latencies: dict[str, latency_lib.Latency] = {}
        self._work_ms_by_block: dict[tuple[str, int], float] = {}
        self.in_flight = 0
        self._forwarded_in_flight = 0

    def pop_measurements(self) -> follower_lib.Measurements:
        """Returns what was measured since the last call."""
        work_ms_by_block, self._work_ms_by_block = self._work_ms_by_block, {}
        return follower_lib.Measurements(
            tuple(
                messages.KeyWork(service, block, int(work_ms))
                for (service, block), work_ms in work_ms_by_block.items()
            ),
            tuple(self._view.list_new_relative_latencies()),
            tuple(
                messages.UpstreamLoad(upstream, requests, no_response)
                for upstream, requests, no_response in (
                    self._view.list_new_loads()
                )
            ),
            self._context.reachability.is_cut_off,
        )

    def update_instances(
        self, items: tuple[messages.EntryAddress, ...]
    ) -> None:
        """Replaces the instances to which requests can be forwarded."""
        self._context.instances.update(items)

    def stop(self, abandon_s: float) -> None:
        """Begins no more orders that may last until the stop.

        Idempotent requests are still taken, as their callers can repeat them.

        Args:
            abandon_s: Monotonic time at which requests in flight are abandoned.
        """
        self._context.shutdown.abandon_s = abandon_s

    def sweep(self) -> None:
        """Closes idle connections that may not be reused any more."""
        self._view.sweep()
        self._context.instances.sweep()

    async def handle_forwarded(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        """Handles a request that another entry instance has forwarded."""
        parsed = forwarding.parse_request(request)
        if parsed is None:
            return forwarding.mark_response(
                self._refuse_unrouted(400, request, "not forwarded"),
                forwarding.NOT_RUN,
            )
        request, limits = parsed
        reason = self._find_reason_not_to_take(limits)
        if reason:
            return forwarding.mark_response(
                self._refuse_unrouted(503, request, reason),
                forwarding.UNAVAILABLE,
            )
        self._forwarded_in_flight += 1
        self.in_flight += 1
        try:
            response, outcome = await self._handle_routed(
                request, self._clock.monotonic(), limits
            )
            return forwarding.mark_response(response, outcome)
        finally:
            self.in_flight -= 1
            self._forwarded_in_flight -= 1

    def _find_reason_not_to_take(self, limits: forwarding.Limits) -> str:
        """Returns why no forwarded request is taken, or an empty string."""
        version = self._view.state.configuration.version
        if self._context.shutdown.has_begun:
            return "stopping"
        if self._context.reachability.is_cut_off:
            return "no upstream reached"
        if version < limits.configuration:
            return "older configuration"
        if self._forwarded_in_flight >= _MAX_FORWARDED_IN_FLIGHT:
            return "too many forwarded requests"
        return ""

    def _format_probe(self, upstream: load_balancing.Upstream) -> bytes:
        service = self._view.services.get(upstream.item.service)
        path = service.health_path if service is not None else ""
        target = urllib.parse.quote(path or "/", safe=_URL_SAFE_CHARACTERS)
        head = f"GET {target} HTTP/1.1\r\nHost: {upstream.item.address}"
        return head.encode("ascii") + b"\r\n\r\n"

    async def handle(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        """Handles a request and returns the response."""
        self.in_flight += 1
        try:
            response = await self._handle_safely(request)
            metrics.gateway_requests.labels(f"{response.status // 100}xx").inc()
            return response
        finally:
            self.in_flight -= 1

    async def _handle_safely(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        """Handles a request; after an unforeseen error, it may have run."""
        try:
            return await self._handle(request)
        except Exception:
            _log.exception("Request failed.")
            return self._refuse_unrouted(502, request, "internal error")

    async def _handle(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        received_s = self._clock.monotonic()
        if not self._follower.is_synced:
            # After startup, the leader usually responds within this time.
            await self._view.changed.wait_until(
                lambda: self._follower.is_synced,
                self._read_timeout(request) * _SYNC_WAIT_FRACTION,
            )
        if not self._follower.is_synced:
            return self._refuse_unrouted(503, request, "no configuration yet")
        response, _ = await self._handle_routed(request, received_s)
        return response

    async def _handle_routed(
        self,
        request: http_messages.Request,
        received_s: float,
        limits: forwarding.Limits | None = None,
    ) -> tuple[http_messages.Response, bytes]:
        """Handles a request of a caller, or one that was forwarded.

        Args:
            request: The request as its caller sent it.
            received_s: Monotonic time of receipt.
            limits: What the instance that forwarded it allows, if one did.

        Returns:
            The response and the outcome, a constant of `forwarding`.
        """
        host = (request.get(b"host") or b"").decode("latin-1")
        path = request.target.partition("?")[0]
        route = self._view.routes.find(host, path)
        if route is None:
            return (
                self._refuse_unrouted(404, request, "no route"),
                forwarding.NOT_RUN,
            )
        if limits is not None:
            route = route._replace(
                max_upstreams=min(route.max_upstreams, limits.sends)
            )
        service = self._splitter.choose(route)
        key = self._read_key(request, service)
        if key is None:
            return (
                self._refuse_unrouted(400, request, "no valid key"),
                forwarding.NOT_RUN,
            )
        timeout_s = self._read_timeout(request)
        routed = request_context.RoutedRequest(
            request,
            route,
            service,
            key,
            request.get(self._names.request_id) or b"",
            received_s,
            received_s + min(timeout_s, route.timeout_ms / 1000),
            limits is not None,
            fingerprint.compute_fingerprint(request, self._names),
        )
        if not self._context.reachability.is_cut_off:
            # The instance that sends a request counts it.
            self._count_request(routed)
        return await self._send(routed)

    def _count_request(self, routed: request_context.RoutedRequest) -> None:
        service, key, route = routed.service, routed.key, routed.route
        self._get_retry_budget(service).count_request()
        if key != request_context.NO_KEY:
            block = (service, key // keyranges.BLOCK_KEYS)
            latency = self._latencies.get(route.name)
            work_ms = latency.mean_s * 1000 if latency else 0.0
            self._work_ms_by_block[block] = (
                self._work_ms_by_block.get(block, 0.0) + work_ms
            )

    def _read_key(
        self, request: http_messages.Request, service: str
    ) -> int | None:
        item = self._view.services.get(service)
        if item is None or not item.sharded:
            return request_context.NO_KEY
        key = http_messages.parse_count(request.get(self._names.key) or b"")
        return key if key is not None and key < keyranges.KEY_COUNT else None

    def _read_timeout(self, request: http_messages.Request) -> float:
        value = request.get(self._names.deadline_ms) or b""
        deadline_ms = http_messages.parse_count(value)
        return (
            _DEFAULT_DEADLINE_S if deadline_ms is None else deadline_ms / 1000
        )

    def _get_retry_budget(self, service: str) -> budget_lib.RetryBudget:
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = self._retry_budgets[service] = budget_lib.RetryBudget(
                self._clock,
                self._settings.retry_ratio,
                self._settings.retry_constant,
                self._settings.retry_window_s,
                self._started_s,
            )
        return budget

    async def _send(
        self, routed: request_context.RoutedRequest
    ) -> tuple[http_messages.Response, bytes]:
        """Sends a routed request; returns the response and the outcome."""
        sender = request_sender.RequestSender(
            routed,
            self._context,
            self._get_retry_budget(routed.service),
            self._latencies.setdefault(
                routed.route.name, latency_lib.Latency()
            ),
            self._follower.entry_count,
        )
        try:
            outcome = await sender.run()
        except asyncio.CancelledError:
            _log.info(
                "Caller disconnected before the response.",
                extra=self._get_log_fields(routed),
            )
            raise
        if outcome.upstream_response is not None:
            response = self._make_forwarded_response(outcome.upstream_response)
        else:
            status = 503
            if outcome.may_have_run:
                status = 504 if outcome.reason == "timeout" else 502
            response = self._make_error_response(
                status, routed.request, routed, outcome.retry_after_s
            )
            if self._context.shutdown.has_begun:
                response = response._replace(close=True)
        self._log_outcome(routed, outcome, response.status)
        return response, self._classify(outcome)

    def _classify(self, outcome: request_context.Outcome) -> bytes:
        """Returns the outcome for an instance that forwarded the request."""
        if outcome.upstream_response is not None:
            return forwarding.ANSWER
        if outcome.may_have_run:
            return forwarding.UNKNOWN
        if (
            self._context.reachability.is_cut_off
            or self._context.shutdown.has_begun
        ):
            # The links were lost, or the stop began, after it was taken.
            return forwarding.UNAVAILABLE
        return forwarding.NOT_RUN

    def _log_outcome(
        self,
        routed: request_context.RoutedRequest,
        outcome: request_context.Outcome,
        status: int,
    ) -> None:
        now_s = self._clock.monotonic()
        metrics.gateway_duration.labels(
            "answered" if outcome.upstream_response is not None else "failed"
        ).observe(now_s - routed.received_s)
        _log.log(
            logging.INFO
            if outcome.upstream_response is not None
            else logging.WARNING,
            "Request ended. Status: %d. Reason: %s.",
            status,
            outcome.reason or "answered",
            extra={
                **self._get_log_fields(routed),
                "status": status,
                "upstream": outcome.upstream,
            },
        )

    def _get_log_fields(
        self, routed: request_context.RoutedRequest
    ) -> dict[str, object]:
        """Returns the log fields of a request and of this instance."""
        now_s = self._clock.monotonic()
        return {
            "request": routed.request_id.decode("latin-1"),
            "route": routed.route.name,
            "service": routed.service,
            "key": routed.key,
            "took_ms": int((now_s - routed.received_s) * 1000),
            "left_ms": int((routed.deadline_s - now_s) * 1000),
            "is_forwarded": routed.is_forwarded,
            "version": self._view.state.configuration.version,
            "revision": self._view.state.revision,
            "synced_ms_ago": int((now_s - self._follower.synced_s) * 1000),
        }

    def _make_forwarded_response(
        self, upstream_response: upstream_connection_lib.UpstreamResponse
    ) -> http_messages.Response:
        headers = http_messages.list_forwarded_headers(
            upstream_response.headers, frozenset((self._names.load,))
        )
        return http_messages.Response(
            upstream_response.status, headers, upstream_response.body
        )

    def _refuse_unrouted(
        self, status: int, request: http_messages.Request, reason: str
    ) -> http_messages.Response:
        """Refuses a request that could not be routed."""
        self._log_refusal(status, request, reason)
        return self._make_error_response(status, request, None)

    def _log_refusal(
        self, status: int, request: http_messages.Request, reason: str
    ) -> None:
        request_id = request.get(self._names.request_id) or b""
        _log.info(
            "Request refused. Status: %d. Reason: %s.",
            status,
            reason,
            extra={
                "request": request_id.decode("latin-1"),
                "status": status,
                "version": self._view.state.configuration.version,
                "revision": self._view.state.revision,
            },
        )

    def _make_error_response(
        self,
        status: int,
        request: http_messages.Request,
        routed: request_context.RoutedRequest | None,
        known_retry_after_s: float = 0.0,
    ) -> http_messages.Response:
        request_id = request.get(self._names.request_id) or b""
        headers: http_messages.Headers = []
        if request_id:
            headers.append((self._names.request_id, request_id))
        if status == 503:
            retry_after_s = _UNSYNCED_RETRY_AFTER_S
            if routed is not None:
                target_s = routed.route.target_latency_ms / 1000
                retry_after_s = max(
                    request_context.MIN_RETRY_AFTER_S,
                    known_retry_after_s or target_s * _RETRY_AFTER_FRACTION,
                )
            headers.append((b"Retry-After", b"%.2f" % retry_after_s))
        return http_messages.Response(status, headers, b"")
