"""Frames of the data files: length, sequence number and checksum."""

import struct
from typing import NamedTuple

import xxhash

_MAGIC = b"BSF1"
_HEADER = struct.Struct(">4sIQQ")
HEADER_BYTES = _HEADER.size


class Frame(NamedTuple):
    """A frame read from a file.

    Attributes:
        sequence: Number of the frame.
        payload: Its content; empty for a marker.
        end: Offset behind the frame.
    """

    sequence: int
    payload: bytes
    end: int


class DamageError(Exception):
    """A data file does not hold what was written to it."""


def get_checksum(sequence: int, payload: bytes) -> int:
    """Returns the checksum of a frame."""
    return xxhash.xxh3_64_intdigest(payload, seed=sequence)


def encode(sequence: int, payload: bytes) -> bytes:
    """Returns the bytes of a frame."""
    checksum = get_checksum(sequence, payload)
    return _HEADER.pack(_MAGIC, len(payload), sequence, checksum) + payload


def read(data: bytes, offset: int) -> Frame | None:
    """Returns the frame at an offset, or None if there is no valid one."""
    if offset + HEADER_BYTES > len(data):
        return None
    magic, length, sequence, checksum = _HEADER.unpack_from(data, offset)
    start = offset + HEADER_BYTES
    if magic != _MAGIC or start + length > len(data):
        return None
    payload = data[start : start + length]
    if get_checksum(sequence, payload) != checksum:
        return None
    return Frame(sequence, payload, start + length)


def find_later(data: bytes, offset: int) -> int:
    """Returns the offset of the next valid frame, or -1."""
    place = data.find(_MAGIC, offset)
    while place >= 0:
        if read(data, place) is not None:
            return place
        place = data.find(_MAGIC, place + 1)
    return -1
