"""Tests of reaching a control instance that can answer."""

import json

import pytest

from bamboosill import exits

STATUS = "GET /v1/contracts"
LIST = {"contracts": [], "revision": 3}
DRAIN = "POST /v1/upstreams/u/drain"
DEAD = "127.0.0.1:9"


@pytest.mark.parametrize(
    "first",
    [
        (0, None),
        (421, {"code": "not_leader", "leader": ""}),
        (503, {"code": "storage"}),
        (504, {"code": "unknown"}),
        (200, []),
    ],
)
async def test_next_instance_is_asked(instances, run, first):
    """Guards against a command that fails with the first instance."""
    instances[0].script(STATUS, first)
    instances[1].script(STATUS, (200, LIST))
    code, out, _ = await run("contract", "list", "--json")
    assert (code, json.loads(out)) == (exits.OK, LIST)


async def test_leader_is_followed(instances, run):
    """Guards against a leader outside the given list that is not found."""
    hint = {"code": "not_leader", "leader": instances[1].address}
    instances[0].script(STATUS, (421, hint))
    instances[1].script(STATUS, (200, LIST))
    given = instances[0].address
    code, _, _ = await run("contract", "list", addresses=given)
    assert code == exits.OK


async def test_hanging_instance_does_not_use_up_the_deadline(instances, run):
    """Guards against one hanging instance that blocks operators."""
    instances[0].script(STATUS, (-1, None))
    instances[1].script(STATUS, (200, LIST))
    assert (await run("contract", "list"))[0] == exits.OK


@pytest.mark.parametrize("answer", [(-1, None), (0, None), (503, {})])
async def test_deadline_ends_every_command(instances, run, answer):
    """Guards against commands that never end."""
    for each in instances:
        each.script(STATUS, answer)
    code, _, err = await run("contract", "list", timeout_s=0.5)
    assert code == exits.UNREACHABLE
    assert "no answer within 0.5 s" in err
    assert all(each.address in err for each in instances)


async def test_dead_instances(run):
    """Guards against a message that does not say what was tried."""
    code, _, err = await run("status", timeout_s=0.3, addresses=DEAD)
    assert code == exits.UNREACHABLE
    assert "cannot connect" in err and DEAD in err
    assert "may have been applied" not in err


async def test_lost_answer_is_told(instances, run):
    """Guards against "not done" for a command that may have been done."""
    for each in instances:
        each.script(DRAIN, (0, None))
    code, _, err = await run("upstream", "drain", "u", timeout_s=0.3)
    assert code == exits.UNREACHABLE
    assert "may have been applied" in err
