"""Evacuation of availability zones, at the members of the control group.

Load pattern: an operator orders that a zone gets no more requests, all at once,
and later lets it serve again, when its upstreams may have been restarted.

The order is replicated state. The leader acknowledges it once it is committed,
moves the keys of the zone's upstreams away, and grants them none until the
order is withdrawn.
"""

from collections.abc import Callable
from collections.abc import Iterator
from typing import NamedTuple

from returns.result import Failure

from bamboosill_common import clock as clock_lib
from bamboosill_common import errors
from bamboosill_common import logs
from bamboosill_common import metrics
from bamboosill_common import wire
from bamboosill_common.generated import fleet as messages
from bamboosilld.consensus import interfaces
from bamboosilld.fleet import keyplan
from bamboosilld.fleet import state as state_lib

_log = logs.get_logger("fleet")

ListGrants = Callable[
    [state_lib.UpstreamIncarnation, str], list[messages.KeyRange]
]


class ColdUpstream(NamedTuple):
    """An upstream that counts as cold, and for how long."""

    incarnation: state_lib.UpstreamIncarnation
    duration_s: float


async def change(
    message: messages.ChangeEvacuation,
    node: interfaces.Node,
    state: state_lib.FleetState,
    timeout_s: float,
) -> messages.ChangeEvacuationReply:
    """Returns once an order is committed, as the leader.

    Raises:
        errors.HandlerError: The order may not be committed; the same order sent
            again settles it.
    """
    try:
        outcome = await _put_in_force(message, node, state, timeout_s)
    except errors.HandlerError as error:
        _log.warning(
            "Order of an evacuation not acknowledged. Zone: %s. Evacuated: %s. "
            "Reason: %s.",
            message.zone,
            message.is_evacuated,
            error,
        )
        metrics.fleet_evacuation_orders.labels("failed").inc()
        raise
    _log.info(
        "Order of an evacuation acknowledged. Zone: %s. Evacuated: %s. "
        "Outcome: %s.",
        message.zone,
        message.is_evacuated,
        outcome,
        extra={"revision": state.revision},
    )
    metrics.fleet_evacuation_orders.labels(outcome).inc()
    return messages.ChangeEvacuationReply()


async def _put_in_force(
    message: messages.ChangeEvacuation,
    node: interfaces.Node,
    state: state_lib.FleetState,
    timeout_s: float,
) -> str:
    """Commits an order unless it is in force; returns which was the case.

    Without the barrier, a former leader could take an order as in force that
    was withdrawn since.

    Raises:
        errors.HandlerError: The order may not be committed.
    """
    if _is_in_force(message, state):
        barrier = await node.read_barrier(timeout_s)
        if isinstance(barrier, Failure):
            raise errors.HandlerError("unavailable", "no majority answered")
        if _is_in_force(message, state):
            return "repeated"
    command = messages.SetEvacuation(message.zone, message.is_evacuated)
    result = await node.propose(wire.pack(command), timeout_s)
    if isinstance(result, Failure):
        error = result.failure()
        raise errors.HandlerError(error.code, error.detail)
    return "committed"


def _is_in_force(
    message: messages.ChangeEvacuation, state: state_lib.FleetState
) -> bool:
    return (message.zone in state.evacuated_zones) == message.is_evacuated


def list_moves(
    state: state_lib.FleetState, service: str, list_grants: ListGrants
) -> list[keyplan.Move]:
    """Returns the keys that upstreams of evacuated zones hold, to move away.

    Their new holders are chosen when the keys are free, as for a draining
    upstream: they differ in when their next heartbeat comes.
    """
    moves: list[keyplan.Move] = []
    if not state.evacuated_zones:
        return moves
    for item in state.upstreams.values():
        if item.service == service and state.is_evacuated(item.upstream):
            incarnation = state_lib.UpstreamIncarnation(
                item.upstream, item.born_ms
            )
            moves += [
                keyplan.Move(incarnation, each.first, each.last)
                for each in list_grants(incarnation, service)
            ]
    return moves


class Withdrawals:
    """Withdrawals of orders that this member has applied.

    Upstreams may have become cold while their zone was evacuated. They count as
    cold for the warmup of their service from when the withdrawal was applied,
    also at a member that is elected later.
    """

    def __init__(
        self,
        state: state_lib.FleetState,
        clock: clock_lib.Clock,
        on_withdrawn: Callable[[], None],
    ) -> None:
        """Initializes the instance.

        Args:
            state: The replicated state.
            clock: Clock of this member.
            on_withdrawn: Called after an order was withdrawn.
        """
        self._state = state
        self._clock = clock
        self._on_withdrawn = on_withdrawn
        self._evacuated_zones = frozenset(state.evacuated_zones)
        self._withdrawn_s: dict[str, float] = {}
        state.add_listener(self._apply_change)

    def list_cold(self) -> Iterator[ColdUpstream]:
        """Yields the upstreams that count as cold because of a withdrawal."""
        now_s = self._clock.monotonic()
        warmups_s = {
            each.name: each.warmup_ms / 1000
            for each in self._state.configuration.services
        }
        for item in self._state.upstreams.values():
            withdrawn_s = self._withdrawn_s.get(item.zone)
            if withdrawn_s is None:
                continue
            warmup_s = warmups_s.get(item.service, 0.0)
            duration_s = withdrawn_s + warmup_s - now_s
            if duration_s > 0:
                yield ColdUpstream(
                    state_lib.UpstreamIncarnation(item.upstream, item.born_ms),
                    duration_s,
                )

    def _apply_change(self, command: object) -> None:
        zones = frozenset(self._state.evacuated_zones)
        withdrawn = self._evacuated_zones - zones
        self._evacuated_zones = zones
        for zone in zones:
            self._withdrawn_s.pop(zone, None)
        if withdrawn:
            now_s = self._clock.monotonic()
            self._withdrawn_s.update(dict.fromkeys(withdrawn, now_s))
            self._on_withdrawn()
