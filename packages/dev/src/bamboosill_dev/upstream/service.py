"""Request handling of the stand-in upstream.

Checks the fence and deadline of a request, simulates its service time, and
applies and records its effect. Also serves the protocol endpoints under
/bamboosill/: identity, grant, revoke and cancel.
"""

import asyncio
import collections
import json
import os
import time
from typing import Any
import weakref

from aiohttp import web

from bamboosill_dev.upstream import faults
from bamboosill_dev.upstream import grants as grants_lib
from bamboosill_dev.upstream import options as options_lib
from bamboosill_dev.upstream import recorder as recorder_lib

_CRASH_EXIT_CODE = 70
_LATENCY_SMOOTHING = 0.1
_ONCE_PREFIX = "once-"
RESPONSE_CHUNK = b"0123456789abcdef" * 1024


class Refusal(Exception):  # noqa: N818
    """The request was refused before its effect became visible."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class Service:
    """Requests and stored orders of one upstream.

    Attributes:
        running: Number of requests that occupy a slot.
        refused: Number of refused requests by reason.
        orders_by_key: Bodies of the orders by customer and key.
    """

    def __init__(
        self,
        options: options_lib.Options,
        grants: grants_lib.Grants,
        recorder: recorder_lib.Recorder,
    ) -> None:
        self._options = options
        self._grants = grants
        self._recorder = recorder
        self._tasks: dict[tuple[str, str], asyncio.Task[Any]] = {}
        self._cancelled: set[asyncio.Task[Any]] = set()
        self._seen_connections: set[int] = set()
        # Incarnation that this upstream stated on each connection.
        self._stated_incarnations: weakref.WeakKeyDictionary[Any, int] = (
            weakref.WeakKeyDictionary()
        )
        self._faulted_ids: set[str] = set()
        self._latency_ms = 0.0
        self.running = 0
        self.warm = False
        self.incarnation = 0
        self.refused: collections.Counter[str] = collections.Counter()
        self.orders_by_key: dict[tuple[str, str], list[Any]] = {}

    def get_load(self) -> dict[str, Any]:
        """Returns the load fields of a heartbeat."""
        return {
            "in_flight": self.running,
            "queue": 0,
            "latency_ms": self._latency_ms,
        }

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one request."""
        path = request.path
        if path == "/bamboosill/identity":
            return self._state_identity(request)
        if path.startswith("/bamboosill/"):
            return await self._handle_protocol(request, path)
        try:
            return await self._handle_request(request)
        except Refusal as refusal:
            self.refused[refusal.reason] += 1
            return web.json_response(
                {"reason": refusal.reason},
                status=refusal.status,
                headers={
                    "Bamboosill-Not-Run": "1",
                    "Bamboosill-Request-Id": _get_id(request),
                },
            )

    def _check_connection(self, request: web.BaseRequest) -> None:
        if request.transport is None:
            return
        stated = self._stated_incarnations.get(
            request.transport, self.incarnation
        )
        if stated != self.incarnation:
            raise Refusal(409, "incarnation")

    def _state_identity(self, request: web.BaseRequest) -> web.Response:
        if request.transport is not None:
            self._stated_incarnations[request.transport] = self.incarnation
        return web.json_response(
            {"id": self._options.id, "incarnation": self.incarnation},
            headers={"Bamboosill-Request-Id": _get_id(request)},
        )

    async def _handle_protocol(
        self, request: web.BaseRequest, path: str
    ) -> web.Response:
        document = json.loads(await request.read())
        reply: dict[str, Any] = {}
        if document.get("incarnation", self.incarnation) != self.incarnation:
            reply["reason"] = "another incarnation"
            return web.json_response(reply, status=409)
        if path == "/bamboosill/grant":
            self._grants.add(document)
        elif path == "/bamboosill/revoke":
            self._grants.revoke(document)
        elif path == "/bamboosill/cancel":
            reply["cancelled"] = self._cancel(document)
        else:
            return web.json_response({"reason": "unknown path"}, status=404)
        return web.json_response(
            reply, headers={"Bamboosill-Request-Id": _get_id(request)}
        )

    def _cancel(self, document: dict[str, Any]) -> bool:
        name = (document.get("customer", ""), document["request_id"])
        task = self._tasks.get(name)
        if task is None or not self._options.accepts_cancellation:
            return False
        self._cancelled.add(task)
        task.cancel()
        return True

    async def _handle_request(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        body = await request.read()
        self._check_connection(request)
        fault = self._choose_fault(request)
        if self.running >= self._options.slots or fault == "shed":
            raise Refusal(503, "shed")
        target = _parse_target(request)
        self._check_fence_and_expiry(target, request)
        if fault == "stale":
            raise Refusal(409, "stale-fence")
        if fault == "close-before":
            return faults.close(request)
        if fault == "silent":
            await asyncio.sleep(3600)
        start_ns = time.clock_gettime_ns(time.CLOCK_MONOTONIC)
        self.running += 1
        name = (target.customer, _get_id(request))
        task = asyncio.current_task()
        assert task is not None
        self._tasks[name] = task
        try:
            self._crash_on_poison(body, request, target, start_ns)
            await self._simulate_service_time(request)
            self._check_fence_and_expiry(target, request)
            answer = self._apply(request, body, target, start_ns)
        except asyncio.CancelledError:
            if task in self._cancelled:
                task.uncancel()
                raise Refusal(503, "cancelled") from None
            raise
        finally:
            self.running -= 1
            self._cancelled.discard(task)
            if self._tasks.get(name) is task:
                del self._tasks[name]
        elapsed_ms = (
            time.clock_gettime_ns(time.CLOCK_MONOTONIC) - start_ns
        ) / 1e6
        self._latency_ms += _LATENCY_SMOOTHING * (elapsed_ms - self._latency_ms)
        return await self._send_answer(request, answer, fault)

    def _choose_fault(self, request: web.BaseRequest) -> str:
        """Returns the fault to inject; `once-` limits it to one attempt."""
        fault = request.headers.get("X-Test-Fault", "")
        if fault.startswith(_ONCE_PREFIX):
            name = _get_id(request)
            fault = (
                "" if name in self._faulted_ids else fault[len(_ONCE_PREFIX) :]
            )
            self._faulted_ids.add(name)
        return fault

    def _check_fence_and_expiry(
        self, target: grants_lib.RequestTarget, request: web.BaseRequest
    ) -> None:
        if self._options.checks_fences and not self._grants.allows(target):
            raise Refusal(409, "stale-fence")
        expires = request.headers.get("Bamboosill-Expires-Ms")
        if (
            self._options.accepts_deadlines
            and expires
            and time.time_ns() // 1_000_000 >= int(expires)
        ):
            raise Refusal(503, "deadline")

    async def _simulate_service_time(self, request: web.BaseRequest) -> None:
        """Waits for the service time of a request.

        A request that cannot end before its deadline is refused when the
        deadline passes.
        """
        duration_s = self._options.service_ms / 1000
        if not self.warm:
            duration_s *= self._options.cold_factor
        stated = request.headers.get("X-Test-Service-Ms")
        if stated:
            duration_s = float(stated) / 1000
        if id(request.protocol) not in self._seen_connections:
            self._seen_connections.add(id(request.protocol))
            duration_s += self._options.connect_ms / 1000
        deadline = request.headers.get("Bamboosill-Deadline-Ms")
        if self._options.accepts_deadlines and deadline:
            remaining_s = int(deadline) / 1000
            if duration_s > remaining_s:
                await asyncio.sleep(remaining_s)
                raise Refusal(503, "deadline")
        if duration_s:
            await asyncio.sleep(duration_s)

    def _crash_on_poison(
        self,
        body: bytes,
        request: web.BaseRequest,
        target: grants_lib.RequestTarget,
        start_ns: int,
    ) -> None:
        if self._options.poison and self._options.poison.encode() in body:
            self._record(request, target, start_ns, "crash")
            self._crash()

    def _crash(self) -> None:
        os._exit(_CRASH_EXIT_CODE)

    def _apply(
        self,
        request: web.BaseRequest,
        body: bytes,
        target: grants_lib.RequestTarget,
        start_ns: int,
    ) -> dict[str, Any]:
        """Makes the effect visible.

        There must be no `await` between the last check of the fence and this
        call.
        """
        orders = self.orders_by_key.setdefault(
            (target.customer, target.key), []
        )
        if request.method == "POST":
            orders.append(body.decode(errors="replace"))
        self._record(request, target, start_ns, "done")
        return {
            "upstream": self._options.id,
            "key": target.key,
            "orders": len(orders),
            "fence": target.fence,
        }

    def _record(
        self,
        request: web.BaseRequest,
        target: grants_lib.RequestTarget,
        start_ns: int,
        outcome: str,
    ) -> None:
        self._recorder.write(
            id=_get_id(request),
            customer=target.customer,
            key=target.key,
            keyspace=target.keyspace,
            shard=target.shard,
            fence=target.fence,
            method=request.method,
            path=request.path,
            upstream=self._options.id,
            incarnation=self.incarnation,
            outcome=outcome,
            start_ns=start_ns,
        )

    async def _send_answer(
        self, request: web.BaseRequest, answer: dict[str, Any], fault: str
    ) -> web.StreamResponse:
        if fault:
            faulty = await faults.send_faulty_answer(request, answer, fault)
            if faulty is not None:
                return faulty
        if request.path.endswith("/long"):
            return await _stream_chunks(request)
        status = 201 if request.method == "POST" else 200
        return web.json_response(
            answer,
            status=status,
            headers={"Bamboosill-Request-Id": _get_id(request)},
        )


async def _stream_chunks(request: web.BaseRequest) -> web.StreamResponse:
    chunks = int(request.query.get("chunks", "32"))
    delay_s = float(request.query.get("delay_ms", "0")) / 1000
    response = web.StreamResponse(
        headers={
            "Bamboosill-Request-Id": _get_id(request),
            "Content-Type": "application/octet-stream",
        }
    )
    if request.query.get("sized"):
        response.content_length = chunks * len(RESPONSE_CHUNK)
    cut = request.headers.get("X-Test-Fault") == "cut"
    await response.prepare(request)
    for number in range(chunks):
        if cut and number == chunks // 2:
            return faults.close(request)
        await response.write(RESPONSE_CHUNK)
        if delay_s:
            await asyncio.sleep(delay_s)
    return response


def _get_id(request: web.BaseRequest) -> str:
    return request.headers.get("Bamboosill-Request-Id", "")


def _parse_target(request: web.BaseRequest) -> grants_lib.RequestTarget:
    fields = request.headers
    try:
        return grants_lib.RequestTarget(
            fields["Bamboosill-Keyspace"],
            int(fields["Bamboosill-Shard"]),
            int(fields["Bamboosill-Fence"]),
            fields["Bamboosill-Customer"],
            fields["Bamboosill-Key"],
        )
    except (KeyError, ValueError):
        raise Refusal(409, "no-fence") from None
