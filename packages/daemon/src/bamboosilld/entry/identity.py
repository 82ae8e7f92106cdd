"""Asks a new connection to an upstream which process is at its other end.

An address may belong to another incarnation, or to another upstream, by the
time a connection is opened. Upstreams that check no fences cannot tell, so
the instance does.
"""

import asyncio
import json
from typing import NamedTuple

from bamboosilld.entry import connection as connection_lib
from bamboosilld.entry import faults
from bamboosilld.entry import headers

PATH = "/bamboosill/identity"
MISMATCH = "identity"
SILENT = "identity-silent"
# As for the answers to requests: the rest must suffice for another attempt.
_SILENCE_FRACTION = 0.5
# An upstream that is not frozen answers at once.
_LONGEST_SILENCE_S = 1.2
_MAX_ANSWER_BYTES = 4096
_MAX_SHOWN = 80
_REQUEST_ID = "identity"
_OK = 200


class Identity(NamedTuple):
    """One incarnation of an upstream."""

    id: str
    incarnation: int


async def check_connection(
    connection: connection_lib.Connection,
    expected: Identity,
    address: str,
    remaining_s: float,
) -> faults.Fault | None:
    """Returns why a new connection must not be used, or None.

    Args:
        connection: The connection, on which nothing was written.
        expected: Who must be at its other end.
        address: Address that it leads to.
        remaining_s: Time until the deadline of the attempt, in seconds.
    """
    request = (
        f"GET {PATH} HTTP/1.1\r\nHost: {address}\r\n"
        f"{headers.REQUEST_ID}: {_REQUEST_ID}\r\n\r\n"
    )
    silence_s = min(remaining_s * _SILENCE_FRACTION, _LONGEST_SILENCE_S)
    timer = asyncio.get_running_loop().call_later(
        max(0.0, silence_s), connection.fail, SILENT
    )
    try:
        if not connection.send(request.encode(), False):
            return _describe(address, "connection closed")
        body = await _read_answer(connection)
    except connection_lib.ConnectionFaultError as error:
        code = SILENT if error.code == SILENT else MISMATCH
        return _describe(address, error.code, code)
    finally:
        timer.cancel()
    found = _parse(body)
    if found is None:
        return _describe(address, f"malformed identity {body[:_MAX_SHOWN]!r}")
    if found != expected:
        detail = f"found {found.id[:_MAX_SHOWN]!r} {found.incarnation}"
        return _describe(address, f"{detail} instead of {tuple(expected)}")
    if not connection.finish():
        return _describe(address, "connection not reusable")
    return None


async def _read_answer(connection: connection_lib.Connection) -> bytes:
    """Returns the body, or nothing if the head is not as it must be."""
    head = await connection.read_head()
    echoed = head.message.headers.get(headers.REQUEST_ID)
    if head.message.code != _OK or echoed != _REQUEST_ID:
        return b""
    body = b""
    while len(body) <= _MAX_ANSWER_BYTES:
        chunk = await connection.read_chunk()
        if not chunk:
            return body
        body += chunk
    return b""


def _parse(body: bytes) -> Identity | None:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return None
    if not isinstance(document, dict):
        return None
    name, incarnation = document.get("id"), document.get("incarnation")
    if not isinstance(name, str) or type(incarnation) is not int:
        return None
    return Identity(name, incarnation)


def _describe(address: str, detail: str, code: str = MISMATCH) -> faults.Fault:
    return faults.Fault(code, f"{address}: identity: {detail}", False)
