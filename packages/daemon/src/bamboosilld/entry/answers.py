"""What a caller is told when it gets no answer of an upstream."""

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


class Refused(NamedTuple):
    """An answer that this instance gives itself."""

    status: int
    outcome: str
    reason: str
    detail: str
    retry_after_s: float = 0.0


class _Case(NamedTuple):
    status: int
    reason: str


# By fault code, for requests that certainly did not run.
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
# By fault code, for requests that may have run; all others are 502.
_UNKNOWN_CASES = {
    "deadline": _Case(504, "deadline"),
    "silent": _Case(504, "silent"),
}
# By reason of admission; all others are limits of the contract: 429.
_REFUSAL_CASES = {
    refusal_lib.DEADLINE: _Case(504, "deadline"),
    refusal_lib.BREAKER: _Case(503, "upstream-failing"),
    refusal_lib.CLOSED: _Case(503, "contract-ended"),
    refusal_lib.UNKNOWN_CUSTOMER: _Case(404, "unknown-customer"),
    refusal_lib.UNKNOWN_SERVICE: _Case(404, "unknown-service"),
}
# By status of a record; `new` and `finished` are not refusals.
_RECORD_CASES = {
    "in_progress": (409, _UNKNOWN, "in-progress"),
    "unknown": (409, _UNKNOWN, "begun-unknown"),
    "too_old": (409, _UNKNOWN, "id-too-old"),
    "below_floor": (409, _UNKNOWN, "id-below-floor"),
    "mismatch": (409, _NOT_RUN, "id-reused"),
    "future": (425, _NOT_RUN, "id-in-future"),
    "full": (503, _NOT_RUN, "records-full"),
}


def refuse(status: int, reason: str, detail: str) -> Refused:
    """Returns the refusal of a request that did not run."""
    retry_after_s = _DEFAULT_RETRY_AFTER_S if status == 503 else 0.0
    return Refused(status, _NOT_RUN, reason, detail, retry_after_s)


def describe_fault(fault: faults.Fault) -> Refused:
    """Returns what a caller is told about a fault."""
    if fault.may_have_run:
        case = _UNKNOWN_CASES.get(fault.code, _Case(502, fault.code))
        return Refused(case.status, _UNKNOWN, case.reason, fault.detail)
    case = _NOT_RUN_CASES.get(fault.code, _Case(503, fault.code))
    return refuse(case.status, case.reason, fault.detail)


def describe_refusal(refusal: refusal_lib.Refusal) -> Refused:
    """Returns what a caller is told about a refusal by admission."""
    status, reason = _REFUSAL_CASES.get(
        refusal.reason, _Case(429, refusal.reason.replace("_", "-"))
    )
    retry_after_s = refusal.retry_after_s
    if status in (429, 503):
        retry_after_s = retry_after_s or _DEFAULT_RETRY_AFTER_S
    return Refused(status, _NOT_RUN, reason, refusal.detail, retry_after_s)


def describe_record(record: zone_messages.RecordStatus) -> Refused:
    """Returns what a caller is told about a record that forbids dispatch."""
    case = _RECORD_CASES.get(record.status)
    if case is None:
        detail = f"unexpected record status {record.status!r}"
        return Refused(409, _UNKNOWN, "begun-unknown", detail)
    status, outcome, reason = case
    detail = record.detail or f"the record of this id is {record.status}"
    retry_after_s = _DEFAULT_RETRY_AFTER_S if status == 503 else 0.0
    return Refused(status, outcome, reason, detail, retry_after_s)


def describe_quarantine(
    quarantine: interfaces.Quarantine, now_ms: int
) -> Refused:
    """Returns what the caller of a quarantined request is told."""
    crashed = ", ".join(
        f"{upstream} (incarnation {incarnation}, at {at_ms} ms)"
        for upstream, incarnation, at_ms in quarantine.crashes
    )
    detail = (
        f"quarantined until {quarantine.until_ms} ms of Unix time, because "
        f"these upstreams crashed while they ran it: {crashed}"
    )
    retry_after_s = max(1.0, (quarantine.until_ms - now_ms) / 1000)
    return Refused(422, _NOT_RUN, "quarantined", detail, retry_after_s)


def make_response(refused: Refused, request_id: str) -> web.Response:
    """Returns the HTTP response of a refusal."""
    response = web.Response(
        status=refused.status,
        body=json.dumps(
            {
                "outcome": refused.outcome,
                "reason": refused.reason,
                "detail": refused.detail,
            }
        ).encode(),
        content_type="application/json",
        headers={
            headers.OUTCOME: refused.outcome,
            headers.REASON: refused.reason,
        },
    )
    if request_id:
        response.headers[headers.REQUEST_ID] = request_id
    if refused.retry_after_s:
        response.headers["Retry-After"] = str(math.ceil(refused.retry_after_s))
    return response
