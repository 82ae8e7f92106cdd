"""Admin API for upstreams and keys, whose state is kept by the zones.

Each zone's leader holds the state, and every instance of the zone can query
it. Control instances forward operators' requests over HTTP to the
`/v1/local/` paths of an instance of the zone.
"""

import asyncio
from typing import Any
import urllib.parse

import aiohttp
from aiohttp import web
import yarl

from bamboosill_common import sharding
from bamboosill_common.generated import control as messages
from bamboosilld.admin import dependencies as dependencies_lib
from bamboosilld.admin import request_helpers
from bamboosilld.control import delegation
from bamboosilld.control import service as service_lib

_REQUEST_TIMEOUT_S = 1.0
# Number of instances of a zone that are tried before it counts as unreachable.
_MAX_INSTANCES_TRIED = 3

routes = web.RouteTableDef()
local_routes = web.RouteTableDef()


class _ZoneUnreachableError(Exception):
    """No instance of a zone answered a request."""


@local_routes.get("/v1/local/upstreams")
async def _list_local_upstreams(request: web.Request) -> web.Response:
    member = _get_member(request)
    return web.json_response(
        {"upstreams": [each._asdict() for each in member.list_upstreams()]}
    )


@local_routes.post("/v1/local/upstreams/{upstream}/drain")
async def _drain_local_upstream(request: web.Request) -> web.Response:
    upstream = request.match_info["upstream"]
    status = request_helpers.unwrap_or_raise(
        await _get_member(request).drain_upstream(upstream)
    )
    code = getattr(status, "code", "")
    if code and not getattr(status, "ok", False):
        raise request_helpers.AdminError(
            404 if code == "unknown_upstream" else 409, code, upstream
        )
    return web.json_response({"upstream": upstream, "state": "draining"})


@local_routes.get("/v1/local/explain")
async def _explain_local_key(request: web.Request) -> web.Response:
    customer, service, key = _read_key(request)
    result = await _get_member(request).explain_key(customer, service, key)
    return web.json_response(request_helpers.unwrap_or_raise(result))


@routes.get("/v1/upstreams")
async def _list_upstreams(request: web.Request) -> web.Response:
    control = await request_helpers.require_leader(request)
    zones = sorted(control.state.tables.zones)
    replies = await asyncio.gather(
        *(
            _request_from_zone(
                request, control, zone, "GET", "/v1/local/upstreams"
            )
            for zone in zones
        ),
        return_exceptions=True,
    )
    upstreams: list[dict[str, Any]] = []
    unreachable = []
    for zone, reply in zip(zones, replies, strict=True):
        if isinstance(reply, dict):
            upstreams += reply["upstreams"]
        elif isinstance(
            reply, (_ZoneUnreachableError, request_helpers.AdminError)
        ):
            unreachable.append({"zone": zone, "detail": str(reply)})
        elif isinstance(reply, BaseException):
            raise reply
    return web.json_response(
        {"upstreams": upstreams, "unreachable": unreachable}
    )


@routes.post("/v1/upstreams/{upstream}/drain")
async def _drain_upstream(request: web.Request) -> web.Response:
    control = await request_helpers.require_leader(request)
    upstream = request.match_info["upstream"]
    quoted = urllib.parse.quote(upstream, safe="")
    path = f"/v1/local/upstreams/{quoted}/drain"
    unreachable = []
    for zone in sorted(control.state.tables.zones):
        try:
            reply = await _request_from_zone(
                request, control, zone, "POST", path
            )
        except _ZoneUnreachableError:
            unreachable.append(zone)
        except request_helpers.AdminError as error:
            if error.document["code"] != "unknown_upstream":
                raise
        else:
            return web.json_response(reply | {"zone": zone})
    if unreachable:
        # An instance that did not respond may still have forwarded the command
        # to its zone leader, so the outcome is unknown.
        raise request_helpers.AdminError(
            504,
            "zone_unreachable",
            f"{upstream} may be in {', '.join(unreachable)}, "
            "which does not answer",
        )
    raise request_helpers.AdminError(
        404, "unknown_upstream", f"there is no upstream {upstream}"
    )


@routes.get("/v1/keys/explain")
async def _explain_key(request: web.Request) -> web.Response:
    """Returns a key's shard, its zone and the zone's state of the key."""
    control = await request_helpers.require_leader(request)
    customer, service_name, key = _read_key(request)
    contract = control.state.tables.parsed.get(customer)
    service = contract.find_service(service_name) if contract else None
    if service is None:
        raise request_helpers.AdminError(
            404,
            "unknown_customer",
            f"{customer} has no contract for {service_name}",
        )
    keyspace = service.format_keyspace()
    shards = delegation.read_shards(control.state.tables, keyspace)
    index = sharding.compute_shard(customer, key, len(shards))
    shard = shards[index]
    document: dict[str, Any] = {
        "customer": customer,
        "service": service_name,
        "key": key,
        "keyspace": keyspace,
        "shard": index,
        **shard._asdict(),
        "status": "not delegated to a zone",
    }
    if shard.zone:
        query = {"customer": customer, "service": service_name, "key": key}
        path = str(yarl.URL("/v1/local/explain").with_query(query))
        try:
            document |= await _request_from_zone(
                request, control, shard.zone, "GET", path
            )
        except (_ZoneUnreachableError, request_helpers.AdminError) as error:
            document["status"] = f"zone does not answer: {error}"
    return web.json_response(document)


def _get_member(request: web.Request) -> dependencies_lib.ZoneOperations:
    member = request_helpers.get_dependencies(request).member
    if member is None:
        raise request_helpers.AdminError(
            404, "no_zone", "this instance has no zone"
        )
    return member


def _read_key(request: web.Request) -> tuple[str, str, str]:
    names = ("customer", "service", "key")
    values = [request.query.get(name, "") for name in names]
    if not all(values):
        raise request_helpers.AdminError(
            400, "bad_request", "customer, service and key are required"
        )
    return values[0], values[1], values[2]


async def _request_from_zone(
    request: web.Request,
    control: service_lib.ControlService,
    zone: str,
    method: str,
    path: str,
) -> dict[str, Any]:
    """Sends a request to the instances of a zone until one of them answers.

    Raises:
        _ZoneUnreachableError: No instance answered.
        request_helpers.AdminError: An instance rejected the request.
    """
    dependencies = request_helpers.get_dependencies(request)
    detail = "no live instance is known"
    for item in _list_zone_instances(control, zone)[:_MAX_INSTANCES_TRIED]:
        url = yarl.URL(
            f"{dependencies.scheme}://{item.admin_address}{path}", encoded=True
        )
        headers = {}
        if "Authorization" in request.headers:
            headers["Authorization"] = request.headers["Authorization"]
        try:
            async with dependencies.session.request(
                method,
                url,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S),
            ) as response:
                document: dict[str, Any] = await response.json()
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            detail = f"{item.instance}: {error or type(error).__name__}"
            continue
        if response.status == 200:
            return document
        detail = f"{item.instance}: {document.get('detail')}"
        if response.status < 500:
            raise request_helpers.AdminError(
                response.status, str(document.get("code")), detail
            )
    raise _ZoneUnreachableError(detail)


def _list_zone_instances(
    control: service_lib.ControlService, zone: str
) -> list[messages.InstanceItem]:
    """Returns the instances of a zone, live ones first."""
    view = control.views.get(zone)
    live_instances = view.last_heartbeat.live_instances if view else ()
    return sorted(
        (
            each
            for each in control.state.tables.instances.values()
            if each.zone == zone and not each.removed and each.admin_address
        ),
        key=lambda each: (each.instance not in live_instances, each.instance),
    )
