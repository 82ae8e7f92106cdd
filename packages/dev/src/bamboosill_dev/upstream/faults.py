"""Faulty answers, asked for by the header X-Test-Fault.

A value may end in a number of milliseconds, as in `late:300`, and begin with
`once-` to concern the first exchange of a request id only.
"""

import asyncio
from collections.abc import Callable
import json
from typing import Any

from aiohttp import web

_LATE_MS = 300
_GARBAGE = b"\x00\xff not HTTP \r\n\r\n"


def close(request: web.BaseRequest) -> web.StreamResponse:
    """Closes the connection without an answer, or amid one."""
    if request.transport is not None:
        request.transport.close()
    raise ConnectionResetError("closed on demand")


def format_answer(
    request: web.BaseRequest,
    body: bytes,
    request_id: str | None = None,
    length: int | None = None,
) -> bytes:
    """Returns the bytes of an answer, with a false id or length on demand."""
    if request_id is None:
        request_id = request.headers.get("Bamboosill-Request-Id", "")
    shown = len(body) if length is None else length
    head = (
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        f"Content-Length: {shown}\r\n"
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


_CLOSING: dict[str, Callable[[web.BaseRequest, bytes], bytes]] = {
    "close-after": lambda request, body: b"",
    "truncated-head": _truncate_head,
    "truncated-body": _truncate_body,
    "truncated-chunked": _truncate_chunked,
    "unframed": _drop_framing,
    "garbage": lambda request, body: _GARBAGE,
    "large-head": _enlarge_head,
}
_KEEPING: dict[str, Callable[[web.BaseRequest, bytes], bytes]] = {
    "crossed": lambda request, body: format_answer(request, body, "other"),
    "no-id": lambda request, body: format_answer(request, body, ""),
    "oversized": lambda request, body: format_answer(
        request, body + b"surplus", length=len(body)
    ),
    "duplicated": lambda request, body: format_answer(request, body) * 2,
    "duplicated-part": lambda request, body: (
        format_answer(request, body) + format_answer(request, body)[:30]
    ),
}


async def answer(
    request: web.BaseRequest, document: dict[str, Any], fault: str
) -> web.StreamResponse | None:
    """Sends a faulty answer, or returns None for a normal one."""
    name, _, number = fault.partition(":")
    body = json.dumps(document).encode()
    if name == "late":
        await asyncio.sleep(int(number or _LATE_MS) / 1000)
        return None
    if name == "status":
        echoed = request.headers.get("Bamboosill-Request-Id", "")
        return web.json_response(
            document,
            status=int(number),
            headers={"Bamboosill-Request-Id": echoed},
        )
    if name == "mute":
        # The request ran, and nothing is ever sent.
        await asyncio.sleep(3600)
    transport = request.transport
    if transport is None:
        return None
    if name in _CLOSING:
        transport.write(_CLOSING[name](request, body))
        return close(request)
    if name in _KEEPING:
        transport.write(_KEEPING[name](request, body))
        return _Sent()
    if name == "duplicated-late":
        transport.write(format_answer(request, body))
        await asyncio.sleep(int(number or _LATE_MS) / 1000)
        transport.write(format_answer(request, body))
        return _Sent()
    return None


class _Sent(web.Response):
    """Stands for an answer that was written already."""

    async def prepare(self, request: web.BaseRequest) -> Any:
        """Writes nothing."""
        self._eof_sent = True
        self._keep_alive = True

    async def write_eof(self, data: bytes = b"") -> None:
        """Writes nothing."""
