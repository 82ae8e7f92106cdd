"""Refuses to move a service's keys to another keyspace too early.

After a service is dropped from a contract, a zone that has not heard of it
still serves its keys, and records of its requests are kept where they ran.
The service can come back in another keyspace when all zones have applied the
end and the records have expired.
"""

import collections

from bamboosill_common import clock as clock_lib
from bamboosill_common import contract as contract_lib
from bamboosill_common.generated import control as messages
from bamboosilld.control import commands
from bamboosilld.control import state as state_lib
from bamboosilld.control import timing
from bamboosilld.control import zoneviews

_MAX_SAMPLES = 4096


class Settlement:
    """Knows since when all zones have applied a revision."""

    def __init__(
        self, state: state_lib.ControlState, clock: clock_lib.Clock
    ) -> None:
        self._state = state
        self._clock = clock
        self._samples: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=_MAX_SAMPLES
        )

    def observe(self, views: dict[str, zoneviews.ZoneView]) -> None:
        """Notes the revision that all zones have applied by now."""
        zones = self._state.tables.zones.values()
        applied = min(
            (
                views[each.zone].beat.applied_revision
                if each.zone in views
                else 0
                for each in zones
                if not each.lost
            ),
            default=0,
        )
        if not self._samples or self._samples[-1][1] != applied:
            self._samples.append((self._clock.monotonic(), applied))

    def find_refusal(
        self, command: messages.AcceptContract
    ) -> messages.CommandResult | None:
        """Returns the refusal of a contract that comes too early, or None."""
        try:
            contract = contract_lib.read_stored(command.document)
        except ValueError:
            return None
        for service in contract.services:
            home = self._state.tables.homes.get(
                (contract.customer, service.name)
            )
            if (
                home
                and home.ended_revision
                and home.keyspace != service.format_keyspace()
            ):
                left_s = self._compute_wait_s(home.ended_revision)
                if left_s > 0:
                    return commands.refuse(
                        "not_settled",
                        f"service {service.name} ended with other zones or "
                        "zone_loss; it can change after all zones heard of "
                        f"that, in {left_s:.0f} s at the earliest",
                    )
        return None

    def _compute_wait_s(self, revision: int) -> float:
        since_s = self._clock.monotonic()
        for at_s, applied in reversed(self._samples):
            if applied < revision:
                break
            since_s = at_s
        waited_s = self._clock.monotonic() - since_s
        return timing.KEYSPACE_CHANGE_WAIT_S - waited_s
