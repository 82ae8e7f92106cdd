"""Stand-in for an upstream of a service without keys, on a site of many.

It runs a few requests at once, queues some more and resets connections beyond
that. Requests for some paths crash it.
"""

import asyncio
import random
import socket
import struct
import time

import aiohttp

from bamboosill_dev.fleetsoak import records

HEARTBEAT_S = 0.87
_REPORT_TIMEOUT_S = 1.0
_SLOTS = 6
_QUEUE = 24
_DRAIN_S = 2.0
# After its last heartbeat, it serves for this long beyond the drain time.
_AFTER_DRAIN_S = 0.5
_IDLE_TIMEOUT_S = 10.0
# Delay between the start of a request that crashes it and the crash.
_CRASH_DELAY_S = 0.02
CRASHING_PREFIX = "/order/crash"
LARGE_PREFIX = "/look/large"
_LARGE_BODY_BYTES = 2 * 1024 * 1024
_RESET = struct.pack("ii", 1, 0)


class SiteUpstream:
    """One upstream; each start has another id at another port.

    Attributes:
        work_s: Mean time that a request takes.
        reset_share: Share of the requests whose connection it resets while it
            works on them.
        zero_status_share: Share of the requests that it answers with status
            000 and a body that ends with the connection.
    """

    def __init__(
        self,
        service: str,
        number: int,
        zone: str,
        control: list[str],
        record: records.Record,
    ) -> None:
        self.service = service
        self._number = number
        self._zone = zone
        self._control = control
        self._record = record
        self._rng = random.Random(f"{service}/{number}")
        self._starts = 0
        self.work_s = 0.12
        self.reset_share = 0.0
        self.zero_status_share = 0.0
        self.is_up = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts to listen and to send heartbeats."""
        self._starts += 1
        self.id = f"{self.service}-{self._number}-{self._starts}"
        self._born_ms = time.time_ns() // 1_000_000
        self._sequence = 0
        self._state = "ready"
        self._slots = asyncio.Semaphore(_SLOTS)
        self._present = 0
        self._is_idle = asyncio.Event()
        self._is_idle.set()
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, backlog=256
        )
        port = self._server.sockets[0].getsockname()[1]
        self._address = f"127.0.0.1:{port}"
        self.is_up = True
        self._heartbeats = asyncio.create_task(self._run_heartbeats())

    async def crash(self) -> None:
        """Resets all connections and stops listening, without a notice."""
        if not self.is_up:
            return
        self.is_up = False
        self._server.close()
        for writer in list(self._writers):
            _reset(writer)
        await self._cancel_tasks()

    async def leave(self) -> None:
        """Announces the leave, serves for the drain time and stops."""
        self._state = "draining"
        await asyncio.sleep(HEARTBEAT_S + _DRAIN_S + _AFTER_DRAIN_S)
        if not self.is_up:
            return
        await self._is_idle.wait()
        self.is_up = False
        self._server.close()
        for writer in list(self._writers):
            writer.close()
        await self._cancel_tasks()

    async def _cancel_tasks(self) -> None:
        tasks = [self._heartbeats, *self._tasks]
        current = asyncio.current_task()
        tasks = [each for each in tasks if each is not current]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run_heartbeats(self) -> None:
        timeout = aiohttp.ClientTimeout(total=_REPORT_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            number = self._number % len(self._control)
            while True:
                try:
                    await self._report(session, self._control[number])
                except (aiohttp.ClientError, TimeoutError):
                    number = (number + 1) % len(self._control)
                    await asyncio.sleep(0.05)
                    continue
                await asyncio.sleep(HEARTBEAT_S)

    async def _report(
        self, session: aiohttp.ClientSession, address: str
    ) -> None:
        self._sequence += 1
        body = {
            "address": self._address,
            "born": self._born_ms,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self._zone,
                "max_concurrency": _SLOTS,
            },
            "status": {
                "state": self._state,
                "seq_no": self._sequence,
                "warmup_left": "0ms",
            },
        }
        url = f"http://{address}/v1/instances/{self.id}"
        async with session.put(url, json=body) as answer:
            await answer.read()
            if answer.status >= 500:
                raise aiohttp.ClientError(f"status {answer.status}")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while True:
                async with asyncio.timeout(_IDLE_TIMEOUT_S):
                    head = await reader.readuntil(b"\r\n\r\n")
                first_line, *lines = head.decode("latin-1").split("\r\n")
                headers = {
                    name.lower(): value
                    for name, _, value in (
                        line.partition(": ") for line in lines if line
                    )
                }
                await reader.readexactly(
                    int(headers.get("content-length", "0"))
                )
                path = first_line.split()[1]
                if not await self._handle(path, headers, reader, writer):
                    return
        except (EOFError, OSError, TimeoutError):
            return
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _handle(
        self,
        path: str,
        headers: dict[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Handles a request; returns whether the connection goes on."""
        attempt = headers.get("attempt-id", "")
        if headers.get("expected-instance") not in (None, self.id):
            writer.write(_format(421, attempt, "Not-Executed: 1\r\n"))
            return True
        if path == "/health":
            writer.write(_format(200, attempt, f"Instance-Id: {self.id}\r\n"))
            return True
        deadline = headers.get("deadline-ms")
        arrival = records.Arrival(
            attempt,
            self.service,
            self.id,
            time.monotonic(),
            int(deadline) if deadline else None,
        )
        self._record.arrivals.append(arrival)
        if self._present >= _SLOTS + _QUEUE:
            arrival.finish(records.ArrivalEnd.TURNED_AWAY, time.monotonic())
            _reset(writer)
            return False
        self._present += 1
        self._is_idle.clear()
        work = asyncio.create_task(self._work(path))
        closed = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait(
                {work, closed}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            is_done = work.done()
            work.cancel()
            closed.cancel()
            await asyncio.gather(work, closed, return_exceptions=True)
            self._present -= 1
            if not self._present:
                self._is_idle.set()
            if not is_done:
                # Either the sender closed the connection, or this upstream
                # crashed.
                arrival.finish(
                    records.ArrivalEnd.CLOSED_BY_SENDER
                    if self.is_up
                    else records.ArrivalEnd.BROKEN_OFF,
                    time.monotonic(),
                )
        if not is_done:
            return False
        if self._rng.random() < self.reset_share:
            arrival.finish(records.ArrivalEnd.BROKEN_OFF, time.monotonic())
            _reset(writer)
            return False
        arrival.finish(records.ArrivalEnd.ANSWERED, time.monotonic())
        body = b"a" * (
            _LARGE_BODY_BYTES if path.startswith(LARGE_PREFIX) else 400
        )
        load = f"{min(self._present, _SLOTS)},{max(0, self._present - _SLOTS)}"
        signature = f"Response-Signature: {self.id}\r\n"
        if self._rng.random() < self.zero_status_share:
            head = f"HTTP/1.1 000 X\r\nAttempt-Id: {attempt}\r\n{signature}"
            writer.write(f"{head}\r\n".encode() + body)
            return False
        writer.write(
            _format(
                200,
                attempt,
                f"{signature}"
                f"Server-Load: {load},{_SLOTS}\r\n"
                f"Keep-Alive: timeout={int(_IDLE_TIMEOUT_S)}\r\n",
                body,
            )
        )
        await writer.drain()
        return True

    async def _work(self, path: str) -> None:
        async with self._slots:
            if path.startswith(CRASHING_PREFIX):
                await asyncio.sleep(_CRASH_DELAY_S)
                times_s = self._record.crashes.setdefault(path, [])
                times_s.append(time.monotonic())
                crash = asyncio.create_task(self.crash())
                await asyncio.shield(crash)
            await asyncio.sleep(self._rng.lognormvariate(0, 0.5) * self.work_s)


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    writer.transport.abort()


def _format(
    status: int, attempt: str, header_lines: str, body: bytes = b""
) -> bytes:
    head = (
        f"HTTP/1.1 {status} X\r\nAttempt-Id: {attempt}\r\n{header_lines}"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
