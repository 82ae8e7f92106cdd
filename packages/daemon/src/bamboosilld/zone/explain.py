"""Describes the assignment of one key for operators."""

import json
from typing import Any

from bamboosill_common.generated import zone as messages
from bamboosilld.zone import assignments
from bamboosilld.zone import grant_leases as grant_leases_lib
from bamboosilld.zone import moves as moves_lib
from bamboosilld.zone import state as state_lib


def describe(
    state: state_lib.ZoneState,
    message: messages.Explain,
    mover: moves_lib.Mover,
    upstream_leases: grant_leases_lib.UpstreamLeases,
    now_s: float,
) -> str:
    """Returns a JSON document about the assignment of one key."""
    delegation = state.feed.find_delegation(message.keyspace, message.shard)
    key, assignment = state.assignments.resolve(
        message.keyspace, message.shard, message.key
    )
    document: dict[str, Any] = {
        "keyspace": message.keyspace,
        "shard": message.shard,
        "zone": state.zone,
        "group_epoch": state.group_epoch,
        "delegation": delegation._asdict() if delegation else None,
        "hot_key": bool(key.key),
        "status": "unassigned",
    }
    if delegation is None or not state.is_delegated_here(delegation):
        document["status"] = "not delegated here"
    elif assignment is not None:
        document["status"] = _get_status(assignment)
        document["fence"] = assignment.fence
        document["owner"] = _describe_owner(state, assignment.owner)
        if assignment.owner is not None:
            document["owner_lost"] = upstream_leases.is_lost(assignment.owner)
        if assignment.moving:
            document["target"] = _describe_owner(state, assignment.target)
            document["target_fence"] = assignment.target_fence
            document["waits"] = mover.list_wait_reasons(key, assignment, now_s)
    return json.dumps(document, sort_keys=True)


def _get_status(assignment: assignments.Assignment) -> str:
    if assignment.moving:
        return "moving"
    return "owned" if assignment.owner is not None else "unassigned"


def _describe_owner(
    state: state_lib.ZoneState, owner: assignments.Owner | None
) -> dict[str, Any] | None:
    if owner is None:
        return None
    upstream = state.upstreams.find_incarnation(owner)
    if upstream is None:
        return {"id": owner.id, "incarnation": owner.incarnation}
    return {
        "id": upstream.id,
        "incarnation": upstream.incarnation,
        "address": upstream.address,
        "checks_fences": upstream.checks_fences,
        "state": upstream.state,
    }
