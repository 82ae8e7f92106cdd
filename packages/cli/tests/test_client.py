"""Tests of retries, leader discovery and the deadline of the client."""

import json

import pytest

from bamboosill import exit_codes

LIST_REQUEST = "GET /v1/contracts"
LIST_DOCUMENT = {"contracts": [], "revision": 3}
DRAIN_REQUEST = "POST /v1/upstreams/u/drain"
UNREACHABLE_ADDRESS = "127.0.0.1:9"


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
async def test_next_instance_is_tried(instances, run, first):
    """Guards against a command that fails because the first instance fails."""
    instances[0].set_responses(LIST_REQUEST, first)
    instances[1].set_responses(LIST_REQUEST, (200, LIST_DOCUMENT))
    code, out, _ = await run("contract", "list", "--json")
    assert (code, json.loads(out)) == (exit_codes.OK, LIST_DOCUMENT)


async def test_leader_hint_is_followed(instances, run):
    """Guards against not finding a leader that is outside the given list."""
    leader_hint = {"code": "not_leader", "leader": instances[1].address}
    instances[0].set_responses(LIST_REQUEST, (421, leader_hint))
    instances[1].set_responses(LIST_REQUEST, (200, LIST_DOCUMENT))
    known_address = instances[0].address
    code, _, _ = await run("contract", "list", addresses=known_address)
    assert code == exit_codes.OK


async def test_hanging_instance_does_not_use_up_the_deadline(instances, run):
    """Guards against a hanging instance that uses up the whole deadline."""
    instances[0].set_responses(LIST_REQUEST, (-1, None))
    instances[1].set_responses(LIST_REQUEST, (200, LIST_DOCUMENT))
    assert (await run("contract", "list"))[0] == exit_codes.OK


@pytest.mark.parametrize("answer", [(-1, None), (0, None), (503, {})])
async def test_deadline_ends_every_command(instances, run, answer):
    """Guards against commands that never end."""
    for each in instances:
        each.set_responses(LIST_REQUEST, answer)
    code, _, err = await run("contract", "list", timeout_s=0.5)
    assert code == exit_codes.UNREACHABLE
    assert "no answer within 0.5 s" in err
    assert all(each.address in err for each in instances)


async def test_unreachable_instances_are_reported(run):
    """Guards against an error message that omits the addresses tried."""
    code, _, err = await run(
        "status", timeout_s=0.3, addresses=UNREACHABLE_ADDRESS
    )
    assert code == exit_codes.UNREACHABLE
    assert "cannot connect" in err and UNREACHABLE_ADDRESS in err
    assert "may have been applied" not in err


async def test_unknown_outcome_is_reported(instances, run):
    """Guards against reporting failure if the command may have been applied."""
    for each in instances:
        each.set_responses(DRAIN_REQUEST, (0, None))
    code, _, err = await run("upstream", "drain", "u", timeout_s=0.3)
    assert code == exit_codes.UNREACHABLE
    assert "may have been applied" in err
