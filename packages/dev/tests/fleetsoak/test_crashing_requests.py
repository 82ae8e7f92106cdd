"""Tests of requests that crash upstreams, with real instances."""

import asyncio
import random

import aiohttp
import pytest

from bamboosill_dev.fleetsoak import processes
from bamboosill_dev.fleetsoak import records
from bamboosill_dev.fleetsoak import rules
from bamboosill_dev.fleetsoak import site
from bamboosill_dev.fleetsoak import site_client
from bamboosill_dev.fleetsoak import site_upstream

_UPSTREAMS = 6
_CRASH_LIMIT = 3
_MAX_ATTEMPTS_TO_LIMIT = 60
_LATE_RETRIES = 12
_MAX_LATE_ARRIVALS = 3
_CRASHING_PATH = f"{site_upstream.CRASHING_PREFIX}/1"
_START_ATTEMPTS = 300
_HARMLESS_PATH = "/look/harmless"
_HARMLESS_WORK_S = 0.7
_HARMLESS_REQUESTS = 18
_CLEARED_ATTEMPTS = 30


class _Site:
    """A control instance, two entry instances and some upstreams."""

    def __init__(self, folder):
        rng = random.SystemRandom()
        network = f"127.{rng.randrange(1, 100)}.{rng.randrange(250)}"
        self.record = records.Record()
        self._control = processes.Process(folder, 1, "control", network)
        self._entries = [
            processes.Process(folder, number, "entry", network)
            for number in (101, 102)
        ]
        self._upstreams = [
            site_upstream.SiteUpstream(
                "plain",
                number,
                "z1",
                [self._control.control_address],
                self.record,
            )
            for number in range(_UPSTREAMS)
        ]

    async def __aenter__(self):
        for process in (self._control, *self._entries):
            process.start([self._control.control_address])
        await self._configure()
        await self.start_upstreams()
        for entry in range(len(self._entries)):
            for _ in range(_START_ATTEMPTS):
                if await self.send("start", "/look/x", entry=entry) == 200:
                    break
                await asyncio.sleep(0.1)
        return self

    async def __aexit__(self, *_):
        for process in (self._control, *self._entries):
            process.kill()
        for upstream in self._upstreams:
            await upstream.crash()

    async def _configure(self):
        timeout = aiohttp.ClientTimeout(total=1.0)
        url = f"http://{self._control.control_address}/v1/configuration"
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for _ in range(_START_ATTEMPTS):
                try:
                    async with session.put(
                        url,
                        json=site.make_configuration(1),
                        headers={"If-Match": "r0"},
                    ) as answer:
                        if answer.status == 200:
                            return
                except (aiohttp.ClientError, TimeoutError):
                    pass
                await asyncio.sleep(0.1)
        raise AssertionError("no configuration was accepted")

    async def start_upstreams(self):
        for upstream in self._upstreams:
            if not upstream.is_up:
                await upstream.start()

    def slow_down(self, work_s):
        for upstream in self._upstreams:
            upstream.work_s = work_s

    async def send(self, attempt, path, *, entry=0, local_host=""):
        process = self._entries[entry]
        connection = site_client.Connection(process.name, self.record)
        is_order = path.startswith("/order")
        body = b'{"id":1}' if is_order else b""
        if await connection.open(process.caller_address, local_host):
            await connection.send(
                [site_client.Sending(attempt, path, is_order, body)]
            )
        connection.close()
        return self.record.requests[-1].status if self.record.requests else 0


@pytest.mark.parametrize("addresses", [1, 200])
async def test_a_request_stops_crashing_upstreams(tmp_path, addresses):
    """Guards against a count of crashes for each address of a caller.

    The attempts of one caller came from 22 addresses, and crashed 60 upstreams.
    """
    async with _Site(tmp_path) as tested:

        async def send_crashing(prefix, number):
            await tested.start_upstreams()
            await tested.send(
                f"{prefix}{number}",
                _CRASHING_PATH,
                entry=number % 2,
                local_host=f"127.200.0.{1 + number % addresses}",
            )

        crashes = tested.record.crashes
        for number in range(_MAX_ATTEMPTS_TO_LIMIT):
            await send_crashing("early", number)
            if len(crashes.get(_CRASHING_PATH, ())) >= _CRASH_LIMIT:
                break
            await asyncio.sleep(0.3)
        await asyncio.sleep(rules.Bounds().contact_s)
        for number in range(_LATE_RETRIES):
            await send_crashing("late", number)
            await asyncio.sleep(0.3)
        late = [
            each.attempt
            for each in tested.record.arrivals
            if each.attempt.startswith("late")
        ]
        assert len(late) <= _MAX_LATE_ARRIVALS
        assert await tested.send("sound", "/look/x") == 200


async def test_an_answer_clears_a_request_that_was_in_flight(
    tmp_path, monkeypatch
):
    """Guards against an answer that no instance commits.

    Without reports of answers, no instance logs that a request was cleared.
    """
    # All work takes equally long, so that the first answer follows the crash.
    monkeypatch.setattr(random.Random, "lognormvariate", lambda *_: 1.0)
    async with _Site(tmp_path) as tested:
        tested.slow_down(_HARMLESS_WORK_S)
        harmless = [
            asyncio.create_task(tested.send(f"h{number}", _HARMLESS_PATH))
            for number in range(_HARMLESS_REQUESTS)
        ]
        await asyncio.sleep(_HARMLESS_WORK_S / 10)
        await tested.send("crash", _CRASHING_PATH)
        await asyncio.gather(*harmless)
        for _ in range(_CLEARED_ATTEMPTS):
            logs = [each.read_text() for each in tmp_path.glob("*.log")]
            if all("cleared by answers: 1." in each for each in logs):
                break
            assert await tested.send("later", _HARMLESS_PATH) == 200
        assert len(logs) == 3
        assert all("cleared by answers: 1." in each for each in logs)
