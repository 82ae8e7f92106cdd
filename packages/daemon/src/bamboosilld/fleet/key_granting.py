"""Grants the keys of sharded services to upstreams under leases.

Each key of a sharded service has at most one holder. The leader grants keys in
its answers to heartbeats. It takes them away by no longer renewing them: they
are free once the holder has released them or its lease has expired.
"""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable

from bamboosill_common import clock as clock_lib
from bamboosill_common import logs
from bamboosill_common import metrics
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import keyplan
from bamboosilld.fleet import keyranges
from bamboosilld.fleet import leases as leases_lib
from bamboosilld.fleet import releases as releases_lib
from bamboosilld.fleet import state as state_lib
from bamboosilld.fleet import work_rates as work_rates_lib

# The first distribution of a service's keys waits until no upstream has joined
# for this many heartbeat intervals.
_SETTLE_HEARTBEATS = 2.0
# Free keys stay reserved for an upstream for this many heartbeat intervals:
# its next heartbeat may be late.
_RESERVATION_HEARTBEATS = 1.5
# Shortest time between two plans of moves for one service: about as long as
# one move takes.
_MOVE_INTERVAL_S = 1.5

_log = logs.get_logger("fleet")

Commit = Callable[[object], Awaitable[None]]
ListHolders = Callable[
    [str], dict[state_lib.UpstreamIncarnation, keyplan.Holder]
]


class Granter:
    """Grants and moves keys, and frees keys whose leases have expired.

    Attributes:
        leases: Leases of upstreams, as the leader counts them.
    """

    def __init__(
        self,
        state: state_lib.FleetState,
        clock: clock_lib.Clock,
        lease_s: float,
        heartbeat_s: float,
        commit: Commit,
        list_holders: ListHolders,
    ) -> None:
        self._state = state
        self._clock = clock
        self._heartbeat_s = heartbeat_s
        self._commit = commit
        self._list_holders = list_holders
        self.leases = leases_lib.Leases(clock, lease_s)
        self.reset()

    def reset(self) -> None:
        """Drops all in-memory state; called after each election."""
        self.leases.reset()
        # What each upstream has reported as held or in use with its last
        # heartbeat.
        self._holds: dict[
            state_lib.UpstreamIncarnation, tuple[messages.KeyRange, ...]
        ] = {}
        self._last_move_s: dict[str, float] = collections.defaultdict(float)
        # By service, keys that are no longer renewed, and when the lease on
        # them expires.
        self._revoked: dict[str, dict[keyplan.Move, float]] = (
            collections.defaultdict(dict)
        )
        # By service, free keys that are reserved for one upstream, and when
        # the reservation expires.
        self._reservations: dict[str, dict[keyplan.Reservation, float]] = (
            collections.defaultdict(dict)
        )

    async def apply_report(
        self,
        incarnation: state_lib.UpstreamIncarnation,
        report: messages.UpstreamReport,
        work_rates: work_rates_lib.WorkRates,
    ) -> list[messages.KeyRange]:
        """Applies the heartbeat of a holder and returns the keys it holds now.

        The caller renews the lease with `leases.renew` once it has checked
        that it still leads.

        Raises:
            errors.HandlerError: A command could not be committed.
        """
        item = report.item
        await self._apply_released(incarnation, report)
        if item.draining:
            return []
        # Renewed before the commit, too: a grant takes effect as soon as its
        # command is applied, and must not look expired to `tick` by then.
        self.leases.renew(incarnation)
        await self._grant_reserved(incarnation, item.service, work_rates)
        return self._list_grants(incarnation, item.service)

    async def tick(
        self,
        service: str,
        work_rates: work_rates_lib.WorkRates,
        last_join_s: float | None,
    ) -> None:
        """Frees expired keys, distributes free keys and plans moves.

        Args:
            service: Name of a sharded service.
            work_rates: Recent work of its keys.
            last_join_s: When an upstream last joined the service, or None.

        Raises:
            errors.HandlerError: A command could not be committed.
        """
        table = self._state.keys[service]
        now_s = self._clock.monotonic()
        self._holds = {
            incarnation: held
            for incarnation, held in self._holds.items()
            if self._state.is_registered(incarnation)
        }
        await self._free_expired(service, table, now_s)
        await self._distribute_initially(service, table, now_s, last_join_s)
        self._update_reservations(service, work_rates)
        self._plan_moves(service, table, work_rates)

    def _list_grants(
        self, incarnation: state_lib.UpstreamIncarnation, service: str
    ) -> list[messages.KeyRange]:
        grants = self._state.keys[service].list_held(*incarnation)
        for move in self._revoked[service]:
            if move.incarnation == incarnation:
                grants = [
                    part
                    for each in grants
                    for part in keyranges.subtract(each, move.first, move.last)
                ]
        return grants

    async def _apply_released(
        self,
        incarnation: state_lib.UpstreamIncarnation,
        report: messages.UpstreamReport,
    ) -> None:
        service = report.item.service
        freed, unconfirmed = releases_lib.find_releases(
            self._state.keys[service],
            incarnation,
            report,
            self._holds.get(incarnation, ()),
        )
        self._holds[incarnation] = report.holds
        if unconfirmed:
            _log.info(
                "Release of keys of %s not confirmed. Holder: %s.",
                service,
                incarnation.upstream,
                extra={
                    "service": service,
                    "upstream": incarnation.upstream,
                    "ranges": _format_ranges(unconfirmed),
                },
            )
        excluded = [*freed]
        if report.item.draining:
            # It gets no renewals, so these are free when its lease has ended.
            excluded += unconfirmed
        for part in excluded:
            # Excluded from renewals while the command is being committed.
            move = keyplan.Move(incarnation, part.first, part.last)
            self._revoked[service].setdefault(
                move, self.leases.get_expiry_s(incarnation)
            )
        if not freed:
            return
        await self._set_keys(service, freed)
        for part in freed:
            self._complete_revocations(service, incarnation, part)

    def _complete_revocations(
        self,
        service: str,
        incarnation: state_lib.UpstreamIncarnation,
        freed: messages.KeyRange,
    ) -> None:
        revoked = self._revoked[service]
        for move in list(revoked):
            is_inside = freed.first <= move.first and move.last <= freed.last
            if move.incarnation == incarnation and is_inside:
                del revoked[move]
                self._reserve_moved(service, move)

    def _reserve_moved(self, service: str, move: keyplan.Move) -> None:
        """Reserves released keys for the upstream that they move to."""
        if move.target is not None:
            reservation = keyplan.Reservation(
                move.target, move.first, move.last
            )
            self._add_reservation(service, reservation)

    def _add_reservation(
        self, service: str, reservation: keyplan.Reservation
    ) -> None:
        wait_s = _RESERVATION_HEARTBEATS * self._heartbeat_s
        self._reservations[service][reservation] = (
            self._clock.monotonic() + wait_s
        )

    async def _set_keys(
        self, service: str, ranges: list[messages.KeyRange]
    ) -> None:
        for holder in dict.fromkeys(each.upstream for each in ranges):
            metrics.fleet_key_changes.labels(
                "granted" if holder else "freed"
            ).inc()
            _log.info(
                "Holder of keys of %s changed. Holder: %s.",
                service,
                holder or "none",
                extra={
                    "service": service,
                    "upstream": holder,
                    "revision": self._state.revision,
                    "ranges": _format_ranges(
                        each for each in ranges if each.upstream == holder
                    ),
                },
            )
        await self._commit(messages.SetKeys(service, tuple(ranges)))

    async def _grant_reserved(
        self,
        incarnation: state_lib.UpstreamIncarnation,
        service: str,
        work_rates: work_rates_lib.WorkRates,
    ) -> None:
        """Grants an upstream the free keys that are reserved for it."""
        table = self._state.keys[service]
        if not any(each.upstream for each in table.ranges):
            # The first distribution waits until no more upstreams join.
            return
        self._update_reservations(service, work_rates, incarnation)
        reservations = [
            each
            for each in self._reservations[service]
            if each.incarnation == incarnation
        ]
        granted = [
            part._replace(
                upstream=incarnation.upstream, born_ms=incarnation.born_ms
            )
            for reservation in reservations
            for part in table.intersect(reservation.first, reservation.last)
            if not part.upstream
        ]
        for reservation in reservations:
            del self._reservations[service][reservation]
        if granted:
            await self._set_keys(service, granted)

    def _update_reservations(
        self,
        service: str,
        work_rates: work_rates_lib.WorkRates,
        reporting: state_lib.UpstreamIncarnation | None = None,
    ) -> None:
        """Drops stale reservations, and reserves free keys that have none.

        Args:
            service: Name of a sharded service.
            work_rates: Recent work of its keys.
            reporting: The upstream whose heartbeat is being handled; it gets
                its keys at once.
        """
        table = self._state.keys[service]
        reservations = self._reservations[service]
        free = [each for each in table.ranges if not each.upstream]
        if len(free) == len(table.ranges) or not free:
            reservations.clear()
            return
        now_s = self._clock.monotonic()
        holders = self._list_holders(service)
        if reporting in holders:
            holders[reporting] = holders[reporting]._replace(
                next_heartbeat_s=0.0
            )
        for reservation, expires_s in list(reservations.items()):
            if now_s >= expires_s or reservation.incarnation not in holders:
                del reservations[reservation]
        for reservation in reservations:
            free = [
                part
                for each in free
                for part in keyranges.subtract(
                    each, reservation.first, reservation.last
                )
            ]
        if free:
            for reservation in keyplan.assign_free(
                free, holders, table, work_rates, reservations
            ):
                self._add_reservation(service, reservation)

    async def _free_expired(
        self, service: str, table: keyranges.Table, now_s: float
    ) -> None:
        """Frees keys whose holder was replaced or has no valid lease."""
        revoked = self._revoked[service]
        for each in table.ranges:
            incarnation = state_lib.UpstreamIncarnation(
                each.upstream, each.born_ms
            )
            is_replaced = self._state.end_reasons.get(incarnation) == "replaced"
            if each.upstream and (
                is_replaced or self.leases.has_expired(incarnation)
            ):
                # Excluded from renewals while the command is being committed,
                # even if the holder reports again meanwhile.
                move = keyplan.Move(incarnation, each.first, each.last)
                revoked[move] = now_s
        expired = [
            move for move, expiry_s in revoked.items() if now_s >= expiry_s
        ]
        freed = [
            part._replace(upstream="", born_ms=0, handover="")
            for move in expired
            for part in table.intersect(move.first, move.last)
            if (part.upstream, part.born_ms) == move.incarnation
        ]
        if freed:
            await self._set_keys(service, freed)
        for move in expired:
            if revoked.pop(move, None) is not None:
                self._reserve_moved(service, move)

    async def _distribute_initially(
        self,
        service: str,
        table: keyranges.Table,
        now_s: float,
        last_join_s: float | None,
    ) -> None:
        """Distributes all keys of a service if none of them has a holder."""
        if any(each.upstream for each in table.ranges):
            return
        settle_s = _SETTLE_HEARTBEATS * self._heartbeat_s
        if last_join_s is None or now_s - last_join_s < settle_s:
            return
        incarnations = sorted(self._list_holders(service))
        if not incarnations:
            return
        # Keys that were held before have a fence.
        ranges = [
            part._replace(upstream=each.upstream, born_ms=each.born_ms)
            for each in keyplan.split_evenly(incarnations)
            for part in table.intersect(each.first, each.last)
        ]
        await self._set_keys(service, ranges)

    def _plan_moves(
        self,
        service: str,
        table: keyranges.Table,
        work_rates: work_rates_lib.WorkRates,
    ) -> None:
        now_s = self._clock.monotonic()
        if any(not each.upstream for each in table.ranges):
            return
        if self._revoked[service] or (
            now_s - self._last_move_s[service] < _MOVE_INTERVAL_S
        ):
            return
        moves = keyplan.plan_moves(
            self._list_holders(service), table, work_rates, self._heartbeat_s
        )
        if not moves:
            return
        self._last_move_s[service] = now_s
        for move in moves:
            self._revoked[service][move] = self.leases.get_expiry_s(
                move.incarnation
            )
        for incarnation in dict.fromkeys(move.incarnation for move in moves):
            _log.info(
                "Revoking keys of %s in order to move them. Holder: %s.",
                service,
                incarnation.upstream,
                extra={
                    "service": service,
                    "upstream": incarnation.upstream,
                    "ranges": _format_ranges(
                        move
                        for move in moves
                        if move.incarnation == incarnation
                    ),
                },
            )


def _format_ranges(
    ranges: Iterable[messages.KeyRange | keyplan.Move],
) -> str:
    return " ".join(f"{each.first}-{each.last}" for each in ranges)
