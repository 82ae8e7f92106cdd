"""Contracts in force, parsed when they are first used."""

from collections.abc import Callable
from typing import Any

from bamboosill_common import contract as contract_lib
from bamboosill_common import logs
from bamboosilld.zone import feed as feed_lib

Parse = Callable[[str], Any]

_log = logs.get_logger("zone")


class ContractBook:
    """Parsed contracts by customer and revision."""

    def __init__(self, parse: Parse = contract_lib.read_stored) -> None:
        self._parse = parse
        self._parsed: dict[str, tuple[int, Any]] = {}

    def find(self, feed: feed_lib.FeedState, customer: str) -> Any | None:
        """Returns a customer's contract, or None if there is none."""
        item = feed.contracts.get(customer)
        if item is None:
            self._parsed.pop(customer, None)
            return None
        known = self._parsed.get(customer)
        if known is not None and known[0] == item.revision:
            return known[1]
        try:
            contract = self._parse(item.document)
        except ValueError as error:
            _log.error("Contract of %s is malformed: %s.", customer, error)
            return known[1] if known is not None else None
        self._parsed[customer] = (item.revision, contract)
        return contract

    def list_services(self, feed: feed_lib.FeedState) -> list[tuple[str, Any]]:
        """Returns the customer and service part of all contracts."""
        return [
            (customer, service)
            for customer in sorted(feed.contracts)
            if (contract := self.find(feed, customer)) is not None
            for service in contract.services
        ]


class ContractView:
    """Contracts as this instance shows them, over changes of the group.

    Attributes:
        feed: The control state in use.
    """

    def __init__(self, book: ContractBook) -> None:
        self._book = book
        self._listeners: list[Callable[[str, Any], None]] = []
        self.feed = feed_lib.FeedState()

    def find(self, customer: str) -> Any | None:
        """Returns a customer's contract in force."""
        return self._book.find(self.feed, customer)

    def list_all(self) -> dict[str, Any]:
        """Returns all contracts in force by customer."""
        found = {name: self.find(name) for name in sorted(self.feed.contracts)}
        return {name: each for name, each in found.items() if each is not None}

    def add_listener(self, listener: Callable[[str, Any], None]) -> None:
        """Calls `listener(customer, contract or None)` at each change."""
        self._listeners.append(listener)

    def enter(self, feed: feed_lib.FeedState) -> None:
        """Uses a new group's feed at once if nothing was shown before."""
        if self.feed.revision == 0:
            self.feed = feed

    def follow(
        self, feed: feed_lib.FeedState, customers: frozenset[str]
    ) -> None:
        """Shows a feed in which contracts of some customers changed."""
        if self.feed is not feed:
            # A group joined just now must not show an older state than the
            # one that was left.
            if feed.revision < self.feed.revision:
                return
            customers |= {*self.feed.contracts, *feed.contracts}
            self.feed = feed
        for customer in sorted(customers):
            contract = self.find(customer)
            for listener in self._listeners:
                listener(customer, contract)
