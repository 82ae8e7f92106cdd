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
