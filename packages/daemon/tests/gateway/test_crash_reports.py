"""Plays crashes during which a popular, harmless request is in flight."""

import asyncio

import pytest
from returns.result import Failure
from returns.result import Success

from bamboosill_common import clock as clock_lib
from bamboosill_common import errors
from bamboosill_common import wire
from bamboosill_common.generated import fleet as messages
from bamboosilld import crash_detector
from bamboosilld.fleet import crash_recorder
from bamboosilld.fleet import follower as follower_lib
from bamboosilld.fleet import state as state_lib
from bamboosilld.gateway import crash_reports

_INSTANCES = 30
_UPSTREAMS = 12
_LINK_S = 0.05
_REPLICATION_S = 0.2
# Longer than the time for which an instance remembers an answer.
_BETWEEN_CRASHES_S = 90.0
_HARMLESS = b"harmless"
_CRASHING = (b"crashing-1", b"crashing-2", b"crashing-3")


class _Leader:
    """Commits what instances report, and replicates it to them.

    Attributes:
        is_reachable: Whether calls reach it.
        calls: Calls by type of message.
    """

    def __init__(self):
        self.is_reachable = True
        self.calls = []
        self.state = state_lib.FleetState()
        self._recorder = crash_recorder.CrashRecorder(
            self.commit,
            clock_lib.LoopClock(),
            lambda fingerprint: self.state.quarantine.is_suspected(fingerprint),
        )
        self._copies = []

    def follow(self, state):
        self._copies.append(state)

    async def commit(self, command):
        await asyncio.sleep(_LINK_S)
        data, index = wire.pack(command), self.state.revision + 1
        for state in self._copies:
            asyncio.get_running_loop().call_later(
                _REPLICATION_S, state.apply, index, data
            )
        self.state.apply(index, data)

    async def call(self, address, message, reply_type, timeout_s):
        self.calls.append(type(message))
        await asyncio.sleep(_LINK_S)
        if not self.is_reachable:
            return Failure(errors.PeerError("timeout", address, True))
        if isinstance(message, messages.ReportUpstreamCrash):
            await self._recorder.record(message.crash)
        else:
            await self._recorder.record_answered(message)
        await asyncio.sleep(_LINK_S)
        return Success(reply_type())


class _Instance:
    """Crash detector and reports of an entry instance."""

    def __init__(self, number, leader, reports_answers=True):
        clock = clock_lib.LoopClock()
        follower = follower_lib.Follower(
            f"e{number}",
            leader,
            clock,
            tuple,
            follower_lib.Measurements,
            lambda stats: None,
        )
        follower._leader = "c1"
        self.state = follower.state
        leader.follow(self.state)
        reporter = crash_reports.CrashReporter(follower)
        self.detector = crash_detector.CrashDetector(
            reporter.report_crash,
            clock,
            on_sound=reporter.report_answer
            if reports_answers
            else lambda fingerprint: None,
        )

    def refuses(self, fingerprint):
        now_ms = clock_lib.LoopClock().wall_ms()
        return self.state.quarantine.find(fingerprint, now_ms) is not None

    def crash(self, target, *fingerprints):
        for each in fingerprints:
            self.detector.begin_exchange(target, each)
        return self.detector.begin_check(target)


@pytest.fixture(autouse=True)
def crashed_upstreams(monkeypatch):
    """Has all probes find that the upstream has crashed."""

    async def refuse(address):
        return True

    monkeypatch.setattr(crash_detector, "_refuses_connection", refuse)


async def _make_fleet(count, reports_answers=True):
    leader = _Leader()
    instances = [
        _Instance(number, leader, reports_answers) for number in range(count)
    ]
    items = tuple(
        messages.UpstreamItem(f"u{number}", 1, f"10.0.0.{number + 1}:80")
        for number in range(_UPSTREAMS)
    )
    await leader.commit(messages.SetUpstreams(items))
    await asyncio.sleep(1.0)
    return leader, instances


async def _play_crash(instances, number, crashing):
    """Crashes an upstream; one instance has the crashing request there."""
    target = crash_detector.Target(f"u{number}", 1, "10.0.0.1:80")
    await asyncio.gather(
        *(
            each.crash(
                target,
                _HARMLESS,
                *([crashing] if index == number % len(instances) else []),
            )
            for index, each in enumerate(instances)
        )
    )
    await asyncio.sleep(1.0)


@pytest.mark.looptime
@pytest.mark.parametrize("reports_answers", [True, False])
async def test_only_the_crashing_requests_are_refused(reports_answers):
    """Guards against refusing a popular request because of another's crashes.

    Without reports of answers, it is refused from the third crash on.
    """
    leader, instances = await _make_fleet(_INSTANCES, reports_answers)
    refused, crashes_by_request = [], {}
    number = 0
    for crashing in _CRASHING:
        while not instances[0].refuses(crashing):
            await _play_crash(instances, number, crashing)
            number += 1
            crashes_by_request.setdefault(crashing, 0)
            crashes_by_request[crashing] += 1
            refused.append(sum(each.refuses(_HARMLESS) for each in instances))
            # Many callers send the harmless request, all get an answer.
            for each in instances:
                if not each.refuses(_HARMLESS):
                    each.detector.record_answer(_HARMLESS, 200)
            await asyncio.sleep(_BETWEEN_CRASHES_S)
    assert list(crashes_by_request.values()) == [3, 3, 3]
    expected = [0] * 9 if reports_answers else [0, 0] + [_INSTANCES] * 7
    assert refused == expected
    for each in instances:
        assert list(each.state.quarantine.list_crashes()) == list(
            leader.state.quarantine.list_crashes()
        )


@pytest.mark.looptime
async def test_a_popular_request_is_reported_once_at_a_time():
    """Guards against a call to the leader for each answer."""
    leader, instances = await _make_fleet(1)
    await _play_crash(instances, 0, _CRASHING[0])
    leader.is_reachable = False
    for _ in range(300):
        instances[0].detector.record_answer(_HARMLESS, 200)
        await asyncio.sleep(0.01)
    # A call that fails takes 0.05 s, and the next one waits for 0.3 s.
    assert 5 <= leader.calls.count(messages.ReportAnswered) <= 10
    leader.is_reachable = True
    await asyncio.sleep(2.0)
    assert not leader.state.quarantine.is_suspected(_HARMLESS)
    calls = len(leader.calls)
    instances[0].detector.record_answer(_HARMLESS, 200)
    await asyncio.sleep(2.0)
    assert len(leader.calls) == calls


@pytest.mark.looptime
async def test_a_late_report_clears_no_quarantined_request():
    """Guards against a crashing request that one instance saw answered."""
    leader, instances = await _make_fleet(3)
    for number in range(2):
        await _play_crash(instances, number, _CRASHING[0])
    leader.is_reachable = False
    instances[0].detector.record_answer(_CRASHING[0], 200)
    await asyncio.sleep(0.1)
    leader.is_reachable = True
    await leader.commit(
        messages.RecordCrashes(
            (messages.UpstreamCrash("u9", 1, 0, (_CRASHING[0],)),),
        )
    )
    await asyncio.sleep(5.0)
    assert leader.state.quarantine.find(_CRASHING[0], 0) is not None
    for each in instances:
        assert each.state.quarantine.find(_CRASHING[0], 0) is not None
    command = messages.RecordCrashes(answered=(_CRASHING[0],))
    await leader.commit(command)
    assert leader.state.quarantine.find(_CRASHING[0], 0) is not None
