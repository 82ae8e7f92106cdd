"""One request on its way, what became of it, and what all requests share."""

import random
from typing import NamedTuple

from bamboosill_common import clock as clock_lib
from bamboosill_common.generated import fleet as messages
from bamboosilld.gateway import messages as http_messages
from bamboosilld.gateway import upstream as upstream_lib
from bamboosilld.gateway import view as view_lib

NO_KEY = -1


class Task(NamedTuple):
    """One request on its way.

    Attributes:
        request: The request.
        route: Its route.
        service: The service that runs it.
        key: Number of its key, or `NO_KEY`.
        request_id: Id of the caller's attempt.
        begun_s: When it was read.
        until_s: When its caller or its route gives it up.
    """

    request: http_messages.Request
    route: messages.RouteItem
    service: str
    key: int
    request_id: bytes
    begun_s: float
    until_s: float


class Outcome(NamedTuple):
    """What became of a request.

    Attributes:
        answer: The upstream's answer, or None.
        reason: Why there is none.
        may_have_run: Whether an upstream may have run the request.
        upstream: Id of the upstream that was tried last, or empty.
    """

    answer: upstream_lib.Answer | None
    reason: str
    may_have_run: bool
    upstream: str


class Tools(NamedTuple):
    """What the sending of all requests shares."""

    zone: str
    names: http_messages.HeaderNames
    view: view_lib.View
    clock: clock_lib.Clock
    rng: random.Random
