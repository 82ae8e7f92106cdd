"""Admin API for the control group, the instance registry and the zones."""

from typing import Any

from aiohttp import web
from returns.result import Failure
from returns.result import Success

from bamboosill_common import settings as settings_lib
from bamboosill_common.generated import consensus
from bamboosill_common.generated import control as messages
from bamboosilld.admin import request_helpers
from bamboosilld.control import delegation
from bamboosilld.control import service as service_lib
from bamboosilld.control import zoneviews

# Limit for one membership change. A learner must catch up with the log before
# it may vote.
_MEMBERSHIP_DEADLINE_S = 4.0

routes = web.RouteTableDef()


@routes.get("/v1/status")
async def _show_status(request: web.Request) -> web.Response:
    control = await request_helpers.require_leader(request)
    tables = control.state.tables
    leader = control.node.leader
    return web.json_response(
        {
            "leader": leader.instance if leader else "",
            "revision": control.state.revision,
            "control_members": _describe_members(control),
            "zones": _describe_zones(request, control),
            "instances": sum(
                not each.removed for each in tables.instances.values()
            ),
            "contracts": len(tables.parsed),
            "keyspaces": [
                _describe_keyspace(control, name)
                for name in sorted(tables.keyspaces)
            ],
        }
    )


@routes.get("/v1/zones")
async def _show_zones(request: web.Request) -> web.Response:
    control = await request_helpers.require_leader(request)
    return web.json_response({"zones": _describe_zones(request, control)})


@routes.post("/v1/zones/{zone}/declare-lost")
async def _declare_lost(request: web.Request) -> web.Response:
    body = await request_helpers.read_body(request)
    command = messages.DeclareZoneLost(
        command_id=request_helpers.get_command_id(body),
        zone=request.match_info["zone"],
        operator=request[request_helpers.OPERATOR_IDENTITY].subject,
    )
    return await request_helpers.submit(request, command)


@routes.get("/v1/instances")
async def _list_instances(request: web.Request) -> web.Response:
    control = await request_helpers.require_leader(request)
    now_s = request_helpers.get_dependencies(request).clock.monotonic()
    members = {each.instance: each for each in control.node.membership.members}
    documents = []
    for item in sorted(control.state.tables.instances.values()):
        document: dict[str, Any] = item._asdict()
        document["live"] = _is_live(control, item, now_s)
        document["control"] = _get_membership_role(members.get(item.instance))
        documents.append(document)
    return web.json_response({"instances": documents})


@routes.post("/v1/instances")
async def _add_member(request: web.Request) -> web.Response:
    """Adds an instance to the control group.

    The instance joins as a learner and is then promoted to voter. A retry
    continues after the last completed step.
    """
    body = await request_helpers.read_body(request)
    name = request_helpers.get_field(body, "instance", str)
    address = request_helpers.get_field(body, "address", str)
    try:
        settings_lib.split_address(address)
    except ValueError as error:
        raise request_helpers.AdminError(
            400, "bad_request", f"address: {error}"
        ) from error
    control = await request_helpers.require_leader(request)
    existing = _find_member(control, name)
    if existing and existing.address != address:
        raise request_helpers.AdminError(
            409, "member_exists", f"{name} is a member at {existing.address}"
        )
    member = existing or consensus.Member(name, 0, address, False)
    if not existing:
        await _await_membership_change(
            control, control.node.add_learner(member, _MEMBERSHIP_DEADLINE_S)
        )
    if not member.voter:
        await _await_membership_change(
            control, control.node.promote(member, _MEMBERSHIP_DEADLINE_S)
        )
    return web.json_response({"control_members": _describe_members(control)})


@routes.delete("/v1/instances/{instance}")
async def _remove_instance(request: web.Request) -> web.Response:
    """Removes an instance from the control group and the registry.

    The registry entry is removed only if the instance is not live.
    """
    control = await request_helpers.require_leader(request)
    name = request.match_info["instance"]
    member = _find_member(control, name)
    item = control.state.tables.instances.get(name)
    now_s = request_helpers.get_dependencies(request).clock.monotonic()
    live = item is not None and _is_live(control, item, now_s)
    if member is None and item is None:
        raise request_helpers.AdminError(
            404, "unknown_instance", f"there is no instance {name}"
        )
    # A live control instance that is no longer a member is not an error: the
    # request is then the retry of a removal that already succeeded.
    if member is None and live and item and "control" not in item.roles:
        raise request_helpers.AdminError(
            409, "instance_live", f"{name} is live; stop it first"
        )
    if member is not None:
        await _await_membership_change(
            control, control.node.remove(member, _MEMBERSHIP_DEADLINE_S)
        )
    if item is not None and not live and not item.removed:
        command = messages.PutInstance(
            item=item._replace(removed=True, revision=0)
        )
        return await request_helpers.submit(request, command)
    return web.json_response({"control_members": _describe_members(control)})


async def _await_membership_change(
    control: service_lib.ControlService, operation: Any
) -> None:
    match await operation:
        case Success(_):
            return
        case Failure(error):
            raise request_helpers.make_propose_error(control, error)


def _find_member(
    control: service_lib.ControlService, name: str
) -> consensus.Member | None:
    members = control.node.membership.members
    return next((each for each in members if each.instance == name), None)


def _get_membership_role(member: consensus.Member | None) -> str:
    if member is None:
        return ""
    return "voter" if member.voter else "learner"


def _describe_members(
    control: service_lib.ControlService,
) -> list[dict[str, Any]]:
    return [
        {
            "instance": each.instance,
            "address": each.address,
            "part": _get_membership_role(each),
        }
        for each in control.node.membership.members
    ]


def _is_live(
    control: service_lib.ControlService,
    item: messages.InstanceItem,
    now_s: float,
) -> bool:
    view = control.views.get(item.zone)
    return (
        view is not None
        and zoneviews.is_live(view, now_s)
        and item.instance in view.last_heartbeat.live_instances
    )


def _describe_zones(
    request: web.Request, control: service_lib.ControlService
) -> list[dict[str, Any]]:
    now_s = request_helpers.get_dependencies(request).clock.monotonic()
    documents = []
    for item in sorted(control.state.tables.zones.values()):
        view = control.views.get(item.zone)
        document: dict[str, Any] = {
            "zone": item.zone,
            "group_epoch": item.group_epoch,
            "lost": item.lost,
            "live": zoneviews.is_live(view, now_s),
            "voters": list(item.voters),
        }
        if view is not None:
            document |= {
                "silent_s": round(now_s - view.last_heartbeat_s, 3),
                "leader": view.last_heartbeat.leader,
                "applied_revision": view.last_heartbeat.applied_revision,
                "live_instances": list(view.last_heartbeat.live_instances),
                "services": [
                    each._asdict() for each in view.last_heartbeat.services
                ],
            }
        documents.append(document)
    return documents


def _describe_keyspace(
    control: service_lib.ControlService, name: str
) -> dict[str, Any]:
    shards = delegation.read_shards(control.state.tables, name)
    shards_by_zone: dict[str, int] = {}
    for shard in shards:
        shards_by_zone[shard.zone] = shards_by_zone.get(shard.zone, 0) + 1
    item = control.state.tables.keyspaces[name]
    return {
        "keyspace": name,
        "service": item.service,
        "zone_loss": item.zone_loss,
        "shards": item.shards,
        "shards_by_zone": shards_by_zone,
        "releasing": sum(each.releasing for each in shards),
        "customers": sorted(control.state.tables.customers.get(name, ())),
    }
