"""Metrics that are read from the parts of an instance or from its events."""

from collections.abc import Callable
import math
import pathlib
from typing import NamedTuple

from bamboosill_common import clock as clock_lib
from bamboosill_common import events
from bamboosill_common import metrics
from bamboosilld.consensus import groups as groups_lib
from bamboosilld.consensus import node as node_lib
from bamboosilld.control import service as control_service
from bamboosilld.control import zoneviews
from bamboosilld.storage import files
from bamboosilld.zone import member as member_lib

CONTROL = "control"
ZONE = "zone"


class Sources(NamedTuple):
    """What is read when metrics are collected.

    Attributes:
        count_in_flight: Returns the number of callers' requests in progress.
    """

    groups: groups_lib.Groups
    member: member_lib.ZoneMember
    control: control_service.ControlService | None
    clock: clock_lib.Clock
    check_readiness: Callable[[], tuple[str, ...]]
    count_in_flight: Callable[[], int]


class TimedFiles(files.SystemFiles):
    """The file system, with the time of each sync measured."""

    def sync(self, path: pathlib.Path) -> None:
        """Makes the content of a file durable."""
        with metrics.storage_sync.time():
            super().sync(path)


def connect(sources: Sources) -> None:
    """Lets the gauges read from the parts of this instance."""
    member, control = sources.member, sources.control
    metrics.instance_ready.set_function(lambda: not sources.check_readiness())
    metrics.clock_skew.set_function(lambda: member.clock_skew_ms / 1000)
    metrics.requests_in_flight.set_function(sources.count_in_flight)
    for group in (ZONE, CONTROL) if control is not None else (ZONE,):
        _connect_group(sources.groups, group)
    if control is not None:
        state, service = control.state, control
        metrics.control_revision.set_function(lambda: state.revision)
        metrics.control_contracts.set_function(
            lambda: len(state.tables.contracts)
        )
        metrics.control_zones_silent.set_function(
            lambda: _count_silent(service, sources.clock.monotonic())
        )


def count_event(event: events.Event) -> None:
    """Counts an event of the timeline."""
    fields = event.fields
    match event.part, event.name:
        case "zone", "begin_move":
            metrics.zone_moves_begun.inc(int(fields["shards"]))
        case "zone", "finish_move":
            metrics.zone_moves_finished.inc(int(fields["shards"]))
        case "zone", "upstream_lost":
            metrics.zone_upstreams_lost.inc()
        case "consensus", "campaign":
            metrics.consensus_campaigns.labels(_get_kind(fields["group"])).inc()
        case "consensus", "elected":
            metrics.consensus_elections.labels(_get_kind(fields["group"])).inc()
        case "control", "delegations-set":
            metrics.control_delegations_changed.inc()


def _get_kind(group: object) -> str:
    # The name of a zone group changes with each founding.
    return CONTROL if group == CONTROL else ZONE


def _connect_group(groups: groups_lib.Groups, kind: str) -> None:
    def read(value: Callable[[node_lib.Node], float]) -> Callable[[], float]:
        def find() -> float:
            for group, node in groups.list_nodes():
                if _get_kind(group) == kind:
                    return value(node)
            return math.nan

        return find

    for gauge, value in (
        (metrics.consensus_leader, lambda node: float(node.is_leader)),
        (metrics.consensus_term, lambda node: node.term),
        (metrics.consensus_commit_index, lambda node: node.commit_index),
        (metrics.consensus_applied_index, lambda node: node.applied_index),
    ):
        gauge.labels(kind).set_function(read(value))


def _count_silent(
    service: control_service.ControlService, now_s: float
) -> float:
    """Returns the number of silent zones, or NaN on a follower."""
    if not service.leads():
        return math.nan
    return sum(
        not zone.lost and not zoneviews.is_live(service.views.get(name), now_s)
        for name, zone in service.state.tables.zones.items()
    )
