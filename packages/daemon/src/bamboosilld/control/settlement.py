"""Delays the move of a service's keys to another keyspace.

After a service is removed from a contract, a zone that has not yet applied
the removal still serves its keys, and the zones that ran its requests still
keep the records that prevent a second run. The service may return in another
keyspace once all zones have applied the removal and the records have expired.
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


class KeyspaceChangeGuard:
    """Refuses contracts that change a keyspace too early.

    It tracks since when all zones have applied each revision.
    """

    def __init__(
        self, state: state_lib.ControlState, clock: clock_lib.Clock
    ) -> None:
        self._state = state
        self._clock = clock
        self._samples: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=_MAX_SAMPLES
        )

    def record_applied_revision(
        self, views: dict[str, zoneviews.ZoneView]
    ) -> None:
        """Records the revision that all zones have applied by now."""
        zones = self._state.tables.zones.values()
        applied = min(
            (
                views[each.zone].last_heartbeat.applied_revision
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
        """Returns a refusal if a keyspace changes too early, or None."""
        try:
            contract = contract_lib.read_stored(command.document)
        except ValueError:
            return None
        for service in contract.services:
            service_keyspace = self._state.tables.service_keyspaces.get(
                (contract.customer, service.name)
            )
            if (
                service_keyspace
                and service_keyspace.ended_revision
                and service_keyspace.keyspace != service.format_keyspace()
            ):
                remaining_s = self._compute_wait_s(
                    service_keyspace.ended_revision
                )
                if remaining_s > 0:
                    return commands.refuse(
                        "not_settled",
                        f"service {service.name} ended with other zones or "
                        "zone_loss; it can change after all zones heard of "
                        f"that, in {remaining_s:.0f} s at the earliest",
                    )
        return None

    def _compute_wait_s(self, revision: int) -> float:
        applied_since_s = self._clock.monotonic()
        for at_s, applied in reversed(self._samples):
            if applied < revision:
                break
            applied_since_s = at_s
        waited_s = self._clock.monotonic() - applied_since_s
        return timing.KEYSPACE_CHANGE_WAIT_S - waited_s
