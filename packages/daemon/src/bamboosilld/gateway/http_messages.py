"""HTTP requests, responses, and the names of the gateway's own headers."""

from typing import NamedTuple

from bamboosilld import memory_account

# Enough for 64 bits; conversions of much longer texts fail.
_MAX_COUNT_DIGITS = 18

Headers = list[tuple[bytes, bytes]]
# Long bodies are not copied once they are received.
Body = bytes | bytearray
# Bodies below this size are copied, as that is cheaper than several writes.
SHORT_BODY_BYTES = 64 * 1024

# Headers that apply to one connection only (RFC 9110, section 7.6.1), and the
# framing headers, which each sender of a message sets itself.
_HOP_BY_HOP_HEADERS = frozenset(
    (
        *(b"connection", b"keep-alive", b"proxy-connection", b"te"),
        *(b"transfer-encoding", b"upgrade", b"content-length", b"trailer"),
    )
)


class Request(NamedTuple):
    """A complete request of a caller.

    Attributes:
        method: Method.
        target: Request target: path and query, unmodified.
        headers: Headers in order, names unmodified.
        body: The complete body.
        keep_alive: Whether the connection is persistent.
        hold: What the request and its response hold, if it is counted.
    """

    method: str
    target: str
    headers: Headers
    body: Body
    keep_alive: bool
    hold: memory_account.Hold | None = None

    def get(self, name: bytes) -> bytes | None:
        """Returns the value of a header by its lower-case name."""
        for each, value in self.headers:
            if each.lower() == name:
                return value
        return None


class Response(NamedTuple):
    """A complete response to a caller."""

    status: int
    headers: Headers
    body: Body
    close: bool = False


class HeaderNames(NamedTuple):
    """Lower-case names of the gateway's headers to callers and upstreams.

    Attributes:
        request_id: Id of one attempt of a caller; upstreams echo it.
        deadline_ms: Milliseconds left until the caller's deadline.
        expected_upstream: Id of the only upstream that may run a request.
        signature: Proof that a response is the upstream's.
        not_run: Present if the upstream did not run the request.
        load: Running and waiting requests and slots of an upstream.
        key: Shard key number of a request.
        rate_limit: Requests a second that an upstream takes from all instances
            together.
        leaving: Present with value 1 if an upstream leaves.
    """

    request_id: bytes
    deadline_ms: bytes
    expected_upstream: bytes
    signature: bytes
    not_run: bytes
    load: bytes
    key: bytes
    rate_limit: bytes
    leaving: bytes


def list_forwarded_headers(
    headers: Headers, excluded: frozenset[bytes] = frozenset()
) -> Headers:
    """Returns the headers to forward: all but hop-by-hop and excluded ones."""
    named: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            named.update(part.strip() for part in value.lower().split(b","))
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in _HOP_BY_HOP_HEADERS
        and name.lower() not in named
        and name.lower() not in excluded
    ]


def parse_count(value: bytes) -> int | None:
    """Returns a whole number of at most 18 digits, or None for other bytes."""
    if not value.isdigit() or len(value) > _MAX_COUNT_DIGITS:
        return None
    return int(value)


def format_headers(headers: Headers) -> bytes:
    """Returns headers as lines of an HTTP/1.1 message."""
    return b"".join(name + b": " + value + b"\r\n" for name, value in headers)


def finish_body(received: bytearray) -> Body:
    """Returns a received body; long ones are not copied."""
    if len(received) < SHORT_BODY_BYTES:
        return bytes(received)
    return received


def list_writes(head: bytes, body: Body) -> list[Body]:
    """Returns what to write for a message, without a copy of a long body."""
    if len(body) < SHORT_BODY_BYTES:
        return [head + body]
    return [head, body]
