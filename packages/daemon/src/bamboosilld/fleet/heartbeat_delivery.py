"""Delivers grants of keys in the replies to heartbeats.

An upstream holds what the last reply lists, for one lease from when it sent
the heartbeat. It reports what it has released with its next heartbeat.
"""

from collections.abc import Iterable

from bamboosill_common import logs
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import key_delivery
from bamboosilld.fleet import keyplan
from bamboosilld.fleet import keyranges
from bamboosilld.fleet import leases as leases_lib
from bamboosilld.fleet import releases as releases_lib
from bamboosilld.fleet import state as state_lib

_log = logs.get_logger("fleet")


@key_delivery.register(key_delivery.DEFAULT_DELIVERY)
class HeartbeatDelivery(key_delivery.Delivery):
    """Replies to heartbeats with the keys that their sender holds."""

    # Busy keys are often adjacent, so each upstream gets several short ranges.
    ranges_per_upstream = 8
    # The reply to a heartbeat lists all ranges and must stay below 4 KiB, at up
    # to 45 bytes a range.
    max_ranges = 72
    is_immediate = False

    def __init__(self, environment: key_delivery.Environment) -> None:
        self._keys = environment.keys
        self._state = environment.state
        self.leases = leases_lib.Leases(environment.clock, environment.lease_s)
        self.reset()

    def reset(self) -> None:
        """Drops all in-memory state; called after each election."""
        self.leases.reset()
        # What each upstream has reported as held or in use with its last
        # heartbeat.
        self._holds: dict[
            state_lib.UpstreamIncarnation, tuple[messages.KeyRange, ...]
        ] = {}

    async def apply_report(
        self,
        incarnation: state_lib.UpstreamIncarnation,
        report: messages.UpstreamReport,
    ) -> list[messages.KeyRange]:
        """Applies a heartbeat and returns the keys that its sender holds now.

        The caller renews the lease again once it has checked that it still
        leads.

        Raises:
            errors.HandlerError: A command could not be committed.
        """
        item = report.item
        await self._apply_released(incarnation, report)
        if item.draining:
            return []
        # Renewed before the commit, too: a grant takes effect as soon as its
        # command is applied, and must not look expired to `tick` by then.
        self.leases.renew(incarnation)
        await self._keys.grant_reserved(item.service, incarnation)
        return self._keys.list_grants(incarnation, item.service)

    async def tick(self, service: str) -> None:
        """Forgets what upstreams reported that are not registered any more."""
        self._holds = {
            incarnation: held
            for incarnation, held in self._holds.items()
            if self._state.is_registered(incarnation)
        }

    def prepare_grants(
        self, incarnations: Iterable[state_lib.UpstreamIncarnation]
    ) -> None:
        """Does nothing: only upstreams with a lease are granted keys."""

    def is_reachable(self, incarnation: state_lib.UpstreamIncarnation) -> bool:
        """Returns True: only senders of heartbeats are granted keys."""
        return True

    def may_free_replaced(self) -> bool:
        """Returns True: no reply reaches a later process."""
        return True

    def is_release_final(self, move: keyplan.Move) -> bool:
        """Returns True: a reply to an earlier heartbeat is ignored."""
        return True

    async def _apply_released(
        self,
        incarnation: state_lib.UpstreamIncarnation,
        report: messages.UpstreamReport,
    ) -> None:
        service = report.item.service
        freed, unconfirmed = releases_lib.find_releases(
            self._state.keys[service],
            incarnation,
            report,
            self._holds.get(incarnation, ()),
        )
        self._holds[incarnation] = report.holds
        if unconfirmed:
            _log.info(
                "Release of keys of %s not confirmed. Holder: %s.",
                service,
                incarnation.upstream,
                extra={
                    "service": service,
                    "upstream": incarnation.upstream,
                    "ranges": keyranges.format_ranges(unconfirmed),
                },
            )
        excluded = [*freed]
        if report.item.draining:
            # It gets no renewals, so these are free when its lease has ended.
            excluded += unconfirmed
        # Excluded from renewals while the command is being committed.
        self._keys.revoke(
            service,
            [
                keyplan.Move(incarnation, part.first, part.last)
                for part in excluded
            ],
        )
        if freed:
            await self._keys.free(service, incarnation, freed)
