"""Requests that this instance has in flight to upstreams."""

from typing import NamedTuple

from bamboosill_common.generated import zone as messages
from bamboosilld.zone import assignments
from bamboosilld.zone import routes
from bamboosilld.zone import times


class Dispatch(NamedTuple):
    """A request in flight to an upstream.

    Attributes:
        number: Unique among the dispatches of this instance.
        route: Route of the request.
        assignment: Assignment under which it was dispatched.
        deadline_at_s: Monotonic time by which it has ended.
    """

    number: int
    route: routes.Route
    assignment: assignments.AssignmentKey
    deadline_at_s: float


class InFlightTable:
    """Table of the requests in flight, by shard."""

    def __init__(self) -> None:
        self._next = 0
        self._by_shard: dict[tuple[str, int], dict[int, Dispatch]] = {}

    def begin(
        self,
        route: routes.Route,
        assignment: assignments.AssignmentKey,
        deadline_at_s: float,
    ) -> Dispatch:
        """Registers a request."""
        self._next += 1
        dispatch = Dispatch(self._next, route, assignment, deadline_at_s)
        shard = (route.keyspace, route.shard)
        self._by_shard.setdefault(shard, {})[dispatch.number] = dispatch
        return dispatch

    def end(self, dispatch: Dispatch) -> bool:
        """Removes a request; returns whether it was registered."""
        shard = (dispatch.route.keyspace, dispatch.route.shard)
        dispatches = self._by_shard.get(shard, {})
        found = dispatches.pop(dispatch.number, None) is not None
        if not dispatches:
            self._by_shard.pop(shard, None)
        return found

    def list_in_flight(
        self, key: assignments.AssignmentKey, value: assignments.Assignment
    ) -> list[Dispatch]:
        """Returns the requests in flight to the owner of an assignment.

        A new hot key inherits the owner of its shard, so requests for it that
        were dispatched under the shard count too.
        """
        return [
            dispatch
            for dispatch in self._by_shard.get(key[:2], {}).values()
            if dispatch.route.fence == value.fence
            and (
                dispatch.route.key == key.key
                if key.key
                else not dispatch.assignment.key
            )
        ]

    def make_drain_reports(
        self, table: assignments.AssignmentTable, now_s: float
    ) -> tuple[
        tuple[messages.DrainedShard, ...], tuple[messages.InFlight, ...]
    ]:
        """Returns the drained moves, and what delays the other ones."""
        drained = []
        in_flight = []
        for key, value in table.list_moving():
            if value.owner is None:
                continue
            remaining = self.list_in_flight(key, value)
            if not remaining:
                drained.append(
                    messages.DrainedShard(
                        key.keyspace,
                        key.shard,
                        value.target_fence,
                        key.key,
                    )
                )
                continue
            max_remaining_s = (
                max(each.deadline_at_s for each in remaining) - now_s
            )
            in_flight.append(
                messages.InFlight(
                    key.keyspace,
                    key.shard,
                    value.owner.id,
                    times.to_ms(max_remaining_s),
                    key.key,
                )
            )
        return tuple(drained), tuple(in_flight)
