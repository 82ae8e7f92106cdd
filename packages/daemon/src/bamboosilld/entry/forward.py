"""Forwards a request to an entry instance of the zone that owns its key."""

from collections.abc import Sequence
import random
import ssl

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bamboosill_common import auth
from bamboosill_common import clock as clock_lib
from bamboosilld.entry import connection as connection_lib
from bamboosilld.entry import dispatch
from bamboosilld.entry import exchange
from bamboosilld.entry import faults
from bamboosilld.entry import headers
from bamboosilld.entry import interfaces
from bamboosilld.entry import pools as pools_lib
from bamboosilld.entry import reachability as reachability_lib
from bamboosilld.entry import rejections
from bamboosilld.entry import request_parser as request_parser_lib

# For each entry instance of another zone.
_MAX_CONNECTIONS = 64
# Timeout for the first byte of the response to a repeatable request, as a
# fraction of the remaining time. Longer than in `entry.dispatch`, so that the
# remote instance retries at its upstream first.
_FIRST_BYTE_TIMEOUT_FRACTION = 0.7
_TOKEN_REFRESH_S = 600.0
_OUTCOMES = frozenset(
    {headers.OUTCOME_ANSWER, headers.OUTCOME_NOT_RUN, headers.OUTCOME_UNKNOWN}
)
# Rejections that concern one instance only; others of its zone may accept the
# request.
_INSTANCE_LOCAL_REASONS = frozenset({"draining", "not-ready"})


class Forwarder:
    """Forwards requests to entry instances of other zones."""

    def __init__(
        self,
        authenticator: auth.Authenticator,
        clock: clock_lib.Clock,
        rng: random.Random,
        tls: ssl.SSLContext | None,
        source_ip: str = "",
    ) -> None:
        self._authenticator = authenticator
        self._clock = clock
        self._rng = rng
        self._token = ""
        self._token_until_s = float("-inf")
        self.pools = pools_lib.Pools(tls, source_ip)
        self._reachability = reachability_lib.ReachabilityMonitor(
            clock, tls, source_ip
        )

    async def close(self) -> None:
        """Stops probing other zones."""
        await self._reachability.close()

    async def run(
        self,
        inbound: request_parser_lib.InboundRequest,
        route: interfaces.Route,
        options: dispatch.AttemptOptions,
    ) -> Result[None, dispatch.AttemptFailure]:
        """Forwards a request; succeeds if the response was delivered."""
        if inbound.hops >= request_parser_lib.MAX_HOPS:
            return Failure(
                dispatch.Rejected(
                    rejections.refuse(503, "hop-limit", "forwarded too often")
                )
            )
        usable = self._reachability.select(route.addresses)
        if route.addresses and not usable:
            detail = f"no entry instance of zone {route.zone} answers"
            return Failure(
                dispatch.Rejected(
                    rejections.refuse(503, "zone-unreachable", detail)
                )
            )
        last_result: Result[None, dispatch.AttemptFailure] = Failure(
            faults.Fault(
                "zone-unreachable",
                f"no entry instance of zone {route.zone} is known",
                False,
            )
        )
        for address in self._shuffle(usable):
            last_result = await self._try_address(inbound, address, options)
            if not isinstance(last_result, Failure):
                return last_result
            failure_cause = last_result.failure()
            if (
                isinstance(failure_cause, dispatch.Rejected)
                or failure_cause.may_have_run
            ):
                return last_result
        failure_cause = last_result.failure()
        if isinstance(failure_cause, faults.Fault) and failure_cause.code in (
            "refused",
            "connect",
        ):
            return Failure(failure_cause._replace(code="zone-unreachable"))
        return last_result

    def _shuffle(self, addresses: Sequence[str]) -> list[str]:
        return self._rng.sample(list(addresses), len(addresses))

    async def _try_address(
        self,
        inbound: request_parser_lib.InboundRequest,
        address: str,
        options: dispatch.AttemptOptions,
    ) -> Result[None, dispatch.AttemptFailure]:
        pool = self.pools.get(address, _MAX_CONNECTIONS)
        acquired = await pool.acquire(
            inbound.until - self._clock.monotonic(), options.new_connection
        )
        if isinstance(acquired, Failure):
            if acquired.failure().code == "connect":
                self._reachability.request_probe(address)
            return Failure(acquired.failure())
        connection = acquired.unwrap()
        remaining_s = inbound.until - self._clock.monotonic()
        if remaining_s <= 0:
            pool.return_unused(connection)
            return Failure(
                faults.Fault("deadline", "the deadline has passed", False)
            )
        return await self._exchange(
            inbound, options, (pool, connection), remaining_s
        )

    async def _exchange(
        self,
        inbound: request_parser_lib.InboundRequest,
        options: dispatch.AttemptOptions,
        pooled_connection: tuple[pools_lib.Pool, connection_lib.Connection],
        remaining_s: float,
    ) -> Result[None, dispatch.AttemptFailure]:
        pool, connection = pooled_connection
        abandon_check = options.may_abandon
        timeouts = exchange.Timeouts(
            remaining_s,
            remaining_s * _FIRST_BYTE_TIMEOUT_FRACTION
            if abandon_check
            else 0.0,
            abandon_check or (lambda: False),
        )
        exchange_result = await exchange.run_exchange(
            pool,
            connection,
            self._format_request(inbound, pool.address, remaining_s),
            inbound.request_id,
            inbound.method == "HEAD",
            timeouts,
        )
        if connection.response_started:
            self._reachability.record_response(pool.address)
        if isinstance(exchange_result, Failure):
            if exchange_result.failure().code in ("silent", "deadline"):
                self._reachability.request_probe(pool.address)
            if exchange_result.failure().code == "silent":
                pool.discard_idle()
            return Failure(exchange_result.failure())
        response = exchange_result.unwrap()
        fault = _find_fault(response, pool.address)
        if fault is not None:
            return Failure(fault)
        try:
            fully_read = await options.deliver(response)
        finally:
            if response.body_stream is not None:
                response.body_stream.close()
        if not fully_read:
            detail = f"{pool.address}: the answer was truncated"
            return Failure(faults.Fault("cut", detail, True))
        return Success(None)

    def _format_request(
        self,
        inbound: request_parser_lib.InboundRequest,
        address: str,
        remaining_s: float,
    ) -> bytes:
        header_fields = [
            *inbound.header_fields,
            (headers.FORWARDED, str(inbound.hops + 1)),
            (headers.DEADLINE, str(max(1, int(remaining_s * 1000)))),
            (headers.REQUEST_ID, inbound.request_id),
            (headers.CUSTOMER, inbound.customer),
            (headers.KEY, inbound.key),
        ]
        token = self._get_token()
        if token:
            header_fields.append(("Authorization", f"Bearer {token}"))
        return exchange.format_request(
            inbound.method, inbound.target, address, header_fields, inbound.body
        )

    def _get_token(self) -> str:
        now_s = self._clock.monotonic()
        if self._authenticator.enabled and now_s >= self._token_until_s:
            self._token = self._authenticator.sign("instance")
            self._token_until_s = now_s + _TOKEN_REFRESH_S
        return self._token


def _find_fault(
    response: exchange.HttpResponse, address: str
) -> faults.Fault | None:
    outcome = response.protocol_headers.get(headers.OUTCOME.lower(), "")
    if outcome not in _OUTCOMES:
        detail = f"{address}: the answer states no outcome"
        return faults.Fault("unlabelled", detail, True)
    reason = response.protocol_headers.get(headers.REASON.lower(), "")
    if outcome == headers.OUTCOME_NOT_RUN and reason in _INSTANCE_LOCAL_REASONS:
        return faults.Fault(reason, f"{address}: {reason}", False)
    return None
