"""Compressed messages between control and entry instances."""

from typing import Any
from typing import NamedTuple
from typing import TypeVar
import zlib

from bamboosill_common import wire

# Bounds the memory that a malformed message can take.
_MAX_UNPACKED_BYTES = 8 * wire.MAX_MESSAGE_BYTES

Message = TypeVar("Message", bound=NamedTuple)


def pack(message: Any) -> bytes:
    """Returns a message, encoded and compressed."""
    return zlib.compress(wire.encode(message), 1)


def unpack(message_type: type[Message], data: bytes) -> Message:
    """Returns the message that `pack` encoded.

    Raises:
        wire.DecodeError: The bytes are not valid.
    """
    return wire.decode(message_type, decompress(data))


def decompress(data: bytes) -> bytes:
    """Returns the encoded message of compressed bytes.

    Raises:
        wire.DecodeError: The bytes are not valid.
    """
    decompressor = zlib.decompressobj()
    try:
        unpacked = decompressor.decompress(data, _MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise wire.DecodeError(f"cannot decompress: {error}") from error
    if not decompressor.eof:
        raise wire.DecodeError("compressed data is truncated or too long")
    return unpacked
