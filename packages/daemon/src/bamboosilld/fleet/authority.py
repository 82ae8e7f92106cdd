"""The leader's registry of upstreams: registration, heartbeats and removal.

Upstreams report by heartbeat. The leader commits what changes in the
replicated state, renews the senders' leases on keys, and removes upstreams
that stop reporting. Times of heartbeats and what entry instances measure are
kept in memory only: a new leader starts without them.
"""

import random
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
from bamboosilld.fleet import cold_upstreams
from bamboosilld.fleet import crash_recorder
from bamboosilld.fleet import evacuation
from bamboosilld.fleet import key_granting
from bamboosilld.fleet import keyplan
from bamboosilld.fleet import observations as observations_lib
from bamboosilld.fleet import permits as permits_lib
from bamboosilld.fleet import replication_feed as replication_feed_lib
from bamboosilld.fleet import state as state_lib
from bamboosilld.fleet import upstream_calls

# Longest wait for a command to be committed. Upstreams and operators time out
# after one second and ask another instance.
_COMMIT_TIMEOUT_S = 0.8
# An upstream is removed after this long without a heartbeat. Entry instances
# detect a failed upstream themselves, and one that only the leader cannot reach
# still serves.
_REMOVE_AFTER_S = 20.0
# The sequence numbers of an upstream that is not registered any more are kept
# for this time after its last heartbeat, as older ones may still arrive.
_KEEP_REPORT_S = 60.0
# An upstream that was silent for more than this fraction of a lease is granted
# no more keys.
_MAX_SILENCE_LEASE_FRACTION = 0.5
# Clocks of upstreams may be ahead by this time. An incarnation that is born
# later would keep all others from its id and address until then.
_MAX_BORN_AHEAD_MS = 24 * 60 * 60 * 1000
# How long computed loads and relative latencies are reused.
_STATS_INTERVAL_S = 0.2
# A heartbeat is late after this many heartbeat intervals.
_LATE_AFTER_HEARTBEATS = 1.6

_log = logs.get_logger("fleet")


class _LastReport(NamedTuple):
    """The latest heartbeat of one incarnation of an upstream."""

    sequence: int
    received_s: float


class Authority:
    """Registers upstreams and assigns keys to them while this member leads.

    Handles the heartbeats of upstreams, removes silent upstreams, and renews
    the leases of the others.

    Attributes:
        observations: What entry instances have reported since the election.
        permits: Permits to send to upstreams with a rate limit.
        crashes: Commits the crashes, and the answered requests, that entry
            instances report.
    """

    def __init__(
        self,
        node: interfaces.Node,
        state: state_lib.FleetState,
        clock: clock_lib.Clock,
        lease_s: float,
        heartbeat_s: float,
        call_client: upstream_calls.CallClient,
        rng: random.Random,
    ) -> None:
        self._node = node
        self._state = state
        self._clock = clock
        self._lease_s = lease_s
        self._rng = rng
        self._heartbeat_s = heartbeat_s
        self._granter = key_granting.Granter(
            state,
            clock,
            lease_s,
            heartbeat_s,
            self._commit,
            self._list_holders,
            lambda service: self.observations.work_rates[service],
            self.is_active_leader,
            call_client,
            rng,
        )
        self.crashes = crash_recorder.CrashRecorder(
            self._commit,
            clock,
            lambda fingerprint: state.quarantine.is_suspected(fingerprint),
        )
        self._withdrawals = evacuation.Withdrawals(
            state, clock, self._mark_cold
        )
        self._cold = cold_upstreams.ColdUpstreams(state, clock)
        self._elected_at_s: float | None = None
        self._reset()

    def _reset(self) -> None:
        now_s = self._clock.monotonic()
        self._leader_since_s = now_s
        self._granter.reset()
        self._last_reports: dict[
            state_lib.UpstreamIncarnation, _LastReport
        ] = {}
        self._last_join_s: dict[str, float] = {}
        self._stats = replication_feed_lib.EncodedStats(-1, b"", b"")
        self._stats_computed_s = now_s
        self.observations = observations_lib.Observations(self._clock)
        self.permits = permits_lib.PermitBroker(
            self._state, self._clock, self._rng, self._cold
        )
        self._mark_cold()

    def _mark_cold(self) -> None:
        """Marks upstreams as cold whose zone is not evacuated any more."""
        for each in self._withdrawals.list_cold():
            self.permits.mark_cold(each.incarnation, each.duration_s)

    def is_active_leader(self) -> bool:
        """Returns whether this member may act as leader now.

        After each election, the in-memory state of the last term is dropped.
        """
        node = self._node
        if not (node.has_leader_lease() and node.has_applied_earlier_terms()):
            return False
        if self._node.elected_at_s != self._elected_at_s:
            self._elected_at_s = self._node.elected_at_s
            self._reset()
        return True

    def encode_stats(self) -> replication_feed_lib.EncodedStats:
        """Returns loads and relative latencies of all upstreams, encoded.

        The result is cached briefly, as many instances ask for it.
        """
        now_s = self._clock.monotonic()
        is_stale = now_s - self._stats_computed_s >= _STATS_INTERVAL_S
        if is_stale or self._stats.revision != self._state.revision:
            self._stats_computed_s = now_s
            self._stats = replication_feed_lib.EncodedStats(
                self._state.revision,
                self._encode_loads(now_s),
                self.observations.relative_latencies.encode(
                    sorted(self._state.upstreams)
                ),
            )
        return self._stats

    def _encode_loads(self, now_s: float) -> bytes:
        late_after_s = _LATE_AFTER_HEARTBEATS * self._heartbeat_s
        upstreams = []
        for upstream, item in sorted(self._state.upstreams.items()):
            last_report = self._last_reports.get(
                state_lib.UpstreamIncarnation(upstream, item.born_ms)
            )
            silence_s = now_s - (
                last_report.received_s if last_report else self._leader_since_s
            )
            upstreams.append((upstream, silence_s > late_after_s))
        return self.observations.encode_loads(upstreams)

    async def handle_report(
        self, report: messages.UpstreamReport
    ) -> messages.ReportReply:
        """Handles a heartbeat and returns the keys that its sender holds.

        Raises:
            errors.HandlerError: A command could not be committed, or this
                member no longer leads.
        """
        item = report.item
        incarnation = state_lib.UpstreamIncarnation(item.upstream, item.born_ms)
        fault = self._find_fault(item)
        if fault:
            # It may come from another writer, and then says nothing of the
            # registered upstream with this id or address.
            _log.info(
                "Heartbeat not used. Upstream: %s. Born: %d. Service: %s. "
                "Reason: %s.",
                item.upstream,
                item.born_ms,
                item.service,
                fault,
            )
            metrics.fleet_reports.labels("odd").inc()
            return messages.ReportReply(accepted=True)
        if self._state.has_ended(incarnation) or self._state.find_successor(
            item
        ):
            _log.info(
                "Heartbeat rejected. Upstream: %s. Born: %d. Reason: %s.",
                incarnation.upstream,
                incarnation.born_ms,
                self._state.end_reasons.get(
                    incarnation, "a later incarnation has its id or address"
                ),
            )
            metrics.fleet_reports.labels("superseded").inc()
            return messages.ReportReply(reason="superseded")
        last_report = self._last_reports.get(incarnation)
        is_late = (
            last_report is not None and report.sequence <= last_report.sequence
        )
        if is_late:
            metrics.fleet_reports.labels("late").inc()
            return messages.ReportReply(accepted=True)
        now_s = self._clock.monotonic()
        self._last_reports[incarnation] = _LastReport(report.sequence, now_s)
        if last_report is None:
            self._last_join_s[item.service] = now_s
        is_news = self._cold.observe(item)
        if self._has_changed(item) or is_news:
            _log.info(
                "Upstream %s registered or changed. Born: %d. Service: %s. "
                "Address: %s. State: %s.",
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
        grants = await self._granter.apply_report(incarnation, report)
        self._ensure_leads()
        if grants is None:
            metrics.fleet_reports.labels("registered").inc()
            return messages.ReportReply(accepted=True)
        leases = self._granter.get_delivery(item.service).leases
        leases.renew(incarnation)
        metrics.fleet_reports.labels("renewed").inc()
        return messages.ReportReply(
            accepted=True,
            renewed=True,
            lease_ms=int(leases.lease_s * 1000),
            grants=tuple(grants),
        )

    def _find_fault(self, item: messages.UpstreamItem) -> str:
        """Returns why a heartbeat names no upstream to use, or nothing."""
        services = self._state.configuration.services
        if not any(each.name == item.service for each in services):
            return "unknown service"
        if item.born_ms > self._clock.wall_ms() + _MAX_BORN_AHEAD_MS:
            return "born in the future"
        return ""

    async def handle_leave(self, incarnation: messages.UpstreamLife) -> None:
        """Deregisters an upstream that announced its shutdown.

        Raises:
            errors.HandlerError: The command could not be committed.
        """
        item = self._state.upstreams.get(incarnation.upstream)
        born_ms = incarnation.born_ms or (item.born_ms if item else 0)
        _log.info(
            "Upstream %s deregistered itself. Born: %d.",
            incarnation.upstream,
            born_ms,
            extra={"upstream": incarnation.upstream},
        )
        ended_incarnation = incarnation._replace(born_ms=born_ms, reason="left")
        await self._commit(messages.SetUpstreams(gone=(ended_incarnation,)))

    async def tick(self) -> None:
        """Removes silent upstreams, frees expired keys and plans moves."""
        now_s = self._clock.monotonic()
        await self._remove_silent(now_s)
        for service in list(self._state.keys):
            work_rates = self.observations.work_rates[service]
            work_rates.decay(now_s)
            await self._granter.tick(service, self._last_join_s.get(service))

    def _ensure_leads(self) -> None:
        if not self.is_active_leader():
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
    ) -> dict[state_lib.UpstreamIncarnation, keyplan.Holder]:
        """Returns the upstreams that may be granted keys of a service."""
        now_s = self._clock.monotonic()
        holders = {}
        for item in self._state.upstreams.values():
            incarnation = state_lib.UpstreamIncarnation(
                item.upstream, item.born_ms
            )
            last_report = self._last_reports.get(incarnation)
            if item.service != service or item.draining or last_report is None:
                continue
            if self._state.is_evacuated(item.upstream):
                continue
            silence_s = now_s - last_report.received_s
            if silence_s <= self._lease_s * _MAX_SILENCE_LEASE_FRACTION:
                holders[incarnation] = keyplan.Holder(
                    slots=max(1, item.slots),
                    relative_latency=self.observations.relative_latencies.get(
                        item.upstream
                    ),
                    next_heartbeat_s=abs(self._heartbeat_s - silence_s),
                )
        return holders

    async def _remove_silent(self, now_s: float) -> None:
        self._last_reports = {
            incarnation: last_report
            for incarnation, last_report in self._last_reports.items()
            if self._state.is_registered(incarnation)
            or now_s - last_report.received_s < _KEEP_REPORT_S
        }
        silent = []
        for item in self._state.upstreams.values():
            incarnation = state_lib.UpstreamIncarnation(
                item.upstream, item.born_ms
            )
            last_report = self._last_reports.get(incarnation)
            heard_s = (
                last_report.received_s if last_report else self._leader_since_s
            )
            if now_s - heard_s > _REMOVE_AFTER_S:
                silent.append(
                    messages.UpstreamLife(item.upstream, item.born_ms, "silent")
                )
        if silent:
            for each in silent:
                _log.info(
                    "Removing upstream %s: no heartbeat within the limit.",
                    each.upstream,
                    extra={"upstream": each.upstream},
                )
            await self._commit(messages.SetUpstreams(gone=tuple(silent)))
