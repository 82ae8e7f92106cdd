"""HTTP API for announcements and heartbeats of upstreams."""

import json
from typing import Any
from typing import NamedTuple

from aiohttp import web
from returns.result import Failure
from returns.result import Success

from bamboosill_common import addresses
from bamboosill_common import auth
from bamboosill_common import logs
from bamboosill_common.generated import zone as zone_messages
from bamboosilld.entry import interfaces

MAX_BODY_BYTES = 16 * 1024
_MAX_TEXT_BYTES = 128
_MAX_UINT64 = 2**64 - 1
_MAX_UINT32 = 2**32 - 1
_MAX_SLOTS = 100_000
_LAPSE = "lapse"
_BEARER = "bearer "

_log = logs.get_logger("upstreams")


class _Field(NamedTuple):
    """Type and range of one field of a JSON document."""

    name: str
    type: type
    maximum: int = _MAX_TEXT_BYTES
    minimum: int = 0
    choices: tuple[str, ...] = ()


_ANNOUNCE_FIELDS = (
    _Field("id", str, minimum=1),
    _Field("incarnation", int, _MAX_UINT64, 1),
    _Field("service", str, minimum=1),
    _Field("zone", str, minimum=1),
    _Field("address", str, minimum=1),
    _Field("slots", int, _MAX_SLOTS, 1),
    _Field("connections", int, _MAX_SLOTS, 1),
    _Field("checks_fences", bool),
    _Field("accepts_cancellation", bool),
    _Field("accepts_deadlines", bool),
    _Field("state", str, choices=("cold", "warm")),
)
_HEARTBEAT_FIELDS = (
    _Field("id", str, minimum=1),
    _Field("incarnation", int, _MAX_UINT64, 1),
    _Field("state", str, choices=("warm", "cold", "draining")),
    _Field("in_flight", int, _MAX_UINT32),
    _Field("queue", int, _MAX_UINT32),
    _Field("latency_ms", float, _MAX_UINT32),
    _Field("grants_version", int, _MAX_UINT64),
)
# HTTP status by code of the zone authority. Other codes mean that it is
# unreachable or has no leader, and give status 503.
_REFUSAL_STATUSES = {
    "duplicate_identity": 409,
    "unknown_incarnation": 409,
    "announce": 409,
    "stale": 409,
    "lost": 409,
    "old_incarnation": 409,
    "wrong_zone": 400,
    "invalid": 400,
}
_ACCEPTED_CODES = frozenset({"", "ok"})


class _RefusedError(Exception):
    """The request is rejected with a status, a code and details."""

    def __init__(self, status: int, code: str, details: list[str]) -> None:
        super().__init__(code)
        self.status = status
        self.code = code
        self.details = details


def _reject_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    document = dict(pairs)
    if len(document) != len(pairs):
        raise ValueError("a field occurs twice")
    return document


def _reject_constant(text: str) -> float:
    raise ValueError(f"{text} is not a number")


def parse_document(data: bytes, fields: tuple[_Field, ...]) -> dict[str, Any]:
    """Parses a JSON document and returns its known fields.

    Raises:
        _RefusedError: With all problems found in the document.
    """
    try:
        document = json.loads(
            data.decode(),
            object_pairs_hook=_reject_duplicates,
            parse_constant=_reject_constant,
        )
    except (ValueError, RecursionError) as error:
        raise _RefusedError(400, "malformed", [f"no JSON: {error}"]) from error
    if not isinstance(document, dict):
        raise _RefusedError(400, "malformed", ["the document is not an object"])
    problems = []
    for field in fields:
        if field.name not in document:
            problems.append(f"{field.name}: is missing")
            continue
        problem = _find_problem(field, document[field.name])
        if problem:
            problems.append(f"{field.name}: {problem}")
    if problems:
        raise _RefusedError(400, "malformed", problems)
    # Unknown fields are ignored, so that later versions can add some.
    return {field.name: document[field.name] for field in fields}


def _find_problem(field: _Field, value: Any) -> str:
    if field.type is bool:
        return "" if isinstance(value, bool) else "is not true or false"
    if field.type is str:
        return _find_text_problem(field, value)
    number = (int, float) if field.type is float else (int,)
    if isinstance(value, bool) or not isinstance(value, number):
        return "is not a number" if field.type is float else "is no integer"
    if not field.minimum <= value <= field.maximum:
        return f"is not between {field.minimum} and {field.maximum}"
    return ""


def _find_text_problem(field: _Field, value: Any) -> str:
    if not isinstance(value, str):
        return "is not a text"
    if field.choices and value not in field.choices:
        return f"is not one of {', '.join(field.choices)}"
    if not value.isprintable() or not value.isascii():
        return "has characters that are not printable ASCII"
    if not field.minimum <= len(value) <= field.maximum:
        return f"is not {field.minimum} to {field.maximum} characters long"
    return ""


class UpstreamApi:
    """Handles requests of upstreams."""

    def __init__(
        self,
        member: interfaces.ZoneMember,
        authenticator: auth.Authenticator,
        zone: str,
    ) -> None:
        self._member = member
        self._authenticator = authenticator
        self._zone = zone

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handles one request."""
        try:
            return _reply(200, await self._route_request(request))
        except _RefusedError as refused:
            return _reply(
                refused.status,
                {"code": refused.code, "details": refused.details},
            )

    async def _route_request(self, request: web.BaseRequest) -> dict[str, Any]:
        path = request.path
        if path not in ("/v1/announce", "/v1/heartbeat"):
            raise _RefusedError(404, "unknown_path", [f"no such path: {path}"])
        if request.method != "POST":
            raise _RefusedError(405, "method", ["only POST is allowed"])
        subject = self._identify(request)
        data = await _read_body(request)
        if path == "/v1/announce":
            return await self._announce(data, subject)
        return await self._heartbeat(data, subject)

    def _identify(self, request: web.BaseRequest) -> str:
        if not self._authenticator.enabled:
            return ""
        value = request.headers.get("Authorization", "")
        if value[: len(_BEARER)].lower() != _BEARER:
            raise _RefusedError(401, "no_token", ["a bearer token is required"])
        token = value[len(_BEARER) :].strip()
        match self._authenticator.verify(token, "upstream"):
            case Success(identity):
                return identity.subject
            case Failure(detail):
                raise _RefusedError(401, "bad_token", [detail])
        raise AssertionError("unreachable")

    async def _announce(self, data: bytes, subject: str) -> dict[str, Any]:
        fields = parse_document(data, _ANNOUNCE_FIELDS)
        _check_subject(subject, fields["id"])
        if self._zone and fields["zone"] != self._zone:
            detail = f"this instance is in zone {self._zone}"
            raise _RefusedError(400, "wrong_zone", [detail])
        _check_address(fields["address"])
        upstream = zone_messages.Upstream(**fields)
        result = await self._member.register_upstream(upstream)
        if isinstance(result, Failure):
            _raise_for_error(result.failure())
        code = getattr(result.unwrap(), "code", "")
        _raise_for_code(code)
        _log.info(
            "Upstream %s announced incarnation %d.",
            upstream.id,
            upstream.incarnation,
        )
        return {"code": "ok"}

    async def _heartbeat(self, data: bytes, subject: str) -> dict[str, Any]:
        fields = parse_document(data, _HEARTBEAT_FIELDS)
        _check_subject(subject, fields["id"])
        result = await self._member.forward_heartbeat(
            zone_messages.UpstreamBeat(**fields)
        )
        if isinstance(result, Failure):
            _raise_for_error(result.failure())
        reply = result.unwrap()
        _raise_for_code(reply.code)
        document: dict[str, Any] = {
            "code": "ok",
            "lease_ms": reply.lease_ms,
            "lapse_lease_ms": reply.lapse_lease_ms,
            "grants_version": reply.grants_version,
            "unchanged": reply.unchanged,
        }
        if not reply.unchanged:
            document["grants"] = [
                _describe_grant(grant) for grant in reply.grants
            ]
        return document


def _describe_grant(grant: zone_messages.Grant) -> dict[str, Any]:
    document: dict[str, Any] = {
        "keyspace": grant.keyspace,
        "shard": grant.shard,
        "fence": grant.fence,
        "lapse": _LAPSE in grant.keyspace.split("/")[1:2],
    }
    if grant.key:
        document["key"] = grant.key
    return document


def _check_subject(subject: str, upstream_id: str) -> None:
    if subject and subject != upstream_id:
        detail = f"the token is for upstream {subject!r}"
        raise _RefusedError(403, "other_upstream", [detail])


def _check_address(address: str) -> None:
    try:
        addresses.split_connectable(address)
    except ValueError as error:
        detail = f"address: cannot be connected to: {error}"
        raise _RefusedError(400, "malformed", [detail]) from error


def _raise_for_code(code: str) -> None:
    if code in _ACCEPTED_CODES:
        return
    status = _REFUSAL_STATUSES.get(code, 503)
    raise _RefusedError(
        status, code, [f"refused by the zone authority: {code}"]
    )


def _raise_for_error(error: Any) -> None:
    code = str(getattr(error, "code", "unavailable"))
    detail = str(getattr(error, "detail", error))
    status = _REFUSAL_STATUSES.get(code, 503)
    if status == 503:
        code = "authority_unreachable"
    raise _RefusedError(status, code, [detail])


async def _read_body(request: web.BaseRequest) -> bytes:
    data = bytearray()
    while chunk := await request.content.readany():
        data += chunk
        if len(data) > MAX_BODY_BYTES:
            detail = f"the document is above {MAX_BODY_BYTES} bytes"
            raise _RefusedError(413, "too_large", [detail])
    return bytes(data)


def _reply(status: int, document: dict[str, Any]) -> web.Response:
    response = web.Response(
        status=status,
        body=json.dumps(document).encode(),
        content_type="application/json",
    )
    if status == 503:
        response.headers["Retry-After"] = "1"
    return response
