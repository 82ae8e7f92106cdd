"""Forwards requests to other entry instances, and takes forwarded ones.

An instance that reaches no upstream forwards whole requests over HTTP, at the
address of peer connections. The other instance handles them like its own, but
never forwards them again, and states in its response whether they ran.
"""

from collections.abc import Sequence
import random
from typing import NamedTuple

from bamboosill_common import clock as clock_lib
from bamboosill_common import logs
from bamboosill_common.generated import fleet as messages
from bamboosilld.gateway import http_messages
from bamboosilld.gateway import upstream_connection as upstream_connection_lib

# Names of headers between entry instances.
_SENDS_LEFT = b"bamboosill-sends-left"
_CONFIGURATION = b"bamboosill-configuration"
_OUTCOME = b"bamboosill-outcome"
# Earlier versions send the address of the caller; it is not forwarded.
_CALLER = b"bamboosill-caller"
_INTERNAL_HEADERS = frozenset((_SENDS_LEFT, _CONFIGURATION, _OUTCOME, _CALLER))
# Largest size of the headers that a forwarded request has beyond those that its
# caller sent.
MAX_ADDED_HEADER_BYTES = 512

# Values of the outcome. An instance that is unavailable did not run the request
# and takes no others now.
ANSWER = b"answer"
NOT_RUN = b"not-run"
UNKNOWN = b"unknown"
UNAVAILABLE = b"unavailable"
FINAL_OUTCOMES = frozenset((ANSWER, NOT_RUN, UNKNOWN))

# The other instance gives up earlier by this time, so that its response, which
# states whether the request ran, still arrives.
_RESPONSE_MARGIN_S = 0.03
# An instance that did not take a request is avoided for this time.
_AVOID_S = 2.0
# Forwarded requests in flight that an instance of another zone is preferred by.
_SAME_ZONE_PREFERENCE = 4
_SAMPLED_INSTANCES = 4

_log = logs.get_logger("gateway")


class Limits(NamedTuple):
    """What the sender of a forwarded request still allows.

    Attributes:
        sends: Number of upstreams that it may be sent to.
        configuration: Version of the configuration that the sender knows.
    """

    sends: int
    configuration: int


class Instance:
    """Another entry instance.

    Attributes:
        item: Its address and zone.
        in_flight: Requests forwarded to it that are in flight.
        avoid_until_s: Monotonic time until which others are preferred.
        has_responded: Whether it responded when it was last asked.
    """

    def __init__(
        self,
        item: messages.EntryAddress,
        request_id_name: bytes,
        local_host: str,
    ) -> None:
        self.item = item
        self.pool = upstream_connection_lib.Pool(
            item.address, request_id_name, local_host
        )
        self.in_flight = 0
        self.avoid_until_s = float("-inf")
        self.has_responded = True


class Instances:
    """The entry instances to which requests can be forwarded."""

    def __init__(
        self,
        zone: str,
        clock: clock_lib.Clock,
        rng: random.Random,
        request_id_name: bytes,
        local_host: str,
    ) -> None:
        self._zone = zone
        self._clock = clock
        self._rng = rng
        self._request_id_name = request_id_name
        self._local_host = local_host
        self._by_address: dict[str, Instance] = {}

    def update(self, items: Sequence[messages.EntryAddress]) -> None:
        """Replaces the instances by those that the leader names."""
        known, self._by_address = self._by_address, {}
        for item in items:
            instance = known.pop(item.address, None) or self._make(item)
            if instance is not None:
                self._by_address[item.address] = instance
        for instance in known.values():
            instance.pool.close_idle()

    def _make(self, item: messages.EntryAddress) -> Instance | None:
        try:
            return Instance(item, self._request_id_name, self._local_host)
        except ValueError as error:
            _log.warning(
                "Instance %s cannot be used. Reason: %s.", item.address, error
            )
            return None

    def choose(self, excluded: set[str]) -> Instance | None:
        """Returns the instance with the fewest forwarded requests of a sample.

        Instances to avoid are asked if there are no others, but only those that
        refuse at once if they still do not take requests.

        Args:
            excluded: Addresses of instances that did not take the request.
        """
        now_s = self._clock.monotonic()
        candidates = [
            each
            for address, each in self._by_address.items()
            if address not in excluded
        ]
        available = [
            each for each in candidates if now_s >= each.avoid_until_s
        ] or [each for each in candidates if each.has_responded]
        sampled = [
            each
            for is_same_zone in (True, False)
            for each in self._sample(available, is_same_zone)
        ]
        return min(sampled, key=self._compute_cost, default=None)

    def avoid(self, instance: Instance, has_responded: bool) -> None:
        """Prefers other instances for a while."""
        instance.avoid_until_s = self._clock.monotonic() + _AVOID_S
        instance.has_responded = has_responded

    def sweep(self) -> None:
        """Closes idle connections that may not be reused any more."""
        for instance in self._by_address.values():
            instance.pool.sweep()

    def _sample(
        self, instances: Sequence[Instance], is_same_zone: bool
    ) -> list[Instance]:
        matching = [
            each
            for each in instances
            if (each.item.zone == self._zone) == is_same_zone
        ]
        return self._rng.sample(
            matching, min(_SAMPLED_INSTANCES, len(matching))
        )

    def _compute_cost(self, instance: Instance) -> tuple[int, float]:
        is_same_zone = instance.item.zone == self._zone
        penalty = 0 if is_same_zone else _SAME_ZONE_PREFERENCE
        return instance.in_flight + penalty, self._rng.random()


def format_head(
    request: http_messages.Request,
    names: http_messages.HeaderNames,
    limits: Limits,
    remaining_s: float,
) -> bytes:
    """Returns the head of a request as it is forwarded to an instance.

    Args:
        request: The caller's request.
        names: Names of the headers.
        limits: What the other instance may do.
        remaining_s: Seconds left until the deadline.
    """
    deadline_ms = max(1, int((remaining_s - _RESPONSE_MARGIN_S) * 1000))
    headers = http_messages.list_forwarded_headers(
        request.headers, _INTERNAL_HEADERS | {names.deadline_ms}
    )
    headers += [
        (names.deadline_ms, b"%d" % deadline_ms),
        (_SENDS_LEFT, b"%d" % limits.sends),
        (_CONFIGURATION, b"%d" % limits.configuration),
        (b"Content-Length", b"%d" % len(request.body)),
    ]
    head = f"{request.method} {request.target} HTTP/1.1\r\n"
    return (
        head.encode("latin-1") + http_messages.format_headers(headers) + b"\r\n"
    )


def parse_request(
    request: http_messages.Request,
) -> tuple[http_messages.Request, Limits] | None:
    """Returns a forwarded request as its caller sent it, and its limits.

    Returns None if the limits are missing or malformed.
    """
    sends = http_messages.parse_count(request.get(_SENDS_LEFT) or b"")
    configuration = http_messages.parse_count(
        request.get(_CONFIGURATION) or b""
    )
    if sends is None or configuration is None:
        return None
    headers = _strip(request.headers)
    return request._replace(headers=headers), Limits(sends, configuration)


def mark_response(
    response: http_messages.Response, outcome: bytes
) -> http_messages.Response:
    """Returns a response that states the outcome of a forwarded request."""
    headers = [*_strip(response.headers), (_OUTCOME, outcome)]
    return response._replace(headers=headers)


def parse_response(
    response: upstream_connection_lib.UpstreamResponse,
) -> tuple[upstream_connection_lib.UpstreamResponse, bytes]:
    """Returns the response to the caller, and the outcome or an empty value."""
    outcome = response.get(_OUTCOME) or b""
    return response._replace(headers=_strip(response.headers)), outcome


def _strip(headers: http_messages.Headers) -> http_messages.Headers:
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in _INTERNAL_HEADERS
    ]
