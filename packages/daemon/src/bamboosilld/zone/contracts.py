"""Contracts in force, parsed on first use."""

from collections.abc import Callable
from typing import Any

from bamboosill_common import contract as contract_lib
from bamboosill_common import logs
from bamboosilld.zone import feed as feed_lib

Parse = Callable[[str], Any]

_log = logs.get_logger("zone")


class ContractCache:
    """Cache of parsed contracts, by customer.

    If a new revision is malformed, the last valid one stays in use.
    """

    def __init__(self, parse: Parse = contract_lib.read_stored) -> None:
        self._parse = parse
        self._parsed: dict[str, tuple[int, Any]] = {}

    def find(self, feed: feed_lib.FeedState, customer: str) -> Any | None:
        """Returns a customer's contract, or None if there is none."""
        item = feed.contracts.get(customer)
        if item is None:
            self._parsed.pop(customer, None)
            return None
        cached = self._parsed.get(customer)
        if cached is not None and cached[0] == item.revision:
            return cached[1]
        try:
            contract = self._parse(item.document)
        except ValueError as error:
            _log.error("Contract of %s is malformed: %s.", customer, error)
            return cached[1] if cached is not None else None
        self._parsed[customer] = (item.revision, contract)
        return contract

    def list_services(self, feed: feed_lib.FeedState) -> list[tuple[str, Any]]:
        """Returns all services of all contracts, each with its customer."""
        return [
            (customer, service)
            for customer in sorted(feed.contracts)
            if (contract := self.find(feed, customer)) is not None
            for service in contract.services
        ]


class ContractView:
    """Contracts in force at this instance.

    After it has left one zone group and joined another, the last known
    contracts stay in use until the new group's copy has caught up.

    Attributes:
        feed: Copy of the control state in use.
    """

    def __init__(self, cache: ContractCache) -> None:
        self._cache = cache
        self._listeners: list[Callable[[str, Any], None]] = []
        self.feed = feed_lib.FeedState()

    def find(self, customer: str) -> Any | None:
        """Returns a customer's contract in force."""
        return self._cache.find(self.feed, customer)

    def list_all(self) -> dict[str, Any]:
        """Returns all contracts in force by customer."""
        found = {name: self.find(name) for name in sorted(self.feed.contracts)}
        return {
            name: parsed for name, parsed in found.items() if parsed is not None
        }

    def add_listener(self, listener: Callable[[str, Any], None]) -> None:
        """Registers `listener(customer, contract or None)` for changes."""
        self._listeners.append(listener)

    def set_initial_feed(self, feed: feed_lib.FeedState) -> None:
        """Uses a new group's feed at once if none was in use before."""
        if self.feed.revision == 0:
            self.feed = feed

    def update_feed(
        self, feed: feed_lib.FeedState, customers: frozenset[str]
    ) -> None:
        """Switches to a feed and notifies listeners of changed customers."""
        if self.feed is not feed:
            # After this instance has changed groups, the new group's copy of
            # the control state may be older than the one in use. It is not
            # used until it has caught up.
            if feed.revision < self.feed.revision:
                return
            customers |= {*self.feed.contracts, *feed.contracts}
            self.feed = feed
        for customer in sorted(customers):
            contract = self.find(customer)
            for listener in self._listeners:
                listener(customer, contract)
