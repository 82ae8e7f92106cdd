"""The bytes of a request to an upstream, and what its answer says."""

from bamboosilld.gateway import messages
from bamboosilld.gateway import upstream as upstream_lib

STATUS_MISDIRECTED = 421
_FIRST_REDIRECT_STATUS = 300


def format_request(
    request: messages.Request,
    names: messages.HeaderNames,
    upstream: str,
    left_s: float,
) -> bytes:
    """Returns the bytes of a request as it is passed on.

    Args:
        request: The caller's request.
        names: Names of the headers.
        upstream: Id of the only upstream that may run it.
        left_s: Time in seconds after which nobody waits for the answer.
    """
    own = frozenset((names.deadline_ms, names.expected_upstream))
    headers = messages.list_end_to_end(request.headers, own)
    head = f"{request.method} {request.target} HTTP/1.1\r\n"
    data = head.encode("latin-1") + messages.format_headers(headers)
    data += b"%s: %d\r\n" % (names.deadline_ms, max(1, int(left_s * 1000)))
    data += b"%s: %s\r\n" % (
        names.expected_upstream,
        upstream.encode("latin-1"),
    )
    if request.body or request.method not in ("GET", "HEAD"):
        data += b"Content-Length: %d\r\n" % len(request.body)
    return data + b"\r\n" + request.body


def is_rejection(
    answer: upstream_lib.Answer, names: messages.HeaderNames
) -> bool:
    """Returns whether the upstream says that it did not run the request."""
    return (
        answer.get(names.not_run) is not None
        or answer.status == STATUS_MISDIRECTED
    )


def find_fault(answer: upstream_lib.Answer, names: messages.HeaderNames) -> str:
    """Returns why an answer is not the upstream's own, or nothing."""
    # Callers ask for bodies without any encoding.
    if answer.get(b"content-encoding") is not None:
        return "encoded answer"
    is_success = answer.status < _FIRST_REDIRECT_STATUS
    if is_success and answer.get(names.signature) is None:
        return "unsigned answer"
    return ""
