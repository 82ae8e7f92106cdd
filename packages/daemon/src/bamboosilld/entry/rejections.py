"""Responses that this instance generates when no upstream response is sent.

Maps failed exchanges, admission refusals, record statuses and quarantines to
an HTTP status, an outcome and a reason of the caller protocol.
"""

import json
import math
from typing import NamedTuple

from aiohttp import web

from bamboosill_common.generated import zone as zone_messages
from bamboosilld.admission import refusal as refusal_lib
from bamboosilld.entry import faults
from bamboosilld.entry import headers
from bamboosilld.entry import interfaces

_NOT_RUN = headers.OUTCOME_NOT_RUN
_UNKNOWN = headers.OUTCOME_UNKNOWN
_DEFAULT_RETRY_AFTER_S = 1.0


class Rejection(NamedTuple):
    """A response that this instance generates itself.

    Attributes:
        status: HTTP status.
        outcome: Whether the request ran; see `headers.OUTCOME_NOT_RUN`.
        reason: Stable code of the cause.
        detail: Human-readable description.
        retry_after_s: Value of `Retry-After` before rounding up, or 0.
    """

    status: int
    outcome: str
    reason: str
    detail: str
    retry_after_s: float = 0.0


class _Case(NamedTuple):
    status: int
    reason: str


# Status and reason by fault code, for requests that certainly did not run.
_NOT_RUN_CASES = {
    "deadline": _Case(504, "deadline"),
    "pool": _Case(503, "no-connection"),
    "refused": _Case(503, "upstream-unreachable"),
    "connect": _Case(503, "upstream-unreachable"),
    "closed": _Case(503, "upstream-unreachable"),
    "moved": _Case(503, "moving"),
    "identity": _Case(503, "identity"),
    "identity-silent": _Case(503, "upstream-unreachable"),
    "shed": _Case(503, "shed"),
    "stale-fence": _Case(503, "stale-fence"),
}
# Status and reason by fault code, for requests that may have run. Other codes
# give status 502 with the code as the reason.
_UNKNOWN_CASES = {
    "deadline": _Case(504, "deadline"),
    "silent": _Case(504, "silent"),
}
# Status and reason by admission refusal. Other refusals are limits of the
# contract and give status 429.
_REFUSAL_CASES = {
    refusal_lib.DEADLINE: _Case(504, "deadline"),
    refusal_lib.BREAKER: _Case(503, "upstream-failing"),
    refusal_lib.CLOSED: _Case(503, "contract-ended"),
    refusal_lib.UNKNOWN_CUSTOMER: _Case(404, "unknown-customer"),
    refusal_lib.UNKNOWN_SERVICE: _Case(404, "unknown-service"),
}
# Status, outcome and reason by record status. `new` and `finished` are absent
# because they do not reject the request.
_RECORD_CASES = {
    "in_progress": (409, _UNKNOWN, "in-progress"),
    "unknown": (409, _UNKNOWN, "begun-unknown"),
    "too_old": (409, _UNKNOWN, "id-too-old"),
    "below_floor": (409, _UNKNOWN, "id-below-floor"),
    "mismatch": (409, _NOT_RUN, "id-reused"),
    "future": (425, _NOT_RUN, "id-in-future"),
    "full": (503, _NOT_RUN, "records-full"),
}


def refuse(status: int, reason: str, detail: str) -> Rejection:
    """Returns the rejection of a request that did not run."""
    retry_after_s = _DEFAULT_RETRY_AFTER_S if status == 503 else 0.0
    return Rejection(status, _NOT_RUN, reason, detail, retry_after_s)


def make_fault_rejection(fault: faults.Fault) -> Rejection:
    """Converts the fault of the last exchange."""
    if fault.may_have_run:
        case = _UNKNOWN_CASES.get(fault.code, _Case(502, fault.code))
        return Rejection(case.status, _UNKNOWN, case.reason, fault.detail)
    case = _NOT_RUN_CASES.get(fault.code, _Case(503, fault.code))
    return refuse(case.status, case.reason, fault.detail)


def make_admission_rejection(refusal: refusal_lib.Refusal) -> Rejection:
    """Converts a refusal by admission control."""
    status, reason = _REFUSAL_CASES.get(
        refusal.reason, _Case(429, refusal.reason.replace("_", "-"))
    )
    retry_after_s = refusal.retry_after_s
    if status in (429, 503):
        retry_after_s = retry_after_s or _DEFAULT_RETRY_AFTER_S
    return Rejection(status, _NOT_RUN, reason, refusal.detail, retry_after_s)


def make_record_rejection(record: zone_messages.RecordStatus) -> Rejection:
    """Converts a record status that forbids dispatch."""
    case = _RECORD_CASES.get(record.status)
    if case is None:
        detail = f"unexpected record status {record.status!r}"
        return Rejection(409, _UNKNOWN, "begun-unknown", detail)
    status, outcome, reason = case
    detail = record.detail or f"the record of this id is {record.status}"
    retry_after_s = _DEFAULT_RETRY_AFTER_S if status == 503 else 0.0
    return Rejection(status, outcome, reason, detail, retry_after_s)


def make_quarantine_rejection(
    quarantine: interfaces.Quarantine, now_ms: int
) -> Rejection:
    """Returns the rejection of a quarantined request."""
    crashed = ", ".join(
        f"{upstream} (incarnation {incarnation}, at {at_ms} ms)"
        for upstream, incarnation, at_ms in quarantine.crashes
    )
    detail = (
        f"quarantined until {quarantine.until_ms} ms of Unix time, because "
        f"these upstreams crashed while they ran it: {crashed}"
    )
    retry_after_s = max(1.0, (quarantine.until_ms - now_ms) / 1000)
    return Rejection(422, _NOT_RUN, "quarantined", detail, retry_after_s)


def make_response(rejection: Rejection, request_id: str) -> web.Response:
    """Builds the HTTP response of a rejection."""
    response = web.Response(
        status=rejection.status,
        body=json.dumps(
            {
                "outcome": rejection.outcome,
                "reason": rejection.reason,
                "detail": rejection.detail,
            }
        ).encode(),
        content_type="application/json",
        headers={
            headers.OUTCOME: rejection.outcome,
            headers.REASON: rejection.reason,
        },
    )
    if request_id:
        response.headers[headers.REQUEST_ID] = request_id
    if rejection.retry_after_s:
        response.headers["Retry-After"] = str(
            math.ceil(rejection.retry_after_s)
        )
    return response
