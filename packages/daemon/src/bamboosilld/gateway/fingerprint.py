"""Recognises a request that a caller sends again."""

import xxhash

from bamboosilld.gateway import http_messages

# Headers that name a caller. Its address does not: the clients of one caller
# have several, and an upstream sees none of them.
_CALLER_HEADERS = (b"authorization", b"cookie")


def compute_fingerprint(
    request: http_messages.Request, names: http_messages.HeaderNames
) -> bytes:
    """Returns a hash of a request and its caller that no attempt changes."""
    digest = xxhash.xxh3_128()
    for part in (
        request.method.encode("latin-1"),
        request.target.encode("latin-1"),
        *(
            request.get(name) or b""
            for name in (b"host", names.key, *_CALLER_HEADERS)
        ),
        request.body,
    ):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.digest()
