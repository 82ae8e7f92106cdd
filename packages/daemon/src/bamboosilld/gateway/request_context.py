"""Types of the request path: a routed request, its outcome, shared context."""

import random
from typing import NamedTuple

from bamboosill_common import clock as clock_lib
from bamboosill_common.generated import fleet as messages
from bamboosilld import crash_detector as crash_detector_lib
from bamboosilld.gateway import forwarding
from bamboosilld.gateway import http_messages
from bamboosilld.gateway import permit_client
from bamboosilld.gateway import reachability as reachability_lib
from bamboosilld.gateway import return_times as return_times_lib
from bamboosilld.gateway import upstream_connection as upstream_connection_lib
from bamboosilld.gateway import view as view_lib

NO_KEY = -1
MIN_RETRY_AFTER_S = return_times_lib.MIN_RETRY_AFTER_S


class RoutedRequest(NamedTuple):
    """A request with its route, service, key and deadline.

    Attributes:
        request: The caller's request.
        route: The matched route.
        service: Name of the service that was chosen for it.
        key: Shard key number, or `NO_KEY` if the service is not sharded.
        request_id: Id of the caller's attempt.
        received_s: Monotonic time of receipt.
        deadline_s: Monotonic time at which the caller's deadline or the route's
            timeout ends, whichever is sooner.
        is_forwarded: Whether another entry instance forwarded it.
        fingerprint: Hash that is the same each time a caller sends it.
    """

    request: http_messages.Request
    route: messages.RouteItem
    service: str
    key: int
    request_id: bytes
    received_s: float
    deadline_s: float
    is_forwarded: bool = False
    fingerprint: bytes = b""


class Outcome(NamedTuple):
    """The result of sending a request.

    Attributes:
        upstream_response: The upstream's response, or None.
        reason: Why there is none.
        may_have_run: Whether an upstream may have run the request.
        upstream: Id of the last upstream that was tried, or empty.
        retry_after_s: Seconds after which the caller may be served, or 0 if
            that is not known.
    """

    upstream_response: upstream_connection_lib.UpstreamResponse | None
    reason: str
    may_have_run: bool
    upstream: str
    retry_after_s: float = 0.0


class Shutdown:
    """The planned end of this instance.

    Attributes:
        abandon_s: Monotonic time at which requests in flight are abandoned;
            infinity until the instance is stopped.
    """

    def __init__(self) -> None:
        self.abandon_s = float("inf")

    @property
    def has_begun(self) -> bool:
        """Whether this instance is stopping."""
        return self.abandon_s < float("inf")

    def may_break_off(self, routed: RoutedRequest) -> bool:
        """Returns whether the shutdown may end a request for good.

        Idempotent requests are not meant, as their callers can repeat them.
        """
        return (
            not routed.route.idempotent and routed.deadline_s > self.abandon_s
        )


class SendContext(NamedTuple):
    """Dependencies that all request senders share."""

    zone: str
    names: http_messages.HeaderNames
    view: view_lib.View
    clock: clock_lib.Clock
    rng: random.Random
    permits: permit_client.PermitClient
    reachability: reachability_lib.Reachability
    instances: forwarding.Instances
    shutdown: Shutdown
    crash_detector: crash_detector_lib.CrashDetector
    return_times: return_times_lib.ReturnTimes
