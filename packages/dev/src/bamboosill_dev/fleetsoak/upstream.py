"""Stand-in for an upstream of a keyed service.

The upstream registers with the control plane, serves the key ranges that it
was granted while its lease is valid, and records each request that it runs.
"""

import asyncio
import json
import random
import time
from typing import Any
from typing import NamedTuple

import aiohttp

from bamboosill_dev.fleetsoak import held_keys as held_keys_lib
from bamboosilld.consensus import change_notifier

# The platform's own clients and upstreams use the same timeout.
_REPORT_TIMEOUT_S = 1.0
HEARTBEAT_S = 0.4
# Delay before the next report after a release of keys or a failed report.
_PROMPT_REPORT_S = 0.05
_SERVICE_TIME_S = 0.01
_SLOTS = 8
# Longest delay of a call that is not answered and carried out late.
_MAX_LATE_S = 3.0


class Record:
    """Requests that the upstreams of a run executed, and violations seen."""

    def __init__(self) -> None:
        self.upstreams: list[Upstream] = []
        self.runs: dict[str, int] = {}
        self.violations: list[str] = []

    def record_run(self, upstream: "Upstream", attempt: str, key: int) -> None:
        """Counts a run and checks that no other upstream holds its key."""
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        for other in self.upstreams:
            if other is not upstream and other.is_up and other.holds(key):
                self.violations.append(
                    f"key {key} is held by {upstream.name} and {other.name}"
                )


class _Request(NamedTuple):
    """A request as it was received; header names are in lower case."""

    path: str
    headers: dict[str, str]
    body: bytes


class Upstream:
    """One upstream, which can be started again after `crash`.

    Each start is a new incarnation that holds no keys. It takes keys either in
    replies to its heartbeats or by calls.

    Attributes:
        rate_limit: Requests a second that it states to take; 0 for no limit.
        arrivals_s: Times of requests for keys that it holds.
        late_call_share: Share of the calls that are not answered and carried
            out late.
        bad_answer_share: Share of the calls that are answered with an error or
            with a body that is no JSON, and not carried out.
    """

    def __init__(
        self,
        name: str,
        record: Record,
        control: list[str],
        takes_calls: bool = False,
        zone: str = "z1",
    ) -> None:
        self.name = name
        self._zone = zone
        self._record = record
        self._control = control
        self._takes_calls = takes_calls
        self._keys = held_keys_lib.HeldKeys()
        # Latest end of all leases.
        self._lease_end_s = 0.0
        self._highest_fences: dict[int, int] = {}
        self.late_call_share = 0.0
        self.bad_answer_share = 0.0
        self.is_up = False
        self.announced_address = ""
        self.rate_limit = 0.0
        self.arrivals_s: list[float] = []
        record.upstreams.append(self)

    async def start(self) -> None:
        """Starts to listen and to send heartbeats."""
        self._incarnation_ms = time.time_ns() // 1_000_000
        self._sequence = 0
        self._keys, self._highest_fences = held_keys_lib.HeldKeys(), {}
        self._rng = random.Random(self.name)
        self._running_keys: list[int] = []
        self._run_ended = change_notifier.ChangeNotifier()
        self._released_ranges: list[tuple[int, int, str]] = []
        self._running = 0
        self._server = await asyncio.start_server(
            self._serve_connection, "127.0.0.1", 0
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.is_up = True
        self._tasks = {asyncio.create_task(self._run_heartbeats())}

    async def crash(self) -> None:
        """Stops at once, without a notice to the control plane."""
        self.is_up = False
        self._server.close()
        tasks, self._tasks = self._tasks, set()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def holds(self, key: int) -> bool:
        """Returns whether a key is held under a valid lease."""
        return self._keys.holds(key, time.monotonic())

    async def _run_heartbeats(self) -> None:
        timeout = aiohttp.ClientTimeout(total=_REPORT_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            number = hash(self.name) % len(self._control)
            while True:
                wait_s = HEARTBEAT_S
                try:
                    wait_s = await self._report(session, self._control[number])
                except (aiohttp.ClientError, TimeoutError, ValueError):
                    number = (number + 1) % len(self._control)
                    wait_s = _PROMPT_REPORT_S
                await asyncio.sleep(wait_s)

    async def _report(
        self, session: aiohttp.ClientSession, address: str
    ) -> float:
        self._sequence += 1
        sent_s = time.monotonic()
        released_ranges = list(self._released_ranges)
        if sent_s >= self._lease_end_s:
            self._keys.ranges = []
        body: dict[str, Any] = {
            "address": self.announced_address or self.address,
            "born": self._incarnation_ms,
            "info": {
                "service": "keyed",
                "version": "v1",
                "zone": self._zone,
                "max_concurrency": _SLOTS,
            },
            "status": {
                "state": "ready",
                "seq_no": self._sequence,
                "warmup_left": "0ms",
            },
        }
        if not self._takes_calls:
            body["holds"] = [list(each[:3]) for each in self._keys.ranges]
            body["released"] = released_ranges
        url = f"http://{address}/v1/instances/{self.name}"
        async with session.put(url, json=body) as answer:
            if answer.status != 200:
                raise ValueError(f"status {answer.status}")
            document = await answer.json()
        self._released_ranges = self._released_ranges[len(released_ranges) :]
        if self._takes_calls or "holds" not in document:
            return HEARTBEAT_S
        return self._apply_grants(document, sent_s)

    def _apply_grants(self, document: dict[str, Any], sent_s: float) -> float:
        rows = [(row[0], row[1], row[2]) for row in document["holds"]]
        held = [each[:3] for each in self._keys.ranges]
        lost = (
            _subtract(held, rows)
            if time.monotonic() < self._lease_end_s
            else []
        )
        for first, last, fence in rows:
            if fence < self._highest_fences.get(first, 0):
                self._record.violations.append(
                    f"{self.name} got {first}-{last} with an older fence"
                )
            self._highest_fences[first] = fence
        lease_ms = float(document["hold_time"].removesuffix("ms"))
        self._lease_end_s = sent_s + lease_ms / 1000
        self._keys.ranges = [
            held_keys_lib.HeldRange(*row, self._lease_end_s) for row in rows
        ]
        self._released_ranges += [
            (first, last, f"{self.name}") for first, last in lost
        ]
        return _PROMPT_REPORT_S if lost else HEARTBEAT_S

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first_line, *lines = head.decode("latin-1").split("\r\n")
                headers = {
                    name.lower(): value
                    for name, _, value in (
                        line.partition(": ") for line in lines if line
                    )
                }
                length = int(headers.get("content-length", "0"))
                request = _Request(
                    first_line.split()[1],
                    headers,
                    await reader.readexactly(length),
                )
                writer.write(await self._handle_request(request))
                await writer.drain()
        except (EOFError, OSError):
            return
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _handle_request(self, request: _Request) -> bytes:
        if request.path in ("/v1/grant", "/v1/release"):
            return await self._handle_call(request)
        fields = request.headers
        attempt = fields.get("attempt-id", "")
        key = int(fields.get("shard-key", "0"))
        if fields.get("expected-instance") != self.name or not self.holds(key):
            return _format_response(421, attempt, "Not-Executed: 1\r\n")
        self.arrivals_s.append(time.monotonic())
        if self._running >= _SLOTS * 2:
            return _format_response(503, attempt, "Not-Executed: 1\r\n")
        self._record.record_run(self, attempt, key)
        self._running += 1
        self._running_keys.append(key)
        try:
            await asyncio.sleep(_SERVICE_TIME_S)
        finally:
            self._running -= 1
            self._running_keys.remove(key)
            self._run_ended.notify()
        load = f"Server-Load: {self._running},0,{_SLOTS}\r\n"
        if self.rate_limit:
            load += f"Server-Limit: {self.rate_limit}\r\n"
        return _format_response(
            200, attempt, f"Response-Signature: {self.name}\r\n{load}", attempt
        )

    async def _handle_call(self, request: _Request) -> bytes:
        """Grants or releases keys.

        A call that is not answered is carried out late; its lease counts from
        its arrival all the same.
        """
        arrived_s = time.monotonic()
        if request.headers.get("expected-instance") != self.name:
            return _format_response(421, "", "Not-Executed: 1\r\n")
        body = json.loads(request.body)
        if self._rng.random() < self.bad_answer_share:
            status = self._rng.choice((200, 204, 400, 409, 500, 503))
            garbage = self._rng.choice(
                ("", "{", "[" * 5000, '{"handover":1e999}')
            )
            if request.path == "/v1/grant" or status >= 400:
                return _format_response(status, "", "", garbage)
        is_late = self._rng.random() < self.late_call_share
        if is_late:
            await asyncio.sleep(self._rng.uniform(0.0, _MAX_LATE_S))
        if request.path == "/v1/grant":
            response = self._grant(body, arrived_s)
        else:
            response = await self._release(body)
        if is_late:
            await asyncio.Event().wait()
        return response

    def _grant(self, body: dict[str, Any], arrived_s: float) -> bytes:
        lease_s = float(body["hold_time"].removesuffix("ms")) / 1000
        new = held_keys_lib.HeldRange(
            body["from"], body["to_version"], body["fence"], arrived_s + lease_s
        )
        self._lease_end_s = max(self._lease_end_s, new.end_s)
        return _format_response(200 if self._keys.grant(new) else 409, "", "")

    async def _release(self, body: dict[str, Any]) -> bytes:
        first, last = body["from"], body["to_version"]
        was_held = self._keys.release(first, last, body["fence"])
        await self._run_ended.wait_until(
            lambda: not any(first <= key <= last for key in self._running_keys),
            _SERVICE_TIME_S * 10,
        )
        handover = f"Handover: {self.name}\r\n" if was_held else ""
        return _format_response(200, "", handover)


def _subtract(
    old: list[tuple[int, int, int]], new: list[tuple[int, int, int]]
) -> list[tuple[int, int]]:
    """Returns the key ranges that are in `old` but not in `new`."""
    remaining = [(first, last) for first, last, _ in old]
    for first, last, _ in new:
        parts = []
        for low, high in remaining:
            if high < first or low > last:
                parts.append((low, high))
                continue
            if low < first:
                parts.append((low, first - 1))
            if high > last:
                parts.append((last + 1, high))
        remaining = parts
    return remaining


def _format_response(
    status: int, attempt: str, header_lines: str, body: str = ""
) -> bytes:
    return (
        f"HTTP/1.1 {status} X\r\nAttempt-Id: {attempt}\r\n{header_lines}"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


def make_configuration(version: int, grants: str | None = None) -> bytes:
    """Returns a configuration document with a route named after its version.

    Args:
        version: Its version.
        grants: How keys are granted; None for the platform's default.
    """
    document = {
        "version": f"r{version}",
        "routes": {
            "columns": [
                *("name", "host", "path_prefix", "kind", "timeout"),
                *("slo_latency", "priority", "service", "max_attempts"),
            ],
            "rows": [
                [name, "h", f"/{name}/", kind, "2s", "1s", 1, "keyed", 2]
                for name, kind in (
                    ("safe", "safe"),
                    ("order", "non_idempotent"),
                    (f"v{version}", "safe"),
                )
            ],
        },
        "services": {
            "columns": [
                *("name", "health_path", "max_connections"),
                *("sharding", "grants"),
            ],
            "rows": [["keyed", "/health", 100, True, grants]],
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout": "3s",
            "idle_timeout": "15s",
        },
    }
    return json.dumps(document).encode()
