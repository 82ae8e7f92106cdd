"""Grants the keys of sharded services to upstreams under leases.

Each key of a sharded service has at most one holder. The leader takes keys away
by no longer renewing them: they are free once the holder has released them or
its lease has expired. Grants reach upstreams by one of the deliveries that
`key_delivery` registers.
"""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import random

from bamboosill_common import clock as clock_lib
from bamboosill_common import logs
from bamboosill_common import metrics
from bamboosill_common.generated import fleet as messages

# Imported so that the deliveries register themselves.
from bamboosilld.fleet import call_delivery as call_delivery
from bamboosilld.fleet import evacuation
from bamboosilld.fleet import heartbeat_delivery as heartbeat_delivery
from bamboosilld.fleet import key_delivery
from bamboosilld.fleet import key_reservations
from bamboosilld.fleet import keyplan
from bamboosilld.fleet import keyranges
from bamboosilld.fleet import state as state_lib
from bamboosilld.fleet import upstream_calls
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
GetWorkRates = Callable[[str], work_rates_lib.WorkRates]
ListHolders = Callable[
    [str], dict[state_lib.UpstreamIncarnation, keyplan.Holder]
]


class Granter:
    """Grants and moves keys, and frees keys whose leases have expired."""

    def __init__(
        self,
        state: state_lib.FleetState,
        clock: clock_lib.Clock,
        lease_s: float,
        heartbeat_s: float,
        commit: Commit,
        list_holders: ListHolders,
        get_work_rates: GetWorkRates,
        may_act: Callable[[], bool],
        call_client: upstream_calls.CallClient,
        rng: random.Random,
    ) -> None:
        self._state = state
        self._clock = clock
        self._heartbeat_s = heartbeat_s
        self._commit = commit
        self._list_holders = list_holders
        self._get_work_rates = get_work_rates
        environment = key_delivery.Environment(
            self, state, clock, lease_s, may_act, call_client, rng
        )
        self._deliveries = {
            name: make_delivery(environment)
            for name, make_delivery in key_delivery.DELIVERIES.items()
        }
        self.reset()

    def reset(self) -> None:
        """Drops all in-memory state; called after each election."""
        for delivery in self._deliveries.values():
            delivery.reset()
        # Name of the delivery of each service.
        self._delivery_names: dict[str, str] = {}
        self._last_move_s: dict[str, float] = collections.defaultdict(float)
        # By service, keys that are no longer renewed, and when the lease on
        # them expires.
        self._revoked: dict[str, dict[keyplan.Move, float]] = (
            collections.defaultdict(dict)
        )
        self._reservations: dict[str, key_reservations.Reservations] = (
            collections.defaultdict(
                lambda: key_reservations.Reservations(
                    self._clock, _RESERVATION_HEARTBEATS * self._heartbeat_s
                )
            )
        )

    def get_delivery(self, service: str) -> key_delivery.Delivery:
        """Returns how grants reach the upstreams of a service.

        After a change, the leases of the former delivery are unknown to the new
        one, as after an election.
        """
        name = next(
            (
                each.grants
                for each in self._state.configuration.services
                if each.name == service and each.grants in self._deliveries
            ),
            key_delivery.DEFAULT_DELIVERY,
        )
        if self._delivery_names.get(service, name) != name:
            _log.info("Grants of keys of %s are now sent by %s.", service, name)
            self.reset()
        self._delivery_names[service] = name
        return self._deliveries[name]

    async def apply_report(
        self,
        incarnation: state_lib.UpstreamIncarnation,
        report: messages.UpstreamReport,
    ) -> list[messages.KeyRange] | None:
        """Applies the heartbeat of a holder.

        Returns:
            The keys that the reply renews, or None if it renews none.

        Raises:
            errors.HandlerError: A command could not be committed.
        """
        delivery = self.get_delivery(report.item.service)
        return await delivery.apply_report(incarnation, report)

    async def tick(self, service: str, last_join_s: float | None) -> None:
        """Frees expired keys, distributes free keys and plans moves.

        Args:
            service: Name of a sharded service.
            last_join_s: When an upstream last joined the service, or None.

        Raises:
            errors.HandlerError: A command could not be committed.
        """
        table = self._state.keys[service]
        now_s = self._clock.monotonic()
        delivery = self.get_delivery(service)
        self.revoke(
            service,
            evacuation.list_moves(self._state, service, self.list_grants),
        )
        await self._free_expired(service, table, delivery, now_s)
        await self._distribute_initially(
            service, table, delivery, now_s, last_join_s
        )
        self._update_reservations(service)
        self._plan_moves(service, table, delivery)
        await delivery.tick(service)

    def list_grants(
        self, incarnation: state_lib.UpstreamIncarnation, service: str
    ) -> list[messages.KeyRange]:
        """Returns the ranges that an incarnation is to hold and renew."""
        grants = self._state.keys[service].list_held(*incarnation)
        for move in self._revoked[service]:
            if move.incarnation == incarnation:
                grants = [
                    part
                    for each in grants
                    for part in keyranges.subtract(each, move.first, move.last)
                ]
        return grants

    def list_revoked(
        self, incarnation: state_lib.UpstreamIncarnation, service: str
    ) -> list[messages.KeyRange]:
        """Returns the ranges that it holds and is to release."""
        table = self._state.keys[service]
        return [
            part
            for move in self._revoked[service]
            if move.incarnation == incarnation
            for part in table.intersect(move.first, move.last)
            if (part.upstream, part.born_ms) == incarnation
        ]

    def revoke(self, service: str, moves: Iterable[keyplan.Move]) -> None:
        """Ends the renewal of keys; they are free once the lease is over."""
        leases = self.get_delivery(service).leases
        for move in moves:
            self._revoked[service].setdefault(
                move, leases.get_expiry_s(move.incarnation)
            )

    async def free(
        self,
        service: str,
        incarnation: state_lib.UpstreamIncarnation,
        ranges: list[messages.KeyRange],
    ) -> None:
        """Frees ranges that their holder has released.

        Raises:
            errors.HandlerError: The command could not be committed.
        """
        await self._set_keys(service, ranges)
        for part in ranges:
            self._complete_revocations(service, incarnation, part)

    async def assign(
        self, service: str, ranges: list[messages.KeyRange]
    ) -> None:
        """Grants ranges, under new fences, to the holders that they name.

        Upstreams of evacuated zones are left out: keys may have been reserved
        for them before the order.

        Raises:
            errors.HandlerError: The command could not be committed.
        """
        ranges = [
            each
            for each in ranges
            if not self._state.is_evacuated(each.upstream)
        ]
        if not ranges:
            return
        self.get_delivery(service).prepare_grants(
            {
                state_lib.UpstreamIncarnation(each.upstream, each.born_ms)
                for each in ranges
            }
        )
        await self._set_keys(service, ranges)

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
            self._reservations[service].add(reservation)

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
                    "ranges": keyranges.format_ranges(
                        each for each in ranges if each.upstream == holder
                    ),
                },
            )
        await self._commit(messages.SetKeys(service, tuple(ranges)))

    async def grant_reserved(
        self, service: str, incarnation: state_lib.UpstreamIncarnation | None
    ) -> None:
        """Grants free keys to the upstreams that they are reserved for.

        Args:
            service: Name of the service.
            incarnation: The only upstream to grant keys to; None for all.

        Raises:
            errors.HandlerError: The command could not be committed.
        """
        table = self._state.keys[service]
        if not table.has_holders():
            # The first distribution waits until no more upstreams join.
            return
        reservations = self._reservations[service]
        if reservations.is_stale(table):
            self._update_reservations(service, incarnation)
        granted = [
            part._replace(
                upstream=reservation.incarnation.upstream,
                born_ms=reservation.incarnation.born_ms,
            )
            for reservation in reservations.pop(incarnation)
            for part in table.intersect(reservation.first, reservation.last)
            if not part.upstream
        ]
        if granted:
            await self.assign(service, granted)

    def _update_reservations(
        self,
        service: str,
        reporting: state_lib.UpstreamIncarnation | None = None,
    ) -> None:
        """Drops stale reservations, and reserves free keys that have none.

        Args:
            service: Name of a sharded service.
            reporting: The upstream whose heartbeat is being handled; it gets
                its keys at once.
        """

        def list_holders() -> dict[
            state_lib.UpstreamIncarnation, keyplan.Holder
        ]:
            holders = self._list_reachable(service)
            if reporting in holders:
                holders[reporting] = holders[reporting]._replace(
                    next_heartbeat_s=0.0
                )
            return holders

        self._reservations[service].update(
            self._state.keys[service],
            list_holders,
            self._get_work_rates(service),
            self.get_delivery(service).max_ranges,
        )

    def _list_reachable(
        self, service: str
    ) -> dict[state_lib.UpstreamIncarnation, keyplan.Holder]:
        """Returns the upstreams that may be granted keys of a service."""
        delivery = self.get_delivery(service)
        return {
            incarnation: (
                holder._replace(next_heartbeat_s=0.0)
                if delivery.is_immediate
                else holder
            )
            for incarnation, holder in self._list_holders(service).items()
            if delivery.is_reachable(incarnation)
        }

    async def _free_expired(
        self,
        service: str,
        table: keyranges.Table,
        delivery: key_delivery.Delivery,
        now_s: float,
    ) -> None:
        """Frees keys whose holder was replaced or has no valid lease."""
        revoked = self._revoked[service]
        for each in table.ranges:
            incarnation = state_lib.UpstreamIncarnation(
                each.upstream, each.born_ms
            )
            is_replaced = (
                delivery.may_free_replaced()
                and self._state.end_reasons.get(incarnation) == "replaced"
            )
            if each.upstream and (
                is_replaced or delivery.leases.has_expired(incarnation)
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
        delivery: key_delivery.Delivery,
        now_s: float,
        last_join_s: float | None,
    ) -> None:
        """Distributes all keys of a service if none of them has a holder."""
        if table.has_holders():
            return
        settle_s = _SETTLE_HEARTBEATS * self._heartbeat_s
        if last_join_s is None or now_s - last_join_s < settle_s:
            return
        incarnations = sorted(self._list_reachable(service))
        if not incarnations:
            return
        # Keys that were held before have a fence.
        ranges = [
            part._replace(upstream=each.upstream, born_ms=each.born_ms)
            for each in keyplan.split_evenly(
                incarnations, delivery.ranges_per_upstream
            )
            for part in table.intersect(each.first, each.last)
        ]
        await self.assign(service, ranges)

    def _plan_moves(
        self,
        service: str,
        table: keyranges.Table,
        delivery: key_delivery.Delivery,
    ) -> None:
        now_s = self._clock.monotonic()
        if table.list_free():
            return
        if self._revoked[service] or (
            now_s - self._last_move_s[service] < _MOVE_INTERVAL_S
        ):
            return
        moves = [
            move
            for move in keyplan.plan_moves(
                self._list_reachable(service),
                table,
                self._get_work_rates(service),
                0.0 if delivery.is_immediate else self._heartbeat_s,
                delivery.max_ranges,
            )
            if delivery.is_release_final(move)
        ]
        if not moves:
            return
        self._last_move_s[service] = now_s
        self.revoke(service, moves)
        for incarnation in dict.fromkeys(move.incarnation for move in moves):
            _log.info(
                "Revoking keys of %s in order to move them. Holder: %s.",
                service,
                incarnation.upstream,
                extra={
                    "service": service,
                    "upstream": incarnation.upstream,
                    "ranges": keyranges.format_ranges(
                        move
                        for move in moves
                        if move.incarnation == incarnation
                    ),
                },
            )
