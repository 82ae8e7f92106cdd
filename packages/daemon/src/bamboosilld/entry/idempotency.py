"""Idempotency records of requests that may run at most once.

The zone group stores a record under the id of each request that is not
repeatable, before the request is written to an upstream. A resend with the
same id gets the stored response, or is rejected, and does not run again.
"""

from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bamboosill_common import clock as clock_lib
from bamboosill_common import errors
from bamboosill_common import logs
from bamboosill_common.generated import zone as zone_messages
from bamboosilld.entry import exchange
from bamboosilld.entry import headers
from bamboosilld.entry import interfaces
from bamboosilld.entry import rejections
from bamboosilld.entry import request_parser as request_parser_lib

MAX_STORED_BYTES = 4096
_MAX_CLOCK_SKEW_MS = 1000
# Timeout for beginning a record, as a fraction of the remaining time. The
# remainder is for the exchange with the upstream.
_BEGIN_TIMEOUT_FRACTION = 0.5
# The caller gets "not run" only after its record is removed, so that it can
# resend the same id immediately.
_ABANDON_DEADLINE_S = 1.0
_FINISH_DEADLINE_S = 2.0
_FINISH_ATTEMPTS = 5
_FINISH_RETRY_DELAY_S = 0.2

_log = logs.get_logger("entry")


class Replay(NamedTuple):
    """The stored response of a request that ran earlier."""

    status: int
    body: bytes
    content_type: str


class IdempotencyRecords:
    """Begins and ends records in the zone group."""

    def __init__(
        self,
        member: interfaces.ZoneMember,
        clock: clock_lib.Clock,
        identity: tuple[str, int],
        spawn: interfaces.Spawn,
    ) -> None:
        self._member = member
        self._clock = clock
        self._instance, self._incarnation = identity
        self._spawn = spawn
        self._active_ids: set[tuple[str, str]] = set()

    def claim_id(
        self, inbound: request_parser_lib.InboundRequest
    ) -> rejections.Rejection | None:
        """Claims an id at this instance, or returns why it cannot be used."""
        skew_ms = self._member.clock_skew_ms
        if abs(skew_ms) > _MAX_CLOCK_SKEW_MS:
            detail = f"the clock of this instance is off by {skew_ms} ms"
            return rejections.refuse(503, "clock-skew", detail)
        active_id = (inbound.customer, inbound.request_id)
        if active_id in self._active_ids:
            return rejections.Rejection(
                409,
                headers.OUTCOME_UNKNOWN,
                "in-progress",
                "a request with this id is in progress",
            )
        self._active_ids.add(active_id)
        return None

    def release_id(self, inbound: request_parser_lib.InboundRequest) -> None:
        """Releases an id claimed by `claim_id`."""
        self._active_ids.discard((inbound.customer, inbound.request_id))

    async def begin(
        self,
        inbound: request_parser_lib.InboundRequest,
        route: interfaces.Route,
    ) -> Result[Replay | None, rejections.Rejection]:
        """Records a request before it is written to an upstream.

        Returns:
            None if the request may be dispatched, the stored response if it
            has run, or why it is rejected.
        """
        remaining_s = inbound.until - self._clock.monotonic()
        message = zone_messages.BeginRequest(
            id=inbound.request_id,
            customer=inbound.customer,
            fingerprint=inbound.fingerprint,
            keyspace=route.keyspace,
            shard=route.shard,
            instance=self._instance,
            incarnation=self._incarnation,
            now_ms=self._clock.wall_ms(),
        )
        result = await self._member.propose(
            message, max(0.0, remaining_s * _BEGIN_TIMEOUT_FRACTION)
        )
        match result:
            case Success(zone_messages.RecordStatus() as record):
                return _interpret_status(record)
            case Failure(error):
                return Failure(_describe_error(error))
        detail = "the zone group returned no record"
        return Failure(rejections.refuse(503, "record-unavailable", detail))

    async def abandon(self, inbound: request_parser_lib.InboundRequest) -> None:
        """Removes the record of a request that certainly did not run.

        The command is proposed only once. If it were proposed again, it could
        remove the record of a resend that was dispatched in the meantime.
        """
        message = zone_messages.AbandonRequest(
            id=inbound.request_id,
            customer=inbound.customer,
            fingerprint=inbound.fingerprint,
        )
        result = await self._member.propose(message, _ABANDON_DEADLINE_S)
        if isinstance(result, Failure):
            _log.warning("Record of request %s not removed.", message.id)

    def finish(
        self,
        inbound: request_parser_lib.InboundRequest,
        response: exchange.HttpResponse,
    ) -> None:
        """Stores the response of a request, or only its status if too large."""
        stored = (
            response.body_stream is None
            and len(response.body) <= MAX_STORED_BYTES
        )
        message = zone_messages.FinishRequest(
            id=inbound.request_id,
            customer=inbound.customer,
            status=response.status,
            body=response.body if stored else b"",
            content_type=_find_content_type(response),
            stored=stored,
            outcome=headers.OUTCOME_ANSWER,
        )
        self._spawn(self._propose_finish(message))

    def finish_unknown(
        self, inbound: request_parser_lib.InboundRequest
    ) -> None:
        """Records that the request may or may not have run."""
        message = zone_messages.FinishRequest(
            id=inbound.request_id,
            customer=inbound.customer,
            outcome=headers.OUTCOME_UNKNOWN,
        )
        self._spawn(self._propose_finish(message))

    async def _propose_finish(
        self, message: zone_messages.FinishRequest
    ) -> None:
        for _ in range(_FINISH_ATTEMPTS):
            result = await self._member.propose(message, _FINISH_DEADLINE_S)
            if isinstance(result, Success):
                return
            await self._clock.sleep(_FINISH_RETRY_DELAY_S)
        # The record stays in progress, so that resends get an unknown outcome.
        _log.warning("Record of request %s not finished.", message.id)


def _interpret_status(
    record: zone_messages.RecordStatus,
) -> Result[Replay | None, rejections.Rejection]:
    if record.status == "new":
        return Success(None)
    if record.status != "finished":
        return Failure(rejections.make_record_rejection(record))
    if record.stored:
        return Success(
            Replay(record.http_status, record.body, record.content_type)
        )
    return Failure(
        rejections.Rejection(
            208,
            headers.OUTCOME_ANSWER,
            "already-run",
            f"the request has run with status {record.http_status}; "
            "its answer was too large to store",
        )
    )


def _describe_error(error: errors.ProposeError) -> rejections.Rejection:
    if not error.applied_unknown:
        return rejections.refuse(503, "record-unavailable", error.detail)
    # The record may have been begun for this request, which is not dispatched,
    # or by a concurrent request with the same id that is running. "Not run"
    # would be wrong in the second case. For the same reason, the record is not
    # abandoned.
    return rejections.Rejection(
        409, headers.OUTCOME_UNKNOWN, "record-unknown", error.detail
    )


def _find_content_type(response: exchange.HttpResponse) -> str:
    for name, value in response.headers:
        if name.lower() == "content-type":
            return value
    return ""
