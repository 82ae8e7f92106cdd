"""Deadlines and limits that the zone leader derives from the contracts."""

from bamboosilld.admission import share_split as share_split_lib
from bamboosilld.zone import contracts as contracts_lib
from bamboosilld.zone import state as state_lib
from bamboosilld.zone import times


class ContractLimits:
    """Longest deadlines and limits, cached per control revision."""

    def __init__(
        self, state: state_lib.ZoneState, contracts: contracts_lib.ContractCache
    ) -> None:
        self._state = state
        self._contracts = contracts
        self._revision = -1
        self._longest_ms: dict[str, int] = {}
        self._limits: dict[share_split_lib.LimitId, share_split_lib.Limits] = {}

    def get_longest_deadline_s(self, keyspace: str) -> float:
        """Returns the longest deadline of requests to a keyspace's service.

        It never shrinks during one leadership, because a request in flight may
        have been dispatched under a previous contract.
        """
        self._refresh()
        item = self._state.feed.keyspaces.get(keyspace)
        longest_ms = self._longest_ms.get(item.service) if item else None
        if longest_ms is None:
            return times.DEFAULT_LONGEST_DEADLINE_S
        return longest_ms / 1000

    def get_limits(
        self,
    ) -> dict[share_split_lib.LimitId, share_split_lib.Limits]:
        """Returns the limits of all contracts by customer and service."""
        self._refresh()
        return self._limits

    def _refresh(self) -> None:
        feed = self._state.feed
        if feed.revision == self._revision:
            return
        self._revision = feed.revision
        self._limits = {}
        for customer, service in self._contracts.list_services(feed):
            limits = service.limits
            self._limits[(customer, service.name)] = share_split_lib.Limits(
                limits.rate_per_s, limits.burst, limits.concurrency
            )
            previous_ms = self._longest_ms.get(service.name, 0)
            self._longest_ms[service.name] = max(
                previous_ms, service.deadlines.longest
            )
