"""Benchmarks proposals to a consensus group of three members on disk storage.

Run `python -m bamboosill_dev.bench_consensus`. The members run in one process
and are connected by an in-memory network; each stores its log in its own
folder. The figures show the gain from batching concurrent proposals into one
disk sync. Each is the median of several runs.
"""

import argparse
import asyncio
from collections.abc import Sequence
import pathlib
import random
import statistics
import tempfile
from typing import Any
from typing import NamedTuple

from hdrh import histogram
from returns.result import Success

from bamboosill_common import clock as clock_lib
from bamboosill_common import events
from bamboosill_common.generated import consensus as messages
from bamboosill_dev import memory_network
from bamboosilld.consensus import interfaces
from bamboosilld.consensus import node as node_lib
from bamboosilld.storage import disk

_MEMBER_NAMES = ("a", "b", "c")
_COMMAND_SIZES_BYTES = (100, 1_000, 10_000)
_CONCURRENT_CLIENTS = 64
_PROPOSALS_PER_RUN = 1_500
_DEFAULT_RUNS = 5
_PROPOSAL_TIMEOUT_S = 30.0
_MAX_LATENCY_US = 60_000_000


class Figures(NamedTuple):
    """Throughput and latency of one run.

    Attributes:
        rate: Proposals per second.
        p50_ms: Median latency.
        p99_ms: 99th percentile of latency.
    """

    rate: float
    p50_ms: float
    p99_ms: float


class _NullStateMachine:
    """A state machine that ignores all commands."""

    def apply(self, index: int, command: bytes) -> object:
        return None

    def snapshot(self) -> bytes:
        return b""

    def restore(self, data: bytes) -> None:
        pass


class _UnbatchedStorage:
    """Writes and syncs each log entry separately, as without batching."""

    def __init__(self, storage: interfaces.Storage) -> None:
        self._storage = storage

    async def load(self) -> interfaces.StoredState:
        return await self._storage.load()

    async def write(
        self,
        hard_state: messages.HardState | None,
        entries: Sequence[messages.LogEntry],
    ) -> None:
        if not entries:
            await self._storage.write(hard_state, ())
        for entry in entries:
            await self._storage.write(hard_state, [entry])
            hard_state = None

    async def save_snapshot(self, snapshot: interfaces.Snapshot) -> None:
        await self._storage.save_snapshot(snapshot)

    async def close(self) -> None:
        await self._storage.close()


def _make_node(
    name: str,
    folder: pathlib.Path,
    network: memory_network.Network,
    batched: bool,
) -> node_lib.Node:
    membership = messages.Membership(
        tuple(
            messages.Member(member_name, 1, f"{member_name}:1", True)
            for member_name in _MEMBER_NAMES
        )
    )
    member = messages.Member(name, 1, f"{name}:1", True)
    identity = messages.StorageIdentity("bench", name, 1)
    storage: Any = disk.DiskStorage(folder / name, identity)
    clock = clock_lib.SystemClock()
    return node_lib.Node(
        node_lib.GroupConfig("bench", member, membership),
        storage if batched else _UnbatchedStorage(storage),
        memory_network.NetworkTransport(network, name),
        _NullStateMachine(),
        clock,
        random.Random(name),
        events.Timeline(clock, name),
    )


async def measure(
    folder: pathlib.Path, size_bytes: int, batched: bool, concurrency: int
) -> Figures:
    """Runs the benchmark once in an empty folder and returns its figures."""
    network = memory_network.Network(random.Random(1))
    network.delay_s = 0.0
    elected = asyncio.Event()
    for name in _MEMBER_NAMES:
        node = _make_node(name, folder, network, batched)
        network.nodes[f"{name}:1"] = node
        node.add_leadership_listener(lambda is_leader: elected.set())
        await node.start()
    await elected.wait()
    nodes = list(network.nodes.values())
    leader = next(each for each in nodes if each.is_leader)
    latencies = histogram.HdrHistogram(1, _MAX_LATENCY_US, 3)
    command = random.Random(1).randbytes(size_bytes)
    clock = clock_lib.SystemClock()

    async def propose_repeatedly(count: int) -> None:
        for _ in range(count):
            sent_s = clock.monotonic()
            result = await leader.propose(command, _PROPOSAL_TIMEOUT_S)
            if not isinstance(result, Success):
                raise RuntimeError(f"proposal failed: {result.failure()}")
            latencies.record_value(int((clock.monotonic() - sent_s) * 1e6))

    started_s = clock.monotonic()
    proposals_per_client = _PROPOSALS_PER_RUN // concurrency
    await asyncio.gather(
        *(propose_repeatedly(proposals_per_client) for _ in range(concurrency))
    )
    elapsed_s = clock.monotonic() - started_s
    for node in nodes:
        await node.stop()
    return Figures(
        proposals_per_client * concurrency / elapsed_s,
        latencies.get_value_at_percentile(50) / 1000,
        latencies.get_value_at_percentile(99) / 1000,
    )


def measure_median(
    size_bytes: int, batched: bool, concurrency: int, runs: int
) -> Figures:
    """Returns the median of each figure over several runs."""
    figures = []
    for _ in range(runs):
        with tempfile.TemporaryDirectory() as folder:
            figures.append(
                asyncio.run(
                    measure(
                        pathlib.Path(folder), size_bytes, batched, concurrency
                    )
                )
            )
    return Figures(
        *(statistics.median(each) for each in zip(*figures, strict=True))
    )


def main() -> None:
    """Prints the figures as a Markdown table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=_DEFAULT_RUNS)
    options = parser.parse_args()
    print("| size | concurrent | syncs | proposals/s | p50 ms | p99 ms |")
    print("| --- | --- | --- | --- | --- | --- |")
    for size_bytes in _COMMAND_SIZES_BYTES:
        for batched, concurrency in [
            (True, 1),
            (True, _CONCURRENT_CLIENTS),
            (False, _CONCURRENT_CLIENTS),
        ]:
            figures = measure_median(
                size_bytes, batched, concurrency, options.runs
            )
            syncs = "batched" if batched else "one an entry"
            print(
                f"| {size_bytes} B | {concurrency} | {syncs} |"
                f" {figures.rate:.0f} | {figures.p50_ms:.2f} |"
                f" {figures.p99_ms:.2f} |"
            )


if __name__ == "__main__":
    main()
