"""Formats requests to upstreams and classifies their responses."""

from bamboosilld.gateway import http_messages
from bamboosilld.gateway import upstream_connection as upstream_connection_lib

STATUS_MISDIRECTED = 421
_FIRST_REDIRECT_STATUS = 300


def format_head(
    request: http_messages.Request,
    names: http_messages.HeaderNames,
    upstream: str,
    remaining_s: float,
) -> bytes:
    """Returns the head of a request as it is forwarded.

    Args:
        request: The caller's request.
        names: Names of the headers.
        upstream: Id of the only upstream that may run it.
        remaining_s: Seconds left until the deadline.
    """
    replaced = frozenset((names.deadline_ms, names.expected_upstream))
    headers = http_messages.list_forwarded_headers(request.headers, replaced)
    head = f"{request.method} {request.target} HTTP/1.1\r\n"
    data = head.encode("latin-1") + http_messages.format_headers(headers)
    data += b"%s: %d\r\n" % (names.deadline_ms, max(1, int(remaining_s * 1000)))
    data += b"%s: %s\r\n" % (
        names.expected_upstream,
        upstream.encode("latin-1"),
    )
    if request.body or request.method not in ("GET", "HEAD"):
        data += b"Content-Length: %d\r\n" % len(request.body)
    return data + b"\r\n"


def is_rejection(
    response: upstream_connection_lib.UpstreamResponse,
    names: http_messages.HeaderNames,
) -> bool:
    """Returns whether the upstream states that it did not run the request."""
    return (
        response.get(names.not_run) is not None
        or response.status == STATUS_MISDIRECTED
    )


def find_response_fault(
    response: upstream_connection_lib.UpstreamResponse,
    names: http_messages.HeaderNames,
) -> str:
    """Returns why the response did not come unaltered from the upstream.

    Returns:
        The reason, or an empty string for a valid response.
    """
    # Callers ask for bodies without any content encoding: an intermediary
    # added one.
    if response.get(b"content-encoding") is not None:
        return "encoded answer"
    is_success = response.status < _FIRST_REDIRECT_STATUS
    if is_success and response.get(names.signature) is None:
        return "unsigned answer"
    return ""
