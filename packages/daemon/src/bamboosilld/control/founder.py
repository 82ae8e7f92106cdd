"""Replaces the consensus group of a zone that has lost its quorum for good.

Each zone runs one consensus group; its group epoch counts the groups that the
zone has had. The first instance of a new group is called its founder.

A group has failed when the zone was declared lost, or when too few voters
remain for a quorum. A voter is gone if its instance was removed or registered
with a newer incarnation. In the second case all other instances of the zone
must also have reported that they have no leader, because the voters may have
changed before the control group was informed.
"""

from typing import Protocol

from bamboosill_common import clock as clock_lib
from bamboosill_common.generated import control as messages
from bamboosilld.control import state as state_lib
from bamboosilld.control import tables as tables_lib
from bamboosilld.control import timing
from bamboosilld.control import zoneviews

Views = dict[str, zoneviews.ZoneView]


class DeadlineSource(Protocol):
    """Provides the longest request deadline that contracts allow."""

    def get_longest_deadline_s(self, service: str = "") -> float:
        """Returns the longest deadline of a service, or of all if empty."""


def make_found_zone_command(
    item: messages.InstanceItem, group_epoch: int
) -> messages.FoundZone:
    """Returns the command that creates a group with one instance."""
    return messages.FoundZone(
        item=messages.ZoneItem(
            zone=item.zone,
            group_epoch=group_epoch,
            founder=item.instance,
            founder_incarnation=item.incarnation,
        )
    )


def make_voters_command(
    tables: tables_lib.Tables, heartbeat: messages.ZoneBeat
) -> messages.PutZoneVoters | None:
    """Returns the command that records changed voters, or None.

    If the heartbeat lists no voters, its live instances count as voters.
    """
    voters = sorted(
        zip(heartbeat.voters, heartbeat.voter_incarnations, strict=False)
    )
    if not voters:
        voters = sorted(
            (name, tables.instances[name].incarnation)
            for name in heartbeat.live_instances
            if name in tables.instances
        )
    current = tables.zones[heartbeat.zone]
    names = tuple(name for name, _ in voters)
    incarnations = tuple(incarnation for _, incarnation in voters)
    if not voters or (
        (names, incarnations) == (current.voters, current.voter_incarnations)
    ):
        return None
    return messages.PutZoneVoters(
        zone=heartbeat.zone,
        group_epoch=heartbeat.group_epoch,
        voters=names,
        voter_incarnations=incarnations,
    )


def has_lost_quorum(tables: tables_lib.Tables, zone: messages.ZoneItem) -> bool:
    """Returns whether the remaining voters cannot form a quorum."""
    remaining = 0
    for name, incarnation in zip(
        zone.voters, zone.voter_incarnations, strict=True
    ):
        current = tables.instances.get(name)
        if (
            current
            and not current.removed
            and current.incarnation <= incarnation
        ):
            remaining += 1
    return remaining < len(zone.voters) // 2 + 1


class GroupRecovery:
    """Decides when the failed group of a zone is replaced."""

    def __init__(
        self,
        state: state_lib.ControlState,
        clock: clock_lib.Clock,
        deadlines: DeadlineSource,
    ) -> None:
        self._state = state
        self._clock = clock
        self._deadlines = deadlines
        self._leaderless: dict[str, messages.InstanceItem] = {}
        self._failed_since_s: dict[str, float] = {}

    def mark_leaderless(self, item: messages.InstanceItem) -> None:
        """Records that an instance knows no leader of its zone's group."""
        self._leaderless[item.instance] = item

    def clear_leaderless(self, zone: str) -> None:
        """Records that the zone's group has a leader."""
        self._failed_since_s.pop(zone, None)
        for item in list(self._leaderless.values()):
            if item.zone == zone:
                del self._leaderless[item.instance]

    def list_due_commands(self, views: Views) -> list[messages.FoundZone]:
        """Returns the commands that create the groups that are due now."""
        now_s = self._clock.monotonic()
        due = []
        for zone in sorted(self._state.tables.zones.values()):
            candidates = self._list_founder_candidates(zone)
            if not candidates or not self._has_failed(zone):
                self._failed_since_s.pop(zone.zone, None)
                continue
            failed_since_s = self._failed_since_s.setdefault(zone.zone, now_s)
            if now_s - failed_since_s >= self._compute_founding_wait_s(
                views, zone.zone
            ):
                due.append(
                    make_found_zone_command(candidates[0], zone.group_epoch + 1)
                )
        return due

    def _list_founder_candidates(
        self, zone: messages.ZoneItem
    ) -> list[messages.InstanceItem]:
        """Returns the leaderless instances that may found the next group."""
        voters_by_id = dict(
            zip(zone.voters, zone.voter_incarnations, strict=True)
        )
        return [
            each
            for each in self._list_instances(zone.zone)
            if each.instance in self._leaderless
            and self._leaderless[each.instance].incarnation == each.incarnation
            # Excludes voters of the failed group that have not restarted since,
            # because they still hold that group's state.
            and voters_by_id.get(each.instance, 0) < each.incarnation
            and not (zone.lost and each.revision < zone.revision)
        ]

    def _has_failed(self, zone: messages.ZoneItem) -> bool:
        if zone.lost:
            return True
        if not has_lost_quorum(self._state.tables, zone):
            return False
        return all(
            each.instance in self._leaderless
            for each in self._list_instances(zone.zone)
        )

    def _list_instances(self, zone: str) -> list[messages.InstanceItem]:
        return sorted(
            each
            for each in self._state.tables.instances.values()
            if each.zone == zone and not each.removed
        )

    def _compute_founding_wait_s(self, views: Views, zone: str) -> float:
        view = views.get(zone)
        unfenced_s = (
            view.get_max_unfenced_deadline_s()
            if view
            else self._deadlines.get_longest_deadline_s()
        )
        return timing.FOUNDING_WAIT_S + unfenced_s
