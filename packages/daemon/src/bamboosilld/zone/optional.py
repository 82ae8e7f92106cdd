"""Decides when a zone leader may begin moves that are not necessary."""

from collections.abc import Callable

from bamboosilld.consensus import interfaces
from bamboosilld.placement import load as load_lib
from bamboosilld.zone import assignments
from bamboosilld.zone import leases as leases_lib
from bamboosilld.zone import state as state_lib
from bamboosilld.zone import times

# Requests in flight are averaged over this time; before it has passed, a
# leader takes keys whose load it has not seen for keys without load.
AVERAGING_S = load_lib.HALF_LIFE_S
# The longest of the times after which leases of a former leader have ended.
_FORMER_LEASES_S = (
    max(times.SERVE_LEASE_S, times.GRANT_LEASE_S) + times.MARGIN_S
)


class OptionalMoves:
    """Holds back moves that would wait, and those of an uninformed leader.

    Args:
        state: The zone's state.
        node: The leading member.
        serve_leases: Leases that this leader granted.
        get_longest_deadline_s: Longest deadline of requests to a keyspace.
        elected_at_s: When the leader was elected.
    """

    def __init__(
        self,
        state: state_lib.ZoneState,
        node: interfaces.Node,
        serve_leases: leases_lib.ServeLeases,
        get_longest_deadline_s: Callable[[str], float],
        elected_at_s: float,
    ) -> None:
        self._state = state
        self._node = node
        self._serve_leases = serve_leases
        self._get_longest_deadline_s = get_longest_deadline_s
        self._former_until_s = elected_at_s + _FORMER_LEASES_S
        self._reported_since_s: float | None = None
        self._is_informed = False

    def is_informed(self, now_s: float) -> bool:
        """Returns whether all live instances reported for long enough.

        It is called at each planning and stays true afterwards.
        """
        if self._is_informed:
            return True
        if not self._has_all_reports(now_s):
            self._reported_since_s = None
            return False
        if self._reported_since_s is None:
            self._reported_since_s = now_s
        self._is_informed = (
            now_s >= self._former_until_s
            and now_s - self._reported_since_s >= AVERAGING_S
        )
        return self._is_informed

    def may_begin(
        self,
        key: assignments.AssignmentKey,
        owner: assignments.Owner,
        now_s: float,
    ) -> bool:
        """Returns whether a move without need can end at once.

        A new leader does not know which instances were lost with requests in
        flight, which an upstream that checks no fences may still run.
        """
        if not self._is_informed:
            return False
        upstream = self._state.upstreams.find_owner(owner)
        fenced = upstream is not None and upstream.checks_fences
        # Fences do not protect hot keys.
        in_flight_s = (
            0.0
            if fenced and not key.key
            else self._get_longest_deadline_s(key.keyspace)
        )
        return self._serve_leases.is_certain(in_flight_s, now_s)

    def _has_all_reports(self, now_s: float) -> bool:
        """Members that were lost are removed from the group soon."""
        known = self._serve_leases.list_live(now_s)
        return all(
            leases_lib.HolderKey(each.instance, each.incarnation) in known
            for each in self._node.membership.members
        )
