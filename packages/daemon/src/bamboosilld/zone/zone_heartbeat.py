"""Builds the heartbeats of a zone leader to the control group."""

from collections.abc import Callable
from collections.abc import Iterable

from bamboosill_common import peer
from bamboosill_common.generated import control
from bamboosilld.consensus import interfaces
from bamboosilld.zone import planner as planner_lib
from bamboosilld.zone import state as state_lib
from bamboosilld.zone import times


def make_heartbeat(
    identity: peer.Identity,
    state: state_lib.ZoneState,
    node: interfaces.Node,
    live_instances: Iterable[str],
    planner: planner_lib.Planner,
    get_longest_deadline_s: Callable[[str], float],
    now_s: float,
) -> control.ZoneBeat:
    """Returns a heartbeat with the current state of the zone."""
    voters = [each for each in node.membership.members if each.voter]
    return control.ZoneBeat(
        zone=state.zone,
        group_epoch=state.group_epoch,
        leader=identity.instance,
        leader_incarnation=identity.incarnation,
        applied_revision=state.feed.revision,
        services=_list_services(state, planner, get_longest_deadline_s, now_s),
        released=tuple(
            control.ShardRelease(*place, *release)
            for place, release in sorted(state.released.items())
        ),
        group_term=node.term,
        live_instances=tuple(sorted(live_instances)),
        voters=tuple(each.instance for each in voters),
        voter_incarnations=tuple(each.incarnation for each in voters),
    )


def _list_services(
    state: state_lib.ZoneState,
    planner: planner_lib.Planner,
    get_longest_deadline_s: Callable[[str], float],
    now_s: float,
) -> tuple[control.ServiceLoad, ...]:
    deadlines: dict[str, float] = {}
    for keyspace, item in state.feed.keyspaces.items():
        current = deadlines.get(item.service, 0.0)
        deadlines[item.service] = max(current, get_longest_deadline_s(keyspace))
    unfenced = {
        each.service
        for each in (
            *state.upstreams.list_current(),
            *state.upstreams.list_former(),
        )
        if not each.checks_fences
    }
    loads: dict[str, control.ServiceLoad] = {}
    for upstream in state.upstreams.list_current():
        service = upstream.service
        load = loads.get(service, control.ServiceLoad(service))
        effective_load = planner.effective_loads.get(upstream.id)
        loads[service] = load._replace(
            load=load.load + (effective_load.load if effective_load else 0.0),
        )
    for service, load in loads.items():
        assignable = planner.list_assignable(service, now_s)
        loads[service] = load._replace(
            slots=sum(each.slots for each in assignable),
            upstreams=len(assignable),
        )
    for service in unfenced:
        load = loads.get(service, control.ServiceLoad(service))
        longest_s = deadlines.get(service, times.DEFAULT_LONGEST_DEADLINE_S)
        loads[service] = load._replace(
            unfenced_deadline_ms=times.to_ms(longest_s)
        )
    return tuple(loads[service] for service in sorted(loads))
