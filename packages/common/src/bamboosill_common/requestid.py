"""Request ids in UUIDv7 format (RFC 9562, section 5.7).

The timestamp in an id limits how long the record of its request must be kept.
"""

import random
from typing import NamedTuple
import uuid

from returns.result import Failure
from returns.result import Result
from returns.result import Success

VERSION = 7
_TIMESTAMP_SHIFT_BITS = 80
_RAND_A_BITS = 12
_RAND_B_BITS = 62


class RequestId(NamedTuple):
    """A parsed request id.

    Attributes:
        text: Canonical lower-case form.
        time_ms: Timestamp in the id, in milliseconds since the Unix epoch.
    """

    text: str
    time_ms: int


def parse_request_id(text: str) -> Result[RequestId, str]:
    """Returns the parsed id, or an error message."""
    try:
        value = uuid.UUID(text)
    except ValueError:
        return Failure("the request id is not a UUID")
    if value.variant != uuid.RFC_4122 or value.version != VERSION:
        return Failure("the request id is not a UUID of version 7")
    return Success(RequestId(str(value), value.int >> _TIMESTAMP_SHIFT_BITS))


def make_request_id(time_ms: int, rng: random.Random) -> str:
    """Returns a new request id with the given timestamp."""
    value = time_ms << _TIMESTAMP_SHIFT_BITS
    value |= VERSION << 76
    value |= rng.getrandbits(_RAND_A_BITS) << 64
    value |= 0b10 << _RAND_B_BITS
    value |= rng.getrandbits(_RAND_B_BITS)
    return str(uuid.UUID(int=value))
