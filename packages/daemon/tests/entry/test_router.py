"""Tests of routing, waiting for owners, forwarding and crash reports."""

import asyncio
import contextlib
import json
import sys

import pytest
from returns.result import Failure

from bamboosill_common.generated import zone as zone_messages
from bamboosilld.admission import refusal
from bamboosilld.entry import faults
from bamboosilld.entry import retry
from bamboosilld.entry import unlimited


def summarize(response):
    status, response_headers, _ = response
    return (
        status,
        response_headers["Bamboosill-Outcome"],
        response_headers["Bamboosill-Reason"],
    )


ROUTES = [
    ("unreachable", 503, "zone-unreachable"),
    ("unknown_service", 404, "unknown-service"),
    ("unknown_customer", 404, "unknown-customer"),
    ("moving", 504, "deadline"),
    ("unassigned", 504, "deadline"),
    ("remote", 503, "zone-unreachable"),
]


@pytest.mark.parametrize(("status", "code", "reason"), ROUTES)
async def test_request_for_key_without_owner_is_not_run(
    harness, status, code, reason
):
    """Guards against requests that hang or run while a key has no owner."""
    await harness.start()
    harness.member.default_route = harness.make_route(status)
    response = await harness.send(headers={"Bamboosill-Deadline-Ms": "60"})
    assert summarize(response) == (code, "not-run", reason)


async def test_request_waits_for_the_end_of_a_move(harness):
    """Guards against rejections while a key is being moved."""
    await harness.start()
    await harness.start_upstream()
    harness.member.routes = [harness.make_route("moving")] * 5
    assert summarize(await harness.send()) == (200, "answer", "ok")


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


@pytest.mark.parametrize("code", ["shed", "stale-fence"])
def test_a_retry_after_a_rejection_needs_a_new_connection(code):
    """Guards against an old rejection taken for the response to the retry."""
    rule = retry.find_rule(faults.Fault(code, "", False), False, False, 1)
    assert rule is not None
    assert rule.new_connection


async def test_later_not_run_does_not_hide_an_unknown_attempt(harness):
    """Guards against outcome "not run" after an attempt that may have run."""
    await harness.start()
    upstream = await harness.start_upstream()
    local = harness.member.upstream
    harness.member.routes = [harness.make_route("local", upstream=local)]
    harness.member.default_route = harness.make_route("unreachable")
    response = await harness.send(headers={"X-Test-Fault": "truncated-body"})
    assert summarize(response) == (502, "unknown", "truncated")
    assert len(upstream.recorder.lines) == 1


class _RejectingGate(unlimited.Gate):
    """Refuses every request for the same reason."""

    def __init__(self, reason):
        self.reason = reason

    async def admit(self, customer, service, traffic_class, until):
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
async def test_refusal_by_admission(harness, reason, status):
    """Guards against an admission refusal without an outcome."""
    await harness.start(gate=_RejectingGate(reason))
    await harness.start_upstream()
    response = await harness.send()
    assert response[0] == status
    assert response[1]["Bamboosill-Outcome"] == "not-run"
    assert response[1]["Retry-After"] == "2"


async def start_other_zone(harness, count=1):
    """Starts entry instances of another zone and routes all keys there."""
    member = harness.make_member()
    member.upstream = harness.member.upstream
    harness.member.upstream = None
    others = [await harness.start_entry(member) for _ in range(count)]
    addresses = tuple(each.caller_address for each in others)
    harness.member.default_route = harness.make_route(
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
async def test_forwarding_preserves_the_outcome(
    harness, fault, status, outcome, reason
):
    """Guards against an outcome that is changed by forwarding."""
    await harness.start()
    upstream = await harness.start_upstream()
    await start_other_zone(harness)
    response = await harness.send(
        headers={"X-Test-Fault": fault, "Bamboosill-Deadline-Ms": "3000"}
    )
    assert summarize(response) == (status, outcome, reason)
    if outcome == "not-run":
        assert upstream.recorder.lines == []


async def test_forwarding_tries_another_instance_if_nothing_was_written(
    harness,
):
    """Guards against rejections while one instance of a zone is down."""
    await harness.start()
    await harness.start_upstream()
    _, others = await start_other_zone(harness, 2)
    await others[0].stop(0.0, 0.0)
    for _ in range(4):
        assert summarize(await harness.send())[0] == 200
    await others[1].stop(0.0, 0.0)
    response = await harness.send(headers={"Bamboosill-Deadline-Ms": "300"})
    assert summarize(response) == (503, "not-run", "zone-unreachable")


async def test_forwarding_ends_after_two_hops(harness):
    """Guards against forwarding loops between zones."""
    await harness.start()
    address = harness.entry.caller_address
    harness.member.default_route = harness.make_route(
        "remote", addresses=(address,)
    )
    response = await harness.send()
    assert summarize(response) == (503, "not-run", "hop-limit")
    # One connection per hop.
    assert harness.entry._forwarder.pools.get(address, 64).size == 2


async def test_orders_are_recorded_where_they_are_dispatched(harness):
    """Guards against a forwarded request without a record in its zone."""
    await harness.start()
    upstream = await harness.start_upstream()
    member, _ = await start_other_zone(harness)
    request_id = "018bcfe5-6800-7000-8000-000000000001"
    for reason in ("ok", "replayed"):
        response = await harness.send(
            "POST",
            "/shopfront/orders",
            data=b"one",
            headers={"Bamboosill-Request-Id": request_id},
        )
        assert summarize(response) == (201, "answer", reason)
        await harness.wait_until(lambda: member.count("FinishRequest"))
    assert harness.member.proposed == []
    assert len(upstream.recorder.lines) == 1


async def test_record_is_kept_in_the_zone_that_owns_the_key(harness):
    """Guards against a record left in a zone that lost the key."""
    await harness.start()
    upstream = await harness.start_upstream()
    local = harness.make_route("local", upstream=harness.member.upstream)
    member, _ = await start_other_zone(harness)
    harness.member.routes = [local]
    harness.member.lease_valid = False
    response = await harness.send(
        "POST",
        "/shopfront/orders",
        data=b"one",
        headers={
            "Bamboosill-Request-Id": "018bcfe5-6800-7000-8000-000000000001"
        },
    )
    assert summarize(response) == (201, "answer", "ok")
    assert harness.member.records == {}
    assert member.count("BeginRequest") == 1
    assert len(upstream.recorder.lines) == 1


class _ExhaustedBudget(unlimited.RetryBudget):
    """A retry budget that is exhausted."""

    def try_retry(self, customer):
        return False


@pytest.mark.parametrize(
    ("fault", "status", "runs"),
    [("once-truncated-body", 502, 1), ("once-shed", 503, 0)],
)
async def test_retries_need_a_budget(harness, fault, status, runs):
    """Guards against retries that amplify an overload."""
    await harness.start(budget=_ExhaustedBudget())
    upstream = await harness.start_upstream()
    response = await harness.send(headers={"X-Test-Fault": fault})
    assert response[0] == status
    assert len(upstream.recorder.lines) == runs


async def test_long_response_is_forwarded_completely_or_aborted(harness):
    """Guards against a truncation that the forwarding hop conceals."""
    await harness.start()
    await harness.start_upstream()
    await start_other_zone(harness)
    path = "/shopfront/long?chunks=64"
    response = await harness.send(path=path)
    assert len(response[2]) == 64 * 16 * 1024
    response = await harness.send(path=path, headers={"X-Test-Fault": "cut"})
    assert response[0] == 0


async def start_crashable_upstream(harness):
    """Returns an upstream that can crash, and its successor."""
    first = await harness.start_upstream()
    record = harness.member.upstream
    second = await harness.start_upstream(id="u2")
    successor = harness.member.upstream
    harness.member.upstream = record

    def crash():
        harness.member.upstream = successor
        first._server.close()
        for handler in first._web.connections:
            handler.force_close()

    first.service._crash = crash
    return first, second


async def test_crash_is_reported_and_not_retried(harness):
    """Guards against a request that crashes one upstream after another."""
    await harness.start()
    first, second = await start_crashable_upstream(harness)
    other = asyncio.create_task(
        harness.send(headers={"X-Test-Service-Ms": "500"})
    )
    await harness.wait_until(lambda: first.service.running)
    poison = await harness.send("POST", "/shopfront/notes", data=b"poison")
    assert summarize(poison) == (502, "unknown", "broken")
    assert summarize(await other) == (502, "unknown", "broken")
    reports = [
        each
        for each in harness.member.proposed
        if type(each).__name__ == "ReportCrash"
    ]
    assert [(each.upstream, len(each.fingerprints)) for each in reports] == [
        ("u1", 2)
    ]
    assert second.recorder.lines == []
    # Other requests for the key are served.
    assert (await harness.send())[0] == 200


async def test_exit_of_a_process_is_recognised(harness):
    """Guards against mistaking a process crash for a broken connection."""
    await harness.start()
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
        async with harness.session.get(url) as identity_response:
            identity = await identity_response.json()
        harness.member.upstream = zone_messages.Upstream(
            **identity, address=address, slots=6, connections=20
        )
        assert (await harness.send())[0] == 200
        response = await harness.send(
            "POST", "/shopfront/notes", data=b"poison"
        )
        assert summarize(response) == (502, "unknown", "broken")
        assert harness.member.count("ReportCrash") == 1
    finally:
        if child.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                child.kill()
        await child.wait()


async def test_broken_connection_alone_is_no_crash(harness):
    """Guards against crash reports for a broken connection."""
    await harness.start()
    await harness.start_upstream()
    response = await harness.send(headers={"X-Test-Fault": "close-after"})
    assert response[0] == 502
    assert harness.member.count("ReportCrash") == 0


@pytest.mark.parametrize(
    ("fault", "status", "is_sound"),
    [("", 200, True), ("status:409", 409, True), ("status:503", 503, False)],
)
async def test_an_error_of_an_upstream_shows_no_sound_request(
    harness, fault, status, is_sound
):
    """Guards against a crashing request that an upstream's error clears."""
    await harness.start()
    await harness.start_upstream()
    response = await harness.send(headers={"X-Test-Fault": fault})
    assert response[0] == status
    assert bool(harness.entry._crash_detector._sound) == is_sound


async def test_quarantined_request_is_explained(harness):
    """Guards against a quarantined request that runs under another id."""
    await harness.start()
    upstream = await harness.start_upstream()
    await harness.send()
    detector = harness.entry._crash_detector
    seen_fingerprints = []
    detector.begin_exchange = lambda _, fingerprint: seen_fingerprints.append(
        fingerprint
    )
    detector.end_exchange = lambda *_: None
    await harness.send()
    harness.member.quarantined.update(seen_fingerprints)
    response = await harness.send()
    assert summarize(response) == (422, "not-run", "quarantined")
    assert "u1" in json.loads(response[2])["detail"]
    other = await harness.send(headers={"Bamboosill-Key": "k2"})
    assert other[0] == 200
    assert len(upstream.recorder.lines) == 3
