"""Admission that refuses nothing, used where none is configured."""

import random

from bamboosill_common.generated import zone as zone_messages
from returns.result import Result
from returns.result import Success

from bamboosilld.entry import interfaces

_BACKOFF_BASE_S = 0.01
_BACKOFF_CAP_S = 0.5


class Permit:
    """A permit, and a slot, that is not counted."""

    def release(self, outcome: str = "ok", latency_s: float = 0.0) -> None:
        """Does nothing."""


_PERMIT = Permit()


class Gate:
    """Admits every request."""

    async def admit(
        self, customer: str, service: str, class_: str, until: float
    ) -> Result[interfaces.Permit, interfaces.Refusal]:
        """Returns a permit."""
        return Success(_PERMIT)


class Queue:
    """Gives every request a slot."""

    async def acquire(
        self, customer: str, weight: float, class_: str, until: float
    ) -> Result[interfaces.Slot, interfaces.Refusal]:
        """Returns a slot."""
        return Success(_PERMIT)


class Queues:
    """The same queue for every upstream."""

    def __init__(self) -> None:
        self._queue = Queue()

    def get(self, upstream: zone_messages.Upstream) -> interfaces.Queue:
        """Returns the queue."""
        return self._queue


class Budget:
    """Allows every retry."""

    def note_request(self, customer: str) -> None:
        """Does nothing."""

    def can_retry(self, customer: str) -> bool:
        """Returns true."""
        return True

    def compute_backoff(self, attempt: int, rng: random.Random) -> float:
        """Returns an exponential delay with full jitter, in seconds."""
        return rng.uniform(0, min(_BACKOFF_CAP_S, _BACKOFF_BASE_S * 2**attempt))
