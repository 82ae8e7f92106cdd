"""Refused requests and the codes of the reasons."""

from typing import NamedTuple

RATE = "rate"
CONCURRENCY = "concurrency"
QUEUE = "queue"
DEADLINE = "deadline"
UNKNOWN_CUSTOMER = "unknown_customer"
UNKNOWN_SERVICE = "unknown_service"
BREAKER = "breaker"
CLOSED = "closed"


class Refusal(NamedTuple):
    """The refusal of a request, which did not run.

    Attributes:
        reason: Stable code, one of the constants of this module.
        detail: Human-readable explanation.
        retry_after_s: Seconds after which a resend may be admitted.
    """

    reason: str
    detail: str
    retry_after_s: float = 0.0
