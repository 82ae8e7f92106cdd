"""Request ids in UUIDv7 form, whose time stamps bound how long they are kept.

Source: RFC 9562, section 5.7.
"""

import random
from typing import NamedTuple
import uuid

from returns.result import Failure
from returns.result import Result
from returns.result import Success

VERSION = 7
_TIME_SHIFT = 80
_RANDOM_BITS_A = 12
_RANDOM_BITS_B = 62


class RequestId(NamedTuple):
    """A parsed request id.

    Attributes:
        text: Canonical lower-case text.
        time_ms: Milliseconds since the Unix epoch, from the id.
    """

    text: str
    time_ms: int


def parse_request_id(text: str) -> Result[RequestId, str]:
    """Returns the parsed id, or a sentence that says what is wrong with it."""
    try:
        value = uuid.UUID(text)
    except ValueError:
        return Failure("the request id is not a UUID")
    if value.variant != uuid.RFC_4122 or value.version != VERSION:
        return Failure("the request id is not a UUID of version 7")
    return Success(RequestId(str(value), value.int >> _TIME_SHIFT))


def make_request_id(time_ms: int, rng: random.Random) -> str:
    """Returns a new request id with the given time stamp."""
    value = time_ms << _TIME_SHIFT
    value |= VERSION << 76
    value |= rng.getrandbits(_RANDOM_BITS_A) << 64
    value |= 0b10 << _RANDOM_BITS_B
    value |= rng.getrandbits(_RANDOM_BITS_B)
    return str(uuid.UUID(int=value))
