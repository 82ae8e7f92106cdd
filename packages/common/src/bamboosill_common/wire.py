"""Encodes and decodes Cap'n Proto messages, with or without a type name.

Decoding is safe for untrusted input: a message that is malformed or larger
than `MAX_MESSAGE_BYTES` raises `DecodeError` and no other exception.
"""

from typing import Any
from typing import NamedTuple
from typing import TypeVar

import capnp

from bamboosill_common import codec
from bamboosill_common.generated import peer as peer_messages

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
# Cap'n Proto counts the words read against this limit, which stops
# amplification through overlapping pointers. Each read of a list counts, so
# the limit is 8 times the size of the largest message.
_TRAVERSAL_LIMIT_WORDS = MAX_MESSAGE_BYTES

Message = TypeVar("Message", bound=NamedTuple)


class DecodeError(Exception):
    """The bytes are not a valid message of the expected type."""


def encode(message: Any) -> bytes:
    """Encodes a message without its type name."""
    message_codec = codec.CODECS_BY_CLASS[type(message)]
    builder = message_codec.struct.new_message()
    message_codec.fill(builder, message)
    data: bytes = builder.to_bytes()
    return data


def decode(message_type: type[Message], data: bytes) -> Message:
    """Decodes a message of a known type.

    Raises:
        DecodeError: The bytes are not a valid message of this type.
    """
    message_codec = codec.CODECS_BY_CLASS[message_type]
    if len(data) > MAX_MESSAGE_BYTES:
        raise DecodeError(f"message of {len(data)} bytes is too large")
    try:
        with message_codec.struct.from_bytes(
            data, traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS
        ) as reader:
            return message_codec.read(reader)
    # pycapnp raises RuntimeError for an unknown enum value.
    except (capnp.KjException, RuntimeError, ValueError) as error:
        raise DecodeError(f"bad bytes: {str(error)[:200]}") from error


def pack(message: Any) -> bytes:
    """Encodes a message together with the name of its type."""
    name = codec.CODECS_BY_CLASS[type(message)].name
    return encode(peer_messages.Tagged(type=name, body=encode(message)))


def unpack(data: bytes) -> Any:
    """Decodes a message that was encoded by `pack`.

    Raises:
        DecodeError: The bytes are malformed or the type is unknown.
    """
    tagged = decode(peer_messages.Tagged, data)
    message_codec = codec.CODECS_BY_NAME.get(tagged.type)
    if message_codec is None:
        raise DecodeError(f"unknown message type {tagged.type[:80]!r}")
    return decode(message_codec.message, tagged.body)


def get_type_name(message: Any) -> str:
    """Returns the type name of a message as sent on the wire."""
    return codec.CODECS_BY_CLASS[type(message)].name
