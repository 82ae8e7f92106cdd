"""Duties of the leader towards upstreams: registration and leases on keys."""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from returns.result import Failure
from returns.result import Success

from bamboosill_common import clock as clock_lib
from bamboosill_common import errors
from bamboosill_common import logs
from bamboosill_common import metrics
from bamboosill_common import wire
from bamboosill_common.generated import fleet as messages
from bamboosilld.consensus import interfaces
from bamboosilld.fleet import keyplan
from bamboosilld.fleet import keyranges
from bamboosilld.fleet import leases as leases_lib
from bamboosilld.fleet import observations as observations_lib
from bamboosilld.fleet import state as state_lib

# Longest wait for a command to be committed. Upstreams and operators wait one
# second for an answer before they ask another instance.
_COMMIT_TIMEOUT_S = 0.8
# Upstreams that are silent for this long are removed. Entry instances notice
# a dead one themselves, and one that is only cut off still serves.
_SILENCE_LIMIT_S = 20.0
# The first distribution of a service's keys waits until no upstream has joined
# for this many heartbeats.
_SETTLE_BEATS = 2.0
# Free keys go to upstreams that are this much more loaded for each second
# that they wait.
_SLACK_PER_S = 1.5
# Shortest time between two moves of keys of one service.
_MOVE_INTERVAL_S = 3.0

# A heartbeat is late when this many were due since the last one.
_LATE_HEARTBEATS = 1.6

_log = logs.get_logger("fleet")


class _Seen(NamedTuple):
    """The latest report of one life."""

    sequence: int
    at_s: float


class Authority:
    """Registers upstreams and grants keys while this member leads.

    Attributes:
        observations: What entry instances have seen since the election.
    """

    def __init__(
        self,
        node: interfaces.Node,
        state: state_lib.FleetState,
        clock: clock_lib.Clock,
        lease_s: float,
        heartbeat_s: float,
    ) -> None:
        self._node = node
        self._state = state
        self._clock = clock
        self._heartbeat_s = heartbeat_s
        self._leases = leases_lib.Leases(clock, lease_s)
        self._elected_at_s: float | None = None
        self._begin()

    def _begin(self) -> None:
        now_s = self._clock.monotonic()
        self._begun_s = now_s
        self._leases.begin()
        self._seen: dict[state_lib.Life, _Seen] = {}
        self._joined_s: dict[str, float] = {}
        self._free_since_s: dict[str, float] = {}
        self._moved_s: dict[str, float] = collections.defaultdict(float)
        # By service, keys that are not renewed, and when the lease ends.
        self._revoked: dict[str, dict[keyplan.Move, float]] = (
            collections.defaultdict(dict)
        )
        self.observations = observations_lib.Observations(self._clock)

    def leads(self) -> bool:
        """Returns whether this member may act as leader now."""
        node = self._node
        if not (node.has_leader_lease() and node.has_applied_barrier()):
            return False
        if self._node.elected_at_s != self._elected_at_s:
            self._elected_at_s = self._node.elected_at_s
            self._begin()
        return True

    def encode_loads(self) -> bytes:
        """Returns the latest loads of all upstreams, a byte for each."""
        now_s = self._clock.monotonic()
        late_s = _LATE_HEARTBEATS * self._heartbeat_s
        upstreams = []
        for upstream, item in sorted(self._state.upstreams.items()):
            seen = self._seen.get(state_lib.Life(upstream, item.born_ms))
            silence_s = now_s - (seen.at_s if seen else self._begun_s)
            upstreams.append((upstream, silence_s > late_s))
        return self.observations.encode_loads(upstreams)

    async def handle_report(
        self, report: messages.UpstreamReport
    ) -> messages.ReportReply:
        """Takes a heartbeat and returns the keys that its sender holds.

        Raises:
            errors.HandlerError: The report could not be stored.
        """
        item = report.item
        life = state_lib.Life(item.upstream, item.born_ms)
        if self._state.has_ended(life) or self._state.find_successor(item):
            _log.info(
                "Report refused. Upstream: %s. Born: %d. Reason: %s.",
                life.upstream,
                life.born_ms,
                self._state.gone.get(life, "a later one has its place"),
            )
            metrics.fleet_reports.labels("superseded").inc()
            return messages.ReportReply(reason="superseded")
        seen = self._seen.get(life)
        is_late = seen is not None and report.sequence <= seen.sequence
        if is_late:
            metrics.fleet_reports.labels("late").inc()
            return messages.ReportReply(accepted=True)
        now_s = self._clock.monotonic()
        self._seen[life] = _Seen(report.sequence, now_s)
        if seen is None:
            self._joined_s[item.service] = now_s
        if self._has_changed(item):
            _log.info(
                "Upstream %s. Born: %d. Service: %s. Address: %s. State: %s.",
                item.upstream,
                item.born_ms,
                item.service,
                item.address,
                "draining" if item.draining else "ready",
                extra={"upstream": item.upstream, "service": item.service},
            )
            await self._commit(messages.SetUpstreams(upstreams=(item,)))
        table = self._state.keys.get(item.service)
        if table is None:
            return messages.ReportReply(accepted=True)
        await self._take_released(life, report)
        if not item.draining:
            # Counted before the commit, too: keys are granted from the moment
            # at which their command is applied.
            self._leases.renew(life)
            await self._grant_free(life, item.service)
        self._check_leads()
        grants = self._list_grants(life, item)
        self._leases.renew(life)
        metrics.fleet_reports.labels("renewed").inc()
        return messages.ReportReply(
            accepted=True,
            renewed=True,
            lease_ms=int(self._leases.lease_s * 1000),
            grants=tuple(grants),
        )

    async def handle_leave(self, life: messages.UpstreamLife) -> None:
        """Records that an upstream leaves.

        Raises:
            errors.HandlerError: It could not be stored.
        """
        item = self._state.upstreams.get(life.upstream)
        born_ms = life.born_ms or (item.born_ms if item else 0)
        _log.info(
            "Upstream %s leaves. Born: %d.",
            life.upstream,
            born_ms,
            extra={"upstream": life.upstream},
        )
        gone = life._replace(born_ms=born_ms, reason="left")
        await self._commit(messages.SetUpstreams(gone=(gone,)))

    async def tick(self) -> None:
        """Removes silent upstreams, frees ended leases and plans moves."""
        now_s = self._clock.monotonic()
        await self._remove_silent(now_s)
        for service, table in list(self._state.keys.items()):
            self.observations.works[service].decay(now_s)
            await self._free_ended(service, table, now_s)
            await self._distribute(service, table, now_s)
            self._plan_moves(service, table, now_s)

    def _check_leads(self) -> None:
        if not self.leads():
            raise errors.HandlerError("not_leader", "leadership was lost")

    async def _commit(self, command: object) -> None:
        result = await self._node.propose(wire.pack(command), _COMMIT_TIMEOUT_S)
        match result:
            case Failure(error):
                raise errors.HandlerError(error.code, error.detail)
            case Success(_):
                return

    def _has_changed(self, item: messages.UpstreamItem) -> bool:
        known = self._state.upstreams.get(item.upstream)
        return known is None or known._replace(warmup_ms=item.warmup_ms) != item

    def _list_grants(
        self, life: state_lib.Life, item: messages.UpstreamItem
    ) -> list[messages.KeyRange]:
        if item.draining:
            return []
        grants = self._state.keys[item.service].list_held(*life)
        for move in self._revoked[item.service]:
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
            self._revoked[service].setdefault(move, self._leases.get_end(life))
        await self._set_keys(service, freed)
        for part in freed:
            self._forget_revoked(service, life, part)

    def _forget_revoked(
        self, service: str, life: state_lib.Life, freed: messages.KeyRange
    ) -> None:
        revoked = self._revoked[service]
        for move in list(revoked):
            is_inside = freed.first <= move.first and move.last <= freed.last
            if move.life == life and is_inside:
                del revoked[move]

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

    async def _grant_free(self, life: state_lib.Life, service: str) -> None:
        table = self._state.keys[service]
        if not any(each.upstream for each in table.ranges):
            # The first distribution waits until all have reported.
            return
        if all(each.upstream for each in table.ranges):
            self._free_since_s.pop(service, None)
            return
        now_s = self._clock.monotonic()
        since_s = self._free_since_s.setdefault(service, now_s)
        chosen = keyplan.choose_free(
            life,
            self._get_capacities(service),
            table,
            self.observations.works[service],
            (now_s - since_s) * _SLACK_PER_S,
        )
        if chosen:
            await self._set_keys(
                service,
                [
                    each._replace(upstream=life.upstream, born_ms=life.born_ms)
                    for each in chosen
                ],
            )

    def _get_capacities(self, service: str) -> dict[state_lib.Life, float]:
        """Returns the upstreams that may hold keys, and their capacity."""
        now_s = self._clock.monotonic()
        capacities = {}
        for item in self._state.upstreams.values():
            life = state_lib.Life(item.upstream, item.born_ms)
            seen = self._seen.get(life)
            if item.service != service or item.draining or seen is None:
                continue
            if now_s - seen.at_s > self._leases.lease_s / 2:
                continue
            pace = self.observations.get_pace(item.upstream)
            capacities[life] = max(1, item.slots) / pace
        return capacities

    def _get_busy(self, service: str) -> dict[state_lib.Life, float]:
        """Returns recent requests for each slot of the holders of keys."""
        busy = {}
        for life in self._get_capacities(service):
            slots = max(1, self._state.upstreams[life.upstream].slots)
            load = self.observations.get_mean_load(life.upstream)
            busy[life] = load / slots
        return busy

    async def _remove_silent(self, now_s: float) -> None:
        gone = []
        for item in self._state.upstreams.values():
            life = state_lib.Life(item.upstream, item.born_ms)
            seen = self._seen.get(life)
            heard_s = seen.at_s if seen else self._begun_s
            if now_s - heard_s > _SILENCE_LIMIT_S:
                gone.append(
                    messages.UpstreamLife(item.upstream, item.born_ms, "silent")
                )
        if gone:
            for each in gone:
                _log.info(
                    "Upstream %s is silent; removing it.",
                    each.upstream,
                    extra={"upstream": each.upstream},
                )
            await self._commit(messages.SetUpstreams(gone=tuple(gone)))

    async def _free_ended(
        self, service: str, table: keyranges.Table, now_s: float
    ) -> None:
        """Frees keys whose holder can no longer use them."""
        revoked = self._revoked[service]
        for each in table.ranges:
            life = state_lib.Life(each.upstream, each.born_ms)
            is_replaced = self._state.gone.get(life) == "replaced"
            if each.upstream and (is_replaced or self._leases.has_ended(life)):
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
            revoked.pop(move, None)

    async def _distribute(
        self, service: str, table: keyranges.Table, now_s: float
    ) -> None:
        """Distributes all keys of a service that nobody holds yet."""
        if any(each.upstream for each in table.ranges):
            return
        joined_s = self._joined_s.get(service)
        settle_s = _SETTLE_BEATS * self._heartbeat_s
        if joined_s is None or now_s - joined_s < settle_s:
            return
        lives = sorted(self._get_capacities(service))
        if lives:
            await self._set_keys(service, keyplan.split_evenly(lives))

    def _plan_moves(
        self, service: str, table: keyranges.Table, now_s: float
    ) -> None:
        if any(not each.upstream for each in table.ranges):
            return
        if self._revoked[service] or (
            now_s - self._moved_s[service] < _MOVE_INTERVAL_S
        ):
            return
        moves = keyplan.plan_moves(
            self._get_busy(service), table, self.observations.works[service]
        )
        if not moves:
            return
        self._moved_s[service] = now_s
        for move in moves:
            self._revoked[service][move] = self._leases.get_end(move.life)
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
