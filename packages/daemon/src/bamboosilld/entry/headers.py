"""Header names and outcome values of the caller protocol."""

CUSTOMER = "Bamboosill-Customer"
KEY = "Bamboosill-Key"
DEADLINE = "Bamboosill-Deadline-Ms"
EXPIRES = "Bamboosill-Expires-Ms"
REQUEST_ID = "Bamboosill-Request-Id"
OUTCOME = "Bamboosill-Outcome"
REASON = "Bamboosill-Reason"
REPLAYED = "Bamboosill-Replayed"
NOT_RUN = "Bamboosill-Not-Run"
FORWARDED = "Bamboosill-Forwarded"
KEYSPACE = "Bamboosill-Keyspace"
SHARD = "Bamboosill-Shard"
FENCE = "Bamboosill-Fence"
PREFIX = "bamboosill-"

OUTCOME_ANSWER = "answer"
OUTCOME_NOT_RUN = "not-run"
OUTCOME_UNKNOWN = "unknown"

# Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that are generated
# anew for each exchange.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def is_forwarded(name: str) -> bool:
    """Returns whether a proxy copies this header to the next hop."""
    lower = name.lower()
    return not (lower in HOP_BY_HOP or lower.startswith(PREFIX))
