"""Verifies which upstream process a new connection leads to.

By the time a connection is opened, the address may belong to another
incarnation or to another upstream. An upstream that does not check fences
cannot detect requests meant for its predecessor, so this instance asks each
new connection for the identity of the process behind it.
"""

import asyncio
import json
from typing import NamedTuple

from bamboosilld.entry import connection as connection_lib
from bamboosilld.entry import faults
from bamboosilld.entry import headers

PATH = "/bamboosill/identity"
MISMATCH = "identity"
NO_RESPONSE = "identity-silent"
# Fraction of the remaining time to wait for the identity, as for the first
# byte of a response: the remainder must suffice for another attempt.
_TIMEOUT_FRACTION = 0.5
# A running upstream responds immediately; longer waits mean that it is frozen.
_MAX_TIMEOUT_S = 1.2
_MAX_RESPONSE_BYTES = 4096
# Length of the part of a received value that the detail of a fault quotes.
_MAX_QUOTED_CHARS = 80
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
    """Returns the fault if a new connection must not be used, else None.

    Args:
        connection: A connection on which nothing was written.
        expected: The process that it must lead to.
        address: Remote address, for error details.
        remaining_s: Time until the deadline of the attempt, in seconds.
    """
    request = (
        f"GET {PATH} HTTP/1.1\r\nHost: {address}\r\n"
        f"{headers.REQUEST_ID}: {_REQUEST_ID}\r\n\r\n"
    )
    timeout_s = min(remaining_s * _TIMEOUT_FRACTION, _MAX_TIMEOUT_S)
    timer = asyncio.get_running_loop().call_later(
        max(0.0, timeout_s), connection.fail, NO_RESPONSE
    )
    try:
        if not connection.send(request.encode(), False):
            return _make_fault(address, "connection closed")
        body = await _read_response_body(connection)
    except connection_lib.ConnectionFaultError as error:
        code = NO_RESPONSE if error.code == NO_RESPONSE else MISMATCH
        return _make_fault(address, error.code, code)
    finally:
        timer.cancel()
    found = _parse_identity(body)
    if found is None:
        return _make_fault(
            address, f"malformed identity {body[:_MAX_QUOTED_CHARS]!r}"
        )
    if found != expected:
        detail = f"found {found.id[:_MAX_QUOTED_CHARS]!r} {found.incarnation}"
        return _make_fault(address, f"{detail} instead of {tuple(expected)}")
    if not connection.finish():
        return _make_fault(address, "connection not reusable")
    return None


async def _read_response_body(connection: connection_lib.Connection) -> bytes:
    """Returns the body, or an empty one if status, id or size is wrong."""
    head = await connection.read_head()
    echoed = head.message.headers.get(headers.REQUEST_ID)
    if head.message.code != _OK or echoed != _REQUEST_ID:
        return b""
    body = b""
    while len(body) <= _MAX_RESPONSE_BYTES:
        chunk = await connection.read_chunk()
        if not chunk:
            return body
        body += chunk
    return b""


def _parse_identity(body: bytes) -> Identity | None:
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


def _make_fault(
    address: str, detail: str, code: str = MISMATCH
) -> faults.Fault:
    return faults.Fault(code, f"{address}: identity: {detail}", False)
