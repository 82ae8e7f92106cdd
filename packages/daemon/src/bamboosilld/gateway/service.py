"""Takes the requests of callers and passes each to an upstream."""

import asyncio
import random
from typing import NamedTuple

from bamboosill_common import clock as clock_lib
from bamboosill_common import logs
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import follower as follower_lib
from bamboosilld.fleet import keyranges
from bamboosilld.gateway import balance
from bamboosilld.gateway import budget as budget_lib
from bamboosilld.gateway import messages as http_messages
from bamboosilld.gateway import upstream as upstream_lib
from bamboosilld.gateway import view as view_lib

# Longest wait for a key's holder or for room at an upstream, as a part of
# the latency that the route aims at: later refusals leave a caller no time.
_WAIT_PART = 0.3
# Time before a request is sent again to an upstream that does not hold its
# key yet.
_HOLDER_DELAY_S = 0.03
# Shortest time left for which a request is still sent.
_MIN_SEND_S = 0.02
# Time within which an upstream's own answer at the deadline still arrives.
_ANSWER_MARGIN_S = 0.05
# Sends that were rejected unrun, for each upstream that a route allows.
_REJECTIONS_PER_UPSTREAM = 2
_DEFAULT_DEADLINE_S = 30.0
_NO_KEY = -1
# Callers are asked to come back after this time, at least.
_RETRY_AFTER_S = 0.2

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


class _Task(NamedTuple):
    """One request on its way.

    Attributes:
        request: The request.
        route: Its route.
        service: The service that runs it.
        key: Number of its key, or `_NO_KEY`.
        request_id: Id of the caller's attempt.
        begun_s: When it was read.
        until_s: When its caller or its route gives it up.
    """

    request: http_messages.Request
    route: messages.RouteItem
    service: str
    key: int
    request_id: bytes
    begun_s: float
    until_s: float


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
        self._follower = follower
        self._view = view
        self._clock = clock
        self._rng = rng
        self._splitter = view_lib.routes_lib.Splitter()
        self._budgets: dict[str, budget_lib.Budget] = {}
        self._usual_s: dict[str, float] = {}
        self._loads: dict[tuple[str, int], int] = {}
        self.in_flight = 0

    def take_loads(self) -> tuple[messages.KeyLoad, ...]:
        """Returns the work by blocks of keys since the last call."""
        loads, self._loads = self._loads, {}
        return tuple(
            messages.KeyLoad(service, block, work_ms)
            for (service, block), work_ms in loads.items()
        )

    async def handle(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        """Returns the answer to a request."""
        self.in_flight += 1
        try:
            return await self._handle(request)
        finally:
            self.in_flight -= 1

    async def _handle(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        begun_s = self._clock.monotonic()
        if not self._follower.is_synced:
            return self._refuse(503, request, "no configuration yet")
        host = (request.get(b"host") or b"").decode("latin-1")
        path = request.target.partition("?")[0]
        route = self._view.routes.find(host, path)
        if route is None:
            return self._refuse(404, request, "no route")
        service = self._splitter.choose(route)
        key = self._read_key(request, service)
        if key is None:
            return self._refuse(400, request, "no valid key")
        deadline_s = self._read_deadline(request)
        task = _Task(
            request,
            route,
            service,
            key,
            request.get(self._names.request_id) or b"",
            begun_s,
            begun_s + min(deadline_s, route.timeout_ms / 1000),
        )
        self._get_budget(service).count_request()
        if key != _NO_KEY:
            block = (service, key // keyranges.BLOCK_KEYS)
            work_ms = route.target_latency_ms
            self._loads[block] = self._loads.get(block, 0) + work_ms
        return await self._run(task)

    def _read_key(
        self, request: http_messages.Request, service: str
    ) -> int | None:
        item = self._view.services.get(service)
        if item is None or not item.sharded:
            return _NO_KEY
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

    async def _run(self, task: _Task) -> http_messages.Response:
        """Sends a request until it is answered or given up."""
        route = task.route
        may_have_run = False
        failed: set[str] = set()
        sends = rejections = 0
        reason = "no upstream"
        while True:
            upstream = await self._find_upstream(task, failed)
            if upstream is None:
                break
            if self._get_left_s(task) < _MIN_SEND_S:
                reason = "deadline"
                break
            if (sends or rejections) and not self._get_budget(
                task.service
            ).try_spend(self._follower.entry_count):
                reason = "retry budget"
                break
            try:
                answer = await self._send(task, upstream)
            except upstream_lib.ExchangeError as error:
                upstream.take_failure()
                reason = error.code
                self._log_failure(task, upstream, error.code)
                failed.add(upstream.item.upstream)
                if not error.sent:
                    rejections += 1
                    if rejections > _REJECTIONS_PER_UPSTREAM * 2:
                        break
                    continue
                sends += 1
                may_have_run = True
                if not route.idempotent or sends >= route.max_upstreams:
                    break
                continue
            except TimeoutError:
                may_have_run = True
                reason = "timeout"
                self._log_failure(task, upstream, reason)
                upstream.take_failure()
                break
            if self._is_rejection(answer):
                rejections += 1
                reason = f"rejected with {answer.status}"
                self._log_failure(task, upstream, reason)
                if rejections > route.max_upstreams * _REJECTIONS_PER_UPSTREAM:
                    break
                if task.key == _NO_KEY:
                    failed.add(upstream.item.upstream)
                else:
                    await self._clock.sleep(_HOLDER_DELAY_S)
                continue
            fault = self._find_fault(answer)
            if not fault:
                return self._pass_on(answer)
            sends += 1
            may_have_run = True
            reason = fault
            self._log_failure(task, upstream, fault)
            failed.add(upstream.item.upstream)
            if not route.idempotent or sends >= route.max_upstreams:
                break
        if not may_have_run:
            return self._refuse(503, task.request, reason)
        status = 504 if reason in ("timeout", "deadline") else 502
        return self._refuse(status, task.request, reason)

    async def _find_upstream(
        self, task: _Task, failed: set[str]
    ) -> balance.Upstream | None:
        """Returns where to send a request, waiting for a short time."""
        aim_s = task.route.target_latency_ms / 1000
        wait_until_s = min(
            task.begun_s + aim_s * _WAIT_PART, task.until_s - _MIN_SEND_S
        )
        while True:
            found = self._choose(task, failed)
            if found is not None:
                return found
            left_s = wait_until_s - self._clock.monotonic()
            if left_s <= 0:
                return None
            await self._view.changed.wait_until(
                lambda: self._choose(task, failed) is not None,
                min(left_s, 0.05),
            )

    def _choose(
        self, task: _Task, failed: set[str]
    ) -> balance.Upstream | None:
        if task.key != _NO_KEY:
            holder = self._view.find_holder(task.service, task.key)
            if holder is None or holder.is_full():
                return None
            return holder
        candidates = self._view.list_upstreams(task.service)
        fresh = [each for each in candidates if each.item.upstream not in failed]
        return balance.choose(
            fresh or candidates, self._settings.zone, self._rng
        )

    async def _send(
        self, task: _Task, upstream: balance.Upstream
    ) -> upstream_lib.Answer:
        """Sends a request once.

        Raises:
            upstream_lib.ExchangeError: There was no whole answer.
            TimeoutError: The deadline has passed.
        """
        upstream.in_flight += 1
        connection: upstream_lib.Connection | None = None
        begun_s = self._clock.monotonic()
        try:
            async with asyncio.timeout(self._get_left_s(task)):
                connection = await upstream.pool.acquire()
                data = self._format(task, upstream)
                answer = await connection.exchange(data, task.request_id)
        finally:
            upstream.in_flight -= 1
            if connection is not None:
                upstream.pool.release(connection)
        load = answer.get(self._names.load)
        if load is not None:
            upstream.take_load(load)
        if answer.status < 500:
            self._take_latency(task, upstream, self._clock.monotonic() - begun_s)
        return answer

    def _take_latency(
        self, task: _Task, upstream: balance.Upstream, latency_s: float
    ) -> None:
        usual_s = self._usual_s.get(task.route.name, latency_s)
        usual_s += 0.05 * (latency_s - usual_s)
        self._usual_s[task.route.name] = usual_s
        upstream.take_success(latency_s / max(usual_s, 0.001))

    def _get_left_s(self, task: _Task) -> float:
        return task.until_s - self._clock.monotonic()

    def _format(self, task: _Task, upstream: balance.Upstream) -> bytes:
        names = self._names
        request = task.request
        own = frozenset((names.deadline_ms, names.expected_upstream))
        headers = http_messages.list_end_to_end(request.headers, own)
        left_ms = max(1, int(self._get_left_s(task) * 1000))
        head = f"{request.method} {request.target} HTTP/1.1\r\n"
        data = head.encode("latin-1") + http_messages.format_headers(headers)
        data += b"%s: %d\r\n" % (names.deadline_ms, left_ms)
        data += b"%s: %s\r\n" % (
            names.expected_upstream,
            upstream.item.upstream.encode("latin-1"),
        )
        if request.body or request.method not in ("GET", "HEAD"):
            data += b"Content-Length: %d\r\n" % len(request.body)
        return data + b"\r\n" + request.body

    def _is_rejection(self, answer: upstream_lib.Answer) -> bool:
        return answer.get(self._names.not_run) is not None or (
            answer.status == 421
        )

    def _find_fault(self, answer: upstream_lib.Answer) -> str:
        """Returns why an answer is not the upstream's own, or nothing."""
        if answer.get(b"content-encoding") is not None:
            return "encoded answer"
        if answer.status < 300 and answer.get(self._names.signature) is None:
            return "unsigned answer"
        return ""

    def _pass_on(
        self, answer: upstream_lib.Answer
    ) -> http_messages.Response:
        headers = http_messages.list_end_to_end(
            answer.headers, frozenset((self._names.load,))
        )
        return http_messages.Response(answer.status, headers, answer.body)

    def _refuse(
        self, status: int, request: http_messages.Request, reason: str
    ) -> http_messages.Response:
        request_id = request.get(self._names.request_id) or b""
        headers: http_messages.Headers = []
        if request_id:
            headers.append((self._names.request_id, request_id))
        if status == 503:
            headers.append((b"Retry-After", b"%.2f" % _RETRY_AFTER_S))
        _log.info(
            "Request not served. Status: %d. Reason: %s.",
            status,
            reason,
            extra={"request": request_id.decode("latin-1")},
        )
        return http_messages.Response(status, headers, b"")

    def _log_failure(
        self, task: _Task, upstream: balance.Upstream, reason: str
    ) -> None:
        _log.info(
            "Send failed. Upstream: %s. Reason: %s.",
            upstream.item.upstream,
            reason,
            extra={"request": task.request_id.decode("latin-1")},
        )
