"""Forwards one request to other entry instances until one takes it."""

import asyncio
from typing import NamedTuple

from bamboosill_common import logs
from bamboosill_common import metrics
from bamboosilld.gateway import forwarding
from bamboosilld.gateway import request_context
from bamboosilld.gateway import upstream_connection

# Other entry instances that are asked for one request, at most: the first ones
# may be cut off as well.
_MAX_ASKED = 3
# A request with less time left until its deadline is not forwarded any more.
_MIN_FORWARD_S = 0.05

_log = logs.get_logger("gateway")


class Result(NamedTuple):
    """How a forwarded request ended.

    Attributes:
        outcome: A constant of `forwarding`: `UNAVAILABLE` if no instance took
            it, `UNKNOWN` also if the response of one was lost.
        response: The response to the caller, if there is one.
        reason: Why there is none.
        instance: Address of the last instance that was asked.
        has_responded: Whether that instance responded.
    """

    outcome: bytes
    response: upstream_connection.UpstreamResponse | None
    reason: str
    instance: str
    has_responded: bool = False


NOT_TAKEN = Result(forwarding.UNAVAILABLE, None, "no upstream reached", "")


async def forward(
    routed: request_context.RoutedRequest,
    context: request_context.SendContext,
    sends_left: int,
) -> Result:
    """Forwards a request to one instance after the other until one takes it.

    An instance whose response is lost may have sent the request to as many
    upstreams as it was allowed to, so no other is asked then.

    Args:
        routed: The request.
        context: Dependencies of requests.
        sends_left: Number of upstreams that it may still be sent to.
    """
    asked: set[str] = set()
    result = NOT_TAKEN
    while len(asked) < _MAX_ASKED:
        instance = context.instances.choose(asked)
        remaining_s = routed.deadline_s - context.clock.monotonic()
        if instance is None or remaining_s < _MIN_FORWARD_S:
            break
        asked.add(instance.item.address)
        result = await _ask(routed, context, instance, sends_left)
        metrics.gateway_forwards.labels(result.outcome.decode("ascii")).inc()
        if result.response is None:
            _log.info(
                "Forward failed. Instance: %s. Reason: %s.",
                result.instance,
                result.reason,
                extra={
                    "request": routed.request_id.decode("latin-1"),
                    "in_flight": instance.in_flight,
                    "left_ms": int(remaining_s * 1000),
                },
            )
        if result.outcome != forwarding.UNAVAILABLE:
            break
        context.instances.avoid(instance, result.has_responded)
    return result


async def _ask(
    routed: request_context.RoutedRequest,
    context: request_context.SendContext,
    instance: forwarding.Instance,
    sends_left: int,
) -> Result:
    """Sends a request to one instance over a pooled connection."""
    address = instance.item.address
    limits = forwarding.Limits(
        sends_left, context.view.state.configuration.version
    )
    connection: upstream_connection.Connection | None = None
    instance.in_flight += 1
    try:
        async with asyncio.timeout(
            routed.deadline_s - context.clock.monotonic()
        ):
            connection = await instance.pool.acquire()
            remaining_s = routed.deadline_s - context.clock.monotonic()
            received = await connection.exchange(
                forwarding.format_head(
                    routed.request, context.names, limits, remaining_s
                ),
                routed.request_id,
                routed.request.body,
                routed.request.hold,
            )
    except upstream_connection.ExchangeError as error:
        outcome = forwarding.UNKNOWN if error.sent else forwarding.UNAVAILABLE
        reason = f"other instance: {error.code}"
        return Result(outcome, None, reason, address)
    except TimeoutError:
        if connection is None:
            return Result(forwarding.UNAVAILABLE, None, "deadline", address)
        return Result(forwarding.UNKNOWN, None, "timeout", address)
    finally:
        instance.in_flight -= 1
        if connection is not None:
            instance.pool.release(connection)
    response, outcome = forwarding.parse_response(received)
    if outcome == forwarding.UNAVAILABLE:
        reason = "no upstream reached, other instances not available"
        return Result(outcome, None, reason, address, True)
    if outcome not in forwarding.FINAL_OUTCOMES:
        return Result(
            forwarding.UNKNOWN,
            None,
            "malformed forwarded response",
            address,
            True,
        )
    return Result(outcome, response, "", address, True)
