"""Tests of how reported crashes are committed and distributed."""

import asyncio

import pytest

from bamboosill_common import errors
from bamboosill_common import wire
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import crash_recorder
from bamboosilld.fleet import state as state_lib


def _make_crash(number, *fingerprints):
    return messages.UpstreamCrash(f"u{number}", 1, 0, fingerprints)


async def test_reports_of_many_instances_share_a_command(fleet):
    """Guards against a command for each instance after a crash."""
    fleet.node.commits.clear()
    reports = [
        asyncio.create_task(
            fleet.authority.crashes.record(_make_crash(number % 3, b"x"))
        )
        for number in range(90)
    ]
    await asyncio.sleep(0)
    before = fleet.state.revision
    fleet.node.commits.set()
    await asyncio.gather(*reports)
    assert fleet.state.revision - before <= 2
    assert len(list(fleet.state.quarantine.list_crashes())) == 3
    assert fleet.state.quarantine.find(b"x", fleet.clock.wall_ms())


async def test_a_report_that_is_not_committed_is_an_error(fleet):
    """Guards against an instance that takes a lost report for recorded."""

    async def fail(command):
        raise errors.HandlerError("timeout", "not committed")

    recorder = crash_recorder.CrashRecorder(
        fail, fleet.clock, lambda fingerprint: True
    )
    for _ in range(2):
        with pytest.raises(errors.HandlerError):
            await recorder.record(_make_crash(1, b"x"))
        with pytest.raises(errors.HandlerError):
            await recorder.record_answered(messages.ReportAnswered(b"x"))


async def test_answers_at_many_instances_share_a_command(fleet):
    """Guards against a command for each instance that a request is answered at.

    It costs two if the first report is alone in its command.
    """
    recorder = fleet.authority.crashes
    await recorder.record(_make_crash(1, b"x", b"h"))
    fleet.node.commits.clear()
    reports = [
        asyncio.create_task(
            recorder.record_answered(messages.ReportAnswered(b"h"))
        )
        for _ in range(90)
    ]
    await asyncio.sleep(0)
    before = fleet.state.revision
    fleet.node.commits.set()
    await asyncio.gather(*reports)
    assert fleet.state.revision - before <= 2
    assert not fleet.state.quarantine.is_suspected(b"h")
    assert fleet.state.quarantine.is_suspected(b"x")


async def test_an_answer_that_comes_with_a_crash_counts_for_those_before(fleet):
    """Guards against a harmless request quarantined as its answer is reported.

    It stays suspected because of the last crash.
    """
    recorder = fleet.authority.crashes
    for number in (1, 2):
        await recorder.record(_make_crash(number, b"x", b"h"))
    await asyncio.gather(
        recorder.record(_make_crash(9)),
        recorder.record(_make_crash(3, b"x", b"h")),
        recorder.record_answered(messages.ReportAnswered(b"h")),
    )
    now_ms = fleet.clock.wall_ms()
    assert fleet.state.quarantine.find(b"h", now_ms) is None
    assert fleet.state.quarantine.is_suspected(b"h")
    assert fleet.state.quarantine.find(b"x", now_ms)
    before = fleet.state.revision
    await recorder.record_answered(messages.ReportAnswered(b"x"))
    assert fleet.state.quarantine.find(b"x", now_ms)
    assert fleet.state.revision == before


async def test_cleared_requests_survive_a_snapshot(fleet):
    """Guards against a member that suspects a request that others cleared."""
    recorder = fleet.authority.crashes
    for number in (1, 2):
        await recorder.record(_make_crash(number, b"x", b"h"))
        await recorder.record_answered(messages.ReportAnswered(b"h"))
    copy = state_lib.FleetState()
    copy.restore(fleet.state.snapshot())
    for state in (fleet.state, copy):
        assert not state.quarantine.is_suspected(b"h")
    await recorder.record(_make_crash(3, b"x", b"h"))
    copy.apply(fleet.state.revision, fleet.state.list_commands(0)[-1].command)
    now_ms = fleet.clock.wall_ms()
    for state in (fleet.state, copy):
        assert state.quarantine.find(b"x", now_ms)
        assert state.quarantine.is_suspected(b"h")


async def test_crashes_survive_a_snapshot(fleet):
    """Guards against counts that end with the process of the leader."""
    for number in (1, 2):
        await fleet.authority.crashes.record(_make_crash(number, b"x"))
    copy = state_lib.FleetState()
    copy.restore(fleet.state.snapshot())
    now_ms = fleet.clock.wall_ms()
    found = copy.quarantine.find(b"x", now_ms)
    assert found is not None
    assert found == fleet.state.quarantine.find(b"x", now_ms)
    crash = _make_crash(3, b"y")._replace(at_ms=now_ms)
    copy.apply(copy.revision + 1, wire.pack(messages.RecordCrashes((crash,))))
    assert copy.quarantine.find(b"y", now_ms) is None
