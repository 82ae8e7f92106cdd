"""Admission control without limits, the default if none is configured."""

from typing import Any

from returns.result import Result
from returns.result import Success

from bamboosill_common.generated import zone as zone_messages
from bamboosilld.admission import refusal
from bamboosilld.entry import interfaces


class Permit:
    """A permit or slot that nothing is counted against."""

    def release(self, outcome: str = "ok", latency_s: float = 0.0) -> None:
        """Does nothing."""


_PERMIT = Permit()


class Gate:
    """Admits every request."""

    async def admit(
        self, customer: str, service: str, traffic_class: str, until: float
    ) -> Result[interfaces.Permit, refusal.Refusal]:
        """Returns a permit."""
        return Success(_PERMIT)

    def update_contract(
        self, customer: str, contract: Any | None, new: bool = False
    ) -> None:
        """Does nothing."""

    def update_shares(self, shares: Any) -> None:
        """Does nothing."""

    def collect_demand(self) -> tuple[zone_messages.Demand, ...]:
        """Returns an empty tuple: no demand is reported."""
        return ()


class Queue:
    """Grants every request a slot."""

    async def acquire(
        self,
        customer: str,
        weight: float,
        traffic_class: str,
        deadline_s: float,
    ) -> Result[interfaces.Slot, refusal.Refusal]:
        """Returns a slot."""
        return Success(_PERMIT)


class Queues:
    """The same queue for every upstream."""

    def __init__(self) -> None:
        self._queue = Queue()

    def get(self, upstream: zone_messages.Upstream) -> interfaces.Queue:
        """Returns the queue."""
        return self._queue

    def drop(self, upstream_id: str) -> None:
        """Does nothing."""


class RetryBudget:
    """Allows every retry."""

    def record_request(self, customer: str) -> None:
        """Does nothing."""

    def try_retry(self, customer: str) -> bool:
        """Returns true."""
        return True
