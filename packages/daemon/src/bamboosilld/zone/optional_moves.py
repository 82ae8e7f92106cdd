"""Decides when a zone leader may start optional moves.

Optional moves balance load or end hot keys that cooled down. They are held back
while they would have to wait for a lost instance, and while a new leader has no
complete reports of load.
"""

from collections.abc import Callable

from bamboosilld.consensus import interfaces
from bamboosilld.placement import load as load_lib
from bamboosilld.zone import assignments
from bamboosilld.zone import serve_leases as serve_leases_lib
from bamboosilld.zone import state as state_lib
from bamboosilld.zone import times

# Requests in flight are averaged over this time. Before it has passed, a new
# leader would treat keys whose load it has not seen as keys without load.
AVERAGING_S = load_lib.HALF_LIFE_S
# All leases of a former leader have expired after this time.
_MAX_LEASE_S = max(times.SERVE_LEASE_S, times.GRANT_LEASE_S) + times.MARGIN_S


class OptionalMoveGate:
    """Decides whether a leader may begin an optional move now.

    Args:
        state: Replicated state of the zone.
        node: Consensus node of this leader.
        serve_leases: Leases that this leader granted.
        get_longest_deadline_s: Longest deadline of requests to a keyspace.
        elected_at_s: When the leader was elected.
    """

    def __init__(
        self,
        state: state_lib.ZoneState,
        node: interfaces.Node,
        serve_leases: serve_leases_lib.ServeLeases,
        get_longest_deadline_s: Callable[[str], float],
        elected_at_s: float,
    ) -> None:
        self._state = state
        self._node = node
        self._serve_leases = serve_leases
        self._get_longest_deadline_s = get_longest_deadline_s
        self._former_leases_expire_s = elected_at_s + _MAX_LEASE_S
        self._reported_since_s: float | None = None
        self._has_complete_reports = False

    def has_complete_reports(self, now_s: float) -> bool:
        """Returns whether all members have reported for long enough.

        Must be called in each planning round. Once true, it stays true.
        """
        if self._has_complete_reports:
            return True
        if not self._has_all_reports(now_s):
            self._reported_since_s = None
            return False
        if self._reported_since_s is None:
            self._reported_since_s = now_s
        self._has_complete_reports = (
            now_s >= self._former_leases_expire_s
            and now_s - self._reported_since_s >= AVERAGING_S
        )
        return self._has_complete_reports

    def may_begin(
        self,
        key: assignments.AssignmentKey,
        owner: assignments.Owner,
        now_s: float,
    ) -> bool:
        """Returns whether an optional move would finish without long waits.

        False for a new leader: it does not know which instances were lost with
        requests in flight, which an upstream that does not check fences may
        still run.
        """
        if not self._has_complete_reports:
            return False
        upstream = self._state.upstreams.find_incarnation(owner)
        fenced = upstream is not None and upstream.checks_fences
        # Fences do not protect hot keys.
        max_in_flight_s = (
            0.0
            if fenced and not key.key
            else self._get_longest_deadline_s(key.keyspace)
        )
        return self._serve_leases.has_no_lost_holder(max_in_flight_s, now_s)

    def _has_all_reports(self, now_s: float) -> bool:
        """Returns whether each group member holds a serve lease.

        Lost members do not block this for long, as they are removed from the
        group.
        """
        holders = self._serve_leases.list_live(now_s)
        return all(
            serve_leases_lib.HolderKey(each.instance, each.incarnation)
            in holders
            for each in self._node.membership.members
        )
