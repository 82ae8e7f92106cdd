"""Takes the requests of callers and passes each to an upstream."""

import asyncio
import logging
import random
from typing import NamedTuple

from bamboosill_common import clock as clock_lib
from bamboosill_common import logs
from bamboosill_common import metrics
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import follower as follower_lib
from bamboosilld.fleet import keyranges
from bamboosilld.gateway import budget as budget_lib
from bamboosilld.gateway import latency as latency_lib
from bamboosilld.gateway import messages as http_messages
from bamboosilld.gateway import sending
from bamboosilld.gateway import tasks
from bamboosilld.gateway import upstream as upstream_lib
from bamboosilld.gateway import view as view_lib

_DEFAULT_DEADLINE_S = 30.0
# When a caller that was refused should come back: a part of the latency that
# its route aims at, and at least this long.
_RETRY_AFTER_PART = 0.4
_MIN_RETRY_AFTER_S = 0.1
# The same before this instance has heard of the leader: about the time of an
# election and a heartbeat.
_UNSYNCED_RETRY_AFTER_S = 1.0
# Part of a caller's deadline for which a request waits for that.
_SYNC_WAIT_PART = 0.25

_log = logs.get_logger("gateway")


class GatewaySettings(NamedTuple):
    """What the request path needs to know.

    Attributes:
        zone: Availability zone of this instance.
        names: Names of the headers.
        repeat_ratio: Agreed part of requests that may be sent once more.
        repeat_constant: Agreed number of repeats beyond that, in a window.
        repeat_window_s: Length of the window in seconds.
    """

    zone: str
    names: http_messages.HeaderNames
    repeat_ratio: float
    repeat_constant: float
    repeat_window_s: float


class Service:
    """Handles requests of callers."""

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
        self._tools = tasks.Tools(
            settings.zone, settings.names, view, clock, rng
        )
        self._follower = follower
        self._view = view
        self._clock = clock
        self._splitter = view_lib.routes_lib.Splitter()
        self._budgets: dict[str, budget_lib.Budget] = {}
        self._latencies: dict[str, latency_lib.Latency] = {}
        self._works: dict[tuple[str, int], float] = {}
        self.in_flight = 0

    def take_reports(self) -> follower_lib.Reports:
        """Returns what has been seen since the last call."""
        works, self._works = self._works, {}
        return follower_lib.Reports(
            tuple(
                messages.KeyWork(service, block, int(work_ms))
                for (service, block), work_ms in works.items()
            ),
            tuple(self._view.list_new_paces()),
            tuple(
                messages.UpstreamLoad(upstream, requests, is_silent)
                for upstream, requests, is_silent in (
                    self._view.list_new_loads()
                )
            ),
        )

    async def handle(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        """Returns the answer to a request."""
        self.in_flight += 1
        try:
            response = await self._handle(request)
            metrics.gateway_requests.labels(f"{response.status // 100}xx").inc()
            return response
        finally:
            self.in_flight -= 1

    async def _handle(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        begun_s = self._clock.monotonic()
        if not self._follower.is_synced:
            # After a start, the leader usually answers within this time.
            await self._view.changed.wait_until(
                lambda: self._follower.is_synced,
                self._read_deadline(request) * _SYNC_WAIT_PART,
            )
        if not self._follower.is_synced:
            return self._refuse_early(503, request, "no configuration yet")
        host = (request.get(b"host") or b"").decode("latin-1")
        path = request.target.partition("?")[0]
        route = self._view.routes.find(host, path)
        if route is None:
            return self._refuse_early(404, request, "no route")
        service = self._splitter.choose(route)
        key = self._read_key(request, service)
        if key is None:
            return self._refuse_early(400, request, "no valid key")
        deadline_s = self._read_deadline(request)
        task = tasks.Task(
            request,
            route,
            service,
            key,
            request.get(self._names.request_id) or b"",
            begun_s,
            begun_s + min(deadline_s, route.timeout_ms / 1000),
        )
        self._get_budget(service).count_request()
        if key != tasks.NO_KEY:
            block = (service, key // keyranges.BLOCK_KEYS)
            latency = self._latencies.get(route.name)
            work_ms = latency.mean_s * 1000 if latency else 0.0
            self._works[block] = self._works.get(block, 0.0) + work_ms
        return await self._run(task)

    def _read_key(
        self, request: http_messages.Request, service: str
    ) -> int | None:
        item = self._view.services.get(service)
        if item is None or not item.sharded:
            return tasks.NO_KEY
        value = request.get(self._names.key) or b""
        if value.isdigit() and int(value) < keyranges.KEY_COUNT:
            return int(value)
        return None

    def _read_deadline(self, request: http_messages.Request) -> float:
        value = request.get(self._names.deadline_ms) or b""
        if value.isdigit():
            return int(value) / 1000
        return _DEFAULT_DEADLINE_S

    def _get_budget(self, service: str) -> budget_lib.Budget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = budget_lib.Budget(
                self._clock,
                self._settings.repeat_ratio,
                self._settings.repeat_constant,
                self._settings.repeat_window_s,
            )
        return budget

    async def _run(self, task: tasks.Task) -> http_messages.Response:
        """Returns the answer to a request that has a route."""
        sender = sending.Sending(
            task,
            self._tools,
            self._get_budget(task.service),
            self._latencies.setdefault(task.route.name, latency_lib.Latency()),
            self._follower.entry_count,
        )
        try:
            outcome = await sender.run()
        except asyncio.CancelledError:
            _log.info("Caller left.", extra=self._describe(task))
            raise
        if outcome.answer is not None:
            response = self._pass_on(outcome.answer)
        else:
            status = 503
            if outcome.may_have_run:
                status = 504 if outcome.reason == "timeout" else 502
            response = self._refuse(status, task.request, task)
        self._log_outcome(task, outcome, response.status)
        return response

    def _log_outcome(
        self, task: tasks.Task, outcome: tasks.Outcome, status: int
    ) -> None:
        now_s = self._clock.monotonic()
        metrics.gateway_duration.labels(
            "answered" if outcome.answer is not None else "failed"
        ).observe(now_s - task.begun_s)
        _log.log(
            logging.INFO if outcome.answer is not None else logging.WARNING,
            "Request ended. Status: %d. Reason: %s.",
            status,
            outcome.reason or "answered",
            extra={
                **self._describe(task),
                "status": status,
                "upstream": outcome.upstream,
            },
        )

    def _describe(self, task: tasks.Task) -> dict[str, object]:
        """Returns what a log line says of a request and of this instance."""
        now_s = self._clock.monotonic()
        return {
            "request": task.request_id.decode("latin-1"),
            "route": task.route.name,
            "service": task.service,
            "key": task.key,
            "took_ms": int((now_s - task.begun_s) * 1000),
            "left_ms": int((task.until_s - now_s) * 1000),
            "version": self._view.state.configuration.version,
            "revision": self._view.state.revision,
            "synced_ms_ago": int((now_s - self._follower.synced_s) * 1000),
        }

    def _pass_on(self, answer: upstream_lib.Answer) -> http_messages.Response:
        headers = http_messages.list_end_to_end(
            answer.headers, frozenset((self._names.load,))
        )
        return http_messages.Response(answer.status, headers, answer.body)

    def _refuse_early(
        self, status: int, request: http_messages.Request, reason: str
    ) -> http_messages.Response:
        """Refuses a request that has no route."""
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
        return self._refuse(status, request, None)

    def _refuse(
        self,
        status: int,
        request: http_messages.Request,
        task: tasks.Task | None,
    ) -> http_messages.Response:
        request_id = request.get(self._names.request_id) or b""
        headers: http_messages.Headers = []
        if request_id:
            headers.append((self._names.request_id, request_id))
        if status == 503:
            after_s = _UNSYNCED_RETRY_AFTER_S
            if task is not None:
                aim_s = task.route.target_latency_ms / 1000
                after_s = max(_MIN_RETRY_AFTER_S, aim_s * _RETRY_AFTER_PART)
            headers.append((b"Retry-After", b"%.2f" % after_s))
        return http_messages.Response(status, headers, b"")
