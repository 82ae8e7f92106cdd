"""Sends one routed request to upstreams, with retries and hedging.

A request is sent again only if the earlier attempt certainly did not run, or
if its route is idempotent. Hedges, and retries of a request that reached an
upstream, draw on a retry budget that all entry instances share.
"""

import asyncio

from bamboosill_common import logs
from bamboosill_common import metrics
from bamboosilld import crash_detector as crash_detector_lib
from bamboosilld.gateway import budget as budget_lib
from bamboosilld.gateway import exchange
from bamboosilld.gateway import forward_sender
from bamboosilld.gateway import forwarding
from bamboosilld.gateway import latency as latency_lib
from bamboosilld.gateway import load_balancing
from bamboosilld.gateway import request_context
from bamboosilld.gateway import upstream_connection as upstream_connection_lib
from bamboosilld.gateway import upstream_selection

# A request with less time left until its deadline is not sent any more.
_MIN_SEND_S = 0.02
# Bounds on attempts that did not run: rejected by the upstream, or failed
# before any byte was written. Route limits cover only those that may have run.
_MAX_REJECTIONS = 4
_MAX_UNSENT_ATTEMPTS = 4
# Error codes after which no upstream is assumed to listen at the address.
_NO_RESPONSE_CODES = frozenset(("connect", "refused"))
# Error codes after which the upstream may have crashed.
_BROKEN_CODES = frozenset(("closed", "reset", "truncated"))
_FIRST_ERROR_STATUS = 500

_log = logs.get_logger("gateway")


class _NotWrittenError(Exception):
    """The deadline passed before the request was written to a connection."""


class _WithheldError(Exception):
    """The upstream takes no more requests at the moment of sending."""


class RequestSender:
    """Sends one request and keeps the state of its attempts."""

    def __init__(
        self,
        routed: request_context.RoutedRequest,
        context: request_context.SendContext,
        budget: budget_lib.RetryBudget,
        latency: latency_lib.Latency,
        entry_count: int,
    ) -> None:
        self._routed = routed
        self._context = context
        self._retry_budget = budget
        self._route_latency = latency
        self._entry_count = entry_count
        self._selector = upstream_selection.UpstreamSelector(
            routed, context, latency, entry_count
        )
        self._sends = 0
        self._rejections = 0
        self._unsent_attempts = 0
        self._may_have_run = False
        self._upstream = ""
        self._error_response: (
            upstream_connection_lib.UpstreamResponse | None
        ) = None

    async def run(self) -> request_context.Outcome:
        """Sends the request; returns the response or the reason of failure."""
        while not (self._may_be_broken_off() or self._is_quarantined()):
            if self._context.reachability.is_cut_off:
                outcome = await self._forward()
                if outcome is not None:
                    return outcome
            upstream = await self._selector.wait_for_upstream()
            if upstream is None or not self._may_send():
                break
            response = await self._send_hedged(upstream)
            if response is not None:
                return request_context.Outcome(
                    response, "", True, self._upstream
                )
            if self._is_exhausted():
                break
        if self._error_response is not None:
            return request_context.Outcome(
                self._error_response, "", True, self._upstream
            )
        return self._make_failed_outcome()

    async def _forward(self) -> request_context.Outcome | None:
        """Forwards the request to another entry instance.

        Returns:
            The outcome, or None if no instance took the request and it can be
            sent on a connection that lives on.
        """
        result = forward_sender.NOT_TAKEN
        if not self._routed.is_forwarded:
            if not self._may_send():
                return self._make_failed_outcome()
            sends_left = self._routed.route.max_upstreams - self._sends
            result = await forward_sender.forward(
                self._routed, self._context, sends_left
            )
        if result.outcome == forwarding.UNAVAILABLE:
            if self._has_live_connection():
                return None
            self._selector.reason = result.reason
            return self._make_failed_outcome()
        is_refused = result.outcome == forwarding.NOT_RUN
        if result.response is None or (is_refused and self._may_have_run):
            self._selector.reason = result.reason
            self._may_have_run = True
            return self._make_failed_outcome()
        return request_context.Outcome(
            result.response, "", True, result.instance
        )

    def _has_live_connection(self) -> bool:
        """Returns whether a connection from before the cut can be used."""
        routed, view = self._routed, self._context.view
        if not self._context.reachability.has_live_connections:
            return False
        if routed.key != request_context.NO_KEY:
            holder = self._selector.find_holder()
            return holder is not None and holder.pool.has_idle
        return any(
            each.pool.has_idle and each.availability.find_obstacle() is None
            for each in view.list_upstreams(routed.service)
        )

    def _make_failed_outcome(self) -> request_context.Outcome:
        return request_context.Outcome(
            None,
            self._selector.reason,
            self._may_have_run,
            self._upstream,
            self._selector.retry_after_s,
        )

    def _may_be_broken_off(self) -> bool:
        """Returns whether the end of the grace period may end the request.

        Only a request that was not begun can be sent elsewhere.
        """
        if not self._context.shutdown.may_break_off(self._routed):
            return False
        self._selector.reason = "stopping"
        self._selector.retry_after_s = request_context.MIN_RETRY_AFTER_S
        return True

    def _is_quarantined(self) -> bool:
        """Returns whether the request has crashed too many upstreams."""
        now_ms = self._context.clock.wall_ms()
        found = self._context.view.state.quarantine.find(
            self._routed.fingerprint, now_ms
        )
        if found is None:
            return False
        self._selector.reason = "crashed upstreams before"
        self._selector.retry_after_s = (found.until_ms - now_ms) / 1000
        return True

    def _may_send(self) -> bool:
        if self._may_be_broken_off() or self._is_quarantined():
            return False
        if self._get_remaining_s() < _MIN_SEND_S:
            self._selector.reason = "deadline"
            return False
        if (
            self._sends + self._rejections
            and not self._retry_budget.try_acquire(self._entry_count)
        ):
            self._selector.reason += ", no retry budget"
            return False
        if self._sends + self._rejections:
            metrics.gateway_repeats.labels("failure").inc()
        return True

    def _is_exhausted(self) -> bool:
        route = self._routed.route
        if self._may_have_run and not route.idempotent:
            return True
        return (
            self._sends >= route.max_upstreams
            or self._rejections >= _MAX_REJECTIONS
            or self._unsent_attempts >= _MAX_UNSENT_ATTEMPTS
        )

    async def _send_hedged(
        self, first: load_balancing.Upstream
    ) -> upstream_connection_lib.UpstreamResponse | None:
        """Sends the request, and a hedge if the response is late.

        The first response wins; the other attempt is cancelled.
        """
        first.rate_limit.take_permit()
        pending = {asyncio.create_task(self._attempt(first))}
        try:
            if self._can_hedge():
                done, _ = await asyncio.wait(
                    pending, timeout=self._route_latency.quantile_s
                )
                if not done:
                    second = self._choose_hedge(first)
                    if second is not None:
                        second.rate_limit.take_permit()
                        pending.add(asyncio.create_task(self._attempt(second)))
            while pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                for each in done:
                    if each.result() is not None:
                        return each.result()
            return None
        finally:
            for each in pending:
                each.cancel()
            if pending:
                await asyncio.gather(*pending, return_exceptions=True)

    def _can_hedge(self) -> bool:
        routed = self._routed
        return (
            routed.route.idempotent
            and routed.key == request_context.NO_KEY
            and self._sends + 2 <= routed.route.max_upstreams
            and self._route_latency.quantile_s > 0
        )

    def _choose_hedge(
        self, first: load_balancing.Upstream
    ) -> load_balancing.Upstream | None:
        excluded = self._selector.failed | {first.item.upstream}
        second = self._selector.choose_permitted_now(excluded)
        if (
            second is None
            or second.item.upstream in excluded
            or second.estimate_load() >= second.slots
            or self._is_quarantined()
            or not self._retry_budget.try_acquire(self._entry_count)
        ):
            return None
        metrics.gateway_repeats.labels("slow").inc()
        return second

    async def _attempt(
        self, upstream: load_balancing.Upstream
    ) -> upstream_connection_lib.UpstreamResponse | None:
        """Makes one attempt; returns a response to forward, or None."""
        try:
            response = await self._exchange(upstream)
        except upstream_connection_lib.ExchangeError as error:
            upstream.record_failure(error.code in _NO_RESPONSE_CODES)
            if not error.begun:
                self._context.reachability.record_failure(
                    upstream.item.upstream, error.code in _NO_RESPONSE_CODES
                )
            self._record_failed_attempt(upstream, error.code)
            if error.sent:
                self._record_possible_run()
            else:
                self._unsent_attempts += 1
            return None
        except TimeoutError:
            upstream.record_failure(no_response=True)
            self._context.reachability.record_failure(
                upstream.item.upstream, is_connect=False
            )
            self._record_failed_attempt(upstream, "timeout")
            self._record_possible_run()
            return None
        except _WithheldError as error:
            self._record_failed_attempt(upstream, f"withheld ({error})")
            self._unsent_attempts += 1
            return None
        except _NotWrittenError:
            upstream.record_failure(no_response=True)
            self._context.reachability.record_failure(
                upstream.item.upstream, is_connect=True
            )
            self._record_failed_attempt(upstream, "connect")
            self._unsent_attempts += 1
            return None
        if exchange.is_rejection(response, self._context.names):
            self._rejections += 1
            if (
                response.status == exchange.STATUS_MISDIRECTED
                and self._routed.key == request_context.NO_KEY
            ):
                # Another upstream now listens at this address.
                upstream.record_failure(no_response=True)
            self._record_failed_attempt(
                upstream,
                f"rejected with {response.status}",
                is_rejection=True,
            )
            return None
        fault = exchange.find_response_fault(response, self._context.names)
        if fault:
            self._record_possible_run()
            self._record_failed_attempt(upstream, fault)
            return None
        self._context.crash_detector.record_answer(
            self._routed.fingerprint, response.status
        )
        is_error = response.status >= _FIRST_ERROR_STATUS
        if is_error and self._routed.route.idempotent:
            self._record_possible_run()
            self._error_response = response
            self._record_failed_attempt(upstream, f"answered {response.status}")
            if self._routed.key == request_context.NO_KEY:
                return None
        return response

    def _record_possible_run(self) -> None:
        self._sends += 1
        self._may_have_run = True

    def _record_failed_attempt(
        self,
        upstream: load_balancing.Upstream,
        reason: str,
        is_rejection: bool = False,
    ) -> None:
        self._selector.record_failure(upstream, reason, is_rejection)
        metrics.gateway_failed_sends.labels(reason.partition(" ")[0]).inc()
        _log.info(
            "Send failed. Upstream: %s. Reason: %s.",
            upstream.item.upstream,
            reason,
            extra={
                **upstream_selection.make_log_fields(
                    self._routed, upstream, self._context.clock
                ),
                "address": upstream.item.address,
                "failures": upstream.failures,
            },
        )

    async def _exchange(
        self, upstream: load_balancing.Upstream
    ) -> upstream_connection_lib.UpstreamResponse:
        """Sends the request over a pooled connection.

        Raises:
            upstream_lib.ExchangeError: No complete response was received.
            TimeoutError: The deadline passed after a connection was acquired.
            _NotWrittenError: The deadline passed before that.
            _WithheldError: The upstream takes no requests any more.
        """
        clock = self._context.clock
        wait_factor = upstream.estimate_wait_factor()
        upstream.in_flight += 1
        connection: upstream_connection_lib.Connection | None = None
        started_s = clock.monotonic()
        overdue_timer = self._schedule_overdue_check(upstream, wait_factor)
        try:
            async with asyncio.timeout(self._get_remaining_s()):
                if upstream.item.upstream in self._selector.failed:
                    # On a connection that carried this request before, an old
                    # response to it could be repeated.
                    connection = await upstream.pool.open()
                else:
                    connection = await upstream.pool.acquire()
                self._check_obstacle(upstream)
                self._upstream = upstream.item.upstream
                sent_s = clock.monotonic()
                response = await self._exchange_on(connection, upstream)
        except TimeoutError as error:
            if connection is None:
                raise _NotWrittenError from error
            raise
        finally:
            if overdue_timer is not None:
                overdue_timer.cancel()
            upstream.in_flight -= 1
            if connection is not None:
                upstream.pool.release(connection)
        self._context.reachability.record_response()
        load = response.get(self._context.names.load)
        if load is not None:
            upstream.update_load(load)
        if response.status != exchange.STATUS_MISDIRECTED:
            upstream.availability.observe(
                response.status,
                response.list_values(self._context.names.leaving),
                response.list_values(b"retry-after"),
            )
            has_changed = upstream.rate_limit.observe(
                response.list_values(self._context.names.rate_limit),
                exchange.is_rejection(response, self._context.names),
                sent_s,
            )
            if has_changed:
                self._context.permits.report(upstream)
        if response.status < _FIRST_ERROR_STATUS and not exchange.is_rejection(
            response, self._context.names
        ):
            self._record_latency(
                upstream, clock.monotonic() - started_s, wait_factor
            )
        return response

    def _check_obstacle(self, upstream: load_balancing.Upstream) -> None:
        """Checks again whether an upstream takes the request.

        That may have changed while a permit or a connection was awaited.

        Raises:
            _WithheldError: It does not.
        """
        is_holder = self._routed.key != request_context.NO_KEY
        obstacle = upstream.availability.find_obstacle(is_holder)
        if obstacle is not None:
            raise _WithheldError(obstacle.reason)

    async def _exchange_on(
        self,
        connection: upstream_connection_lib.Connection,
        upstream: load_balancing.Upstream,
    ) -> upstream_connection_lib.UpstreamResponse:
        """Sends the request; checks for a crash if the connection breaks.

        Raises:
            upstream_lib.ExchangeError: No complete response was received.
        """
        detector = self._context.crash_detector
        target = crash_detector_lib.Target(
            upstream.item.upstream, upstream.item.born_ms, upstream.item.address
        )
        number = detector.begin_exchange(target, self._routed.fingerprint)
        try:
            return await connection.exchange(
                exchange.format_head(
                    self._routed.request,
                    self._context.names,
                    upstream.item.upstream,
                    self._get_remaining_s(),
                ),
                self._routed.request_id,
                self._routed.request.body,
                self._routed.request.hold,
            )
        except upstream_connection_lib.ExchangeError as error:
            if error.sent and error.code in _BROKEN_CODES:
                detector.begin_check(target)
            raise
        finally:
            detector.end_exchange(target, number)

    def _schedule_overdue_check(
        self, upstream: load_balancing.Upstream, wait_factor: float
    ) -> asyncio.TimerHandle | None:
        """Starts a timer that records high latency if no response comes first.

        Without it, an upstream that has become slow would still get new
        requests until its first response.
        """
        baseline_s = self._route_latency.mean_s
        if not baseline_s:
            return None
        ratio = upstream.get_overdue_ratio()
        return asyncio.get_running_loop().call_later(
            baseline_s * wait_factor * ratio,
            lambda: upstream.record_latency(baseline_s * ratio, baseline_s),
        )

    def _record_latency(
        self,
        upstream: load_balancing.Upstream,
        latency_s: float,
        wait_factor: float,
    ) -> None:
        was_queued = wait_factor > 1.0
        self._route_latency.add_sample(latency_s, was_queued)
        self._context.return_times.record_latency(
            self._routed.service, latency_s, was_queued
        )
        upstream.record_success()
        upstream.record_latency(
            latency_s / wait_factor, self._route_latency.mean_s
        )

    def _get_remaining_s(self) -> float:
        return self._routed.deadline_s - self._context.clock.monotonic()
