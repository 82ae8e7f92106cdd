"""A stand-in for an upstream that holds keys, and the record of its runs."""

import asyncio
import json
import time
from typing import Any

import aiohttp

# The platform's clients and upstreams wait this long for an answer.
_CALL_TIMEOUT_S = 1.0
HEARTBEAT_S = 0.4
# An upstream that was told to release keys reports again within this time.
_RELEASE_S = 0.05
_WORK_S = 0.01
_SLOTS = 8


class Record:
    """What all upstreams of a run saw, and the promises that they check."""

    def __init__(self) -> None:
        self.upstreams: list[Upstream] = []
        self.runs: dict[str, int] = {}
        self.violations: list[str] = []

    def begin(self, upstream: "Upstream", attempt: str, key: int) -> None:
        """Counts a run and checks that nobody else holds its key."""
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        for other in self.upstreams:
            if other is not upstream and other.is_up and other.holds(key):
                self.violations.append(
                    f"key {key} is held by {upstream.name} and {other.name}"
                )


class Upstream:
    """One upstream; `crash` ends a life, `start` begins the next one."""

    def __init__(self, name: str, record: Record, control: list[str]) -> None:
        self.name = name
        self._record = record
        self._control = control
        self._rows: list[tuple[int, int, int]] = []
        self._until_s = 0.0
        self._highest: dict[int, int] = {}
        self.is_up = False
        self.announced = ""
        record.upstreams.append(self)

    async def start(self) -> None:
        """Listens and reports."""
        self._born_ms = time.time_ns() // 1_000_000
        self._sequence = 0
        self._rows, self._highest = [], {}
        self._released: list[tuple[int, int, str]] = []
        self._running = 0
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.is_up = True
        self._tasks = {asyncio.create_task(self._run_heartbeats())}

    async def crash(self) -> None:
        """Ends this life without a word."""
        self.is_up = False
        self._server.close()
        tasks, self._tasks = self._tasks, set()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def holds(self, key: int) -> bool:
        """Returns whether a key is held now."""
        return time.monotonic() < self._until_s and any(
            first <= key <= last for first, last, _ in self._rows
        )

    async def _run_heartbeats(self) -> None:
        timeout = aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            number = hash(self.name) % len(self._control)
            while True:
                wait_s = HEARTBEAT_S
                try:
                    wait_s = await self._report(session, self._control[number])
                except (aiohttp.ClientError, TimeoutError, ValueError):
                    number = (number + 1) % len(self._control)
                    wait_s = _RELEASE_S
                await asyncio.sleep(wait_s)

    async def _report(
        self, session: aiohttp.ClientSession, address: str
    ) -> float:
        self._sequence += 1
        sent_s = time.monotonic()
        released = list(self._released)
        if sent_s >= self._until_s:
            self._rows = []
        body = {
            "address": self.announced or self.address,
            "born": self._born_ms,
            "info": {
                "service": "keyed",
                "version": "v1",
                "zone": "z1",
                "max_concurrency": _SLOTS,
            },
            "status": {
                "state": "ready",
                "seq_no": self._sequence,
                "warmup_left": "0ms",
            },
            "holds": [list(row) for row in self._rows],
            "released": released,
        }
        url = f"http://{address}/v1/instances/{self.name}"
        async with session.put(url, json=body) as answer:
            if answer.status != 200:
                raise ValueError(f"status {answer.status}")
            document = await answer.json()
        self._released = self._released[len(released) :]
        if "holds" not in document:
            return HEARTBEAT_S
        return self._take(document, sent_s)

    def _take(self, document: dict[str, Any], sent_s: float) -> float:
        rows = [(row[0], row[1], row[2]) for row in document["holds"]]
        lost = (
            _subtract(self._rows, rows)
            if time.monotonic() < (self._until_s)
            else []
        )
        for first, last, fence in rows:
            if fence < self._highest.get(first, 0):
                self._record.violations.append(
                    f"{self.name} got {first}-{last} with an older fence"
                )
            self._highest[first] = fence
        self._rows = rows
        lease_ms = float(document["hold_time"].removesuffix("ms"))
        self._until_s = sent_s + lease_ms / 1000
        self._released += [
            (first, last, f"{self.name}") for first, last in lost
        ]
        return _RELEASE_S if lost else HEARTBEAT_S

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")[1:]
                fields = {
                    name.lower(): value
                    for name, _, value in (
                        line.partition(": ") for line in lines if line
                    )
                }
                length = int(fields.get("content-length", "0"))
                await reader.readexactly(length)
                writer.write(await self._answer(fields))
                await writer.drain()
        except (EOFError, OSError):
            return
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _answer(self, fields: dict[str, str]) -> bytes:
        attempt = fields.get("attempt-id", "")
        key = int(fields.get("shard-key", "0"))
        if fields.get("expected-instance") != self.name or not self.holds(key):
            return _format(421, attempt, "Not-Executed: 1\r\n")
        if self._running >= _SLOTS * 2:
            return _format(503, attempt, "Not-Executed: 1\r\n")
        self._record.begin(self, attempt, key)
        self._running += 1
        try:
            await asyncio.sleep(_WORK_S)
        finally:
            self._running -= 1
        load = f"Server-Load: {self._running},0,{_SLOTS}\r\n"
        return _format(
            200, attempt, f"Response-Signature: {self.name}\r\n{load}", attempt
        )


def _subtract(
    old: list[tuple[int, int, int]], new: list[tuple[int, int, int]]
) -> list[tuple[int, int]]:
    """Returns the ranges of `old` that `new` does not have."""
    left = [(first, last) for first, last, _ in old]
    for first, last, _ in new:
        parts = []
        for low, high in left:
            if high < first or low > last:
                parts.append((low, high))
                continue
            if low < first:
                parts.append((low, first - 1))
            if high > last:
                parts.append((last + 1, high))
        left = parts
    return left


def _format(status: int, attempt: str, lines: str, body: str = "") -> bytes:
    return (
        f"HTTP/1.1 {status} X\r\nAttempt-Id: {attempt}\r\n{lines}"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


def make_configuration(version: int) -> bytes:
    """Returns a configuration whose version its newest route names."""
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
            "columns": ["name", "health_path", "max_connections", "sharding"],
            "rows": [["keyed", "/health", 100, True]],
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout": "3s",
            "idle_timeout": "15s",
        },
    }
    return json.dumps(document).encode()
