"""Cost of the hop through an entry instance.

Latency, throughput and CPU time of one entry process, measured side by side
with direct calls of the same stand-in upstream, alternating. The load
processes, the upstream and the entry process share one machine, so that only
ratios and CPU time per request can be compared between runs.
"""

import asyncio
from collections.abc import Sequence
import json
import os
import pathlib
import statistics
import sys
import tempfile
from typing import Any
from typing import NamedTuple

import tabulate

from bamboosill_common import auth
from bamboosill_common import clock as clock_lib
from bamboosill_dev import cluster as cluster_lib
from bamboosill_dev.load import worker

_ZONE = "mu-north"
_ENTRY = f"entry-{_ZONE}-1"
_UPSTREAM = "shopfront-1"
_CUSTOMER = "load"
_READY_TIMEOUT_S = 30.0
_ROUTED_TRIES = 100
_ROUTED_POLL_S = 0.2
_RATE_PER_S = 50.0
_LOW_S = 3.0
_FULL_S = 2.0
_WORKERS = 3
_CONNECTIONS = 8
# Bounds the requests of one connection whatever the speed.
_MOST = 20_000
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
# Only what any contract check accepts as large; far above what one process
# serves, also during the ramp of a new customer.
_CONTRACT = f"""\
customer: {_CUSTOMER}
services:
  - name: shopfront
    class: counter
    zone_loss: hold
    limits: {{rate_per_s: 100000, burst: 100000, concurrency: 5000,
              queue: 5000}}
    deadline_ms: {{default: 5000, longest: 10000}}
"""


class Figures(NamedTuple):
    """One measurement of one path; CPU time is that of the entry process."""

    path: str
    load: str
    answered: int
    others: int
    per_s: float
    p50_ms: float
    p99_ms: float
    cpu_us: float


class _ProfiledCluster(cluster_lib.Cluster):
    """Runs the entry process under cProfile if a file is given."""

    profile = ""

    async def _start(
        self, name: str, command: Sequence[str]
    ) -> cluster_lib.Process:
        if self.profile and name == _ENTRY:
            profiler = ("-m", "cProfile", "-o", self.profile)
            command = [command[0], *profiler, *command[1:]]
        return await super()._start(name, command)


class _Hop:
    def __init__(self, folder: pathlib.Path, profile: str) -> None:
        self._folder = folder
        self._cluster = _ProfiledCluster(folder, (_ZONE,), 1)
        self._cluster.profile = profile
        self._heads: dict[str, tuple[str, str]] = {}

    async def run(self, rounds: int) -> list[Figures]:
        try:
            await self._start()
            # Fills pools and caches; not counted.
            await self._measure("entry", "full")
            found = []
            for number in range(rounds):
                paths = ("direct", "entry")
                for load in ("low", "full"):
                    for path in paths[:: 1 if number % 2 else -1]:
                        found.append(await self._measure(path, load))
            return found
        finally:
            await self._cluster.stop()

    async def _start(self) -> None:
        cluster = self._cluster
        await cluster.start_all_instances()
        await cluster.start_upstream(
            _UPSTREAM,
            "shopfront",
            _ZONE,
            slots=64,
            checks_fences=False,
            extra=("--service-ms=0", "--record="),
        )
        contract = self._folder / "contract.yaml"
        contract.write_text(_CONTRACT)
        code, output = await cluster.run_operator(
            "contract", "accept", str(contract)
        )
        if code:
            raise RuntimeError(f"contract was not accepted: {output}")
        await cluster.wait_ready(list(cluster.instances), _READY_TIMEOUT_S)
        self._prepare_heads()
        await self._wait_routed()

    def _prepare_heads(self) -> None:
        authenticator = auth.Authenticator(
            str(self._cluster.key_file), clock_lib.SystemClock()
        )
        token = authenticator.sign("caller", _CUSTOMER)
        common = f"Bamboosill-Customer: {_CUSTOMER}\r\n"
        host = self._cluster.upstreams[_UPSTREAM].host
        self._heads = {
            "entry": (
                self._cluster.get_caller_address(_ENTRY),
                f"{common}Authorization: Bearer {token}\r\n",
            ),
            "direct": (
                f"{host}:{cluster_lib.SERVICE_PORT}",
                f"{common}Bamboosill-Keyspace: k\r\nBamboosill-Shard: 0\r\n"
                "Bamboosill-Fence: 1\r\nBamboosill-Request-Id: r\r\n",
            ),
        }

    async def _wait_routed(self) -> None:
        address, head = self._heads["entry"]
        for _ in range(_ROUTED_TRIES):
            plan = worker.Plan(address, head, 1, 0.0, 10.0, 100)
            sample = await _run_worker(plan)
            if sample.answered and not sample.others:
                return
            await asyncio.sleep(_ROUTED_POLL_S)
        raise RuntimeError("keys are not served")

    async def _measure(self, path: str, load: str) -> Figures:
        address, head = self._heads[path]
        low = load == "low"
        plans = [
            worker.Plan(
                address,
                head,
                1 if low else _CONNECTIONS,
                _RATE_PER_S if low else 0.0,
                _LOW_S if low else _FULL_S,
                _MOST,
                number * 1000,
            )
            for number in range(1 if low else _WORKERS)
        ]
        before_s = self._read_cpu_s()
        samples = await asyncio.gather(*map(_run_worker, plans))
        used_s = self._read_cpu_s() - before_s
        answered = sum(each.answered for each in samples)
        latencies = [ms for each in samples for ms in each.latencies_ms]
        cuts = statistics.quantiles(latencies, n=100)
        return Figures(
            path,
            load,
            answered,
            sum(each.others for each in samples),
            sum(each.answered / each.seconds for each in samples),
            cuts[49],
            cuts[98],
            used_s / answered * 1e6 if path == "entry" else 0.0,
        )

    def _read_cpu_s(self) -> float:
        pid = self._cluster.processes[_ENTRY].pid
        text = pathlib.Path(f"/proc/{pid}/stat").read_text()
        # The name in parentheses may hold spaces; user and system time are
        # the 14th and 15th field.
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


async def _run_worker(plan: worker.Plan) -> worker.Sample:
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "bamboosill_dev.load.worker"),
        json.dumps(plan._asdict()),
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    if process.returncode:
        raise RuntimeError("a load process failed")
    return worker.Sample(**json.loads(output))


def summarize(found: Sequence[Figures]) -> dict[str, Any]:
    """Returns medians by path and load, and their ratios."""
    result: dict[str, Any] = {}
    for load in ("low", "full"):
        for path in ("direct", "entry"):
            chosen = [x for x in found if (x.path, x.load) == (path, load)]
            for name in ("per_s", "p50_ms", "p99_ms", "cpu_us"):
                median = statistics.median(getattr(x, name) for x in chosen)
                result[f"{path}_{load}_{name}"] = round(median, 3)
        for name in ("per_s", "p50_ms", "p99_ms"):
            direct = result[f"direct_{load}_{name}"]
            entry = result[f"entry_{load}_{name}"]
            result[f"ratio_{load}_{name}"] = round(entry / direct, 3)
    result["others"] = sum(each.others for each in found)
    return result


def run(rounds: int, profile: str) -> None:
    """Measures and prints runs, medians and one JSON line."""
    with tempfile.TemporaryDirectory() as folder:
        hop = _Hop(pathlib.Path(folder), profile)
        found = asyncio.run(hop.run(rounds))
    print(tabulate.tabulate(found, headers=Figures._fields, floatfmt=".2f"))
    print(json.dumps({"rounds": rounds, **summarize(found)}))
