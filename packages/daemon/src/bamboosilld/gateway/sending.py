"""Sends one request to upstreams until it is answered or given up."""

import asyncio

from bamboosill_common import logs
from bamboosill_common import metrics
from bamboosilld.gateway import balance
from bamboosilld.gateway import budget as budget_lib
from bamboosilld.gateway import exchange
from bamboosilld.gateway import latency as latency_lib
from bamboosilld.gateway import tasks
from bamboosilld.gateway import upstream as upstream_lib

# Shortest time left for which a request is still sent.
_MIN_SEND_S = 0.02
# Longest wait for the holder of a key, as a part of the time that is left
# until the latency that the route aims at.
_HOLDER_WAIT_PART = 0.6
# Sends that were rejected without a run, for one request.
_MAX_REJECTIONS = 4
_MAX_UNSENT = 4
# Urgent requests may be answered this much later than their route aims at
# before they are refused; each lower rank gets less.
_LATE_PART_BY_PRIORITY = (1.6, 1.4, 1.0)
# Failures that show that nobody answers at an address.
_SILENT_CODES = frozenset(("connect", "refused"))
_FIRST_ERROR_STATUS = 500

_log = logs.get_logger("gateway")


class _NotWrittenError(Exception):
    """The deadline passed before any byte was written."""


class Sending:
    """One request and what has been tried for it."""

    def __init__(
        self,
        task: tasks.Task,
        tools: tasks.Tools,
        budget: budget_lib.Budget,
        latency: latency_lib.Latency,
        entry_count: int,
    ) -> None:
        self._task = task
        self._tools = tools
        self._budget = budget
        self._latency = latency
        self._entry_count = entry_count
        self._failed: set[str] = set()
        self._sends = 0
        self._rejections = 0
        self._unsent = 0
        self._may_have_run = False
        self._reason = "no upstream"
        self._upstream = ""
        self._error_answer: upstream_lib.Answer | None = None

    async def run(self) -> tasks.Outcome:
        """Returns the answer, or why there is none."""
        while True:
            upstream = await self._find_upstream()
            if upstream is None or not self._may_send():
                break
            answer = await self._send_hedged(upstream)
            if answer is not None:
                return tasks.Outcome(answer, "", True, self._upstream)
            if self._is_exhausted():
                break
        if self._error_answer is not None:
            return tasks.Outcome(self._error_answer, "", True, self._upstream)
        return tasks.Outcome(
            None, self._reason, self._may_have_run, self._upstream
        )

    def _may_send(self) -> bool:
        if self._get_left_s() < _MIN_SEND_S:
            self._reason = "deadline"
            return False
        if self._sends + self._rejections and not self._budget.try_spend(
            self._entry_count
        ):
            self._reason = f"{self._reason}, no retry budget"
            return False
        if self._sends + self._rejections:
            metrics.gateway_repeats.labels("failure").inc()
        return True

    def _is_exhausted(self) -> bool:
        route = self._task.route
        if self._may_have_run and not route.idempotent:
            return True
        return (
            self._sends >= route.max_upstreams
            or self._rejections >= _MAX_REJECTIONS
            or self._unsent >= _MAX_UNSENT
        )

    async def _find_upstream(self) -> balance.Upstream | None:
        """Returns where to send the request."""
        task, view = self._task, self._tools.view
        if task.key == tasks.NO_KEY:
            return self._choose(self._failed)
        aim_s = task.route.target_latency_ms / 1000
        room_s = task.begun_s + aim_s - self._tools.clock.monotonic()
        wait_s = max(0.0, min(room_s, self._get_left_s()) * _HOLDER_WAIT_PART)
        await view.changed.wait_until(
            lambda: self._find_holder() is not None, wait_s
        )
        holder = self._find_holder()
        if holder is None:
            self._reason = "key has no holder"
            return None
        if holder.is_unreachable():
            # Another try would only end at the deadline.
            self._reason = "key's holder does not answer"
            return None
        return holder if self._is_fast_enough(holder) else None

    def _find_holder(self) -> balance.Upstream | None:
        """Returns the key's holder, unless it has said that it is none."""
        task = self._task
        holder = self._tools.view.find_holder(task.service, task.key)
        if holder is None or self._is_refused(holder):
            return None
        return holder

    def _is_refused(self, holder: balance.Upstream) -> bool:
        task = self._task
        fence = self._tools.view.get_fence(task.service, task.key)
        return f"{holder.item.upstream}/{fence}" in self._failed

    def _choose(self, without: set[str]) -> balance.Upstream | None:
        candidates = self._tools.view.list_upstreams(self._task.service)
        fresh = [
            each for each in candidates if each.item.upstream not in without
        ]
        found = balance.choose(
            fresh or candidates,
            self._tools.zone,
            self._tools.rng,
            self._entry_count,
        )
        if found is None:
            self._reason = "all upstreams are full" if candidates else "none"
            return None
        return found if self._is_fast_enough(found) else None

    def _is_fast_enough(self, upstream: balance.Upstream) -> bool:
        """Returns whether an answer in time can be expected."""
        route = self._task.route
        rank = min(route.priority, len(_LATE_PART_BY_PRIORITY) - 1)
        limit_s = route.target_latency_ms / 1000 * _LATE_PART_BY_PRIORITY[rank]
        elapsed_s = self._tools.clock.monotonic() - self._task.begun_s
        latency_s = upstream.estimate_latency(self._latency.mean_s)
        has_queue = upstream.estimate_load() >= upstream.slots
        if upstream.is_full():
            self._reason = "upstream is full"
        elif has_queue and elapsed_s + latency_s > limit_s:
            self._reason = "upstreams are too slow now"
        else:
            return True
        _log.info(
            "Upstream not used. Upstream: %s. Reason: %s.",
            upstream.item.upstream,
            self._reason,
            extra={
                **self._describe(upstream),
                "pace": round(upstream.pace, 2),
                "expected_ms": int(latency_s * 1000),
                "limit_ms": int(limit_s * 1000),
            },
        )
        return False

    async def _send_hedged(
        self, first: balance.Upstream
    ) -> upstream_lib.Answer | None:
        """Sends the request, and to another upstream if that takes long."""
        pending = {asyncio.create_task(self._try(first))}
        try:
            if self._can_hedge():
                finished, _ = await asyncio.wait(
                    pending, timeout=self._latency.quantile_s
                )
                if not finished:
                    second = self._find_second(first)
                    if second is not None:
                        pending.add(asyncio.create_task(self._try(second)))
            while pending:
                finished, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                for each in finished:
                    if each.result() is not None:
                        return each.result()
            return None
        finally:
            for each in pending:
                each.cancel()
            if pending:
                await asyncio.gather(*pending, return_exceptions=True)

    def _can_hedge(self) -> bool:
        task = self._task
        return (
            task.route.idempotent
            and task.key == tasks.NO_KEY
            and self._sends + 2 <= task.route.max_upstreams
            and self._latency.quantile_s > 0
        )

    def _find_second(self, first: balance.Upstream) -> balance.Upstream | None:
        without = self._failed | {first.item.upstream}
        second = self._choose(without)
        if (
            second is None
            or second.item.upstream in without
            or second.estimate_load() >= second.slots
            or not self._budget.try_spend(self._entry_count)
        ):
            return None
        metrics.gateway_repeats.labels("slow").inc()
        return second

    async def _try(
        self, upstream: balance.Upstream
    ) -> upstream_lib.Answer | None:
        """Sends the request once; returns an answer to pass on, or None."""
        try:
            answer = await self._exchange(upstream)
        except upstream_lib.ExchangeError as error:
            upstream.take_failure(error.code in _SILENT_CODES)
            self._fail(upstream, error.code)
            if error.sent:
                self._count_run()
            else:
                self._unsent += 1
            return None
        except TimeoutError:
            upstream.take_failure(is_silent=True)
            self._fail(upstream, "timeout")
            self._count_run()
            return None
        except _NotWrittenError:
            upstream.take_failure(is_silent=True)
            self._fail(upstream, "connect")
            self._unsent += 1
            return None
        if exchange.is_rejection(answer, self._tools.names):
            self._rejections += 1
            if (
                answer.status == exchange.STATUS_MISDIRECTED
                and self._task.key == tasks.NO_KEY
            ):
                # Another upstream has its address now.
                upstream.take_failure(is_silent=True)
            self._fail(upstream, f"rejected with {answer.status}")
            return None
        fault = exchange.find_fault(answer, self._tools.names)
        if fault:
            self._count_run()
            self._fail(upstream, fault)
            return None
        is_error = answer.status >= _FIRST_ERROR_STATUS
        if is_error and self._task.route.idempotent:
            self._count_run()
            self._error_answer = answer
            self._fail(upstream, f"answered {answer.status}")
            if self._task.key == tasks.NO_KEY:
                return None
        return answer

    def _count_run(self) -> None:
        self._sends += 1
        self._may_have_run = True

    def _fail(self, upstream: balance.Upstream, reason: str) -> None:
        task = self._task
        self._reason = reason
        self._failed.add(upstream.item.upstream)
        if task.key != tasks.NO_KEY and reason.startswith("rejected"):
            fence = self._tools.view.get_fence(task.service, task.key)
            self._failed.add(f"{upstream.item.upstream}/{fence}")
        metrics.gateway_failed_sends.labels(reason.partition(" ")[0]).inc()
        _log.info(
            "Send failed. Upstream: %s. Reason: %s.",
            upstream.item.upstream,
            reason,
            extra={
                **self._describe(upstream),
                "address": upstream.item.address,
                "failures": upstream.failures,
            },
        )

    def _describe(self, upstream: balance.Upstream) -> dict[str, object]:
        """Returns what a log line says of the request and an upstream."""
        return {
            "request": self._task.request_id.decode("latin-1"),
            "upstream": upstream.item.upstream,
            "load": round(upstream.estimate_load(), 1),
            "load_age_ms": upstream.get_load_age_ms(),
            "slots": upstream.slots,
            "left_ms": int(self._get_left_s() * 1000),
        }

    async def _exchange(
        self, upstream: balance.Upstream
    ) -> upstream_lib.Answer:
        """Sends the request once.

        Raises:
            upstream_lib.ExchangeError: There was no whole answer.
            TimeoutError: The deadline has passed.
            _NotWrittenError: It has passed before a connection was open.
        """
        clock = self._tools.clock
        wait_factor = upstream.estimate_wait_factor()
        upstream.in_flight += 1
        connection: upstream_lib.Connection | None = None
        begun_s = clock.monotonic()
        overdue = self._watch_overdue(upstream, wait_factor)
        try:
            async with asyncio.timeout(self._get_left_s()):
                connection = await upstream.pool.acquire()
                self._upstream = upstream.item.upstream
                answer = await connection.exchange(
                    exchange.format_request(
                        self._task.request,
                        self._tools.names,
                        upstream.item.upstream,
                        self._get_left_s(),
                    ),
                    self._task.request_id,
                )
        except TimeoutError as error:
            if connection is None:
                raise _NotWrittenError from error
            raise
        finally:
            if overdue is not None:
                overdue.cancel()
            upstream.in_flight -= 1
            if connection is not None:
                upstream.pool.release(connection)
        load = answer.get(self._tools.names.load)
        if load is not None:
            upstream.take_load(load)
        if answer.status < _FIRST_ERROR_STATUS and not exchange.is_rejection(
            answer, self._tools.names
        ):
            self._take_latency(
                upstream, clock.monotonic() - begun_s, wait_factor
            )
        return answer

    def _watch_overdue(
        self, upstream: balance.Upstream, wait_factor: float
    ) -> asyncio.TimerHandle | None:
        """Counts the request as slow if its answer takes too long.

        An upstream that has turned slow would otherwise get requests until
        its first answer.
        """
        usual_s = self._latency.mean_s
        if not usual_s:
            return None
        ratio = upstream.get_overdue_ratio()
        return asyncio.get_running_loop().call_later(
            usual_s * wait_factor * ratio,
            lambda: upstream.take_latency(usual_s * ratio, usual_s),
        )

    def _take_latency(
        self, upstream: balance.Upstream, latency_s: float, wait_factor: float
    ) -> None:
        self._latency.take(latency_s, wait_factor > 1.0)
        upstream.take_success()
        upstream.take_latency(latency_s / wait_factor, self._latency.mean_s)

    def _get_left_s(self) -> float:
        return self._task.until_s - self._tools.clock.monotonic()
