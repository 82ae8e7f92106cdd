"""Names of headers, outcomes and reasons of the caller protocol."""

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

# Headers that concern one connection only (RFC 9110, section 7.6.1), and
# those that each exchange sets anew.
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


def is_passed_on(name: str) -> bool:
    """Returns whether a header is copied from one exchange to the next."""
    lower = name.lower()
    return not (lower in HOP_BY_HOP or lower.startswith(PREFIX))
