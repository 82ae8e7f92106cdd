"""Encodes messages, alone or tagged with the name of their type.

Decoding is bounded: a message larger than `MAX_MESSAGE_BYTES` or with bad
bytes gives `DecodeError`, never another exception.
"""

from typing import Any
from typing import NamedTuple
from typing import TypeVar

import capnp

from bamboosill_common import codec
from bamboosill_common.generated import peer as peer_messages

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
# Cap'n Proto counts words read against this limit to stop amplification by
# overlapping pointers. Reading a list twice counts twice, hence the factor.
_TRAVERSAL_LIMIT_WORDS = MAX_MESSAGE_BYTES

Message = TypeVar("Message", bound=NamedTuple)


class DecodeError(Exception):
    """The bytes are not a valid message."""


def encode(message: Any) -> bytes:
    """Returns the bytes of a message."""
    found = codec.CODECS_BY_CLASS[type(message)]
    builder = found.struct.new_message()
    found.fill(builder, message)
    data: bytes = builder.to_bytes()
    return data


def decode(message_type: type[Message], data: bytes) -> Message:
    """Returns the message in `data`.

    Raises:
        DecodeError: The bytes are no message of this type.
    """
    found = codec.CODECS_BY_CLASS[message_type]
    if len(data) > MAX_MESSAGE_BYTES:
        raise DecodeError(f"message of {len(data)} bytes is too large")
    try:
        with found.struct.from_bytes(
            data, traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS
        ) as reader:
            return found.read(reader)
    # RuntimeError is how pycapnp reports an unknown enumerant.
    except (capnp.KjException, RuntimeError, ValueError) as error:
        raise DecodeError(f"bad bytes: {str(error)[:200]}") from error


def pack(message: Any) -> bytes:
    """Returns the bytes of a message together with the name of its type."""
    name = codec.CODECS_BY_CLASS[type(message)].name
    return encode(peer_messages.Tagged(type=name, body=encode(message)))


def unpack(data: bytes) -> Any:
    """Returns the message written by `pack`.

    Raises:
        DecodeError: The bytes are bad or the type is unknown.
    """
    tagged = decode(peer_messages.Tagged, data)
    found = codec.CODECS_BY_NAME.get(tagged.type)
    if found is None:
        raise DecodeError(f"unknown message type {tagged.type[:80]!r}")
    return decode(found.message, tagged.body)


def get_type_name(message: Any) -> str:
    """Returns the name of a message's type as sent on the wire."""
    return codec.CODECS_BY_CLASS[type(message)].name
