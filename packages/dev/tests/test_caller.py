"""Tests of the stand-in caller and of the load balancer."""

import asyncio
import contextlib
import json
import random

from aiohttp import web
import pytest

from bamboosill_dev import balancer as balancer_lib
from bamboosill_dev import caller as caller_lib

ORDER = caller_lib.Request(
    "POST", "/s/orders", "acme", "k", b"one", 200, repeatable=False
)
READ = caller_lib.Request("GET", "/s/items", "acme", "k", b"", 200)


class _Entry:
    """Entry instance with scripted answers: status, outcome and reason."""

    def __init__(self, script):
        self.script = list(script)
        self.ids = []
        self.ready = True

    async def start(self):
        loop = asyncio.get_running_loop()
        self.web = web.Server(self.handle, access_log=None)
        self.server = await loop.create_server(self.web, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def handle(self, request):
        if request.path == "/readyz":
            return web.Response(status=200 if self.ready else 503)
        request_id = request.headers["Bamboosill-Request-Id"]
        self.ids.append(request_id)
        answer = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        if answer == "silent":
            await asyncio.sleep(30)
        if answer == "broken":
            request.transport.abort()
            raise ConnectionResetError
        status, outcome, reason = answer
        if reason == "crossed":
            request_id = "other"
        return web.Response(
            status=status,
            headers={
                "Bamboosill-Outcome": outcome,
                "Bamboosill-Reason": reason,
                "Bamboosill-Request-Id": request_id,
            },
        )


@pytest.fixture
async def run():
    async with contextlib.AsyncExitStack() as stack:

        async def run(script, request, timeout_s=5.0):
            entry = await _Entry(script).start()
            stack.callback(entry.server.close)
            caller = caller_lib.Caller(lambda: entry.address, random.Random(1))
            stack.push_async_callback(caller.close)
            return await caller.send(request, timeout_s), entry, caller

        yield run


ANSWERED = (200, "answer", "ok")
NOT_RUN = (503, "not-run", "shed")
OUTCOME_UNKNOWN = (502, "unknown", "broken")


@pytest.mark.parametrize(
    ("script", "outcome", "sendings"),
    [
        ([ANSWERED], "answer", 1),
        ([NOT_RUN, ANSWERED], "answer", 2),
        ([OUTCOME_UNKNOWN, ANSWERED], "answer", 2),
        (["broken", ANSWERED], "answer", 2),
        (["silent", ANSWERED], "answer", 2),
        ([(200, "answer", "crossed"), ANSWERED], "answer", 2),
        ([(400, "not-run", "bad-key")], "not-run", 1),
        ([(422, "not-run", "quarantined")], "not-run", 1),
        ([(409, "unknown", "begun-unknown")], "unknown", 1),
        (
            [OUTCOME_UNKNOWN, (409, "unknown", "in-progress"), ANSWERED],
            "answer",
            3,
        ),
        # A "not run" of the second attempt says nothing about the first.
        ([OUTCOME_UNKNOWN, (409, "not-run", "id-reused")], "unknown", 2),
    ],
)
@pytest.mark.parametrize("request_", [ORDER, READ], ids=["order", "read"])
async def test_resends(run, request_, script, outcome, sendings):
    """Guards against a missing resend, and one of a settled request."""
    result, entry, caller = await run(script, request_)
    assert (result.outcome, result.sendings) == (outcome, sendings)
    assert len(entry.ids) == sendings
    # An order keeps its id; a read has a new one for each attempt.
    assert len(set(entry.ids)) == (sendings if request_.repeatable else 1)
    kinds = [line["kind"] for line in caller.lines]
    assert kinds == ["sending"] * sendings + ["final"]


async def test_resending_ends_after_the_timeout(run):
    """Guards against a caller that resends without end."""
    result, _, _ = await run([NOT_RUN], READ, 0.3)
    assert result.outcome == "not-run"


async def test_balancer_chooses_ready_instances():
    """Guards against connections to an instance that is not ready."""
    first = await _Entry([ANSWERED]).start()
    second = await _Entry([ANSWERED]).start()
    second.ready = False
    balancer = balancer_lib.Balancer(
        [first.address, second.address], random.Random(1), 0.02
    )
    await balancer.start("127.0.0.1:0")
    assert {balancer.choose() for _ in range(20)} == {first.address}
    caller = caller_lib.Caller(lambda: balancer.address, random.Random(1))
    assert (await caller.send(READ)).outcome == "answer"
    assert len(first.ids) == 1
    first.ready, second.ready = False, True
    for _ in range(200):
        if balancer.ready == {second.address}:
            break
        await asyncio.sleep(0.02)
    assert {balancer.choose() for _ in range(20)} == {second.address}
    await caller.close()
    await balancer.stop()
    for entry in (first, second):
        entry.server.close()


async def test_record_is_written_as_lines(tmp_path):
    """Guards against a record that is not in JSON lines or lacks a field."""
    entry = await _Entry([ANSWERED]).start()
    path = tmp_path / "caller.jsonl"
    caller = caller_lib.Caller(
        lambda: entry.address, random.Random(1), str(path)
    )
    await caller.send(ORDER)
    await caller.close()
    entry.server.close()
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    assert [line["kind"] for line in lines] == ["sending", "final"]
    assert lines[1]["first_id"] == entry.ids[0]
