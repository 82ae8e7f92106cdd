"""Replays traces on an entry instance with real sockets and an upstream.

Real sockets need real time; no expected outcome depends on the speed of the
machine.
"""

import asyncio
import contextlib
import json
import pathlib
import random

from bamboosill_common import requestid
from bamboosill_dev import relay as relay_lib

TESTS = pathlib.Path(__file__).parents[2]
ID_TIME_MS = 1_700_000_000_000
_SLOTS = 100


class Player:
    """Plays the steps of a trace on one entry instance and one upstream.

    A relay connects them.
    """

    uses_virtual_time = False

    def __init__(self, load_module):
        self.harness = load_module(TESTS / "entry" / "conftest.py")
        self.answers = []
        self.checks = {
            "each caller got the whole answer to its own request": (
                self.check_answers
            ),
            "no request that ran was reported as not run": self.check_not_run,
            "each order ran at most once": self.check_orders,
            "no crash of an upstream was reported": self.check_no_crash,
        }

    async def start(self, accepts_cancellation=True):
        """Starts the parts.

        Args:
            accepts_cancellation: Whether the upstream cancels running requests
                when the entry instance asks for it.
        """
        self.stack = contextlib.AsyncExitStack()
        await self.stack.__aenter__()
        self.bench = self.harness.EntryHarness(self.stack)
        await self.bench.start()
        # With a slot for each of the concurrent requests of a step, none is
        # rejected because the others are slow.
        self.upstream = await self.bench.start_upstream(
            accepts_cancellation=accepts_cancellation, slots=_SLOTS
        )
        self.relay = relay_lib.Relay(self.upstream.address)
        await self.relay.start()
        self.stack.push_async_callback(self.relay.stop)
        self.bench.member.upstream = self.bench.member.upstream._replace(
            address=self.relay.address
        )

    async def stop(self):
        await self.stack.aclose()

    async def _send(self, method, path, key, fault, service_ms, **fields):
        headers = {
            "Bamboosill-Key": key,
            "X-Test-Fault": fault,
            "X-Test-Service-Ms": str(service_ms) if service_ms else "",
            **fields,
        }
        answer = await self.bench.send(
            method,
            f"/shopfront/{path}",
            data=b"one" if method == "POST" else None,
            headers=headers,
        )
        self.answers.append((key, answer))
        status, answer_headers, _ = answer
        if not status:
            return "broken"
        outcome = answer_headers["Bamboosill-Outcome"]
        return f"{status} {outcome} {answer_headers['Bamboosill-Reason']}"

    # Steps.

    async def do_read(
        self, key="k1", fault="", deadline_ms=2000, service_ms=0, times=1
    ):
        """Sends concurrent repeatable requests and returns their outcomes.

        Equal outcomes are returned once.
        """
        outcomes = await asyncio.gather(
            *(
                self._send(
                    "GET",
                    "items",
                    key if times == 1 else f"{key}-{number}",
                    fault,
                    service_ms,
                    **{"Bamboosill-Deadline-Ms": str(deadline_ms)},
                )
                for number in range(times)
            )
        )
        return " / ".join(sorted(set(outcomes)))

    async def do_order(
        self, number, key="k1", fault="", deadline_ms=2000, service_ms=0
    ):
        """Sends a non-repeatable request; the same number is a resend."""
        request_id = requestid.make_request_id(
            ID_TIME_MS, random.Random(number)
        )
        outcome = await self._send(
            "POST",
            "orders",
            key,
            fault,
            service_ms,
            **{
                "Bamboosill-Deadline-Ms": str(deadline_ms),
                "Bamboosill-Request-Id": request_id,
            },
        )
        # Waits for the record of the outcome, which is proposed after the
        # answer.
        await asyncio.sleep(0.05)
        return outcome

    async def do_go_away(self, kind, after_ms=50, **fields):
        """Sends a request and closes its connection before the answer."""
        request = asyncio.create_task(getattr(self, f"do_{kind}")(**fields))
        await self.bench.wait_until(lambda: self.upstream.service.running)
        await asyncio.sleep(after_ms / 1000)
        request.cancel()
        await asyncio.gather(request, return_exceptions=True)

    async def do_idle(self):
        """Waits until the upstream is idle; returns the cancelled requests."""
        await self.bench.wait_until(lambda: not self.upstream.service.running)
        return self.upstream.service.refused["cancelled"]

    async def do_silence(self):
        """Stops traffic on all connections to the upstream; new ones work."""
        self.relay.silence()

    async def do_runs(self):
        """Returns how many requests the upstream ran."""
        return len(self.upstream.recorder.lines)

    async def do_lease(self, valid):
        self.bench.member.lease_valid = valid

    async def do_stop_upstream(self):
        await self.upstream.stop()
        await self.relay.stop()

    async def do_in_flight(self, count):
        """Waits until `count` requests are in flight."""
        await self.bench.wait_until(lambda: self.bench.entry.in_flight == count)

    async def do_stop_entry(self, grace_s):
        await self.bench.entry.stop(grace_s, 0.1)

    # Checks over the whole replay.

    def check_answers(self):
        checked = 0
        for key, (status, fields, body) in self.answers:
            is_answer = fields.get("Bamboosill-Outcome") == "answer"
            if is_answer and status in (200, 201):
                checked += 1
                assert json.loads(body)["key"] == key
        assert checked, "no answer arrived"

    def check_not_run(self):
        ran = {line["id"] for line in self.upstream.recorder.lines}
        refused = 0
        for _, (status, fields, _) in self.answers:
            if status and fields["Bamboosill-Outcome"] == "not-run":
                refused += 1
                # This covers earlier attempts of an order, which share its id.
                assert fields["Bamboosill-Request-Id"] not in ran
        assert refused, "nothing was refused"

    def check_orders(self):
        ran = [
            line["id"]
            for line in self.upstream.recorder.lines
            if line["method"] == "POST"
        ]
        assert ran, "no order ran"
        assert len(ran) == len(set(ran))

    def check_no_crash(self):
        assert self.bench.member.count("ReportCrash") == 0
