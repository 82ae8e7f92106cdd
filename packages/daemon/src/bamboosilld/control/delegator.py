"""Decides when shards are delegated to zones and taken from them.

A zone serves its shards only while it has a delegation lease. A shard may be
delegated to another zone after its zone has released it, or after every grant
of that zone has expired.
"""

from collections.abc import Collection
from collections.abc import Iterator
from typing import Any

from bamboosill_common import clock as clock_lib
from bamboosill_common.generated import control as messages
from bamboosilld.control import delegation
from bamboosilld.control import founder as founder_lib
from bamboosilld.control import state as state_lib
from bamboosilld.control import tables as tables_lib
from bamboosilld.control import timing
from bamboosilld.control import zoneviews

# Keeps a command below about 200 KiB: each block has 64 shards.
_BLOCKS_PER_COMMAND = 64

Views = dict[str, zoneviews.ZoneView]


class Delegator:
    """Plans the delegations of all keyspaces during one leader term."""

    def __init__(
        self,
        state: state_lib.ControlState,
        clock: clock_lib.Clock,
        deadlines: founder_lib.DeadlineSource,
        elected_at_s: float,
    ) -> None:
        self._state = state
        self._clock = clock
        self._deadlines = deadlines
        self._elected_at_s = elected_at_s
        # By zone and group epoch: when this leader first saw the zone lost,
        # and when it first saw the group.
        self._lost_seen_s: dict[tuple[str, int], float] = {}
        self._group_seen_s: dict[tuple[str, int], float] = {}
        # By keyspace: since when there are slots, since when the zones are out
        # of balance, and the release budget with the time of its refill.
        self._slots_since_s: dict[str, float] = {}
        self._unbalanced_since_s: dict[str, float] = {}
        self._budgets: dict[str, tuple[float, float]] = {}
        self._empty_since_s: dict[tuple[str, str], float] = {}

    def get_former_leader_lease_end_s(self) -> float:
        """Returns by when all leases that a former leader granted expire."""
        return self._elected_at_s + timing.DELEGATION_LEASE_S

    def list_due_commands(self, views: Views) -> list[messages.SetDelegations]:
        """Returns the commands that change delegations now."""
        items: list[messages.DelegationItem] = []
        for name in sorted(self._state.tables.keyspaces):
            if self._state.tables.customers.get(name):
                items += self._plan_keyspace(name, views)
        return [
            messages.SetDelegations(
                items=tuple(items[first : first + _BLOCKS_PER_COMMAND])
            )
            for first in range(0, len(items), _BLOCKS_PER_COMMAND)
        ]

    def _plan_keyspace(
        self, name: str, views: Views
    ) -> list[messages.DelegationItem]:
        now_s = self._clock.monotonic()
        keyspace = self._state.tables.keyspaces[name]
        shards = delegation.read_shards(self._state.tables, name)
        view = self._make_view(keyspace, shards, views)
        if not sum(view.slots.values()):
            self._slots_since_s.pop(name, None)
            return []
        since_s = self._slots_since_s.setdefault(name, now_s)
        if now_s - since_s < timing.FIRST_DELEGATION_DELAY_S and any(
            not each.epoch for each in shards
        ):
            return []
        if delegation.is_balanced(shards, view):
            self._unbalanced_since_s.pop(name, None)
        unbalanced_since_s = self._unbalanced_since_s.setdefault(name, now_s)
        rebalance = now_s - unbalanced_since_s >= timing.REBALANCE_DELAY_S
        planned = delegation.plan(shards, view, rebalance)
        self._spend_budget(name, shards, planned, view)
        return delegation.split_blocks(name, shards, planned)

    def _make_view(
        self,
        keyspace: messages.KeyspaceItem,
        shards: list[delegation.Shard],
        views: Views,
    ) -> delegation.KeyspaceView:
        now_s = self._clock.monotonic()
        zones = self._state.tables.zones
        live = [
            zone
            for zone in sorted(keyspace.zones or zones)
            if zone in zones
            and not zones[zone].lost
            and zoneviews.is_live(views.get(zone), now_s)
            # A zone without a lease must first apply the loss of shards. It
            # gets no new ones: each would be another change to apply.
            and now_s < views[zone].lease_end_s
            and views[zone].last_heartbeat.group_epoch
            == zones[zone].group_epoch
        ]
        slots = {zone: views[zone].get_slots(keyspace.service) for zone in live}
        last_ids_ms = self._find_last_ids_ms(keyspace.keyspace, shards, views)
        return delegation.KeyspaceView(
            slots=slots,
            group_epochs={zone: zones[zone].group_epoch for zone in live},
            reassignable=self._find_reassignable(
                keyspace, shards, views, last_ids_ms
            ),
            id_floor_ms=self._clock.wall_ms() + timing.ID_FLOOR_AHEAD_MS,
            release_budget=self._refill_budget(keyspace),
            empty_zones=self._find_empty_zones(keyspace.keyspace, slots),
            last_ids_ms=last_ids_ms,
        )

    def _find_reassignable(
        self,
        keyspace: messages.KeyspaceItem,
        shards: list[delegation.Shard],
        views: Views,
        released: Collection[int],
    ) -> set[int]:
        zones = {each.zone for each in shards if each.zone}
        expired_zones = {
            zone
            for zone in zones
            if self._have_grants_expired(keyspace, zone, views)
        }
        group_epochs = {
            zone: self._state.tables.zones[zone].group_epoch
            for zone in zones
            if self._may_reassign_former_group(keyspace.service, zone, views)
        }
        return {
            index
            for index, shard in enumerate(shards)
            if not shard.epoch
            or shard.zone in expired_zones
            # The newer group was created only after the leases of the older
            # one had expired.
            or shard.group_epoch
            != group_epochs.get(shard.zone, shard.group_epoch)
            or index in released
        }

    @staticmethod
    def _find_last_ids_ms(
        keyspace: str, shards: list[delegation.Shard], views: Views
    ) -> dict[int, int]:
        """Returns the last id time stamps of shards that zones released."""
        last_ids_ms = {}
        for zone in {each.zone for each in shards} & views.keys():
            for each in views[zone].last_heartbeat.released:
                if each.keyspace != keyspace or each.shard >= len(shards):
                    continue
                shard = shards[each.shard]
                if shard.releasing and (shard.zone, shard.epoch) == (
                    zone,
                    each.epoch,
                ):
                    last_ids_ms[each.shard] = each.last_id_ms
        return last_ids_ms

    def _may_reassign_former_group(
        self, service: str, zone: str, views: Views
    ) -> bool:
        """Returns whether shards of a zone's former group are delegated anew.

        A new group starts without upstreams. The shards wait a few seconds
        for them to register again instead of all moving to other zones.
        """
        now_s = self._clock.monotonic()
        group_epoch = self._state.tables.zones[zone].group_epoch
        seen_s = self._group_seen_s.setdefault((zone, group_epoch), now_s)
        if now_s - seen_s >= timing.NEW_GROUP_GRACE_S:
            return True
        view = views.get(zone)
        return (
            view is not None
            and zoneviews.is_live(view, now_s)
            and view.last_heartbeat.group_epoch == group_epoch
            and view.get_slots(service) > 0
        )

    def _have_grants_expired(
        self, keyspace: messages.KeyspaceItem, zone: str, views: Views
    ) -> bool:
        """Returns whether everything that a zone granted has expired."""
        now_s = self._clock.monotonic()
        view = views.get(zone)
        # A new leader does not know the heartbeats sent to its predecessor.
        unfenced_s = (
            view.get_max_unfenced_deadline_s(keyspace.service)
            if view
            else self._deadlines.get_longest_deadline_s(keyspace.service)
        )
        item = self._state.tables.zones[zone]
        if item.lost:
            seen_s = self._lost_seen_s.setdefault(
                (zone, item.group_epoch), now_s
            )
            return now_s >= seen_s + timing.FOUNDING_WAIT_S + unfenced_s
        if keyspace.zone_loss != "lapse":
            return False
        lease_end_s = (
            view.lease_end_s if view else self.get_former_leader_lease_end_s()
        )
        return now_s >= lease_end_s + timing.CLOCK_MARGIN_S + unfenced_s

    def _find_empty_zones(
        self, keyspace: str, slots: dict[str, int]
    ) -> set[str]:
        now_s = self._clock.monotonic()
        empty = set()
        for zone, count in slots.items():
            if count:
                self._empty_since_s.pop((keyspace, zone), None)
                continue
            since_s = self._empty_since_s.setdefault((keyspace, zone), now_s)
            if now_s - since_s >= timing.EMPTY_ZONE_DELAY_S:
                empty.add(zone)
        return empty

    def _refill_budget(self, keyspace: messages.KeyspaceItem) -> int:
        """Refills the token bucket and returns how many shards may move.

        The capacity of the bucket is the rate of 1 s.
        """
        now_s = self._clock.monotonic()
        rate = delegation.compute_release_rate(keyspace.shards)
        available, at_s = self._budgets.get(keyspace.keyspace, (rate, now_s))
        available = min(rate, available + rate * (now_s - at_s))
        self._budgets[keyspace.keyspace] = (available, now_s)
        return int(available)

    def _spend_budget(
        self,
        keyspace: str,
        before: list[delegation.Shard],
        after: list[delegation.Shard],
        view: delegation.KeyspaceView,
    ) -> None:
        begun_releases = sum(
            new.releasing and not old.releasing
            for old, new in zip(before, after, strict=True)
            if old.zone not in view.empty_zones
        )
        available, at_s = self._budgets[keyspace]
        self._budgets[keyspace] = (available - begun_releases, at_s)


def find_zones_losing_shards(
    tables: tables_lib.Tables, views: Views, command: messages.SetDelegations
) -> set[str]:
    """Returns the zones that lose shards without having released them."""
    released = {
        zone: {each[:3] for each in view.last_heartbeat.released}
        for zone, view in views.items()
    }
    losing_zones = set()
    for item in command.items:
        current = tables.delegations.get((item.keyspace, item.first_shard))
        if current is None:
            continue
        for offset, (zone, old, new) in enumerate(
            zip(current.zones, current.epochs, item.epochs, strict=True)
        ):
            release = (item.keyspace, item.first_shard + offset, old)
            if old != new and release not in released.get(zone, ()):
                losing_zones.add(zone)
    return losing_zones


def iter_events(
    command: Any,
) -> Iterator[tuple[str, dict[str, str | int | float | bool]]]:
    """Yields name and fields of the timeline events of a command."""
    match command:
        case messages.SetDelegations():
            for item in command.items:
                yield (
                    "delegations-set",
                    {
                        "keyspace": item.keyspace,
                        "first_shard": item.first_shard,
                        "zones": ",".join(sorted(set(item.zones))),
                        "releasing": sum(item.releasing),
                    },
                )
        case messages.FoundZone():
            yield (
                "zone-founded",
                {
                    "zone": command.item.zone,
                    "group_epoch": command.item.group_epoch,
                    "founder": command.item.founder,
                },
            )
