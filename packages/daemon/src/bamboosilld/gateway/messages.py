"""Requests, answers and the names of the headers that carry their terms."""

from typing import NamedTuple

Headers = list[tuple[bytes, bytes]]

# Headers that concern one connection only (RFC 9110, section 7.6.1), and
# those that frame a message, which the sender of each message sets anew.
_HOP_HEADERS = frozenset(
    (
        *(b"connection", b"keep-alive", b"proxy-connection", b"te"),
        *(b"transfer-encoding", b"upgrade", b"content-length", b"trailer"),
    )
)


class Request(NamedTuple):
    """A whole request of a caller.

    Attributes:
        method: Method.
        target: Path and query as they were sent.
        headers: Headers in order, names as they were sent.
        body: The whole body.
        keep_alive: Whether the caller keeps the connection open.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    keep_alive: bool

    def get(self, name: bytes) -> bytes | None:
        """Returns the value of a header by its lower-case name."""
        for each, value in self.headers:
            if each.lower() == name:
                return value
        return None


class Response(NamedTuple):
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes
    close: bool = False


class HeaderNames(NamedTuple):
    """Lower-case names of the headers between callers, us and upstreams.

    Attributes:
        request_id: Id of one attempt of a caller; upstreams return it.
        deadline_ms: Milliseconds for which the caller still waits.
        expected_upstream: Id of the only upstream that may run a request.
        signature: Proof that an answer is the upstream's.
        not_run: Says that an upstream did not run a request.
        load: Running and waiting requests and slots of an upstream.
        key: Number of the key that a request is about.
    """

    request_id: bytes
    deadline_ms: bytes
    expected_upstream: bytes
    signature: bytes
    not_run: bytes
    load: bytes
    key: bytes


def list_end_to_end(
    headers: Headers, without: frozenset[bytes] = frozenset()
) -> Headers:
    """Returns the headers that are passed on."""
    named: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            named.update(part.strip() for part in value.lower().split(b","))
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in _HOP_HEADERS
        and name.lower() not in named
        and name.lower() not in without
    ]


def format_headers(headers: Headers) -> bytes:
    """Returns header lines."""
    return b"".join(name + b": " + value + b"\r\n" for name, value in headers)
