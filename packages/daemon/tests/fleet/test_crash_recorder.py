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

    recorder = crash_recorder.CrashRecorder(fail, fleet.clock)
    for _ in range(2):
        with pytest.raises(errors.HandlerError):
            await recorder.record(_make_crash(1, b"x"))


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
