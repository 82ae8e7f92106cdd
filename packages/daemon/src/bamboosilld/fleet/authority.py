"""Duties of the leader towards upstreams: registration and heartbeats."""

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
from bamboosilld.fleet import feed as feed_lib
from bamboosilld.fleet import granting
from bamboosilld.fleet import keyplan
from bamboosilld.fleet import observations as observations_lib
from bamboosilld.fleet import state as state_lib

# Longest wait for a command to be committed. Upstreams and operators wait one
# second for an answer before they ask another instance.
_COMMIT_TIMEOUT_S = 0.8
# Upstreams that are silent for this long are removed. Entry instances notice
# a dead one themselves, and one that is only cut off still serves.
_SILENCE_LIMIT_S = 20.0
# Part of a lease after which a silent upstream gets no more keys.
_SILENT_PART = 0.5
# Loads and paces are computed again after this time.
_SIGHTS_INTERVAL_S = 0.2
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
        self._granter = granting.Granter(
            state,
            clock,
            lease_s,
            heartbeat_s,
            self._commit,
            self._list_holders,
        )
        self._elected_at_s: float | None = None
        self._begin()

    def _begin(self) -> None:
        now_s = self._clock.monotonic()
        self._begun_s = now_s
        self._granter.begin()
        self._seen: dict[state_lib.Life, _Seen] = {}
        self._joined_s: dict[str, float] = {}
        self._sights = feed_lib.Sights(-1, b"", b"")
        self._sights_s = now_s
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

    def encode_sights(self) -> feed_lib.Sights:
        """Returns what entry instances have seen of all upstreams.

        Many instances ask for it; it is computed a few times a second.
        """
        now_s = self._clock.monotonic()
        is_old = now_s - self._sights_s >= _SIGHTS_INTERVAL_S
        if is_old or self._sights.revision != self._state.revision:
            self._sights_s = now_s
            self._sights = feed_lib.Sights(
                self._state.revision,
                self._encode_loads(now_s),
                self.observations.paces.encode(sorted(self._state.upstreams)),
            )
        return self._sights

    def _encode_loads(self, now_s: float) -> bytes:
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
        grants = await self._granter.answer(
            life, report, self.observations.works[item.service]
        )
        self._check_leads()
        self._granter.leases.renew(life)
        metrics.fleet_reports.labels("renewed").inc()
        return messages.ReportReply(
            accepted=True,
            renewed=True,
            lease_ms=int(self._granter.leases.lease_s * 1000),
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
        for service in list(self._state.keys):
            works = self.observations.works[service]
            works.decay(now_s)
            await self._granter.tick(
                service, works, self._joined_s.get(service)
            )

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

    def _list_holders(
        self, service: str
    ) -> dict[state_lib.Life, keyplan.Holder]:
        """Returns the upstreams that may hold keys of a service."""
        now_s = self._clock.monotonic()
        holders = {}
        for item in self._state.upstreams.values():
            life = state_lib.Life(item.upstream, item.born_ms)
            seen = self._seen.get(life)
            if item.service != service or item.draining or seen is None:
                continue
            silence_s = now_s - seen.at_s
            if silence_s <= self._granter.leases.lease_s * _SILENT_PART:
                holders[life] = keyplan.Holder(
                    slots=max(1, item.slots),
                    pace=self.observations.paces.get(item.upstream),
                    due_s=abs(self._heartbeat_s - silence_s),
                )
        return holders

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
