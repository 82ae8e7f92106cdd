"""Tests that what one process holds of all messages together is bounded.

A real entry instance gets more bytes than its memory has, and goes on serving.
"""

import asyncio
import itertools
import random
import time

import aiohttp
import pytest

from bamboosill_dev.fleetsoak import processes

_LIMIT_MB = processes.MEMORY_LIMITS_MB["entry"]
_REQUESTS_AT_ONCE = 16
_LOAD_S = 5.0
# The load lasts until so many short requests were made beside it.
_SHORT_REQUESTS = 20
_START_ATTEMPTS = 200
_BLOCK = b"a" * 65536
_CHUNK = b"10000\r\n" + _BLOCK + b"\r\n"
_BODY_BYTES = 64 * 1024 * 1024
_RESPONSE_BYTES = 30 * 1024 * 1024
_SIGNED = b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: s\r\n"
# What an upstream sends, first once and then without end.
_ENDLESS = {
    "no response": (b"", _BLOCK),
    "head": (_SIGNED, b"x-more: value\r\n" * 4096),
    "informational": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2048),
    "chunks": (_SIGNED + b"Transfer-Encoding: chunked\r\n\r\n", _CHUNK),
    "length": (_SIGNED + b"Content-Length: 99999999999\r\n\r\n", _BLOCK),
    "no length": (_SIGNED + b"\r\n", _BLOCK),
}


class _Site:
    """A control and an entry instance, a sound and a faulty service."""

    def __init__(self, folder, respond):
        rng = random.SystemRandom()
        network = f"127.{rng.randrange(1, 100)}.{rng.randrange(250)}"
        self.control = processes.Process(folder, 1, "control", network)
        self.entry = processes.Process(folder, 101, "entry", network)
        self._respond = respond
        self._numbers = itertools.count()
        self.peak_mb = 0
        self._tasks = set()

    async def __aenter__(self):
        seeds = [self.control.control_address]
        for process in (self.control, self.entry):
            process.start(seeds)
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=1.0)
        )
        await self._put("configuration", _make_configuration(), 20.0)
        for service, handle in (
            ("sound", self._serve_sound),
            ("faulty", self._serve_faulty),
        ):
            server = await asyncio.start_server(handle, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            beat = self._run_heartbeats(service, f"127.0.0.1:{port}")
            self._spawn(beat)
        self._spawn(self._watch())
        for _ in range(_START_ATTEMPTS):
            if await self.ask("/sound/x") == 200:
                break
            await asyncio.sleep(0.1)
        return self

    async def __aexit__(self, *_):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._session.close()
        for process in (self.control, self.entry):
            process.kill()

    def _spawn(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _put(self, path, document, timeout_s):
        url = f"http://{self.control.control_address}/v1/{path}"
        async with asyncio.timeout(timeout_s):
            while True:
                try:
                    async with self._session.put(
                        url, json=document, headers={"If-Match": "r0"}
                    ) as answer:
                        if answer.status == 200:
                            return
                except (aiohttp.ClientError, TimeoutError):
                    pass
                await asyncio.sleep(0.1)

    async def _run_heartbeats(self, service, address):
        born_ms = time.time_ns() // 1_000_000
        for sequence in itertools.count(1):
            document = {
                "address": address,
                "born": born_ms,
                "info": {
                    "service": service,
                    "version": "v1",
                    "zone": "z1",
                    "max_concurrency": 64,
                },
                "status": {
                    "state": "ready",
                    "seq_no": sequence,
                    "warmup_left": "0ms",
                },
            }
            await self._put(f"instances/{service}", document, 20.0)
            await asyncio.sleep(0.4)

    async def _watch(self):
        while True:
            self.peak_mb = max(self.peak_mb, self.entry.read_peak_mb())
            await asyncio.sleep(0.02)

    async def _serve_sound(self, reader, writer):
        await self._serve(reader, writer, _respond_briefly)

    async def _serve_faulty(self, reader, writer):
        await self._serve(reader, writer, self._respond)

    async def _serve(self, reader, writer, respond):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                headers = _parse_headers(head)
                left = int(headers.get(b"content-length", b"0"))
                while left:
                    left -= len(await reader.readexactly(min(left, 65536)))
                await respond(headers[b"attempt-id"], writer)
        except (EOFError, OSError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def open(self):
        host, _, port = self.entry.caller_address.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def ask(self, path, body=(), head=b"", method="GET"):
        """Sends a request and returns the status, or 0 without a response."""
        writer = None
        try:
            async with asyncio.timeout(6):
                reader, writer = await self.open()
                writer.write(
                    f"{method} {path} HTTP/1.1\r\nHost: h\r\n"
                    f"Attempt-Id: a{next(self._numbers)}\r\n"
                    "Deadline-Ms: 4000\r\n".encode()
                    + head
                    + b"\r\n"
                )
                for part in body:
                    writer.write(part)
                    await writer.drain()
                return await _read_status(reader)
        except (EOFError, OSError, TimeoutError):
            return 0
        finally:
            if writer is not None:
                writer.close()

    async def run_load(self, load):
        """Runs a load, and short requests beside it; returns their statuses."""
        statuses = []
        is_over = False

        async def repeat():
            while not is_over:
                await load()

        loads = [
            asyncio.create_task(repeat()) for _ in range(_REQUESTS_AT_ONCE)
        ]
        end_s = time.monotonic() + _LOAD_S
        while time.monotonic() < end_s or len(statuses) < _SHORT_REQUESTS:
            statuses.append(await self.ask("/sound/x"))
            await asyncio.sleep(0.05)
        is_over = True
        await asyncio.gather(*loads)
        return statuses


def _parse_headers(head):
    return {
        name.lower(): value
        for name, _, value in (
            line.partition(b": ") for line in head.split(b"\r\n")[1:]
        )
    }


async def _read_status(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(_parse_headers(head).get(b"content-length", b"0"))
    while length:
        length -= len(await reader.readexactly(min(length, 65536)))
    return int(head.split()[1])


def _make_configuration():
    columns = [
        *("name", "host", "path_prefix", "kind", "timeout"),
        *("slo_latency", "priority", "service", "max_attempts"),
    ]
    rows = [
        [name, "h", f"/{name}/", "safe", "4s", "2s", 1, name, 2]
        for name in ("sound", "faulty")
    ]
    services = [["sound", "/health", 1000], ["faulty", "/health", 1000]]
    return {
        "version": "r1",
        "routes": {"columns": columns, "rows": rows},
        "services": {
            "columns": ["name", "health_path", "max_connections"],
            "rows": services,
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": _BODY_BYTES,
            "header_timeout": "3s",
            "idle_timeout": "15s",
        },
    }


async def _respond_briefly(attempt, writer):
    writer.write(_SIGNED % attempt + b"Content-Length: 2\r\n\r\nok")
    await writer.drain()


async def _respond_long(attempt, writer):
    head = _SIGNED % attempt + b"Content-Length: %d\r\n\r\n" % _RESPONSE_BYTES
    writer.write(head)
    for _ in range(_RESPONSE_BYTES // len(_BLOCK)):
        writer.write(_BLOCK)
        await writer.drain()


def _respond_without_end(form):
    first, repeated = _ENDLESS[form]

    async def respond(attempt, writer):
        writer.write(first % attempt if b"%s" in first else first)
        while True:
            writer.write(repeated)
            await writer.drain()

    return respond


def _check(site, statuses):
    assert site.entry.is_running, site.entry.wait()
    assert site.peak_mb <= _LIMIT_MB
    assert set(statuses) == {200}


@pytest.mark.parametrize("form", _ENDLESS)
async def test_responses_without_end_are_bounded_together(tmp_path, form):
    """Guards against a faulty upstream that ends requests of other callers."""
    async with _Site(tmp_path, _respond_without_end(form)) as site:
        statuses = await site.run_load(lambda: site.ask("/faulty/x"))
        _check(site, statuses)


async def test_long_responses_are_bounded_together(tmp_path):
    """Guards against long sound responses that exceed the memory."""
    async with _Site(tmp_path, _respond_long) as site:
        statuses = await site.run_load(lambda: site.ask("/faulty/x"))
        _check(site, statuses)


async def test_responses_that_callers_do_not_read_are_bounded(tmp_path):
    """Guards against callers that let responses pile up."""
    async with _Site(tmp_path, _respond_long) as site:

        async def ask_and_wait():
            _, writer = await site.open()
            writer.write(
                b"GET /faulty/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: w\r\n"
                b"Deadline-Ms: 4000\r\n\r\n"
            )
            await asyncio.sleep(_LOAD_S / 2)
            writer.close()

        statuses = await site.run_load(ask_and_wait)
        _check(site, statuses)


@pytest.mark.parametrize("is_chunked", [False, True])
async def test_request_bodies_are_bounded_together(tmp_path, is_chunked):
    """Guards against long bodies of several callers (review/5)."""
    blocks = _BODY_BYTES // len(_BLOCK)
    head = b"Content-Length: %d\r\n" % _BODY_BYTES
    body = [_BLOCK] * blocks
    if is_chunked:
        head = b"Transfer-Encoding: chunked\r\n"
        body = [_CHUNK] * (blocks - 1) + [b"0\r\n\r\n"]
    async with _Site(tmp_path, _respond_briefly) as site:
        ends = []

        async def send():
            ends.append(await site.ask("/faulty/x", body, head, "POST"))

        statuses = await site.run_load(send)
        _check(site, statuses)
        # Some are served, others refused.
        assert 200 in ends
        assert set(ends) <= {0, 200, 503, 504}
