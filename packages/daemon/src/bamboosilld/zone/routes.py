"""Routing of a key's requests to an upstream or another zone."""

from typing import Any
from typing import NamedTuple

from bamboosill_common import sharding
from bamboosill_common.generated import zone as messages
from bamboosilld.zone import assignments
from bamboosilld.zone import state as state_lib

LOCAL = "local"
REMOTE = "remote"
MOVING = "moving"
UNASSIGNED = "unassigned"
UNREACHABLE = "unreachable"
UNKNOWN_SERVICE = "unknown_service"
UNKNOWN_CUSTOMER = "unknown_customer"


class Route(NamedTuple):
    """The current route of a request.

    Attributes:
        status: `local`, `remote`, `moving`, `unassigned`, `unreachable`,
            `unknown_service` or `unknown_customer`.
        keyspace: Keyspace of the key.
        shard: Shard of the key.
        key: The key as formatted by `sharding.format_hot_key`.
        fence: Fence of the owner's grant; 0 unless local.
        upstream: The owner; None unless local.
        zone: Availability zone of the shard.
        addresses: Caller addresses of the entry instances of that zone, if
            it is another zone.
    """

    status: str
    keyspace: str = ""
    shard: int = 0
    key: str = ""
    fence: int = 0
    upstream: messages.Upstream | None = None
    zone: str = ""
    addresses: tuple[str, ...] = ()


def find_route(
    state: state_lib.ZoneState, contract: Any, service: str, key: str
) -> Route:
    """Returns the route of a key of a contract's customer."""
    service_contract = next(
        (s for s in contract.services if s.name == service), None
    )
    if service_contract is None:
        return Route(UNKNOWN_SERVICE)
    keyspace = sharding.format_keyspace(
        service_contract.name,
        service_contract.zone_loss,
        service_contract.zones,
    )
    item = state.feed.keyspaces.get(keyspace)
    if item is None or item.shards == 0:
        return Route(UNASSIGNED, keyspace)
    shard = sharding.compute_shard(contract.customer, key, item.shards)
    route = Route(
        UNASSIGNED,
        keyspace,
        shard,
        sharding.format_hot_key(contract.customer, key),
    )
    delegation = state.feed.find_delegation(keyspace, shard)
    if delegation is None or not delegation.zone:
        return route
    route = route._replace(zone=delegation.zone)
    if delegation.zone != state.zone:
        return _find_remote(state, route)
    if delegation.group_epoch != state.group_epoch:
        return route._replace(status=MOVING)
    return find_local(state, route)


def find_local(state: state_lib.ZoneState, route: Route) -> Route:
    """Returns the route of a shard that is delegated to this zone."""
    _, assignment = state.assignments.resolve(
        route.keyspace, route.shard, route.key
    )
    if assignment is None:
        return route
    if assignment.moving:
        return route._replace(status=MOVING)
    if assignment.owner is None:
        return route
    if not state.upstreams.is_current(assignment.owner):
        return route._replace(status=MOVING)
    upstream = state.upstreams.find_incarnation(assignment.owner)
    return route._replace(
        status=LOCAL, fence=assignment.fence, upstream=upstream
    )


def find_current(
    state: state_lib.ZoneState, route: Route
) -> assignments.AssignmentKey | None:
    """Returns the assignment key of a route to an upstream of this zone.

    None if the owner or the fence has changed since, if the key is moving, or
    if its shard is no longer delegated to this zone.
    """
    key, assignment = state.assignments.resolve(
        route.keyspace, route.shard, route.key
    )
    if assignment is None or assignment.moving or assignment.owner is None:
        return None
    if assignment.fence != route.fence or route.upstream is None:
        return None
    owner = assignments.Owner(route.upstream.id, route.upstream.incarnation)
    if assignment.owner != owner or not state.upstreams.is_current(owner):
        return None
    if state.get_delegation_epoch(route.keyspace, route.shard) is None:
        return None
    return key


def _find_remote(state: state_lib.ZoneState, route: Route) -> Route:
    addresses = tuple(
        item.caller_address
        for item in state.feed.list_entry_instances(route.zone)
        if item.caller_address
    )
    status = REMOTE if addresses else UNREACHABLE
    return route._replace(status=status, addresses=addresses)
