"""One seeded run on the layout of pca-pilon, as real processes.

Eight entry instances in four availability zones, four control instances and
eleven upstreams serve clients, while signals, restarts, changes of the
configuration and failures of upstreams come in series and overlap. Afterwards
the record is checked for the rules FAULT, LOST and BUDGET.
"""

import asyncio
import itertools
import pathlib
import random
import signal
import time
from typing import Any
from typing import NamedTuple

import aiohttp

from bamboosill_dev.fleetsoak import processes
from bamboosill_dev.fleetsoak import records
from bamboosill_dev.fleetsoak import rules
from bamboosill_dev.fleetsoak import site_client
from bamboosill_dev.fleetsoak import site_upstream

_ENTRY_COUNTS = {"mu-north": 3, "mu-south": 2, "mu-east": 2, "mu-west": 1}
_UPSTREAM_COUNTS = {"mu-north": 3, "mu-south": 3, "mu-east": 2, "mu-west": 3}
_CLIENT_COUNT = 40
_BURST_CLIENT_COUNT = 60
_START_TIMEOUT_S = 30.0
_SETTLE_S = 4.0
_STOP_TIMEOUT_S = 8.0
_WATCH_INTERVAL_S = 0.2
# A part of the processes that start again gets SIGHUP within this time.
_EARLY_SIGHUP_SHARE = 0.5
_EARLY_SIGHUP_S = (0.1, 0.6)
# Time of a client between two requests.
_MEAN_PAUSE_S = 0.15
_QUIET_PAUSE_S = 2.0
_QUIET_RESET_SHARE = 0.8


class Result(NamedTuple):
    """Counts of requests by their end, the largest memory, and violations."""

    statuses: dict[int, int]
    peak_mb: dict[str, int]
    events: dict[str, int]
    violations: tuple[str, ...]


class SiteSoak:
    """The processes, upstreams, clients and the operator of a run.

    Seeds that are even have planned work only, so that what is lost around it
    counts; in others, processes are also killed and paused. In each third one,
    few clients meet upstreams that break most connections, so that the constant
    part of the retry budget counts.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        seed: int,
        root: pathlib.Path = processes.ROOT,
    ) -> None:
        self._rng = random.Random(seed)
        self._has_failures = seed % 2 == 1
        self._is_quiet = seed % 3 == 0
        network = f"127.{100 + seed % 100}.{time.time_ns() // 1000 % 250}"
        self.record = records.Record()
        self._zones: dict[str, list[processes.Process]] = {}
        self._control = []
        number = 101
        for index, (zone, count) in enumerate(_ENTRY_COUNTS.items(), 1):
            self._control.append(
                processes.Process(
                    folder, index, "control", network, zone=zone, root=root
                )
            )
            self._zones[zone] = [
                processes.Process(
                    folder,
                    number + position,
                    "entry",
                    network,
                    zone=zone,
                    root=root,
                )
                for position in range(count)
            ]
            number += count
        self._entries = [e for each in self._zones.values() for e in each]
        self._seeds = [each.control_address for each in self._control][:3]
        addresses = [each.control_address for each in self._control]
        self._upstreams = [
            site_upstream.SiteUpstream(
                "plain", number, zone, addresses, self.record
            )
            for zone, count in _UPSTREAM_COUNTS.items()
            for number in range(len(zone) * 10, len(zone) * 10 + count)
        ]
        self._numbers = itertools.count()
        self._version = 0
        self._is_over = False
        self._peak_mb: dict[str, int] = {}
        # Processes that were told to stop or are started by this run now.
        self._handled: set[str] = set()

    async def run(self, seconds: float) -> Result:
        """Runs load and faults for a time in seconds and returns the result."""
        everything = [*self._control, *self._entries]
        for process in everything:
            self._start(process)
        watch = asyncio.create_task(self._watch())
        try:
            timeout = aiohttp.ClientTimeout(total=1.0)
            async with aiohttp.ClientSession(timeout=timeout) as session:
                await self._run_load_and_faults(session, seconds)
        finally:
            watch.cancel()
            for process in everything:
                process.kill()
            for upstream in self._upstreams:
                await upstream.crash()
        statuses: dict[int, int] = {}
        for each in self.record.requests:
            statuses[each.status] = statuses.get(each.status, 0) + 1
        events: dict[str, int] = {}
        for event in self.record.events:
            events[event.kind] = events.get(event.kind, 0) + 1
        return Result(
            dict(sorted(statuses.items())),
            self._peak_mb,
            events,
            rules.find_violations(self.record, rules.Bounds()),
        )

    def _start(self, process: processes.Process) -> None:
        self._note(process, "start")
        process.start(self._seeds)
        self._handled.discard(process.name)

    def _note(self, process: processes.Process, kind: str) -> None:
        self.record.events.append(
            records.Event(process.name, kind, time.monotonic())
        )

    async def _run_load_and_faults(
        self, session: aiohttp.ClientSession, seconds: float
    ) -> None:
        deadline_s = time.monotonic() + _START_TIMEOUT_S
        while not await self._change_configuration(session):
            if time.monotonic() > deadline_s:
                self.record.faults.append("no configuration was accepted")
                return
            await asyncio.sleep(0.1)
        for upstream in self._upstreams:
            await upstream.start()
        await asyncio.sleep(_SETTLE_S)
        pause_s = _QUIET_PAUSE_S if self._is_quiet else _MEAN_PAUSE_S
        clients = [
            asyncio.create_task(self._run_client(number, pause_s))
            for number in range(_CLIENT_COUNT)
        ]
        faults = [
            asyncio.create_task(each)
            for each in (
                self._repeat(self._stop_in_turn, 2.0, 4.0),
                self._repeat(self._hang_up, 0.5, 3.0),
                self._repeat(self._replace_upstream, 0.5, 3.0),
                (
                    self._repeat(self._break_connections, 0.5, 1.0)
                    if self._is_quiet
                    else self._repeat(self._burst, 3.0, 8.0)
                ),
                self._repeat(
                    lambda: self._change_configuration(session), 0.2, 2.0
                ),
                self._run_crashing_request(),
                *(
                    (
                        self._repeat(self._fail_entry, 4.0, 10.0),
                        self._repeat(self._fail_control, 8.0, 16.0),
                    )
                    if self._has_failures
                    else ()
                ),
            )
        ]
        await asyncio.sleep(seconds)
        for each in faults:
            each.cancel()
        await asyncio.gather(*faults, return_exceptions=True)
        self._is_over = True
        await asyncio.gather(*clients)
        for each in faults:
            if not each.cancelled() and each.exception() is not None:
                raise RuntimeError("a fault could not be made") from (
                    each.exception()
                )

    async def _repeat(
        self, act: Any, shortest_s: float, longest_s: float
    ) -> None:
        rng = random.Random(self._rng.random())
        while True:
            await asyncio.sleep(rng.uniform(shortest_s, longest_s))
            await act()

    async def _run_client(self, number: int, pause_s: float) -> None:
        rng = random.Random(f"{self._rng.random()}/{number}")
        zone = rng.choice(list(self._zones))
        keeps = rng.random() < 0.8
        connection: site_client.Connection | None = None
        while not self._is_over:
            await asyncio.sleep(rng.expovariate(1 / pause_s))
            if connection is None or not connection.is_open:
                entry = self._choose_entry(rng, zone)
                connection = site_client.Connection(entry.name, self.record)
                if not await connection.open(entry.caller_address):
                    connection = None
                    continue
            await connection.send(
                site_client.make_items(rng, f"c{next(self._numbers)}")
            )
            if not keeps:
                connection.close()
        if connection is not None:
            connection.close()

    def _choose_entry(self, rng: random.Random, zone: str) -> processes.Process:
        """Returns an instance of the zone that is not stopping, if any is."""
        ready = [e for e in self._zones[zone] if e.name not in self._handled]
        others = [e for e in self._entries if e.name not in self._handled]
        return rng.choice(ready or others or self._entries)

    async def _stop_in_turn(self) -> None:
        """Restarts some processes with SIGTERM, one shortly after the other."""
        group = self._entries if self._rng.random() < 0.8 else self._control
        count = self._rng.randrange(1, 4) if group is self._entries else 1
        async with asyncio.TaskGroup() as tasks:
            for process in self._rng.sample(group, count):
                if process.name not in self._handled:
                    tasks.create_task(self._stop(process))
                    await asyncio.sleep(self._rng.uniform(0.2, 1.5))

    async def _stop(self, process: processes.Process) -> None:
        self._handled.add(process.name)
        self._note(process, "SIGTERM")
        has_started = process.has_started()
        process.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(_STOP_TIMEOUT_S):
                code = await asyncio.to_thread(process.wait)
        except TimeoutError:
            self.record.faults.append(f"{process.name} outlives its grace")
            process.kill()
            code = 0
        if code and (has_started or code != -signal.SIGTERM):
            self.record.faults.append(
                f"{process.name} ended with {code} after SIGTERM"
            )
        await asyncio.sleep(0.2)
        self._start(process)
        if self._rng.random() < _EARLY_SIGHUP_SHARE:
            await asyncio.sleep(self._rng.uniform(*_EARLY_SIGHUP_S))
            self._note(process, "SIGHUP")
            process.signal(signal.SIGHUP)

    async def _hang_up(self) -> None:
        process = self._rng.choice([*self._entries, *self._control])
        if process.name not in self._handled:
            self._note(process, "SIGHUP")
            process.signal(signal.SIGHUP)

    async def _fail_entry(self) -> None:
        await self._fail(self._rng.choice(self._entries))

    async def _fail_control(self) -> None:
        await self._fail(self._rng.choice(self._control))

    async def _fail(self, process: processes.Process) -> None:
        if process.name in self._handled:
            return
        self._handled.add(process.name)
        if self._rng.random() < 0.5:
            self._note(process, "SIGSTOP")
            process.signal(signal.SIGSTOP)
            await asyncio.sleep(self._rng.uniform(0.3, 3.0))
            self._note(process, "SIGCONT")
            process.signal(signal.SIGCONT)
            self._handled.discard(process.name)
            return
        self._note(process, "SIGKILL")
        process.kill()
        await asyncio.sleep(self._rng.uniform(0.1, 1.0))
        self._start(process)

    async def _replace_upstream(self) -> None:
        """Crashes an upstream, lets it leave, or puts it in trouble."""
        upstream = self._rng.choice(self._upstreams)
        if not upstream.is_up:
            await upstream.start()
            return
        action = self._rng.choice(("crash", "leave", "reset", "slow", "heal"))
        if action == "crash":
            await upstream.crash()
        elif action == "leave":
            await upstream.leave()
        elif action == "reset":
            upstream.reset_share, upstream.zero_status_share = 0.3, 0.1
        elif action == "slow":
            upstream.work_s = 0.5
        else:
            for each in self._upstreams:
                each.work_s, each.reset_share = 0.12, 0.0
                each.zero_status_share = 0.0
                if not each.is_up:
                    await each.start()

    async def _break_connections(self) -> None:
        for upstream in self._upstreams:
            upstream.reset_share = _QUIET_RESET_SHARE

    async def _burst(self) -> None:
        """Sends more than the upstreams take, for some seconds."""
        tasks = [
            asyncio.create_task(self._run_client(1000 + number, 0.02))
            for number in range(_BURST_CLIENT_COUNT)
        ]
        await asyncio.sleep(self._rng.uniform(1.0, 3.0))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run_crashing_request(self) -> None:
        """Sends a request that crashes its upstreams, again and again."""
        path = f"{site_upstream.CRASHING_PREFIX}/{self._rng.randrange(1000)}"
        attempts = self.record.crashing_attempts.setdefault(path, [])
        while True:
            attempt = f"crash{len(attempts)}"
            attempts.append(attempt)
            entry = self._rng.choice(self._entries)
            connection = site_client.Connection(entry.name, self.record)
            # Each attempt comes from another address of the same caller.
            local_host = f"127.200.0.{1 + len(attempts) % 200}"
            if await connection.open(entry.caller_address, local_host):
                await connection.send(
                    [site_client.Sending(attempt, path, True, b'{"id":1}')]
                )
            connection.close()
            await asyncio.sleep(self._rng.uniform(0.5, 2.0))
            for upstream in self._upstreams:
                if not upstream.is_up and self._rng.random() < 0.5:
                    await upstream.start()

    async def _change_configuration(
        self, session: aiohttp.ClientSession
    ) -> bool:
        """Sends the next version until an instance decides on it."""
        version = self._version + 1
        document = make_configuration(version)
        for process in self._rng.sample(self._control, len(self._control)):
            try:
                async with session.put(
                    f"http://{process.control_address}/v1/configuration",
                    json=document,
                    headers={"If-Match": f"r{self._version}"},
                ) as answer:
                    status = answer.status
            except (aiohttp.ClientError, TimeoutError):
                continue
            if status == 200:
                self._version = version
                return True
        return False

    async def _watch(self) -> None:
        """Notes ends of processes and memory that nothing explains."""
        ended: set[str] = set()
        while True:
            await asyncio.sleep(_WATCH_INTERVAL_S)
            for process in (*self._control, *self._entries):
                if process.name in self._handled:
                    continue
                peak_mb = process.read_peak_mb()
                known_mb = self._peak_mb.get(process.role, 0)
                self._peak_mb[process.role] = max(known_mb, peak_mb)
                if peak_mb > processes.MEMORY_LIMITS_MB[process.role]:
                    self.record.faults.append(
                        f"{process.name} used {peak_mb} MB"
                    )
                    process.kill()
                    self._start(process)
                elif not process.is_running and process.name not in ended:
                    self.record.faults.append(
                        f"{process.name} ended with {process.wait()} by itself"
                    )
                    self._start(process)


def make_configuration(version: int) -> dict[str, Any]:
    """Returns a version of the configuration; each has a route of its own."""
    columns = [
        *("name", "host", "path_prefix", "kind", "timeout"),
        *("slo_latency", "priority", "service", "max_attempts"),
    ]
    return {
        "version": f"r{version}",
        "routes": {
            "columns": columns,
            "rows": [
                [name, "h", f"/{name}/", kind, "2s", "1s", 1, "plain", 2]
                for name, kind in (
                    ("look", "safe"),
                    ("order", "non_idempotent"),
                    (f"v{version}", "safe"),
                )
            ],
        },
        "services": {
            "columns": ["name", "health_path", "max_connections"],
            "rows": [["plain", "/health", 110]],
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout": "3s",
            "idle_timeout": "15s",
        },
    }


def run_seed(
    folder: pathlib.Path,
    seed: int,
    seconds: float,
    root: pathlib.Path = processes.ROOT,
) -> Result:
    """Runs one seed and returns its result."""
    return asyncio.run(SiteSoak(folder, seed, root).run(seconds))
