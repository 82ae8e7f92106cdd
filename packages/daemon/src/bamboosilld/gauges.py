"""Connects the metrics of an instance to their sources.

Gauges read the state of the instance's components at collection time;
counters are incremented by events of the timeline.
"""

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

CONTROL_LABEL = "control"
ZONE_LABEL = "zone"


class MetricSources(NamedTuple):
    """Components whose state the gauges read when metrics are collected.

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
    """File system access that records the duration of each sync."""

    def sync(self, path: pathlib.Path) -> None:
        """Makes the content of a file durable."""
        with metrics.storage_sync.time():
            super().sync(path)


def connect(sources: MetricSources) -> None:
    """Sets the functions from which the gauges read their values."""
    member, control = sources.member, sources.control
    metrics.instance_ready.set_function(lambda: not sources.check_readiness())
    metrics.clock_skew.set_function(lambda: member.clock_skew_ms / 1000)
    metrics.requests_in_flight.set_function(sources.count_in_flight)
    for group in (
        (ZONE_LABEL, CONTROL_LABEL) if control is not None else (ZONE_LABEL,)
    ):
        _connect_group_gauges(sources.groups, group)
    if control is not None:
        state, service = control.state, control
        metrics.control_revision.set_function(lambda: state.revision)
        metrics.control_contracts.set_function(
            lambda: len(state.tables.contracts)
        )
        metrics.control_zones_silent.set_function(
            lambda: _count_silent_zones(service, sources.clock.monotonic())
        )


def count_event(event: events.Event) -> None:
    """Increments the counter that belongs to a timeline event, if any."""
    fields = event.fields
    match event.part, event.name:
        case "zone", "begin_move":
            metrics.zone_moves_begun.inc(int(fields["shards"]))
        case "zone", "finish_move":
            metrics.zone_moves_finished.inc(int(fields["shards"]))
        case "zone", "upstream_lost":
            metrics.zone_upstreams_lost.inc()
        case "consensus", "campaign":
            metrics.consensus_campaigns.labels(
                _get_group_label(fields["group"])
            ).inc()
        case "consensus", "elected":
            metrics.consensus_elections.labels(
                _get_group_label(fields["group"])
            ).inc()
        case "control", "delegations-set":
            metrics.control_delegations_changed.inc()


def _get_group_label(group: object) -> str:
    # A zone's group gets a new name each time it is founded, so its name would
    # make an unbounded label.
    return CONTROL_LABEL if group == CONTROL_LABEL else ZONE_LABEL


def _connect_group_gauges(groups: groups_lib.Groups, label: str) -> None:
    def make_reader(
        get_value: Callable[[node_lib.Node], float],
    ) -> Callable[[], float]:
        def read_node_value() -> float:
            for group, node in groups.list_nodes():
                if _get_group_label(group) == label:
                    return get_value(node)
            return math.nan

        return read_node_value

    for gauge, get_value in (
        (metrics.consensus_leader, lambda node: float(node.is_leader)),
        (metrics.consensus_term, lambda node: node.term),
        (metrics.consensus_commit_index, lambda node: node.commit_index),
        (metrics.consensus_applied_index, lambda node: node.applied_index),
    ):
        gauge.labels(label).set_function(make_reader(get_value))


def _count_silent_zones(
    service: control_service.ControlService, now_s: float
) -> float:
    """Returns the number of silent zones, or NaN on a follower.

    Zones that were declared lost are not counted.
    """
    if not service.is_active_leader():
        return math.nan
    return sum(
        not zone.lost and not zoneviews.is_live(service.views.get(name), now_s)
        for name, zone in service.state.tables.zones.items()
    )
