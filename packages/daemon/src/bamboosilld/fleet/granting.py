"""Duties of the leader towards holders of keys: leases, grants and moves."""

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
from bamboosilld.fleet import keywork
from bamboosilld.fleet import leases as leases_lib
from bamboosilld.fleet import state as state_lib

# The first distribution of a service's keys waits until no upstream has joined
# for this many heartbeats.
_SETTLE_HEARTBEATS = 2.0
# Free keys wait for the upstream that should get them for this many
# heartbeats: one may be late.
_CLAIM_HEARTBEATS = 1.5
# Shortest time between two plans of moves of one service: about as long as a
# move takes.
_MOVE_INTERVAL_S = 1.5

_log = logs.get_logger("fleet")

Commit = Callable[[object], Awaitable[None]]
ListHolders = Callable[[str], dict[state_lib.Life, keyplan.Holder]]


class Granter:
    """Grants keys, renews leases and frees keys whose leases have ended."""

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
        self.begin()

    def begin(self) -> None:
        """Forgets everything; called by a leader after its election."""
        self.leases.begin()
        self._moved_s: dict[str, float] = collections.defaultdict(float)
        # By service, keys that are not renewed, and when the lease ends.
        self._revoked: dict[str, dict[keyplan.Move, float]] = (
            collections.defaultdict(dict)
        )
        # By service, which upstream should get free keys, and until when
        # they wait for it.
        self._claims: dict[str, dict[keyplan.Claim, float]] = (
            collections.defaultdict(dict)
        )

    async def answer(
        self,
        life: state_lib.Life,
        report: messages.UpstreamReport,
        works: keywork.Works,
    ) -> list[messages.KeyRange]:
        """Takes a report of a holder and returns what it is to hold.

        The caller counts its lease with `leases.renew` once it knows that it
        still leads.

        Raises:
            errors.HandlerError: A change could not be stored.
        """
        item = report.item
        await self._take_released(life, report)
        if item.draining:
            return []
        # Counted before the commit, too: keys are granted from the moment
        # at which their command is applied.
        self.leases.renew(life)
        await self._grant_claimed(life, item.service, works)
        return self._list_grants(life, item.service)

    async def tick(
        self, service: str, works: keywork.Works, joined_s: float | None
    ) -> None:
        """Frees ended leases, distributes keys and plans moves.

        Args:
            service: Name of a sharded service.
            works: Recent work of its keys.
            joined_s: When its last upstream has joined.

        Raises:
            errors.HandlerError: A change could not be stored.
        """
        table = self._state.keys[service]
        now_s = self._clock.monotonic()
        await self._free_ended(service, table, now_s)
        await self._distribute(service, table, now_s, joined_s)
        self._update_claims(service, works)
        self._plan_moves(service, table, works)

    def _list_grants(
        self, life: state_lib.Life, service: str
    ) -> list[messages.KeyRange]:
        grants = self._state.keys[service].list_held(*life)
        for move in self._revoked[service]:
            if move.life == life:
                grants = [
                    part
                    for each in grants
                    for part in keyranges.subtract(each, move.first, move.last)
                ]
        return grants

    async def _take_released(
        self, life: state_lib.Life, report: messages.UpstreamReport
    ) -> None:
        service = report.item.service
        table = self._state.keys[service]
        freed = [
            part._replace(upstream="", born_ms=0, handover=released.handover)
            for released in report.released
            for part in table.cut(released.first, released.last)
            if (part.upstream, part.born_ms) == life
        ]
        if not freed:
            return
        for part in freed:
            # Not renewed while the command is on its way.
            move = keyplan.Move(life, part.first, part.last)
            self._revoked[service].setdefault(move, self.leases.get_end(life))
        await self._set_keys(service, freed)
        for part in freed:
            self._end_revoked(service, life, part)

    def _end_revoked(
        self, service: str, life: state_lib.Life, freed: messages.KeyRange
    ) -> None:
        revoked = self._revoked[service]
        for move in list(revoked):
            is_inside = freed.first <= move.first and move.last <= freed.last
            if move.life == life and is_inside:
                del revoked[move]
                self._claim_moved(service, move)

    def _claim_moved(self, service: str, move: keyplan.Move) -> None:
        """Keeps keys that were given back for the upstream that takes them."""
        if move.taker is not None:
            claim = keyplan.Claim(move.taker, move.first, move.last)
            self._add_claim(service, claim)

    def _add_claim(self, service: str, claim: keyplan.Claim) -> None:
        wait_s = _CLAIM_HEARTBEATS * self._heartbeat_s
        self._claims[service][claim] = self._clock.monotonic() + wait_s

    async def _set_keys(
        self, service: str, ranges: list[messages.KeyRange]
    ) -> None:
        for holder in dict.fromkeys(each.upstream for each in ranges):
            metrics.fleet_key_changes.labels(
                "granted" if holder else "freed"
            ).inc()
            _log.info(
                "Keys of %s. Holder: %s.",
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

    async def _grant_claimed(
        self, life: state_lib.Life, service: str, works: keywork.Works
    ) -> None:
        """Grants the free keys that an upstream should get."""
        table = self._state.keys[service]
        if not any(each.upstream for each in table.ranges):
            # The first distribution waits until all have reported.
            return
        self._update_claims(service, works, life)
        claims = [each for each in self._claims[service] if each.life == life]
        granted = [
            part._replace(upstream=life.upstream, born_ms=life.born_ms)
            for claim in claims
            for part in table.cut(claim.first, claim.last)
            if not part.upstream
        ]
        for claim in claims:
            del self._claims[service][claim]
        if granted:
            await self._set_keys(service, granted)

    def _update_claims(
        self,
        service: str,
        works: keywork.Works,
        reporting: state_lib.Life | None = None,
    ) -> None:
        """Decides who should get the free keys that nobody has claimed."""
        table = self._state.keys[service]
        claims = self._claims[service]
        free = [each for each in table.ranges if not each.upstream]
        if len(free) == len(table.ranges) or not free:
            claims.clear()
            return
        now_s = self._clock.monotonic()
        holders = self._list_holders(service)
        if reporting in holders:
            holders[reporting] = holders[reporting]._replace(due_s=0.0)
        for claim, until_s in list(claims.items()):
            if now_s >= until_s or claim.life not in holders:
                del claims[claim]
        for claim in claims:
            free = [
                part
                for each in free
                for part in keyranges.subtract(each, claim.first, claim.last)
            ]
        if free:
            for claim in keyplan.claim_free(
                free, holders, table, works, claims
            ):
                self._add_claim(service, claim)

    async def _free_ended(
        self, service: str, table: keyranges.Table, now_s: float
    ) -> None:
        """Frees keys whose holder can no longer use them."""
        revoked = self._revoked[service]
        for each in table.ranges:
            life = state_lib.Life(each.upstream, each.born_ms)
            is_replaced = self._state.gone.get(life) == "replaced"
            if each.upstream and (is_replaced or self.leases.has_ended(life)):
                # Not renewed while the command is on its way, should the
                # holder come back meanwhile.
                move = keyplan.Move(life, each.first, each.last)
                revoked[move] = now_s
        ended = [move for move, end_s in revoked.items() if now_s >= end_s]
        freed = [
            part._replace(upstream="", born_ms=0, handover="")
            for move in ended
            for part in table.cut(move.first, move.last)
            if (part.upstream, part.born_ms) == move.life
        ]
        if freed:
            await self._set_keys(service, freed)
        for move in ended:
            if revoked.pop(move, None) is not None:
                self._claim_moved(service, move)

    async def _distribute(
        self,
        service: str,
        table: keyranges.Table,
        now_s: float,
        joined_s: float | None,
    ) -> None:
        """Distributes all keys of a service that nobody holds yet."""
        if any(each.upstream for each in table.ranges):
            return
        settle_s = _SETTLE_HEARTBEATS * self._heartbeat_s
        if joined_s is None or now_s - joined_s < settle_s:
            return
        lives = sorted(self._list_holders(service))
        if lives:
            await self._set_keys(service, keyplan.split_evenly(lives))

    def _plan_moves(
        self, service: str, table: keyranges.Table, works: keywork.Works
    ) -> None:
        now_s = self._clock.monotonic()
        if any(not each.upstream for each in table.ranges):
            return
        if self._revoked[service] or (
            now_s - self._moved_s[service] < _MOVE_INTERVAL_S
        ):
            return
        moves = keyplan.plan_moves(
            self._list_holders(service), table, works, self._heartbeat_s
        )
        if not moves:
            return
        self._moved_s[service] = now_s
        for move in moves:
            self._revoked[service][move] = self.leases.get_end(move.life)
        for life in dict.fromkeys(move.life for move in moves):
            _log.info(
                "Keys of %s asked back. Holder: %s.",
                service,
                life.upstream,
                extra={
                    "service": service,
                    "upstream": life.upstream,
                    "ranges": _format_ranges(
                        move for move in moves if move.life == life
                    ),
                },
            )


def _format_ranges(
    ranges: Iterable[messages.KeyRange | keyplan.Move],
) -> str:
    return " ".join(f"{each.first}-{each.last}" for each in ranges)
