"""Founds the next group of a zone whose group cannot work any more.

A group is given up when the remaining voters cannot form a quorum, as far as
their instances have registered with newer incarnations or were removed, or
when the zone was declared lost. All other instances of the zone must have
said that they have no leader: the voters may have changed without control
hearing of it.
"""

from typing import Protocol

from bamboosill_common import clock as clock_lib
from bamboosill_common.generated import control as messages
from bamboosilld.control import state as state_lib
from bamboosilld.control import tables as tables_lib
from bamboosilld.control import timing
from bamboosilld.control import zoneviews

Views = dict[str, zoneviews.ZoneView]


class Deadlines(Protocol):
    """Source of the longest deadline that contracts allow."""

    def get_longest_deadline_s(self, service: str = "") -> float:
        """Returns it in seconds, for one service or for any."""


def make_founding(
    item: messages.InstanceItem, group_epoch: int
) -> messages.FoundZone:
    """Returns the command that founds a group with one instance."""
    return messages.FoundZone(
        item=messages.ZoneItem(
            zone=item.zone,
            group_epoch=group_epoch,
            founder=item.instance,
            founder_incarnation=item.incarnation,
        )
    )


def make_voters_command(
    tables: tables_lib.Tables, beat: messages.ZoneBeat
) -> messages.PutZoneVoters | None:
    """Returns the command that records a beat's voters if they are new.

    A beat without voters counts its live instances as such.
    """
    voters = sorted(zip(beat.voters, beat.voter_incarnations, strict=False))
    if not voters:
        voters = sorted(
            (name, tables.instances[name].incarnation)
            for name in beat.live_instances
            if name in tables.instances
        )
    known = tables.zones[beat.zone]
    names = tuple(name for name, _ in voters)
    incarnations = tuple(incarnation for _, incarnation in voters)
    if not voters or (
        (names, incarnations) == (known.voters, known.voter_incarnations)
    ):
        return None
    return messages.PutZoneVoters(
        zone=beat.zone,
        group_epoch=beat.group_epoch,
        voters=names,
        voter_incarnations=incarnations,
    )


def has_lost_quorum(tables: tables_lib.Tables, zone: messages.ZoneItem) -> bool:
    """Returns whether too many voters are known to be gone."""
    remaining = 0
    for name, incarnation in zip(
        zone.voters, zone.voter_incarnations, strict=True
    ):
        known = tables.instances.get(name)
        if known and not known.removed and known.incarnation <= incarnation:
            remaining += 1
    return remaining < len(zone.voters) // 2 + 1


class Founder:
    """Decides when a zone gets its next group."""

    def __init__(
        self,
        state: state_lib.ControlState,
        clock: clock_lib.Clock,
        deadlines: Deadlines,
    ) -> None:
        self._state = state
        self._clock = clock
        self._deadlines = deadlines
        self._leaderless: dict[str, messages.InstanceItem] = {}
        self._given_up_s: dict[str, float] = {}

    def observe_leaderless(self, item: messages.InstanceItem) -> None:
        """Notes that an instance has no zone leader."""
        self._leaderless[item.instance] = item

    def forget_leaderless(self, zone: str) -> None:
        """Notes that the zone's group works."""
        self._given_up_s.pop(zone, None)
        for item in list(self._leaderless.values()):
            if item.zone == zone:
                del self._leaderless[item.instance]

    def list_due(self, views: Views) -> list[messages.FoundZone]:
        """Returns the foundings that are due now."""
        now_s = self._clock.monotonic()
        due = []
        for zone in sorted(self._state.tables.zones.values()):
            candidates = self._list_candidates(zone)
            if not candidates or not self._is_given_up(zone):
                self._given_up_s.pop(zone.zone, None)
                continue
            since_s = self._given_up_s.setdefault(zone.zone, now_s)
            if now_s - since_s >= self._compute_wait_s(views, zone.zone):
                due.append(make_founding(candidates[0], zone.group_epoch + 1))
        return due

    def _list_candidates(
        self, zone: messages.ZoneItem
    ) -> list[messages.InstanceItem]:
        """Returns the instances of a zone that wait for a group."""
        members = dict(zip(zone.voters, zone.voter_incarnations, strict=True))
        return [
            each
            for each in self._list_instances(zone.zone)
            if each.instance in self._leaderless
            and self._leaderless[each.instance].incarnation == each.incarnation
            # A member of the given-up group keeps its state of that group.
            and members.get(each.instance, 0) < each.incarnation
            and not (zone.lost and each.revision < zone.revision)
        ]

    def _is_given_up(self, zone: messages.ZoneItem) -> bool:
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

    def _compute_wait_s(self, views: Views, zone: str) -> float:
        view = views.get(zone)
        unfenced_s = (
            view.get_unfenced_s()
            if view
            else self._deadlines.get_longest_deadline_s()
        )
        return timing.FOUNDING_WAIT_S + unfenced_s
