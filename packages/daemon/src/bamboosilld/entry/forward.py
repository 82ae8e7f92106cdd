"""Forwards a request to an entry instance of the zone that owns its key."""

from collections.abc import Sequence
import random
import ssl

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bamboosill_common import auth
from bamboosill_common import clock as clock_lib
from bamboosilld.entry import answers
from bamboosilld.entry import connection as connection_lib
from bamboosilld.entry import dispatch
from bamboosilld.entry import exchange
from bamboosilld.entry import faults
from bamboosilld.entry import headers
from bamboosilld.entry import inbound as inbound_lib
from bamboosilld.entry import interfaces
from bamboosilld.entry import pools as pools_lib
from bamboosilld.entry import reachability as reachability_lib

# Connections to one entry instance of another zone.
_CONNECTIONS = 64
# Part of the remaining time after which a silent exchange of a repeatable
# request is repeated. The instance there repeats sooner towards its upstream.
_SILENCE_FRACTION = 0.7
_TOKEN_REFRESH_S = 600.0
_OUTCOMES = frozenset(
    {headers.OUTCOME_ANSWER, headers.OUTCOME_NOT_RUN, headers.OUTCOME_UNKNOWN}
)
# Refusals that say nothing about other instances of the same zone.
_INSTANCE_REASONS = frozenset({"draining", "not-ready"})


class Forwarder:
    """Exchanges requests with entry instances of other zones."""

    def __init__(
        self,
        authenticator: auth.Authenticator,
        clock: clock_lib.Clock,
        rng: random.Random,
        tls: ssl.SSLContext | None,
        local_host: str = "",
    ) -> None:
        self._authenticator = authenticator
        self._clock = clock
        self._rng = rng
        self._token = ""
        self._token_until_s = float("-inf")
        self.pools = pools_lib.Pools(tls, local_host)
        self._reachability = reachability_lib.Reachability(
            clock, tls, local_host
        )

    async def close(self) -> None:
        """Ends the probes of other zones."""
        await self._reachability.close()

    async def run(
        self,
        inbound: inbound_lib.Inbound,
        route: interfaces.Route,
        attempt: dispatch.Attempt,
    ) -> Result[None, dispatch.Ended]:
        """Forwards a request; success means that the answer was relayed."""
        if inbound.hops >= inbound_lib.MAX_HOPS:
            return Failure(
                dispatch.Stopped(
                    answers.refuse(503, "hop-limit", "forwarded too often")
                )
            )
        usable = self._reachability.select(route.addresses)
        if route.addresses and not usable:
            detail = f"no entry instance of zone {route.zone} answers"
            return Failure(
                dispatch.Stopped(
                    answers.refuse(503, "zone-unreachable", detail)
                )
            )
        last: Result[None, dispatch.Ended] = Failure(
            faults.Fault(
                "zone-unreachable",
                f"no entry instance of zone {route.zone} is known",
                False,
            )
        )
        for address in self._order(usable):
            last = await self._try(inbound, address, attempt)
            if not isinstance(last, Failure):
                return last
            ended = last.failure()
            if isinstance(ended, dispatch.Stopped) or ended.may_have_run:
                return last
        ended = last.failure()
        if isinstance(ended, faults.Fault) and ended.code in (
            "refused",
            "connect",
        ):
            return Failure(ended._replace(code="zone-unreachable"))
        return last

    def _order(self, addresses: Sequence[str]) -> list[str]:
        return self._rng.sample(list(addresses), len(addresses))

    async def _try(
        self,
        inbound: inbound_lib.Inbound,
        address: str,
        attempt: dispatch.Attempt,
    ) -> Result[None, dispatch.Ended]:
        pool = self.pools.get(address, _CONNECTIONS)
        acquired = await pool.acquire(
            inbound.until - self._clock.monotonic(), attempt.fresh
        )
        if isinstance(acquired, Failure):
            if acquired.failure().code == "connect":
                self._reachability.note_silent(address)
            return Failure(acquired.failure())
        connection = acquired.unwrap()
        remaining_s = inbound.until - self._clock.monotonic()
        if remaining_s <= 0:
            pool.put_back(connection)
            return Failure(
                faults.Fault("deadline", "the deadline has passed", False)
            )
        return await self._write(
            inbound, attempt, (pool, connection), remaining_s
        )

    async def _write(
        self,
        inbound: inbound_lib.Inbound,
        attempt: dispatch.Attempt,
        link: tuple[pools_lib.Pool, connection_lib.Connection],
        remaining_s: float,
    ) -> Result[None, dispatch.Ended]:
        pool, connection = link
        give_up = attempt.may_give_up
        timing = exchange.Timing(
            remaining_s,
            remaining_s * _SILENCE_FRACTION if give_up else 0.0,
            give_up or (lambda: False),
        )
        result = await exchange.run_exchange(
            pool,
            connection,
            self._format(inbound, pool.address, remaining_s),
            inbound.request_id,
            inbound.method == "HEAD",
            timing,
        )
        if connection.received:
            self._reachability.note_heard(pool.address)
        if isinstance(result, Failure):
            if result.failure().code in ("silent", "deadline"):
                self._reachability.note_silent(pool.address)
            if result.failure().code == "silent":
                pool.discard_idle()
            return Failure(result.failure())
        answer = result.unwrap()
        fault = _find_fault(answer, pool.address)
        if fault is not None:
            return Failure(fault)
        try:
            whole = await attempt.deliver(answer)
        finally:
            if answer.rest is not None:
                answer.rest.close()
        if not whole:
            detail = f"{pool.address}: the answer was truncated"
            return Failure(faults.Fault("cut", detail, True))
        return Success(None)

    def _format(
        self, inbound: inbound_lib.Inbound, address: str, remaining_s: float
    ) -> bytes:
        lines = [
            *inbound.lines,
            (headers.FORWARDED, str(inbound.hops + 1)),
            (headers.DEADLINE, str(max(1, int(remaining_s * 1000)))),
            (headers.REQUEST_ID, inbound.request_id),
            (headers.CUSTOMER, inbound.customer),
            (headers.KEY, inbound.key),
        ]
        token = self._get_token()
        if token:
            lines.append(("Authorization", f"Bearer {token}"))
        return exchange.format_request(
            inbound.method, inbound.target, address, lines, inbound.body
        )

    def _get_token(self) -> str:
        now_s = self._clock.monotonic()
        if self._authenticator.enabled and now_s >= self._token_until_s:
            self._token = self._authenticator.sign("instance")
            self._token_until_s = now_s + _TOKEN_REFRESH_S
        return self._token


def _find_fault(answer: exchange.Answer, address: str) -> faults.Fault | None:
    outcome = answer.fields.get(headers.OUTCOME.lower(), "")
    if outcome not in _OUTCOMES:
        detail = f"{address}: the answer states no outcome"
        return faults.Fault("unlabelled", detail, True)
    reason = answer.fields.get(headers.REASON.lower(), "")
    if outcome == headers.OUTCOME_NOT_RUN and reason in _INSTANCE_REASONS:
        return faults.Fault(reason, f"{address}: {reason}", False)
    return None
