"""Demonstrates a local system in which one upstream stops and one is killed.

Starts three availability zones, accepts contracts, sends repeatable and
non-repeatable requests through all entry instances, stops one upstream and
kills another, and compares the results of the callers with the records of the
upstreams. Exits with 1 if any answer was wrong or missing.
"""

import asyncio
import collections
from collections.abc import Iterable
import json
import pathlib
import random
import signal
import sys
import tempfile
import time
from typing import Any
from typing import NamedTuple

import tabulate

from bamboosill_dev import caller as caller_lib
from bamboosill_dev import cluster as cluster_lib

ZONES = ("mu-north", "mu-south", "mu-east")
SERVICES = ("shopfront", "gallery")
CUSTOMERS = ("grand-bois", "salon-norte")
EXAMPLES = pathlib.Path(__file__).parents[4] / "examples"
UPSTREAMS_PER_ZONE = 2
STOPPED_UPSTREAM = f"{SERVICES[0]}-{ZONES[0]}-1"
KILLED_UPSTREAM = f"{SERVICES[0]}-{ZONES[1]}-1"
UNAFFECTED_UPSTREAM = f"{SERVICES[0]}-{ZONES[2]}-1"
READY_TIMEOUT_S = 20.0
SERVED_TIMEOUT_S = 15.0
PHASE_S = 3.0
REQUEST_INTERVAL_S = 0.01
DEMO_TIMEOUT_S = 55.0
KEYS = 40


class SentRequest(NamedTuple):
    """One request, its final result and the name of its order, if it is one."""

    request: caller_lib.Request
    result: caller_lib.RequestResult
    order: str


class Demo:
    """One run of the demonstration."""

    def __init__(self, folder: pathlib.Path, seed: int) -> None:
        self._cluster = cluster_lib.Cluster(folder, ZONES, entries_per_zone=2)
        self._rng = random.Random(seed)
        self._sent: list[SentRequest] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._start_s = time.monotonic()
        self._owners: dict[tuple[str, str], str] = {}
        self._callers: dict[str, caller_lib.Caller] = {}

    def _print_timed(self, text: str) -> None:
        print(f"[{time.monotonic() - self._start_s:5.1f} s] {text}")

    async def run(self) -> list[str]:
        """Runs the demonstration and returns the problems that it found."""
        try:
            await self._start()
            await self._show_owners("Owners of some keys at the start")
            await self._send_for(PHASE_S)
            await self._remove_upstreams()
            await self._show_owners("Owners of the same keys at the end")
            return self._print_report()
        finally:
            for caller in self._callers.values():
                await caller.close()
            await self._cluster.stop()

    async def _start(self) -> None:
        cluster = self._cluster
        self._print_timed(
            f"Starting {len(cluster.instances)} instances in {len(ZONES)} "
            "availability zones, and their upstreams."
        )
        await cluster.start_all_instances()
        for service in SERVICES:
            for zone in ZONES:
                for number in range(1, UPSTREAMS_PER_ZONE + 1):
                    await cluster.start_upstream(
                        f"{service}-{zone}-{number}",
                        service,
                        zone,
                        checks_fences=number != UPSTREAMS_PER_ZONE,
                    )
        for customer in CUSTOMERS:
            code, output = await cluster.run_operator(
                "contract", "accept", str(EXAMPLES / f"{customer}.yaml")
            )
            self._print_timed(
                f"$ bamboosill contract accept examples/{customer}.yaml"
            )
            print(output.rstrip())
            if code:
                raise RuntimeError(
                    f"contract of customer {customer} was not accepted"
                )
        await cluster.wait_ready(list(cluster.instances), READY_TIMEOUT_S)
        self._print_timed("All instances are ready.")
        self._callers = self._cluster.make_callers(CUSTOMERS, self._rng)
        await self._wait_until_served()

    async def _wait_until_served(self) -> None:
        """Reads each key of each customer once and notes its owner."""
        async with asyncio.timeout(SERVED_TIMEOUT_S):
            for customer in CUSTOMERS:
                for number in range(KEYS):
                    request = make_read_request(customer, f"key-{number}")
                    result = await self._callers[customer].send(request)
                    if result.outcome != caller_lib.ANSWER:
                        raise RuntimeError(
                            f"request of customer {customer} failed: {result}"
                        )
                    owner = json.loads(result.body)["upstream"]
                    self._owners[customer, request.key] = owner

    async def _send_for(self, seconds: float) -> None:
        """Sends requests at a steady rate."""
        for _ in range(int(seconds / REQUEST_INTERVAL_S)):
            task = asyncio.create_task(self._send_one(len(self._sent)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def _send_one(self, number: int) -> None:
        customer = self._rng.choice(CUSTOMERS)
        key = f"key-{self._rng.randrange(KEYS)}"
        order = ""
        if self._rng.random() < 0.3:
            order = f"order-{number}-{self._rng.getrandbits(32):08x}"
            request = make_order_request(customer, key, order)
        else:
            request = make_read_request(customer, key)
        result = await self._callers[customer].send(request)
        self._sent.append(SentRequest(request, result, order))

    async def _remove_upstreams(self) -> None:
        self._print_timed(f"Stopping upstream {STOPPED_UPSTREAM} gracefully.")
        self._cluster.processes[STOPPED_UPSTREAM].send(signal.SIGTERM)
        await self._send_for(PHASE_S)
        self._print_timed(f"Killing upstream {KILLED_UPSTREAM}.")
        self._cluster.processes[KILLED_UPSTREAM].send(signal.SIGKILL)
        await self._send_for(PHASE_S)
        await asyncio.gather(*self._tasks)

    async def _show_owners(self, title: str) -> None:
        rows = await asyncio.gather(
            *(
                self._explain(customer, key)
                for customer, key in self._choose_keys()
            )
        )
        self._print_timed(f"{title}:")
        print(
            tabulate.tabulate(
                rows, ("customer", "key", "zone", "owner", "fence")
            )
        )

    def _choose_keys(self) -> list[tuple[str, str]]:
        """Returns two keys of each removed upstream, and two of another."""
        chosen: list[tuple[str, str]] = []
        for upstream in (
            STOPPED_UPSTREAM,
            KILLED_UPSTREAM,
            UNAFFECTED_UPSTREAM,
        ):
            owned = [
                customer_key
                for customer_key, owner in sorted(self._owners.items())
                if owner == upstream
            ]
            chosen += owned[:2]
        return chosen

    async def _explain(self, customer: str, key: str) -> tuple[str, ...]:
        explanation = await self._cluster.run_operator_json(
            "key", "explain", customer, SERVICES[0], key
        )
        owner = (explanation.get("owner") or {}).get("id", "none")
        return (
            customer,
            key,
            explanation["zone"],
            owner,
            str(explanation["fence"]),
        )

    def _print_report(self) -> list[str]:
        rows = collections.Counter(
            (
                "read" if each.request.repeatable else "order",
                each.result.outcome,
                each.result.reason,
            )
            for each in self._sent
        )
        self._print_timed(
            f"What the callers of {len(self._sent)} requests were told:"
        )
        print(
            tabulate.tabulate(
                [(*key, count) for key, count in sorted(rows.items())],
                ("operation", "outcome", "reason", "requests"),
            )
        )
        records = self._read_records()
        served = collections.Counter(
            record["upstream"]
            for record in records
            if record["outcome"] == "done"
        )
        print("\nRequests that each upstream ran:")
        print(tabulate.tabulate(sorted(served.items()), ("upstream", "ran")))
        return check_history(self._sent, records)

    def _read_records(self) -> list[dict[str, Any]]:
        records = []
        for name in self._cluster.upstreams:
            path = self._cluster.get_record_path(name)
            if path.exists():
                lines = path.read_text().splitlines()
                records += [json.loads(line) for line in lines]
        return records


def make_read_request(customer: str, key: str) -> caller_lib.Request:
    """Returns a repeatable request."""
    return caller_lib.Request("GET", "/shopfront/items", customer, key)


def make_order_request(
    customer: str, key: str, order: str
) -> caller_lib.Request:
    """Returns a non-repeatable request."""
    body = json.dumps({"order": order}).encode()
    return caller_lib.Request(
        "POST",
        "/shopfront/orders",
        customer,
        key,
        body=body,
        repeatable=False,
    )


def check_history(
    sent: Iterable[SentRequest], records: Iterable[dict[str, Any]]
) -> list[str]:
    """Returns the contradictions between callers' results and records."""
    runs = collections.Counter(record["id"] for record in records)
    problems = []
    for each in sent:
        result, name = each.result, each.order or each.result.id
        if each.request.repeatable:
            if result.outcome != caller_lib.ANSWER or result.status != 200:
                problems.append(f"read {name} was not answered: {result}")
            continue
        count = runs[result.id]
        if count > 1:
            problems.append(f"order {name} ran {count} times")
        if result.outcome == caller_lib.ANSWER and count == 0:
            problems.append(f"order {name} was answered and did not run")
        if result.outcome == caller_lib.NOT_RUN and count:
            problems.append(f"order {name} was told not-run and ran")
    return problems


async def run_demo() -> int:
    """Runs the demonstration and returns the exit code."""
    with tempfile.TemporaryDirectory(prefix="bamboosill-demo-") as folder:
        try:
            async with asyncio.timeout(DEMO_TIMEOUT_S):
                problems = await Demo(pathlib.Path(folder), seed=1).run()
        except (RuntimeError, TimeoutError) as error:
            print(f"\nThe demonstration failed: {error!r}", file=sys.stderr)
            return 1
    if problems:
        print("\nWrong or missing answers:", file=sys.stderr)
        print("\n".join(problems), file=sys.stderr)
        return 1
    print("\nEvery answer was right: no order ran twice, none was lost.")
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(run_demo()))
