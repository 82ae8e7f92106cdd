"""One seeded fault injection run against a whole system.

Starts the processes with a relay in front of each instance, sends a steady
load, injects the faults of the plan, and checks the records of callers and
upstreams afterwards.
"""

import asyncio
import json
import pathlib
import random
import time
from typing import Any
from typing import NamedTuple

from bamboosill_dev import caller as caller_lib
from bamboosill_dev import cluster as cluster_lib
from bamboosill_dev import relay as relay_lib
from bamboosill_dev.faults import actions
from bamboosill_dev.faults import history
from bamboosill_dev.faults import plan as plan_lib

ZONES = ("z1", "z2", "z3")
SERVICE = "shopfront"
CUSTOMERS = ("lapsing", "holding")
ENTRIES_PER_ZONE = 2
UPSTREAMS_PER_ZONE = 2
KEYS = 30
REQUESTS_PER_S = 60
ORDER_RATIO = 0.3
DEADLINE_MS = 1500
RESEND_TIMEOUT_S = 8.0
READY_TIMEOUT_S = 30.0
RUN_TIMEOUT_S = 115.0
MAX_DETAILS = 20
_RELAY_PORT_OFFSET = 1000

_CONTRACT = """\
customer: {customer}
services:
  - name: shopfront
    class: counter
    zone_loss: {zone_loss}
    limits: {{rate_per_s: 1000, burst: 500, concurrency: 200, queue: 200}}
    deadline_ms: {{default: 1500, longest: 2000}}
    operations:
      - {{method: POST, path: /orders, repeatable: false, class: wait}}
"""


class Result(NamedTuple):
    """Verdict on one run, and its requests and faults in figures."""

    verdict: history.Verdict
    summary: dict[str, Any]


class FaultRun:
    """Processes, relays, load and faults of one run."""

    def __init__(self, folder: pathlib.Path, seed: int) -> None:
        self._rng = random.Random(seed)
        self._plan = plan_lib.make_plan(seed)
        self._cluster = cluster_lib.Cluster(
            folder, ZONES, ENTRIES_PER_ZONE, seed=seed
        )
        self._relays: dict[str, list[relay_lib.Relay]] = {}
        self._callers: dict[str, caller_lib.Caller] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._faults: list[dict[str, Any]] = []
        self._sent = 0
        self._start_ms = 0

    async def run(self) -> Result:
        """Runs load and faults and returns the verdict."""
        try:
            await self._start()
            load = asyncio.create_task(self._run_load())
            await self._inject_faults()
            await load
            await asyncio.gather(*self._tasks)
            return self._check_history()
        finally:
            for caller in self._callers.values():
                await caller.close()
            await self._save_events()
            await self._cluster.stop()
            for relays in self._relays.values():
                for relay in relays:
                    await relay.stop()

    async def _start(self) -> None:
        await self._start_relays()
        cluster = self._cluster
        await cluster.start_all_instances()
        for zone in ZONES:
            for number in range(1, UPSTREAMS_PER_ZONE + 1):
                await cluster.start_upstream(
                    f"{SERVICE}-{zone}-{number}",
                    SERVICE,
                    zone,
                    checks_fences=number != UPSTREAMS_PER_ZONE,
                    extra=("--service-ms=5",),
                )
        for customer, zone_loss in zip(
            CUSTOMERS, ("lapse", "hold"), strict=True
        ):
            path = cluster.folder / f"{customer}.yaml"
            path.write_text(
                _CONTRACT.format(customer=customer, zone_loss=zone_loss)
            )
            code, output = await cluster.run_operator(
                "contract", "accept", str(path), timeout_s=20
            )
            if code:
                raise RuntimeError(f"contract was not accepted: {output}")
        await cluster.wait_ready(list(cluster.instances), READY_TIMEOUT_S)
        self._callers = self._cluster.make_callers(CUSTOMERS, self._rng)
        await self._wait_until_served()

    async def _start_relays(self) -> None:
        cluster = self._cluster
        for name, spec in cluster.instances.items():
            advertised = {}
            ports = {"peer": cluster_lib.PEER_PORT}
            if "entry" in spec.roles:
                ports["caller"] = cluster_lib.CALLER_PORT
            for kind, port in ports.items():
                relay = relay_lib.Relay(f"{spec.host}:{port}")
                advertised[kind] = await relay.start(
                    f"{spec.host}:{port + _RELAY_PORT_OFFSET}"
                )
                self._relays.setdefault(name, []).append(relay)
            cluster.advertised[name] = advertised

    async def _wait_until_served(self) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            for customer, caller in self._callers.items():
                for number in range(KEYS):
                    result = None
                    while result is None or result.outcome != caller_lib.ANSWER:
                        result = await caller.send(
                            _make_request(customer, f"key-{number}", True)
                        )
        for caller in self._callers.values():
            caller.lines.clear()

    async def _run_load(self) -> None:
        end_s = time.monotonic() + self._plan.load_s
        while time.monotonic() < end_s:
            customer = self._rng.choice(CUSTOMERS)
            request = _make_request(
                customer,
                f"key-{self._rng.randrange(KEYS)}",
                self._rng.random() >= ORDER_RATIO,
            )
            self._spawn(self._callers[customer].send(request, RESEND_TIMEOUT_S))
            self._sent += 1
            await asyncio.sleep(1 / REQUESTS_PER_S)

    async def _inject_faults(self) -> None:
        targets = actions.FaultTargets(self._cluster, self._relays)
        start_s = time.monotonic()
        self._start_ms = time.time_ns() // 1_000_000
        running = []
        for fault in self._plan.faults:
            wait_s = start_s + fault.begin_s - time.monotonic()
            await asyncio.sleep(max(0.0, wait_s))
            action = actions.ACTIONS[fault.kind]
            running.append(
                asyncio.create_task(
                    self._run_action(
                        fault, action(targets, fault.selector, fault.duration_s)
                    )
                )
            )
        await asyncio.gather(*running)

    async def _run_action(self, fault: plan_lib.Fault, action: Any) -> None:
        begin_ms = time.time_ns() // 1_000_000
        name = await action
        self._faults.append(
            {
                "kind": fault.kind,
                "name": name,
                "begin_ms": begin_ms,
                "end_ms": time.time_ns() // 1_000_000,
            }
        )

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _save_events(self) -> None:
        """Saves the events of all processes beside the records."""
        code, output = await self._cluster.run_operator("events", "--json")
        name = "events.json" if code == 0 else "events-failed.txt"
        (self._cluster.folder / name).write_text(output)

    def _check_history(self) -> Result:
        lines = [
            line for caller in self._callers.values() for line in caller.lines
        ]
        (self._cluster.folder / "callers.jsonl").write_text(
            "".join(json.dumps(line) + "\n" for line in lines)
        )
        (self._cluster.folder / "faults.json").write_text(
            json.dumps(
                {
                    "begun_ms": self._start_ms,
                    "offset_ms": (time.time_ns() - time.monotonic_ns())
                    // 1_000_000,
                    "faults": self._faults,
                },
                indent=1,
            )
        )
        runs = []
        for name in self._cluster.upstreams:
            path = self._cluster.get_record_path(name)
            records = path.read_text().splitlines() if path.exists() else []
            parsed_runs = (
                history.parse_run(json.loads(line)) for line in records
            )
            runs += [run for run in parsed_runs if run is not None]
        verdict = history.check(
            runs, [history.parse_caller_record(line) for line in lines]
        )
        kinds = [f"{each['kind']}:{each['name']}" for each in self._faults]
        summary = {"faults": kinds, "requests": self._sent}
        return Result(verdict, summary)


def _make_request(
    customer: str, key: str, repeatable: bool
) -> caller_lib.Request:
    return caller_lib.Request(
        "GET" if repeatable else "POST",
        f"/{SERVICE}/items" if repeatable else f"/{SERVICE}/orders",
        customer,
        key,
        body=b"" if repeatable else b"{}",
        deadline_ms=DEADLINE_MS,
        repeatable=repeatable,
    )


async def run_seed(folder: pathlib.Path, seed: int) -> Result:
    """Runs one seed, for at most RUN_TIMEOUT_S seconds.

    Raises:
        RuntimeError: The system did not start.
        TimeoutError: The run exceeded its time limit.
    """
    async with asyncio.timeout(RUN_TIMEOUT_S):
        return await FaultRun(folder, seed).run()
