"""Free keys of a service that are reserved for the upstreams to hold them."""

from collections.abc import Callable

from bamboosill_common import clock as clock_lib
from bamboosilld.fleet import keyplan
from bamboosilld.fleet import keyranges
from bamboosilld.fleet import state as state_lib
from bamboosilld.fleet import work_rates as work_rates_lib

ListHolders = Callable[[], dict[state_lib.UpstreamIncarnation, keyplan.Holder]]


class Reservations:
    """Reservations of one service; each ends after a time."""

    def __init__(self, clock: clock_lib.Clock, wait_s: float) -> None:
        """Initializes the instance.

        Args:
            clock: The leader's clock.
            wait_s: How long keys stay reserved.
        """
        self._clock = clock
        self._wait_s = wait_s
        # When each reservation expires.
        self._expiries_s: dict[keyplan.Reservation, float] = {}
        # For which count of freed ranges, and until when, all free keys are
        # reserved.
        self._checked_freed_count = -1
        self._checked_until_s = 0.0

    def add(self, reservation: keyplan.Reservation) -> None:
        """Reserves keys."""
        self._expiries_s[reservation] = self._clock.monotonic() + self._wait_s

    def pop(
        self, incarnation: state_lib.UpstreamIncarnation | None
    ) -> list[keyplan.Reservation]:
        """Ends and returns the reservations of an upstream, or all for None."""
        found = [
            each
            for each in self._expiries_s
            if incarnation in (None, each.incarnation)
        ]
        for each in found:
            del self._expiries_s[each]
        return found

    def is_stale(self, table: keyranges.Table) -> bool:
        """Returns whether free keys may lack a reservation that is valid.

        Checked with each heartbeat, so it must not depend on the number of
        upstreams or ranges.
        """
        return (
            self._checked_freed_count != table.freed_count
            or self._clock.monotonic() >= self._checked_until_s
        )

    def update(
        self,
        table: keyranges.Table,
        list_holders: ListHolders,
        work_rates: work_rates_lib.WorkRates,
        max_ranges: int,
    ) -> None:
        """Drops stale reservations, and reserves free keys that have none.

        Args:
            table: Holders of the service's keys.
            list_holders: Returns the upstreams that may hold keys.
            work_rates: Recent work of the keys.
            max_ranges: Most ranges that one upstream may hold.
        """
        free = table.list_free()
        now_s = self._clock.monotonic()
        self._checked_freed_count = table.freed_count
        self._checked_until_s = float("inf")
        if not free or not table.has_holders():
            self._expiries_s.clear()
            return
        holders = list_holders()
        for reservation, expires_s in list(self._expiries_s.items()):
            if now_s >= expires_s or reservation.incarnation not in holders:
                del self._expiries_s[reservation]
        free = keyranges.subtract_all(free, self._expiries_s)
        if free:
            for reservation in keyplan.assign_free(
                free, holders, table, work_rates, self._expiries_s, max_ranges
            ):
                self.add(reservation)
        # Without an upstream to reserve keys for, the next one gets them.
        self._checked_until_s = min(self._expiries_s.values(), default=now_s)
