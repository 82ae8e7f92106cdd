"""Tests of routing, holding, forwarding and crash reports."""

import asyncio
import contextlib
import json
import sys

import pytest
from returns.result import Failure

from bamboosill_common.generated import zone as zone_messages
from bamboosilld.admission import refusal
from bamboosilld.entry import faults
from bamboosilld.entry import passthrough
from bamboosilld.entry import retry


def summarize(answer):
    status, fields, _ = answer
    return status, fields["Bamboosill-Outcome"], fields["Bamboosill-Reason"]


ROUTES = [
    ("unreachable", 503, "zone-unreachable"),
    ("unknown_service", 404, "unknown-service"),
    ("unknown_customer", 404, "unknown-customer"),
    ("moving", 504, "deadline"),
    ("unassigned", 504, "deadline"),
    ("remote", 503, "zone-unreachable"),
]


@pytest.mark.parametrize(("status", "code", "reason"), ROUTES)
async def test_route_without_owner_is_not_run(bench, status, code, reason):
    """Guards against requests that hang or run without an owner."""
    await bench.start()
    bench.member.default = bench.make_route(status)
    answer = await bench.send(headers={"Bamboosill-Deadline-Ms": "60"})
    assert summarize(answer) == (code, "not-run", reason)


async def test_request_waits_for_the_end_of_a_move(bench):
    """Guards against refusals for keys that are served again soon."""
    await bench.start()
    await bench.start_upstream()
    bench.member.routes = [bench.make_route("moving")] * 5
    assert summarize(await bench.send()) == (200, "answer", "ok")


@pytest.mark.parametrize(
    ("code", "may_have_run", "repeatable", "suspected", "attempts", "retried"),
    [
        ("closed", False, False, False, 1, True),
        ("refused", False, False, False, 1, True),
        ("connect", False, False, False, 1, True),
        ("shed", False, False, False, 1, True),
        ("stale-fence", False, False, False, 1, True),
        ("moved", False, False, False, 1, True),
        ("shed", False, False, False, retry.MAX_ATTEMPTS, False),
        ("deadline", False, True, False, 1, False),
        ("pool", False, True, False, 1, False),
        ("broken", True, True, False, 1, True),
        ("truncated", True, True, False, 1, True),
        ("crossed", True, True, False, 1, True),
        ("malformed", True, True, False, 1, True),
        ("silent", True, True, False, 1, True),
        ("broken", True, False, False, 1, False),
        ("crossed", True, False, False, 1, False),
        ("silent", True, False, False, 1, False),
        ("broken", True, True, True, 1, False),
        ("broken", True, True, False, 2, False),
        ("deadline", True, True, False, 1, False),
        ("unframed", True, True, False, 1, False),
        ("unlabelled", True, True, False, 1, False),
    ],
)
def test_retry_table(
    code, may_have_run, repeatable, suspected, attempts, retried
):
    """Guards against a retry of a request that may have run."""
    fault = faults.Fault(code, "", may_have_run)
    rule = retry.find_rule(fault, repeatable, suspected, attempts)
    assert (rule is not None) is retried


async def test_later_not_run_does_not_hide_an_unknown_attempt(bench):
    """Guards against "not run" after an attempt that may have run."""
    await bench.start()
    upstream = await bench.start_upstream()
    local = bench.member.upstream
    bench.member.routes = [bench.make_route("local", upstream=local)]
    bench.member.default = bench.make_route("unreachable")
    answer = await bench.send(headers={"X-Test-Fault": "truncated-body"})
    assert summarize(answer) == (502, "unknown", "truncated")
    assert len(upstream.recorder.lines) == 1


class _Refusing(passthrough.Gate):
    """Refuses everything for one reason."""

    def __init__(self, reason):
        self.reason = reason

    async def admit(self, customer, service, class_, until):
        return Failure(refusal.Refusal(self.reason, "test", 1.5))


@pytest.mark.parametrize(
    ("reason", "status"),
    [
        ("rate", 429),
        ("concurrency", 429),
        ("queue", 429),
        ("deadline", 504),
        ("breaker", 503),
        ("unknown_customer", 404),
    ],
)
async def test_refusal_by_admission(bench, reason, status):
    """Guards against a refusal that is not labelled."""
    await bench.start(gate=_Refusing(reason))
    await bench.start_upstream()
    answer = await bench.send()
    assert answer[0] == status
    assert answer[1]["Bamboosill-Outcome"] == "not-run"
    assert answer[1]["Retry-After"] == "2"


async def start_other_zone(bench, count=1):
    """Routes the first entry instance to others, which own the key."""
    member = bench.make_member()
    member.upstream = bench.member.upstream
    bench.member.upstream = None
    others = [await bench.start_entry(member) for _ in range(count)]
    addresses = tuple(each.caller_address for each in others)
    bench.member.default = bench.make_route(
        "remote", zone="z2", addresses=addresses
    )
    return member, others


FORWARDED = [
    ("", 200, "answer", "ok"),
    ("close-after", 502, "unknown", "broken"),
    ("shed", 503, "not-run", "shed"),
    ("crossed", 502, "unknown", "crossed"),
]


@pytest.mark.parametrize(("fault", "status", "outcome", "reason"), FORWARDED)
async def test_forwarding_carries_the_truth(
    bench, fault, status, outcome, reason
):
    """Guards against an outcome that changes on the way back."""
    await bench.start()
    upstream = await bench.start_upstream()
    await start_other_zone(bench)
    answer = await bench.send(
        headers={"X-Test-Fault": fault, "Bamboosill-Deadline-Ms": "3000"}
    )
    assert summarize(answer) == (status, outcome, reason)
    if outcome == "not-run":
        assert upstream.recorder.lines == []


async def test_forwarding_tries_another_instance_if_nothing_was_written(bench):
    """Guards against refusals while one instance of a zone is gone."""
    await bench.start()
    await bench.start_upstream()
    _, others = await start_other_zone(bench, 2)
    await others[0].stop(0.0, 0.0)
    for _ in range(4):
        assert summarize(await bench.send())[0] == 200
    await others[1].stop(0.0, 0.0)
    answer = await bench.send(headers={"Bamboosill-Deadline-Ms": "300"})
    assert summarize(answer) == (503, "not-run", "zone-unreachable")


async def test_forwarding_ends_after_two_hops(bench):
    """Guards against requests that circle between zones."""
    await bench.start()
    address = bench.entry.caller_address
    bench.member.default = bench.make_route("remote", addresses=(address,))
    answer = await bench.send()
    assert summarize(answer) == (503, "not-run", "hop-limit")
    # One connection for each hop.
    assert bench.entry._forwarder.pools.get(address, 64).size == 2


async def test_orders_are_recorded_where_they_are_dispatched(bench):
    """Guards against a forwarded order without a record in its zone."""
    await bench.start()
    upstream = await bench.start_upstream()
    member, _ = await start_other_zone(bench)
    request_id = "018bcfe5-6800-7000-8000-000000000001"
    for reason in ("ok", "replayed"):
        answer = await bench.send(
            "POST",
            "/shopfront/orders",
            data=b"one",
            headers={"Bamboosill-Request-Id": request_id},
        )
        assert summarize(answer) == (201, "answer", reason)
        await bench.wait_until(lambda: member.count("FinishRequest"))
    assert bench.member.proposed == []
    assert len(upstream.recorder.lines) == 1


async def test_record_goes_where_the_key_went(bench):
    """Guards against a record left in a zone that lost the key."""
    await bench.start()
    upstream = await bench.start_upstream()
    local = bench.make_route("local", upstream=bench.member.upstream)
    member, _ = await start_other_zone(bench)
    bench.member.routes = [local]
    bench.member.lease_valid = False
    answer = await bench.send(
        "POST",
        "/shopfront/orders",
        data=b"one",
        headers={
            "Bamboosill-Request-Id": "018bcfe5-6800-7000-8000-000000000001"
        },
    )
    assert summarize(answer) == (201, "answer", "ok")
    assert bench.member.records == {}
    assert member.count("BeginRequest") == 1
    assert len(upstream.recorder.lines) == 1


class _NoRetries(passthrough.Budget):
    """A retry budget that is used up."""

    def try_retry(self, customer):
        return False


@pytest.mark.parametrize(
    ("fault", "status", "runs"),
    [("once-truncated-body", 502, 1), ("once-shed", 503, 0)],
)
async def test_retries_need_a_budget(bench, fault, status, runs):
    """Guards against retries that multiply an overload."""
    await bench.start(budget=_NoRetries())
    upstream = await bench.start_upstream()
    answer = await bench.send(headers={"X-Test-Fault": fault})
    assert answer[0] == status
    assert len(upstream.recorder.lines) == runs


async def test_long_answer_is_forwarded_or_visibly_broken(bench):
    """Guards against a truncated long answer hidden by the second hop."""
    await bench.start()
    await bench.start_upstream()
    await start_other_zone(bench)
    path = "/shopfront/long?chunks=64"
    answer = await bench.send(path=path)
    assert len(answer[2]) == 64 * 16 * 1024
    answer = await bench.send(path=path, headers={"X-Test-Fault": "cut"})
    assert answer[0] == 0


async def start_crashing(bench):
    """Returns an upstream that can crash, and the one that succeeds it."""
    first = await bench.start_upstream()
    record = bench.member.upstream
    second = await bench.start_upstream(id="u2")
    successor = bench.member.upstream
    bench.member.upstream = record

    def crash():
        bench.member.upstream = successor
        first._server.close()
        for handler in first._web.connections:
            handler.force_close()

    first.service._crash = crash
    return first, second


async def test_crash_is_reported_and_not_retried(bench):
    """Guards against a request that crashes one upstream after another."""
    await bench.start()
    first, second = await start_crashing(bench)
    other = asyncio.create_task(
        bench.send(headers={"X-Test-Service-Ms": "500"})
    )
    await bench.wait_until(lambda: first.service.running)
    poison = await bench.send("POST", "/shopfront/notes", data=b"poison")
    assert summarize(poison) == (502, "unknown", "broken")
    assert summarize(await other) == (502, "unknown", "broken")
    reports = [
        each
        for each in bench.member.proposed
        if type(each).__name__ == "ReportCrash"
    ]
    assert [(each.upstream, len(each.fingerprints)) for each in reports] == [
        ("u1", 2)
    ]
    assert second.recorder.lines == []
    # Other requests for the key are served.
    assert (await bench.send())[0] == 200


async def test_exit_of_a_process_is_recognised(bench):
    """Guards against a real crash that is taken for a broken connection."""
    await bench.start()
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", "bamboosill_dev.upstream", "--id", "u1", "--no-fences"),
        *("--service", "shopfront", "--zone", "z1"),
        env={"PYTHONPATH": ":".join(sys.path)},
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        address = (await child.stdout.readline()).decode().split()[1]
        url = f"http://{address}/bamboosill/identity"
        async with bench.session.get(url) as response:
            identity = await response.json()
        bench.member.upstream = zone_messages.Upstream(
            **identity, address=address, slots=6, connections=20
        )
        assert (await bench.send())[0] == 200
        answer = await bench.send("POST", "/shopfront/notes", data=b"poison")
        assert summarize(answer) == (502, "unknown", "broken")
        assert bench.member.count("ReportCrash") == 1
    finally:
        if child.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                child.kill()
        await child.wait()


async def test_broken_connection_alone_is_no_crash(bench):
    """Guards against crash reports for a connection that broke."""
    await bench.start()
    await bench.start_upstream()
    answer = await bench.send(headers={"X-Test-Fault": "close-after"})
    assert answer[0] == 502
    assert bench.member.count("ReportCrash") == 0


async def test_quarantined_request_is_explained(bench):
    """Guards against a quarantined request that runs under another id."""
    await bench.start()
    upstream = await bench.start_upstream()
    await bench.send()
    found = bench.entry._crashes
    seen = []
    found.begin = lambda _, fingerprint: seen.append(fingerprint)
    found.end = lambda *_: None
    await bench.send()
    bench.member.quarantined.update(seen)
    answer = await bench.send()
    assert summarize(answer) == (422, "not-run", "quarantined")
    assert "u1" in json.loads(answer[2])["detail"]
    other = await bench.send(headers={"Bamboosill-Key": "k2"})
    assert other[0] == 200
    assert len(upstream.recorder.lines) == 3
