"""Faulty answers, selected by the request header X-Test-Fault.

A value may have a number as its argument: a delay in milliseconds as in
`late:300`, or a status as in `status:500`. With the prefix `once-` the fault
concerns only the first attempt of a request id.
"""

import asyncio
from collections.abc import Callable
import json
from typing import Any

from aiohttp import web

_DEFAULT_DELAY_MS = 300
_GARBAGE = b"\x00\xff not HTTP \r\n\r\n"


def close(request: web.BaseRequest) -> web.StreamResponse:
    """Closes the connection, before or within an answer."""
    if request.transport is not None:
        request.transport.close()
    raise ConnectionResetError("connection closed as the test fault demands")


def format_answer(
    request: web.BaseRequest,
    body: bytes,
    request_id: str | None = None,
    length: int | None = None,
) -> bytes:
    """Returns the bytes of an answer.

    Args:
        request: The request that is answered.
        body: Body of the answer.
        request_id: Stated request id, or None for the true one.
        length: Stated body length, or None for the true one.
    """
    if request_id is None:
        request_id = request.headers.get("Bamboosill-Request-Id", "")
    stated_length = len(body) if length is None else length
    head = (
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        f"Content-Length: {stated_length}\r\n"
    )
    if request_id:
        head += f"Bamboosill-Request-Id: {request_id}\r\n"
    return f"{head}\r\n".encode() + body


def _truncate_head(request: web.BaseRequest, body: bytes) -> bytes:
    return format_answer(request, body)[:40]


def _truncate_body(request: web.BaseRequest, body: bytes) -> bytes:
    return format_answer(request, body)[:-3]


def _truncate_chunked(request: web.BaseRequest, body: bytes) -> bytes:
    head, _, _ = format_answer(request, b"").partition(b"Content-Length")
    echoed = request.headers.get("Bamboosill-Request-Id", "")
    lines = (
        f"Bamboosill-Request-Id: {echoed}\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    return head + lines.encode() + b"%x\r\n%s\r\n" % (len(body), body)


def _drop_framing(request: web.BaseRequest, body: bytes) -> bytes:
    data = format_answer(request, body)
    line = f"Content-Length: {len(body)}\r\n".encode()
    return data.replace(line, b"")


def _enlarge_head(request: web.BaseRequest, body: bytes) -> bytes:
    data = format_answer(request, body)
    return data.replace(
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\nX-Large: " + b"a" * 100_000 + b"\r\n",
    )


def _zero_status(request: web.BaseRequest, body: bytes) -> bytes:
    return format_answer(request, body).replace(b" 200 OK", b" 000 OK", 1)


_CLOSING_FAULTS: dict[str, Callable[[web.BaseRequest, bytes], bytes]] = {
    "close-after": lambda request, body: b"",
    "truncated-head": _truncate_head,
    "truncated-body": _truncate_body,
    "truncated-chunked": _truncate_chunked,
    "unframed": _drop_framing,
    "garbage": lambda request, body: _GARBAGE,
    "large-head": _enlarge_head,
}
_KEEP_ALIVE_FAULTS: dict[str, Callable[[web.BaseRequest, bytes], bytes]] = {
    "crossed": lambda request, body: format_answer(request, body, "other"),
    "no-id": lambda request, body: format_answer(request, body, ""),
    "oversized": lambda request, body: format_answer(
        request, body + b"surplus", length=len(body)
    ),
    "zero-status": _zero_status,
    "duplicated": lambda request, body: format_answer(request, body) * 2,
    "duplicated-part": lambda request, body: (
        format_answer(request, body) + format_answer(request, body)[:30]
    ),
}


async def send_faulty_answer(
    request: web.BaseRequest, document: dict[str, Any], fault: str
) -> web.StreamResponse | None:
    """Sends a faulty answer, or returns None for a normal one."""
    name, _, number = fault.partition(":")
    body = json.dumps(document).encode()
    if name == "late":
        await asyncio.sleep(int(number or _DEFAULT_DELAY_MS) / 1000)
        return None
    if name == "status":
        echoed = request.headers.get("Bamboosill-Request-Id", "")
        return web.json_response(
            document,
            status=int(number),
            headers={"Bamboosill-Request-Id": echoed},
        )
    if name == "mute":
        # The request ran, but no answer follows.
        await asyncio.sleep(3600)
    transport = request.transport
    if transport is None:
        return None
    if name in _CLOSING_FAULTS:
        transport.write(_CLOSING_FAULTS[name](request, body))
        return close(request)
    if name in _KEEP_ALIVE_FAULTS:
        transport.write(_KEEP_ALIVE_FAULTS[name](request, body))
        return _SentResponse()
    if name == "duplicated-late":
        transport.write(format_answer(request, body))
        await asyncio.sleep(int(number or _DEFAULT_DELAY_MS) / 1000)
        transport.write(format_answer(request, body))
        return _SentResponse()
    return None


class _SentResponse(web.Response):
    """Placeholder for an answer that was already written to the transport."""

    async def prepare(self, request: web.BaseRequest) -> Any:
        """Marks the response as sent, without writing."""
        self._eof_sent = True
        self._keep_alive = True

    async def write_eof(self, data: bytes = b"") -> None:
        """Writes nothing."""
