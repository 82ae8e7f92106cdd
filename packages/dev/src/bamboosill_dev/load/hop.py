"""Benchmark of the extra hop through an entry instance.

Measures latency, throughput and CPU time of one entry process, alternating
with direct requests to the same stand-in upstream. The load processes, the
upstream and the entry process share one machine, so only the ratios and the
CPU time per request are comparable between runs.
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
_ENTRY_INSTANCE = f"entry-{_ZONE}-1"
_UPSTREAM = "shopfront-1"
_CUSTOMER = "load"
_READY_TIMEOUT_S = 30.0
_PROBE_ATTEMPTS = 100
_PROBE_INTERVAL_S = 0.2
_LOW_LOAD_RATE_PER_S = 50.0
_LOW_LOAD_S = 3.0
_FULL_LOAD_S = 2.0
_FULL_LOAD_PROCESSES = 3
_FULL_LOAD_CONNECTIONS = 8
# Bounds a measurement on a machine of any speed.
_MAX_REQUESTS_PER_CONNECTION = 20_000
_CPU_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
# Limits that never refuse a request of the benchmark: far above what one
# process serves, even during the rate ramp of a new customer, and yet within
# what the checks of a contract accept.
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
    """Figures of one measurement of one path at one load.

    Attributes:
        path: `direct` to the upstream, or through the `entry` instance.
        load: `low` at a fixed rate, or `full` in a closed loop.
        answered: Responses with status 200.
        others: Responses with another status.
        per_s: Responses with status 200 per second.
        p50_ms: Median latency.
        p99_ms: 99th percentile of latency.
        cpu_us: CPU time of the entry process per response with status 200; 0 if
            requests do not pass it.
    """

    path: str
    load: str
    answered: int
    others: int
    per_s: float
    p50_ms: float
    p99_ms: float
    cpu_us: float


class _ProfiledCluster(cluster_lib.Cluster):
    """A cluster that runs its entry process under cProfile if asked to.

    Attributes:
        profile: File for the profile; none is written if empty.
    """

    profile = ""

    async def _start(
        self, name: str, command: Sequence[str]
    ) -> cluster_lib.Process:
        if self.profile and name == _ENTRY_INSTANCE:
            profiler = ("-m", "cProfile", "-o", self.profile)
            command = [command[0], *profiler, *command[1:]]
        return await super()._start(name, command)


class _HopBenchmark:
    """Runs a cluster of one entry instance and one upstream and measures it."""

    def __init__(self, folder: pathlib.Path, profile: str) -> None:
        self._folder = folder
        self._cluster = _ProfiledCluster(folder, (_ZONE,), 1)
        self._cluster.profile = profile
        self._address_and_head_by_path: dict[str, tuple[str, str]] = {}

    async def run(self, rounds: int) -> list[Figures]:
        try:
            await self._start()
            # Warm-up: fills connection pools and caches; its result is dropped.
            await self._measure("entry", "full")
            results = []
            for number in range(rounds):
                paths = ("direct", "entry")
                for load in ("low", "full"):
                    for path in paths[:: 1 if number % 2 else -1]:
                        results.append(await self._measure(path, load))
            return results
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
            raise RuntimeError(f"control plane refused the contract: {output}")
        await cluster.wait_ready(list(cluster.instances), _READY_TIMEOUT_S)
        self._prepare_endpoints()
        await self._wait_until_served()

    def _prepare_endpoints(self) -> None:
        authenticator = auth.Authenticator(
            str(self._cluster.key_file), clock_lib.SystemClock()
        )
        token = authenticator.sign("caller", _CUSTOMER)
        first_line = f"Bamboosill-Customer: {_CUSTOMER}\r\n"
        host = self._cluster.upstreams[_UPSTREAM].host
        self._address_and_head_by_path = {
            "entry": (
                self._cluster.get_caller_address(_ENTRY_INSTANCE),
                f"{first_line}Authorization: Bearer {token}\r\n",
            ),
            "direct": (
                f"{host}:{cluster_lib.SERVICE_PORT}",
                f"{first_line}Bamboosill-Keyspace: k\r\nBamboosill-Shard: 0\r\n"
                "Bamboosill-Fence: 1\r\nBamboosill-Request-Id: r\r\n",
            ),
        }

    async def _wait_until_served(self) -> None:
        address, head = self._address_and_head_by_path["entry"]
        for _ in range(_PROBE_ATTEMPTS):
            plan = worker.Plan(address, head, 1, 0.0, 10.0, 100)
            sample = await _run_worker(plan)
            if sample.answered and not sample.others:
                return
            await asyncio.sleep(_PROBE_INTERVAL_S)
        raise RuntimeError(
            "entry instance does not serve the keys of the benchmark yet"
        )

    async def _measure(self, path: str, load: str) -> Figures:
        address, head = self._address_and_head_by_path[path]
        low = load == "low"
        plans = [
            worker.Plan(
                address,
                head,
                1 if low else _FULL_LOAD_CONNECTIONS,
                _LOW_LOAD_RATE_PER_S if low else 0.0,
                _LOW_LOAD_S if low else _FULL_LOAD_S,
                _MAX_REQUESTS_PER_CONNECTION,
                number * 1000,
            )
            for number in range(1 if low else _FULL_LOAD_PROCESSES)
        ]
        before_s = self._read_cpu_s()
        samples = await asyncio.gather(*map(_run_worker, plans))
        cpu_s = self._read_cpu_s() - before_s
        answered = sum(worker_sample.answered for worker_sample in samples)
        latencies = [
            latency_ms
            for worker_sample in samples
            for latency_ms in worker_sample.latencies_ms
        ]
        percentiles = statistics.quantiles(latencies, n=100)
        return Figures(
            path,
            load,
            answered,
            sum(worker_sample.others for worker_sample in samples),
            sum(
                worker_sample.answered / worker_sample.seconds
                for worker_sample in samples
            ),
            percentiles[49],
            percentiles[98],
            cpu_s / answered * 1e6 if path == "entry" else 0.0,
        )

    def _read_cpu_s(self) -> float:
        pid = self._cluster.processes[_ENTRY_INSTANCE].pid
        text = pathlib.Path(f"/proc/{pid}/stat").read_text()
        # The 2nd field is the process name in parentheses, which may contain
        # spaces. User and system time are the 14th and 15th field.
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / _CPU_TICKS_PER_S


async def _run_worker(plan: worker.Plan) -> worker.Sample:
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "bamboosill_dev.load.worker"),
        json.dumps(plan._asdict()),
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    if process.returncode:
        raise RuntimeError("load process exited with an error")
    return worker.Sample(**json.loads(output))


def summarize(results: Sequence[Figures]) -> dict[str, Any]:
    """Returns the medians by path and load, and the ratios of both paths."""
    result: dict[str, Any] = {}
    for load in ("low", "full"):
        for path in ("direct", "entry"):
            matching = [
                figures
                for figures in results
                if (figures.path, figures.load) == (path, load)
            ]
            for name in ("per_s", "p50_ms", "p99_ms", "cpu_us"):
                median = statistics.median(
                    getattr(figures, name) for figures in matching
                )
                result[f"{path}_{load}_{name}"] = round(median, 3)
        for name in ("per_s", "p50_ms", "p99_ms"):
            direct = result[f"direct_{load}_{name}"]
            entry = result[f"entry_{load}_{name}"]
            result[f"ratio_{load}_{name}"] = round(entry / direct, 3)
    result["others"] = sum(each.others for each in results)
    return result


def run(rounds: int, profile: str) -> None:
    """Runs the benchmark and prints all figures, and medians as JSON."""
    with tempfile.TemporaryDirectory() as folder:
        benchmark = _HopBenchmark(pathlib.Path(folder), profile)
        results = asyncio.run(benchmark.run(rounds))
    print(tabulate.tabulate(results, headers=Figures._fields, floatfmt=".2f"))
    print(json.dumps({"rounds": rounds, **summarize(results)}))
