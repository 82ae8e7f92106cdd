"""Tests of the rate limit that an upstream states, and of its permits."""

import asyncio

import pytest
from returns.result import Success

from bamboosill_common import clock as clock_lib
from bamboosill_common.generated import fleet as messages
from bamboosilld.gateway import load_balancing
from bamboosilld.gateway import rate_limit as rate_limit_lib

from .conftest import NAMES
from .conftest import make_permit_client


@pytest.mark.parametrize(
    ("values", "rate"),
    [
        ([b"1.6"], 1.6),
        ([b" 2 "], 2.0),
        ([b".5"], 0.5),
        ([b"0"], 0.0),
        ([b"3", b"2.5"], 2.5),
        ([b"3", b"soon"], 3.0),
        *(
            ([value], None)
            for value in (b"", b"-1", b"1e3", b"nan", b"inf", b"1,5", b"0x1")
        ),
        ([b"1_0"], None),
        ([b"9" * 40], None),
        ([], None),
    ],
)
def test_a_malformed_limit_is_not_read(values, rate):
    """Guards against a number that the upstream did not mean."""
    assert rate_limit_lib.parse(values) == rate


def _make_upstream():
    item = messages.UpstreamItem(
        upstream="u0", born_ms=1, address="127.0.0.1:1", service="s", slots=4
    )
    return load_balancing.Upstream(
        item, clock_lib.LoopClock(), NAMES.request_id
    )


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("values", "is_rejection", "rate"),
    [([], False, None), ([], True, 2.0), ([b"soon"], False, 2.0)],
)
async def test_only_a_response_without_a_limit_ends_it(
    values, is_rejection, rate
):
    """Guards against a limit that a rejection or malformed value ends."""
    limit = _make_upstream().rate_limit
    limit.observe([b"2"], False, 0.0)
    await asyncio.sleep(1)
    limit.observe(values, is_rejection, 1.0)
    assert limit.rate_per_s == rate


@pytest.mark.looptime
async def test_a_response_that_was_on_its_way_ends_no_limit():
    """Guards against requests beyond a limit until it is stated again."""
    limit = _make_upstream().rate_limit
    await asyncio.sleep(5)
    limit.observe([b"2"], False, 4.9)
    await asyncio.sleep(1)
    assert not limit.observe([], False, 4.8)
    assert limit.rate_per_s == 2.0
    assert limit.observe([], False, 5.1)
    assert limit.rate_per_s is None


@pytest.mark.looptime
async def test_a_limit_of_another_instance_outlasts_a_response_on_its_way():
    """Guards against ignoring a limit because of an earlier request."""
    limit = _make_upstream().rate_limit
    await asyncio.sleep(5)
    limit.observe([], False, 3.0)
    limit.apply(messages.UpstreamLimit("u0", 1, 2.0, 500), 5.0)
    assert limit.rate_per_s == 2.0


@pytest.mark.looptime
async def test_an_older_limit_of_another_instance_is_ignored():
    """Guards against a limit that returns after the upstream has ended it."""
    limit = _make_upstream().rate_limit
    await asyncio.sleep(5)
    limit.observe([b"2"], False, 5.0)
    limit.observe([], False, 5.0)
    now_s = asyncio.get_running_loop().time()
    limit.apply(messages.UpstreamLimit("u0", 1, 2.0, 500), now_s)
    assert limit.rate_per_s is None
    await asyncio.sleep(1)
    limit.apply(messages.UpstreamLimit("u0", 1, 3.0, 500), now_s + 1)
    assert limit.rate_per_s == 3.0


@pytest.mark.looptime
async def test_refused_callers_are_told_different_times():
    """Guards against callers that return together for the same permit."""
    limit = _make_upstream().rate_limit
    limit.observe([b"2"], False, 0.0)
    now_s = asyncio.get_running_loop().time()
    limit.set_next_permit(now_s + 0.3, now_s + 1, 3, 0.5)
    told = [round(limit.tell_retry_after(), 3) for _ in range(3)]
    assert told == [0.3, 0.8, 1.3]


@pytest.mark.looptime
async def test_a_permit_that_arrives_after_a_freeze_is_not_used():
    """Guards against permits that add up while an instance is frozen."""
    upstream = _make_upstream()
    upstream.rate_limit.observe([b"2"], False, 0.0)

    async def ask(request):
        await asyncio.sleep(2)
        return Success(messages.AcquirePermitsReply(request.limit, 1))

    client = make_permit_client(clock_lib.LoopClock(), ask)
    assert not await client.acquire(upstream, 5.0)


@pytest.mark.looptime
async def test_the_leader_is_not_asked_again_before_the_time_it_said():
    """Guards against a question to the leader for each refused request."""
    upstream = _make_upstream()
    upstream.rate_limit.observe([b"2"], False, 0.0)
    asked = []

    async def ask(request):
        asked.append(request)
        await asyncio.sleep(0.01)
        return Success(
            messages.AcquirePermitsReply(
                request.limit, next_permit_ms=400, ask_again_ms=900
            )
        )

    client = make_permit_client(clock_lib.LoopClock(), ask)
    await asyncio.gather(*(client.acquire(upstream, 1.0) for _ in range(9)))
    for _ in range(17):
        assert not await client.acquire(upstream, 1.0)
        await asyncio.sleep(0.05)
    assert len(asked) == 1
    await asyncio.sleep(0.1)
    await client.acquire(upstream, 1.0)
    assert len(asked) == 2
