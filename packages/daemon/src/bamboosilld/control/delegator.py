"""Decides when shards are taken from a zone, and issues the delegations."""

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

# 64 blocks of 64 shards are about 200 KiB.
_BLOCKS_PER_COMMAND = 64

Views = dict[str, zoneviews.ZoneView]


class Delegator:
    """Plans the delegations of all keyspaces for one leadership."""

    def __init__(
        self,
        state: state_lib.ControlState,
        clock: clock_lib.Clock,
        deadlines: founder_lib.Deadlines,
        elected_at_s: float,
    ) -> None:
        self._state = state
        self._clock = clock
        self._deadlines = deadlines
        self._elected_at_s = elected_at_s
        # By zone and group epoch: when this leader first saw it (lost).
        self._lost_seen_s: dict[tuple[str, int], float] = {}
        self._group_seen_s: dict[tuple[str, int], float] = {}
        # By keyspace: since when slots are known, zones are out of balance,
        # and when the release budget was last used up.
        self._slots_since_s: dict[str, float] = {}
        self._unbalanced_since_s: dict[str, float] = {}
        self._budgets: dict[str, tuple[float, float]] = {}
        self._empty_since_s: dict[tuple[str, str], float] = {}

    def get_unknown_lease_end_s(self) -> float:
        """Returns when leases end that a former leader may have given."""
        return self._elected_at_s + timing.DELEGATION_LEASE_S

    def list_due(self, views: Views) -> list[messages.SetDelegations]:
        """Returns the changes of delegations that are due now."""
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
        unbalanced_s = self._unbalanced_since_s.setdefault(name, now_s)
        rebalance = now_s - unbalanced_s >= timing.REBALANCE_DELAY_S
        planned = delegation.plan(shards, view, rebalance)
        self._spend_budget(name, shards, planned, view)
        return delegation.split_blocks(name, shards, planned)

    def _make_view(
        self,
        keyspace: messages.KeyspaceItem,
        shards: list[delegation.Shard],
        views: Views,
    ) -> delegation.View:
        now_s = self._clock.monotonic()
        zones = self._state.tables.zones
        live = [
            zone
            for zone in sorted(keyspace.zones or zones)
            if zone in zones
            and not zones[zone].lost
            and zoneviews.is_live(views.get(zone), now_s)
            # A zone that must first apply a loss of shards gets no more: each
            # new delegation would be another change that it must apply.
            and now_s < views[zone].lease_end_s
            and views[zone].beat.group_epoch == zones[zone].group_epoch
        ]
        slots = {zone: views[zone].get_slots(keyspace.service) for zone in live}
        last_ids_ms = self._find_last_ids(keyspace.keyspace, shards, views)
        return delegation.View(
            slots=slots,
            group_epochs={zone: zones[zone].group_epoch for zone in live},
            takeable=self._find_takeable(keyspace, shards, views, last_ids_ms),
            id_floor_ms=self._clock.wall_ms() + timing.ID_FLOOR_AHEAD_MS,
            release_budget=self._get_budget(keyspace),
            empty_zones=self._find_empty_zones(keyspace.keyspace, slots),
            last_ids_ms=last_ids_ms,
        )

    def _find_takeable(
        self,
        keyspace: messages.KeyspaceItem,
        shards: list[delegation.Shard],
        views: Views,
        released: Collection[int],
    ) -> set[int]:
        zones = {each.zone for each in shards if each.zone}
        ended = {
            zone for zone in zones if self._has_ended(keyspace, zone, views)
        }
        group_epochs = {
            zone: self._state.tables.zones[zone].group_epoch
            for zone in zones
            if self._may_leave_group(keyspace.service, zone, views)
        }
        return {
            index
            for index, shard in enumerate(shards)
            if not shard.epoch
            or shard.zone in ended
            # The founding of the newer group waited for the older one's
            # leases to end.
            or shard.group_epoch
            != group_epochs.get(shard.zone, shard.group_epoch)
            or index in released
        }

    @staticmethod
    def _find_last_ids(
        keyspace: str, shards: list[delegation.Shard], views: Views
    ) -> dict[int, int]:
        """Returns the last ids of the shards that zones have released."""
        last_ids_ms = {}
        for zone in {each.zone for each in shards} & views.keys():
            for each in views[zone].beat.released:
                if each.keyspace != keyspace or each.shard >= len(shards):
                    continue
                shard = shards[each.shard]
                if shard.releasing and (shard.zone, shard.epoch) == (
                    zone,
                    each.epoch,
                ):
                    last_ids_ms[each.shard] = each.last_id_ms
        return last_ids_ms

    def _may_leave_group(self, service: str, zone: str, views: Views) -> bool:
        """Returns whether shards of former groups of a zone are delegated.

        A new group begins without upstreams; its shards wait for them for a
        while, because moving them all would be churn.
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
            and view.beat.group_epoch == group_epoch
            and view.get_slots(service) > 0
        )

    def _has_ended(
        self, keyspace: messages.KeyspaceItem, zone: str, views: Views
    ) -> bool:
        """Returns whether nothing granted by a zone can be in force."""
        now_s = self._clock.monotonic()
        view = views.get(zone)
        # A new leader does not know the beats that its predecessor got.
        unfenced_s = (
            view.get_unfenced_s(keyspace.service)
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
            view.lease_end_s if view else self.get_unknown_lease_end_s()
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

    def _get_budget(self, keyspace: messages.KeyspaceItem) -> int:
        """Returns the shards that may begin to move: a token bucket of 1 s."""
        now_s = self._clock.monotonic()
        rate = delegation.compute_release_rate(keyspace.shards)
        left, at_s = self._budgets.get(keyspace.keyspace, (rate, now_s))
        left = min(rate, left + rate * (now_s - at_s))
        self._budgets[keyspace.keyspace] = (left, now_s)
        return int(left)

    def _spend_budget(
        self,
        keyspace: str,
        before: list[delegation.Shard],
        after: list[delegation.Shard],
        view: delegation.View,
    ) -> None:
        spent = sum(
            new.releasing and not old.releasing
            for old, new in zip(before, after, strict=True)
            if old.zone not in view.empty_zones
        )
        left, at_s = self._budgets[keyspace]
        self._budgets[keyspace] = (left - spent, at_s)


def find_taken_zones(
    tables: tables_lib.Tables, views: Views, command: messages.SetDelegations
) -> set[str]:
    """Returns the zones that lose shards which they have not released."""
    released = {
        zone: {each[:3] for each in view.beat.released}
        for zone, view in views.items()
    }
    taken = set()
    for item in command.items:
        known = tables.delegations.get((item.keyspace, item.first_shard))
        if known is None:
            continue
        for offset, (zone, old, new) in enumerate(
            zip(known.zones, known.epochs, item.epochs, strict=True)
        ):
            release = (item.keyspace, item.first_shard + offset, old)
            if old != new and release not in released.get(zone, ()):
                taken.add(zone)
    return taken


def describe(
    command: Any,
) -> Iterator[tuple[str, dict[str, str | int | float | bool]]]:
    """Yields the events that a command of the leader gives."""
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
