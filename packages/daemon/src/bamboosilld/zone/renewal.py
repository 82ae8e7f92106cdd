"""Renews the serve lease of this instance.

Each renewal reports drained moves and, less often, load. An instance without a
lease for some time checks whether it was removed from the group.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bamboosill_common import clock as clock_lib
from bamboosill_common import errors
from bamboosill_common import metrics
from bamboosill_common import peer
from bamboosill_common.generated import zone as messages
from bamboosilld.zone import held_lease as held_lease_lib
from bamboosilld.zone import inflight
from bamboosilld.zone import membership as membership_lib
from bamboosilld.zone import times

RETRY_INTERVAL_S = 0.1
# Load is reported less often than the lease is renewed: building and encoding a
# report costs milliseconds, and rates over a few milliseconds are meaningless.
REPORT_INTERVAL_S = 1.0
_CALL_TIMEOUT_S = 0.25
# Lower bound, also for renewals triggered by moves and completed requests.
_MIN_RENEWAL_INTERVAL_S = 0.01
# After this long without a renewal, the instance checks its membership.
_MEMBERSHIP_CHECK_S = 2.0

CallLeader = Callable[
    [Any, type[Any], float],
    Coroutine[Any, Any, Result[Any, errors.PeerError]],
]


class LoadReport(NamedTuple):
    """Load figures that an entry instance sends in renewals."""

    demand: tuple[messages.Demand, ...] = ()
    upstreams: tuple[messages.UpstreamView, ...] = ()
    shard_load: tuple[messages.ShardLoad, ...] = ()


class Renewal:
    """Keeps the serve lease while this instance is a member.

    Attributes:
        reporter: Returns the load report for the leader.
        on_lease: Called with the shares of each reply and whether the lease
            became valid.
        clock_skew_ms: Own wall clock minus that of the control group.
    """

    def __init__(
        self,
        identity: peer.Identity,
        membership: membership_lib.Membership,
        in_flight: inflight.InFlightTable,
        clock: clock_lib.Clock,
        call_leader: CallLeader,
    ) -> None:
        self._identity = identity
        self._membership = membership
        self._in_flight = in_flight
        self._clock = clock
        self._call_leader = call_leader
        self._holder = held_lease_lib.LeaseHolder()
        self._renewal_requested = asyncio.Event()
        self._report_due_s = float("-inf")
        self.reporter: Callable[[], LoadReport] = LoadReport
        self.on_lease: Callable[[Any, bool], None] = lambda shares, new: None
        self.clock_skew_ms = 0
        metrics.zone_serve_lease.set_function(lambda: self.has_lease(False))

    def reset(self) -> None:
        """Drops the lease of a group that was left."""
        self._holder = held_lease_lib.LeaseHolder()
        self._report_due_s = float("-inf")

    def renew_now(self) -> None:
        """Triggers a renewal before the interval has passed."""
        self._renewal_requested.set()

    def has_lease(self, delegation_lapses: bool) -> bool:
        """Returns whether this instance may dispatch requests now."""
        node = self._membership.node
        if node is None:
            return False
        return self._holder.is_valid(
            delegation_lapses, node.applied_index, self._clock.monotonic()
        )

    async def run(self) -> None:
        """Renews until this instance is removed or the group replaced."""
        last_contact_s = self._clock.monotonic()
        had_lease = False
        while not self._is_group_replaced():
            self._renewal_requested.clear()
            code = await self._renew()
            if code == "not_member":
                return
            now_s = self._clock.monotonic()
            if code == "ok":
                last_contact_s = now_s
            elif now_s - last_contact_s > _MEMBERSHIP_CHECK_S:
                message = self._make_message(now_s)
                if await self._membership.must_rejoin(message):
                    return
                last_contact_s = self._clock.monotonic()
            has_lease = self.has_lease(False)
            if has_lease and not had_lease:
                self.on_lease((), True)
            had_lease = has_lease
            await self._wait(has_lease)

    async def _wait(self, has_lease: bool) -> None:
        await self._clock.sleep(_MIN_RENEWAL_INTERVAL_S)
        interval_s = (
            times.SERVE_RENEWAL_INTERVAL_S if has_lease else RETRY_INTERVAL_S
        )
        try:
            async with asyncio.timeout(interval_s):
                await self._renewal_requested.wait()
        except TimeoutError:
            pass

    async def _renew(self) -> str:
        """Sends one renewal; returns `ok` or the code of the failure."""
        sent_s = self._clock.monotonic()
        message = self._make_message(sent_s)
        result = await self._call_leader(
            message, messages.LeaseReply, _CALL_TIMEOUT_S
        )
        match result:
            case Success(reply) if reply.granted:
                self._accept(reply, sent_s)
                if not message.same_load:
                    self._report_due_s = sent_s + REPORT_INTERVAL_S
                return "ok"
            case Success(_):
                return "not_leader"
            case Failure(error):
                return error.code
        raise AssertionError

    def _make_message(self, now_s: float) -> messages.RenewLease:
        state, node = self._membership.state, self._membership.node
        if state is None or node is None:
            raise AssertionError("renewal while not in a zone group")
        drained, in_flight = self._in_flight.make_drain_reports(
            state.assignments, now_s
        )
        metrics.zone_records.set(len(state.records))
        metrics.zone_quarantined.set(len(state.quarantine))
        renewal = messages.RenewLease(
            group=self._membership.group,
            instance=self._membership.member.instance,
            incarnation=self._membership.member.incarnation,
            applied_index=node.applied_index,
            drained=drained,
            in_flight=in_flight,
        )
        if now_s < self._report_due_s:
            return renewal._replace(same_load=True)
        report = self.reporter()
        return renewal._replace(
            demand=tuple(report.demand),
            upstreams=tuple(report.upstreams),
            shard_load=tuple(report.shard_load),
        )

    def _accept(self, reply: messages.LeaseReply, sent_s: float) -> None:
        self._holder.accept(reply, sent_s)
        if reply.wall_ms:
            middle_ms = (self._clock.monotonic() - sent_s) * 500
            self.clock_skew_ms = int(
                self._clock.wall_ms() - middle_ms - reply.wall_ms
            )
        self.on_lease(reply.shares, False)

    def _is_group_replaced(self) -> bool:
        state = self._membership.state
        if state is None:
            return True
        item = state.feed.zones.get(self._identity.zone)
        return item is not None and item.group_epoch > state.group_epoch
