"""Fixtures: upstream servers that respond with scripted bytes."""

import asyncio
import random

import pytest
from returns.result import Failure

from bamboosill_common import errors
from bamboosilld import crash_detector
from bamboosilld.gateway import forwarding
from bamboosilld.gateway import http_messages
from bamboosilld.gateway import permit_client
from bamboosilld.gateway import reachability
from bamboosilld.gateway import request_context
from bamboosilld.gateway import return_times

NAMES = http_messages.HeaderNames(
    request_id=b"x-id",
    deadline_ms=b"x-deadline",
    expected_upstream=b"x-expected",
    signature=b"x-signature",
    not_run=b"x-not-run",
    load=b"x-load",
    key=b"x-key",
    rate_limit=b"x-rate-limit",
    leaving=b"x-leaving",
)


class ScriptedServer:
    """A server that runs a script of the test for each request."""

    def __init__(self, script):
        self._script = script
        self.requests = []
        self.connections = 0
        self._request_received = asyncio.Event()
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def _accept(self, reader, writer):
        self.connections += 1
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                headers = dict(
                    line.split(": ", 1) for line in lines[1:] if line
                )
                length = int(headers.get("Content-Length", "0"))
                body = await reader.readexactly(length)
                self.requests.append((lines[0], headers, body))
                self._request_received.set()
                await self._script(self, headers, writer)
                if writer.is_closing():
                    return
        except (EOFError, OSError):
            return
        finally:
            writer.close()
            self._tasks.discard(task)

    async def wait_request(self):
        """Waits for the first request."""
        async with asyncio.timeout(10):
            await self._request_received.wait()

    async def stop(self):
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def make_response(request_id, body=b"whole", status="200 OK", extra=""):
    """Returns the bytes of a signed response."""
    return (
        f"HTTP/1.1 {status}\r\nx-id: {request_id}\r\nx-signature: s\r\n"
        f"{extra}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def make_permit_client(clock, ask=None, entry_count=1):
    """Returns a permit client; without `ask`, no leader is known."""

    async def fail(request):
        return Failure(errors.PeerError("no_leader", "none known", False))

    return permit_client.PermitClient(
        "e1", ask or fail, lambda: entry_count, clock, random.Random(1)
    )


async def _ignore_crash(crash):
    """Reports nothing."""


def make_send_context(view, clock, rng, permits, instances=None):
    """Returns a context; without `instances`, nothing can be forwarded."""
    reach = reachability.Reachability(
        view.list_all_upstreams,
        lambda upstream: b"GET / HTTP/1.1\r\nHost: u\r\n\r\n",
        "z1",
        clock,
        rng,
    )
    instances = instances or forwarding.Instances(
        "z1", clock, rng, NAMES.request_id, ""
    )
    return request_context.SendContext(
        "z1",
        NAMES,
        view,
        clock,
        rng,
        permits,
        reach,
        instances,
        request_context.Shutdown(),
        crash_detector.CrashDetector(_ignore_crash, clock),
        return_times.ReturnTimes(clock, rng),
    )


@pytest.fixture
async def serve():
    """Starts scripted servers and stops them after the test."""
    servers = []

    async def start(script):
        server = await ScriptedServer(script).start()
        servers.append(server)
        return server

    yield start
    for server in servers:
        await server.stop()
