"""One seeded soak run: load, injected faults and the checked guarantees.

Callers send requests, an operator changes the configuration, and processes,
upstreams and connections fail. The checked guarantees are: a non-idempotent
request runs at most once, a refused one did not run, an answer belongs to its
request, an acknowledged configuration is not lost, and requests are served
again after the last fault.
"""

import asyncio
import pathlib
import random
import signal
import time
from typing import NamedTuple

import aiohttp

from bamboosill_dev import relay as relay_lib
from bamboosill_dev.fleetsoak import evacuations as evacuations_lib
from bamboosill_dev.fleetsoak import processes
from bamboosill_dev.fleetsoak import upstream as upstream_lib
from bamboosilld.gateway import upstream_connection as upstream_connection_lib

_CONTROL_COUNT = 3
DEFAULT_ENTRY_COUNT = 3
# Each entry instance listens on a loopback address of its own.
MAX_ENTRY_COUNT = 150
_UPSTREAM_COUNT = 5
# Upstreams in the zone that is evacuated, if one is.
_EVACUATED_COUNT = 2
_CALLER_COUNT = 12
_START_TIMEOUT_S = 30.0
# Time after the last fault within which requests must be served again.
_RECOVERY_S = 8.0
_RECOVERY_CHECK_S = 2.0
_MIN_SERVED_RATIO = 0.8
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# From this time after a cut on, entry instances that reach no upstream serve at
# least a share of what others serve, or few requests fail there.
_CUT_GRACE_S = 3.0
CUT_FORMS = ("hang", "reset", "refuse")
_MIN_RELATIVE_SERVED_RATIO = 2 / 3
_FAILED_CONSTANT, _FAILED_FRACTION = 10, 1 / 50
# From this time after an upstream has named a limit on, it gets at most this
# multiple of it and a constant in any window.
_RATE_GRACE_S = 3.0
_RATE_WINDOW_S = 4.0
_RATE_FACTOR, _RATE_CONSTANT = 1.5, 5
_CONTROL_FAULTS = (
    *("kill control", "pause control", "stop control"),
    "kill all control",
)
# An instance that does not reach the leader does not learn of an order in time.
_EVACUATION_FAULTS = (
    *("kill control", "pause control", "stop control"),
    *("kill entry", "stop entry", "crash upstream"),
)
_FAULTS = (
    *("kill control", "pause control", "stop control"),
    *("kill entry", "pause entry", "stop entry"),
    *("crash upstream", "relay", "kill all control"),
)


class _Answer(NamedTuple):
    """Status of a request that was sent to an entry instance at a time."""

    sent_s: float
    host: str
    status: int


class Result(NamedTuple):
    """Counts of answers, and the violated guarantees."""

    answered: int
    refused: int
    unknown: int
    acknowledged: int
    faults: tuple[str, ...]
    violations: tuple[str, ...]


class Scenario(NamedTuple):
    """What happens in a run, beside load and changes of the configuration.

    Attributes:
        cut_form: How all entry instances but one are cut off from upstreams, in
            place of random faults: `hang`, `reset` or `refuse`.
        rate_limit: Limit in requests a second that one upstream states, while
            only control instances fail; 0 for none.
        has_link_faults: Whether instances are cut off and limits change at
            random, beside the random faults.
        entry_count: Number of entry instances.
        grants_by_call: Whether upstreams take keys by calls, of which a part is
            carried out late or answered with errors.
        evacuates: Whether an operator evacuates a zone and withdraws that in
            turn, while at most one control instance fails at a time.
    """

    cut_form: str = ""
    rate_limit: float = 0.0
    has_link_faults: bool = False
    entry_count: int = DEFAULT_ENTRY_COUNT
    grants_by_call: bool = False
    evacuates: bool = False


DEFAULT_SCENARIO = Scenario()


class Soak:
    """The processes, stand-in upstreams and callers of one run.

    Attributes:
        evacuations: The operator who evacuates a zone.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        seed: int,
        scenario: Scenario = DEFAULT_SCENARIO,
    ) -> None:
        # Callers have a separate generator, so that the faults of a seed do not
        # depend on the number of requests sent before them.
        self._rng = random.Random(seed)
        self._caller_rng = random.Random(seed)
        self._link_rng = random.Random(f"{seed}/links")
        self._scenario = scenario
        self._stranded: tuple[frozenset[str], str] = (frozenset(), "")
        # Each run has its own loopback network, so that concurrent runs do not
        # share addresses.
        network = f"127.{100 + seed % 100}.{time.time_ns() // 1000 % 250}"
        self._control = [
            processes.Process(folder, number + 1, "control", network)
            for number in range(_CONTROL_COUNT)
        ]
        self._entries = [
            processes.Process(folder, number + 101, "entry", network)
            for number in range(scenario.entry_count)
        ]
        self._seeds = [each.control_address for each in self._control]
        self._record = upstream_lib.Record()
        self._upstreams = [
            upstream_lib.Upstream(
                f"u{number}",
                self._record,
                self._seeds,
                scenario.grants_by_call,
                zone=(
                    evacuations_lib.ZONE
                    if scenario.evacuates and number < _EVACUATED_COUNT
                    else "z1"
                ),
            )
            for number in range(_UPSTREAM_COUNT)
        ]
        self.evacuations = evacuations_lib.Evacuations(
            self._seeds,
            self._upstreams[:_EVACUATED_COUNT],
            self._record,
            random.Random(f"{seed}/evacuations"),
        )
        self._relays: list[relay_lib.Relay] = []
        self._answers: list[_Answer] = []
        self._version = self._acknowledged = 0
        self._faults: list[str] = []
        self._is_over = False

    async def run(self, seconds: float) -> Result:
        """Runs load and faults for a time in seconds and returns the result."""
        for process in (*self._control, *self._entries):
            process.start(self._seeds)
        try:
            async with aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=1.0)
            ) as session:
                await self._run_load_and_faults(session, seconds)
        finally:
            for process in (*self._control, *self._entries):
                process.kill()
            for upstream in self._upstreams:
                if upstream.is_up:
                    await upstream.crash()
            for relay in self._relays:
                await relay.stop()
        statuses = [each.status for each in self._answers]
        return Result(
            statuses.count(200),
            sum(status in _NOT_RUN_STATUSES for status in statuses),
            sum(status in (0, 502, 504) for status in statuses),
            self._acknowledged,
            tuple(self._faults),
            tuple(dict.fromkeys(self._record.violations)),
        )

    async def _run_load_and_faults(
        self, session: aiohttp.ClientSession, seconds: float
    ) -> None:
        deadline_s = time.monotonic() + _START_TIMEOUT_S
        while not await self._change_configuration(session):
            if time.monotonic() > deadline_s:
                self._record.violations.append("no configuration accepted")
                return
            await asyncio.sleep(0.1)
        for upstream in self._upstreams:
            await self._start_upstream(upstream)
        await asyncio.sleep(6 * upstream_lib.HEARTBEAT_S)
        tasks = [
            asyncio.create_task(self._run_caller(number))
            for number in range(_CALLER_COUNT)
        ]
        tasks.append(asyncio.create_task(self._run_operator(session)))
        end_s = time.monotonic() + seconds
        faults: tuple[str, ...] = _FAULTS
        evacuations = None
        if self._scenario.evacuates:
            faults = _EVACUATION_FAULTS
            evacuations = asyncio.create_task(
                self.evacuations.run(session, end_s)
            )
        if self._scenario.cut_form:
            await self._cut_off_entries(seconds)
        if self._scenario.rate_limit:
            faults = _CONTROL_FAULTS
            self._upstreams[0].rate_limit = self._scenario.rate_limit
            limited_s = time.monotonic()
        link_faults = asyncio.create_task(self._run_link_faults())
        while time.monotonic() < end_s:
            await self._inject_fault(faults)
            await asyncio.sleep(self._rng.uniform(0.3, 1.5))
        link_faults.cancel()
        await asyncio.gather(link_faults, return_exceptions=True)
        if evacuations is not None:
            await evacuations
        if self._scenario.rate_limit:
            self._check_rate(limited_s)
        await self._end_faults()
        await asyncio.sleep(_RECOVERY_S)
        self._is_over = True
        await asyncio.gather(*tasks)
        await self._check_recovery(session)

    async def _start_upstream(self, upstream: upstream_lib.Upstream) -> None:
        await upstream.start()
        relay = relay_lib.Relay(upstream.address)
        upstream.announced_address = await relay.start("127.0.0.1:0")
        self._relays.append(relay)
        self._strand(*self._stranded)

    async def _run_caller(self, number: int) -> None:
        pools = {
            entry.host: upstream_connection_lib.Pool(
                entry.caller_address, b"attempt-id"
            )
            for entry in self._entries
        }
        count = 0
        while not self._is_over:
            count += 1
            attempt = f"a{number}x{count}"
            is_order = self._caller_rng.random() < 0.4
            host, pool = self._caller_rng.choice(list(pools.items()))
            status, sent_s = 0, time.monotonic()
            try:
                async with asyncio.timeout(3.0):
                    status = await self._send_request(pool, attempt, is_order)
            except (upstream_connection_lib.ExchangeError, TimeoutError):
                await asyncio.sleep(0.05)
            self._check_answer(attempt, is_order, status)
            self._answers.append(_Answer(sent_s, host, status))
            await asyncio.sleep(self._caller_rng.uniform(0.0, 0.06))

    async def _send_request(
        self, pool: upstream_connection_lib.Pool, attempt: str, is_order: bool
    ) -> int:
        kind = "order" if is_order else "safe"
        key = self._caller_rng.randrange(65536)
        data = (
            f"GET /{kind}/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: {attempt}\r\n"
            f"Deadline-Ms: 2000\r\nShard-Key: {key}\r\n\r\n"
        )
        connection = await pool.acquire()
        try:
            answer = await connection.exchange(data.encode(), attempt.encode())
        finally:
            pool.release(connection)
        if answer.status == 200 and (
            answer.body.decode() != attempt
            or not answer.get(b"response-signature")
        ):
            self._record.violations.append(f"{attempt}: answer of another")
        return answer.status

    def _check_answer(self, attempt: str, is_order: bool, status: int) -> None:
        runs = self._record.runs.get(attempt, 0)
        if is_order and runs > 1:
            self._record.violations.append(f"{attempt}: order ran {runs} times")
        if is_order and status in _NOT_RUN_STATUSES and runs:
            self._record.violations.append(f"{attempt}: refused but ran")
        if status == 200 and not runs:
            self._record.violations.append(f"{attempt}: answered but not run")

    async def _run_operator(self, session: aiohttp.ClientSession) -> None:
        while not self._is_over:
            await self._change_configuration(session)
            min_version = self._acknowledged
            found = await self._read_version(
                session, self._caller_rng.choice(self._seeds)
            )
            if found is not None and found < min_version:
                self._record.violations.append(
                    f"version {found} was read after {min_version} "
                    "was acknowledged"
                )
            await asyncio.sleep(0.4)

    async def _change_configuration(
        self, session: aiohttp.ClientSession
    ) -> bool:
        """Sends the next version to each instance until one decides on it.

        Returns whether the version was accepted.
        """
        version = self._version + 1
        for address in self._caller_rng.sample(self._seeds, len(self._seeds)):
            try:
                async with session.put(
                    f"http://{address}/v1/configuration",
                    data=upstream_lib.make_configuration(
                        version,
                        "rpc" if self._scenario.grants_by_call else None,
                    ),
                    headers={"If-Match": f"r{self._version}"},
                ) as answer:
                    status = answer.status
            except (aiohttp.ClientError, TimeoutError):
                continue
            if status == 200:
                self._version = self._acknowledged = version
                return True
            if status in (400, 412, 422):
                self._record.violations.append(
                    f"version {version} was refused with {status}"
                )
                return False
        return False

    async def _read_version(
        self, session: aiohttp.ClientSession, address: str
    ) -> int | None:
        try:
            async with session.get(
                f"http://{address}/v1/configuration"
            ) as answer:
                if answer.status != 200:
                    return None
                document = await answer.json()
        except (aiohttp.ClientError, TimeoutError):
            return None
        return int(document["version"].removeprefix("r"))

    async def _run_link_faults(self) -> None:
        """Cuts entry instances off and changes limits, until cancelled."""
        rng = self._link_rng
        hosts = [each.host for each in self._entries]
        while self._scenario.has_link_faults:
            await asyncio.sleep(rng.uniform(0.0, 3.0))
            if self._scenario.grants_by_call and rng.random() < 0.5:
                upstream = rng.choice(self._upstreams)
                upstream.late_call_share = rng.choice((0.0, 0.3, 1.0))
                upstream.bad_answer_share = rng.choice((0.0, 0.3))
                continue
            if rng.random() < 0.5:
                rate_limit = rng.choice((0.0, 0.5, 5.0, 50.0))
                rng.choice(self._upstreams).rate_limit = rate_limit
                continue
            cut = frozenset(rng.sample(hosts, rng.randrange(1, len(hosts))))
            self._strand(cut, rng.choice(CUT_FORMS))
            await asyncio.sleep(rng.uniform(0.5, 6.0))
            self._strand(frozenset(), "")

    def _check_rate(self, limited_s: float) -> None:
        """Checks that the limited upstream got no more than it allows."""
        upstream = self._upstreams[0]
        rate_limit = self._scenario.rate_limit
        allowed = _RATE_FACTOR * _RATE_WINDOW_S * rate_limit + _RATE_CONSTANT
        arrivals = [
            each
            for each in upstream.arrivals_s
            if each >= limited_s + _RATE_GRACE_S
        ]
        most = max(
            (
                sum(0 <= each - first < _RATE_WINDOW_S for each in arrivals)
                for first in arrivals
            ),
            default=0,
        )
        if most > allowed:
            self._record.violations.append(
                f"{upstream.name} allows {rate_limit} a second and got {most} "
                f"requests in {_RATE_WINDOW_S} s"
            )

    async def _inject_fault(self, faults: tuple[str, ...]) -> None:
        """Injects one random fault.

        Processes that were killed or paused are restarted or resumed after a
        random delay.
        """
        fault = self._rng.choice(faults)
        self._faults.append(fault)
        if fault == "crash upstream":
            upstream = self._rng.choice(self._upstreams)
            if upstream.is_up:
                await upstream.crash()
                await asyncio.sleep(self._rng.uniform(0.0, 1.0))
                await self._start_upstream(upstream)
        elif fault == "relay":
            self._fail_relay()
        elif fault == "kill all control":
            for process in self._control:
                process.kill()
            for process in self._control:
                process.start(self._seeds)
        else:
            group = self._control if "control" in fault else self._entries
            await self._fail_process(fault.split()[0], self._rng.choice(group))

    async def _fail_process(
        self, action: str, process: processes.Process
    ) -> None:
        if action == "pause":
            process.signal(signal.SIGSTOP)
            await asyncio.sleep(self._rng.uniform(0.3, 3.0))
            process.signal(signal.SIGCONT)
        elif action == "stop":
            has_started = process.has_started()
            process.signal(signal.SIGTERM)
            code = await asyncio.to_thread(process.wait)
            # A process that does not handle signals yet is terminated by the
            # signal itself, which is no violation.
            is_during_start = code == -signal.SIGTERM and not has_started
            if code and not is_during_start:
                self._record.violations.append(
                    f"{process.name} ended with {code} after SIGTERM"
                )
            process.start(self._seeds)
        else:
            process.kill()
            await asyncio.sleep(self._rng.uniform(0.0, 1.5))
            process.start(self._seeds)

    def _fail_relay(self) -> None:
        relay = self._rng.choice(self._relays)
        action = self._rng.choice(
            ("delay", "one way", "silence", "reset", "heal")
        )
        if action == "silence":
            relay.silence()
        elif action == "reset":
            relay.reset()
        else:
            relay.set_faults(
                delay_s=0.1 if action == "delay" else 0.0,
                cut_to_client=action == "one way",
            )

    async def _cut_off_entries(self, seconds: float) -> None:
        """Cuts all entry instances but one off and checks what they serve."""
        hosts = frozenset(each.host for each in self._entries[1:])
        self._strand(hosts, self._scenario.cut_form)
        since_s = time.monotonic() + _CUT_GRACE_S
        await asyncio.sleep(seconds)
        answers = [each for each in self._answers if each.sent_s >= since_s]
        self._strand(frozenset(), "")
        served = {True: 0, False: 0}
        sent = {True: 0, False: 0}
        for each in answers:
            is_cut_off = each.host in hosts
            sent[is_cut_off] += 1
            served[is_cut_off] += each.status == 200
        failed = sent[True] - served[True]
        if served[True] * sent[False] < _MIN_RELATIVE_SERVED_RATIO * served[
            False
        ] * sent[True] and failed > _FAILED_CONSTANT + _FAILED_FRACTION * len(
            answers
        ):
            self._record.violations.append(
                f"served {served[True]} of {sent[True]} at instances that are "
                f"cut off, {served[False]} of {sent[False]} at others"
            )

    def _strand(self, hosts: frozenset[str], form: str) -> None:
        """Cuts entry instances off from all upstreams.

        Args:
            hosts: IP addresses of the instances; others are not cut off.
            form: `hang`, `reset`, or `refuse` if existing connections live on.
        """
        self._stranded = hosts, form
        is_hanging = form == "hang"
        for relay in self._relays:
            relay.set_faults(
                cut_sources=hosts if is_hanging else frozenset(),
                refused_sources=frozenset() if is_hanging else hosts,
            )
            if form == "reset":
                for host in hosts:
                    relay.reset(host)

    async def _end_faults(self) -> None:
        self._strand(frozenset(), "")
        for upstream in self._upstreams:
            upstream.rate_limit = 0.0
            upstream.late_call_share = upstream.bad_answer_share = 0.0
        for relay in self._relays:
            relay.heal()
            relay.reset()
        for process in (*self._control, *self._entries):
            process.signal(signal.SIGCONT)
            if not process.is_running:
                process.start(self._seeds)

    async def _check_recovery(self, session: aiohttp.ClientSession) -> None:
        since_s = time.monotonic() - _RECOVERY_CHECK_S
        recent = [
            each.status for each in self._answers if each.sent_s >= since_s
        ]
        served_ratio = recent.count(200) / max(1, len(recent))
        if served_ratio < _MIN_SERVED_RATIO:
            self._record.violations.append(
                f"only {served_ratio:.2f} are served after the faults"
            )
        versions = [
            await self._read_version(session, address)
            for address in self._seeds
        ]
        known_versions = [
            version for version in versions if version is not None
        ]
        if not known_versions or min(known_versions) < self._acknowledged:
            self._record.violations.append(
                f"acknowledged {self._acknowledged}, read {versions}"
            )
