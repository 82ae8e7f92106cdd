"""Tests of registration, request handling and shutdown of the stand-in."""

import asyncio
import contextlib
import json
import sys
import time

import aiohttp
from aiohttp import web
import pytest

from bamboosill_dev import relay as relay_lib
from bamboosill_dev.upstream import options
from bamboosill_dev.upstream import process

GRANT = {"keyspace": "s/hold/all", "shard": 1, "fence": 5, "lapse": False}


class _Authority:
    """Entry instance that accepts registrations and grants one shard."""

    def __init__(self):
        self.announced = []
        self.heartbeats = []
        self.heartbeats_to_refuse = 0
        self.grants = [GRANT]

    async def start(self):
        loop = asyncio.get_running_loop()
        self.web = web.Server(self.handle, access_log=None)
        self.server = await loop.create_server(self.web, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def handle(self, request):
        document = json.loads(await request.read())
        if request.path == "/v1/announce":
            self.announced.append(document)
            return web.json_response({"code": "ok"})
        self.heartbeats.append(document)
        if self.heartbeats_to_refuse:
            self.heartbeats_to_refuse -= 1
            return web.json_response({"code": "announce"}, status=409)
        if document["state"] == "draining":
            self.grants = []
        return web.json_response(
            {
                "code": "ok",
                "lease_ms": 1500,
                "lapse_lease_ms": 1500,
                "grants_version": len(self.grants),
                "unchanged": False,
                "grants": self.grants,
            }
        )


async def wait_until(predicate):
    for _ in range(1000):
        if predicate():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("condition was not met within 10 s")


@pytest.fixture
async def stack():
    async with contextlib.AsyncExitStack() as stack:
        yield stack


async def start(stack, *entries, **changes):
    upstream = process.Upstream(
        options.Options(service="s", entries=entries, **changes)
    )
    await upstream.start()
    stack.push_async_callback(upstream.stop)
    return upstream


async def send(upstream, body=b"", path="/s/items", **fields):
    fields = {
        "Bamboosill-Keyspace": "s/hold/all",
        "Bamboosill-Shard": "1",
        "Bamboosill-Fence": "5",
        "Bamboosill-Customer": "acme",
        "Bamboosill-Key": "k",
        "Bamboosill-Request-Id": "r1",
        **fields,
    }
    async with (
        aiohttp.ClientSession() as session,
        session.post(
            f"http://{upstream.address}{path}", data=body, headers=fields
        ) as response,
    ):
        return response.status, dict(response.headers), await response.read()


async def test_refused_heartbeat_gives_a_new_incarnation(stack):
    """Guards against an upstream that resumes after a pause with old grants."""
    authority = _Authority()
    upstream = await start(stack, await authority.start())
    await wait_until(lambda: len(upstream.grants))
    authority.heartbeats_to_refuse = 1
    await wait_until(lambda: len(authority.announced) == 2)
    first, second = (each["incarnation"] for each in authority.announced)
    assert second > first


async def test_silent_connection_is_replaced_by_another_instance(stack):
    """Guards against a lease that is lost because one connection is dead."""
    authority = _Authority()
    address = await authority.start()
    relay = relay_lib.Relay(address)
    stack.push_async_callback(relay.stop)
    upstream = await start(stack, await relay.start(), address)
    await wait_until(lambda: upstream.heartbeats.replies >= 1)
    relay.silence()
    replies = upstream.heartbeats.replies
    await wait_until(lambda: upstream.heartbeats.replies >= replies + 2)
    assert len(authority.announced) == 1
    assert relay.accepted == 1


async def test_fence_is_checked_again_before_the_effect(stack):
    """Guards against the effect of a request whose grant ended meanwhile."""
    authority = _Authority()
    upstream = await start(stack, await authority.start())
    await wait_until(lambda: len(upstream.grants))
    task = asyncio.create_task(send(upstream, **{"X-Test-Service-Ms": "150"}))
    await wait_until(lambda: upstream.service.running)
    upstream.grants.revoke({**GRANT, "fence": 6})
    status, fields, _ = await task
    assert (status, fields["Bamboosill-Not-Run"]) == (409, "1")
    assert upstream.recorder.lines == []
    assert upstream.service.orders_by_key == {}


async def test_drain_waits_for_running_requests_and_grants(stack):
    """Guards against requests that are aborted by a graceful stop."""
    authority = _Authority()
    upstream = await start(stack, await authority.start())
    await wait_until(lambda: len(upstream.grants) and upstream.service.warm)
    task = asyncio.create_task(send(upstream, **{"X-Test-Service-Ms": "300"}))
    await wait_until(lambda: upstream.service.running)
    await upstream.drain()
    assert (await task)[0] == 201
    assert authority.heartbeats[-1]["state"] == "draining"
    assert not len(upstream.grants)


@pytest.mark.parametrize(
    ("fields", "status", "reason"),
    [
        ({"Bamboosill-Fence": "4"}, 409, "stale-fence"),
        ({"Bamboosill-Fence": ""}, 409, "no-fence"),
        ({"X-Test-Fault": "shed"}, 503, "shed"),
        ({"Bamboosill-Expires-Ms": "1700000000000"}, 503, "deadline"),
        (
            {"Bamboosill-Deadline-Ms": "20", "X-Test-Service-Ms": "500"},
            503,
            "deadline",
        ),
    ],
)
async def test_refusals_say_that_nothing_ran(stack, fields, status, reason):
    """Guards against refusals that callers cannot tell from answers."""
    upstream = await start(stack)
    upstream.grants.apply_heartbeat(
        time.monotonic(),
        {
            "unchanged": False,
            "grants_version": 1,
            "lease_ms": 60_000,
            "lapse_lease_ms": 60_000,
            "grants": [GRANT],
        },
    )
    got, head, body = await send(upstream, **fields)
    assert (got, json.loads(body)["reason"]) == (status, reason)
    assert head["Bamboosill-Not-Run"] == "1"
    assert head["Bamboosill-Request-Id"] == "r1"
    assert upstream.recorder.lines == []


async def test_record_contains_executed_requests(stack, tmp_path):
    """Guards against records that lack what the history checker needs."""
    path = tmp_path / "record.jsonl"
    upstream = await start(stack, record=str(path), checks_fences=False)
    await send(upstream, b"one", "/s/orders")
    line = json.loads(path.read_text())
    assert {
        "id": "r1",
        "customer": "acme",
        "key": "k",
        "shard": 1,
        "fence": 5,
        "outcome": "done",
    }.items() <= line.items()
    assert line["start_ns"] <= line["end_ns"]
    assert "incarnation" in line


async def test_process_crashes_on_poison_and_records_it(tmp_path):
    """Guards against a crash that the history checker cannot see."""
    path = tmp_path / "record.jsonl"
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", "bamboosill_dev.upstream", "--id", "u1", "--service", "s"),
        *("--zone", "z1", "--no-fences", "--record", str(path)),
        env={"PYTHONPATH": ":".join(sys.path)},
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        line = (await child.stdout.readline()).decode().split()

        class _RunningUpstream:
            address = line[1]

        with pytest.raises(aiohttp.ClientError):
            await send(_RunningUpstream, b"poison")
        assert await child.wait() != 0
    finally:
        if child.returncode is None:
            child.kill()
            await child.wait()
    assert json.loads(path.read_text())["outcome"] == "crash"
