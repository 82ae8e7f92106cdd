"""Parses a caller's request and validates it against the contract."""

import asyncio
import random
from typing import NamedTuple
import urllib.parse

from aiohttp import web
from returns.result import Failure
from returns.result import Result
from returns.result import Success
import xxhash

from bamboosill_common import auth
from bamboosill_common import clock as clock_lib
from bamboosill_common import requestid
from bamboosilld import memory_account
from bamboosilld.entry import headers
from bamboosilld.entry import interfaces
from bamboosilld.entry import rejections

MAX_HOPS = 2
_MAX_KEY_BYTES = 512
_MAX_DEADLINE_DIGITS = 9
_BEARER = "bearer "
# Path prefix of the protocol between entry instances and upstreams.
_RESERVED_SERVICES = frozenset({"bamboosill"})
_PREFIX = headers.PREFIX.encode()
# Verified tokens are cached to avoid a signature check for each request. An
# expired or revoked token is accepted for this much longer.
_TOKEN_CACHE_S = 1.0
_MAX_CACHED_TOKENS = 10_000


class InboundRequest(NamedTuple):
    """A parsed and validated request.

    Attributes:
        method: HTTP method.
        target: Path and query, as received.
        service: First part of the path.
        customer: Customer on whose behalf the request is made.
        key: Key by which the request is routed.
        request_id: The caller's id, or one generated here.
        id_time_ms: Timestamp in the caller's id, or 0 if it sent none.
        until: Deadline as a time of the monotonic clock, in seconds.
        header_fields: End-to-end headers to forward.
        body: The complete body.
        operation: The operation as the contract defines it.
        weight: Weight of the customer in the queue of an overloaded upstream.
        hops: Number of entry instances that forwarded the request.
        fingerprint: Hash of the request except its id.
    """

    method: str
    target: str
    service: str
    customer: str
    key: str
    request_id: str
    id_time_ms: int
    until: float
    header_fields: tuple[tuple[str, str], ...]
    body: bytes
    operation: interfaces.Operation
    weight: float
    hops: int
    fingerprint: bytes


class _Target(NamedTuple):
    """Service name and the path below it, still percent-encoded."""

    service: str
    path: str


class _Caller(NamedTuple):
    customer: str
    hops: int


def compute_fingerprint(
    method: str, target: str, customer: str, key: str, body: bytes
) -> bytes:
    """Returns a hash of a request that does not depend on its id."""
    digest = xxhash.xxh3_128()
    for part in (method, target, customer, key):
        data = part.encode("utf-8", "surrogateescape")
        digest.update(len(data).to_bytes(4, "big") + data)
    digest.update(body)
    return digest.digest()


def _refuse(
    status: int, reason: str, detail: str
) -> Failure[rejections.Rejection]:
    return Failure(rejections.refuse(status, reason, detail))


def parse_target(raw: str) -> Result[_Target, rejections.Rejection]:
    """Returns the service and path of a request target.

    Only the canonical form of a path is accepted. Other spellings of it would
    not match the operation that the contract defines for the path.
    """
    path = raw.partition("?")[0]
    if not path.startswith("/") or "%2f" in path.lower() or "//" in path:
        return _refuse(400, "bad-path", "the path is not in canonical form")
    try:
        parts = urllib.parse.unquote(path, errors="strict").split("/")[1:]
        raw_parts = path.split("/")[1:]
    except UnicodeDecodeError:
        return _refuse(400, "bad-path", "the path is not UTF-8")
    if any(
        part in (".", "..") or "\\" in part or not part.isprintable()
        for part in parts
    ):
        return _refuse(400, "bad-path", "the path is not in canonical form")
    if parts[0] in _RESERVED_SERVICES:
        return _refuse(404, "unknown-service", "this name is reserved")
    if not parts[0]:
        return _refuse(404, "unknown-service", "the path names no service")
    return Success(_Target(parts[0], "/" + "/".join(raw_parts[1:])))


class Parser:
    """Parses requests of callers and of other entry instances."""

    def __init__(
        self,
        member: interfaces.ZoneMember,
        authenticator: auth.Authenticator,
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        self._member = member
        self._authenticator = authenticator
        self._clock = clock
        self._rng = rng
        self._verified_tokens: dict[
            tuple[str, str], tuple[auth.Identity, float]
        ] = {}

    async def parse(
        self, request: web.BaseRequest, hold: memory_account.Hold
    ) -> Result[InboundRequest, rejections.Rejection]:
        """Returns the parsed request, or why it is rejected.

        Args:
            request: The request.
            hold: Counts the bytes of its body.
        """
        received_s = self._clock.monotonic()
        rejection = _check_duplicate_headers(request)
        if rejection is not None:
            return Failure(rejection)
        caller = self._identify_caller(request)
        if isinstance(caller, Failure):
            return caller
        customer, hops = caller.unwrap()
        raw_target = request.raw_path
        target = parse_target(raw_target)
        if isinstance(target, Failure):
            return target
        name, path = target.unwrap()
        contract = self._member.find_contract(customer)
        if contract is None:
            ready, reason = self._member.is_ready()
            if not ready:
                # The contract may exist but not have reached this instance yet.
                return _refuse(503, "not-ready", reason)
            return _refuse(
                404, "unknown-customer", f"no contract for {customer!r}"
            )
        service = contract.find_service(name)
        if service is None:
            detail = f"the contract of {customer!r} has no service {name!r}"
            return _refuse(404, "unknown-service", detail)
        rejection = _check_head_size(request, service.limits.max_header_bytes)
        if rejection is not None:
            return Failure(rejection)
        key = self._read_key(request)
        if isinstance(key, Failure):
            return key
        deadline = _read_deadline_ms(request, service.deadlines)
        if isinstance(deadline, Failure):
            return deadline
        until = received_s + deadline.unwrap() / 1000
        operation = service.find_operation(request.method, path)
        request_id_result = self._read_request_id(request, operation.repeatable)
        if isinstance(request_id_result, Failure):
            return request_id_result
        body = await self._read_body(
            request, service.limits.max_body_bytes, until, hold
        )
        if isinstance(body, Failure):
            return body
        body_bytes = body.unwrap()
        return Success(
            InboundRequest(
                method=request.method,
                target=raw_target,
                service=name,
                customer=customer,
                key=key.unwrap(),
                request_id=request_id_result.unwrap().text,
                id_time_ms=request_id_result.unwrap().time_ms,
                until=until,
                header_fields=_select_forwarded_headers(request),
                body=body_bytes,
                operation=operation,
                weight=service.weight,
                hops=hops,
                fingerprint=compute_fingerprint(
                    request.method,
                    raw_target,
                    customer,
                    key.unwrap(),
                    body_bytes,
                ),
            )
        )

    def _identify_caller(
        self, request: web.BaseRequest
    ) -> Result[_Caller, rejections.Rejection]:
        stated = request.headers.get(headers.CUSTOMER, "")
        forwarded = request.headers.get(headers.FORWARDED)
        hops = 0
        if forwarded is not None:
            if forwarded not in {"1", "2", "3"}:
                return _refuse(400, "bad-forward", "the hop count is invalid")
            hops = int(forwarded)
        if self._authenticator.enabled:
            role = "caller" if forwarded is None else "instance"
            identity = self._verify_token(request, role)
            if isinstance(identity, Failure):
                return identity
            subject = identity.unwrap().subject
            if forwarded is None:
                if stated and stated != subject:
                    detail = f"the token is not for customer {stated!r}"
                    return _refuse(403, "other-customer", detail)
                stated = subject
        if not stated:
            detail = f"{headers.CUSTOMER} is missing"
            return _refuse(400, "missing-customer", detail)
        if hops > MAX_HOPS:
            return _refuse(503, "hop-limit", "forwarded too often")
        return Success(_Caller(stated, hops))

    def _verify_token(
        self, request: web.BaseRequest, role: str
    ) -> Result[auth.Identity, rejections.Rejection]:
        value = request.headers.get("Authorization", "")
        if value[: len(_BEARER)].lower() != _BEARER:
            return _refuse(401, "no-token", "a bearer token is required")
        token = value[len(_BEARER) :].strip()
        now_s = self._clock.monotonic()
        cached = self._verified_tokens.get((role, token))
        if cached is not None and cached[1] > now_s:
            return Success(cached[0])
        match self._authenticator.verify(token, role):
            case Success(identity):
                if len(self._verified_tokens) >= _MAX_CACHED_TOKENS:
                    self._verified_tokens.clear()
                self._verified_tokens[(role, token)] = (
                    identity,
                    now_s + _TOKEN_CACHE_S,
                )
                return Success(identity)
            case Failure(detail):
                return _refuse(401, "bad-token", detail)
        raise AssertionError("unreachable")

    def _read_key(
        self, request: web.BaseRequest
    ) -> Result[str, rejections.Rejection]:
        key = request.headers.get(headers.KEY, "")
        if not key:
            return _refuse(400, "missing-key", f"{headers.KEY} is missing")
        try:
            size = len(key.encode())
        except UnicodeEncodeError:
            return _refuse(400, "bad-key", "the key is not UTF-8")
        if size > _MAX_KEY_BYTES or not key.isprintable():
            detail = f"the key is not printable or above {_MAX_KEY_BYTES} bytes"
            return _refuse(400, "bad-key", detail)
        return Success(key)

    def _read_request_id(
        self, request: web.BaseRequest, repeatable: bool
    ) -> Result[requestid.RequestId, rejections.Rejection]:
        text = request.headers.get(headers.REQUEST_ID)
        if text is not None:
            return requestid.parse_request_id(text).alt(
                lambda detail: rejections.refuse(400, "bad-request-id", detail)
            )
        if not repeatable:
            detail = f"{headers.REQUEST_ID} is required for this operation"
            return _refuse(400, "missing-request-id", detail)
        made = requestid.make_request_id(self._clock.wall_ms(), self._rng)
        return Success(requestid.RequestId(made, 0))

    async def _read_body(
        self,
        request: web.BaseRequest,
        limit: int,
        until: float,
        hold: memory_account.Hold,
    ) -> Result[bytes, rejections.Rejection]:
        content = request.content
        length = request.content_length
        too_large = rejections.refuse(
            413, "body-too-large", f"the body is above {limit} bytes"
        )
        if length is not None and length > limit:
            return Failure(too_large)
        no_memory = rejections.refuse(
            503, "memory", "the bodies of other requests use the memory"
        )
        if length is not None and not hold.has_room(length):
            return Failure(no_memory)
        if content.at_eof():
            return Success(b"")
        if request.headers.get("Expect", "").lower() == "100-continue":
            await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            request.writer.output_size = 0
        chunks, size = [], 0
        try:
            async with asyncio.timeout(until - self._clock.monotonic()):
                while chunk := await content.readany():
                    size += len(chunk)
                    if size > limit:
                        return Failure(too_large)
                    if not hold.try_add(len(chunk)):
                        return Failure(no_memory)
                    chunks.append(chunk)
        except TimeoutError:
            detail = "the body did not arrive before the deadline"
            return _refuse(504, "deadline", detail)
        except web.RequestPayloadError as error:
            return _refuse(400, "bad-body", str(error)[:200])
        return Success(b"".join(chunks))


def _check_duplicate_headers(
    request: web.BaseRequest,
) -> rejections.Rejection | None:
    # Different readers could use different ones of two values.
    seen = set()
    for name, _ in request.raw_headers:
        lower = name.lower()
        if lower.startswith(_PREFIX):
            if lower in seen:
                detail = f"the header {lower.decode()!r} occurs twice"
                return rejections.refuse(400, "repeated-header", detail)
            seen.add(lower)
    return None


def _check_head_size(
    request: web.BaseRequest, limit: int
) -> rejections.Rejection | None:
    size = len(request.raw_path)
    for name, value in request.raw_headers:
        size += len(name) + len(value)
    if size <= limit:
        return None
    detail = f"the head of {size} bytes is above {limit} bytes"
    return rejections.refuse(431, "head-too-large", detail)


def _read_deadline_ms(
    request: web.BaseRequest, deadlines: interfaces.Deadlines
) -> Result[int, rejections.Rejection]:
    text = request.headers.get(headers.DEADLINE)
    if text is None:
        return Success(deadlines.default)
    if (
        not (text.isascii() and text.isdigit())
        or len(text) > _MAX_DEADLINE_DIGITS
        or int(text) == 0
    ):
        detail = f"{headers.DEADLINE} is not a positive number"
        return _refuse(400, "bad-deadline", detail)
    return Success(min(int(text), deadlines.longest))


def _select_forwarded_headers(
    request: web.BaseRequest,
) -> tuple[tuple[str, str], ...]:
    # Headers named in `Connection` are hop-by-hop.
    named = {
        part.strip().lower()
        for value in request.headers.getall("Connection", ())
        for part in value.split(",")
    }
    return tuple(
        (name, value)
        for name, value in request.headers.items()
        if headers.is_forwarded(name)
        and name != "Authorization"
        and name.lower() not in named
    )
