"""Framing of the data files.

A frame has a header with a magic number, the payload's length, a sequence
number and a checksum, followed by the payload.
"""

import struct
from typing import NamedTuple

import xxhash

_MAGIC = b"BSF1"
_HEADER = struct.Struct(">4sIQQ")
HEADER_BYTES = _HEADER.size


class Frame(NamedTuple):
    """A frame read from a file.

    Attributes:
        sequence: Sequence number of the frame.
        payload: Its payload; empty for a marker.
        end: Offset of the first byte after the frame.
    """

    sequence: int
    payload: bytes
    end: int


class CorruptionError(Exception):
    """A data file does not have the content that was written to it."""


def compute_checksum(sequence: int, payload: bytes) -> int:
    """Returns a frame's checksum, which covers sequence number and payload."""
    return xxhash.xxh3_64_intdigest(payload, seed=sequence)


def encode(sequence: int, payload: bytes) -> bytes:
    """Returns the bytes of a frame."""
    checksum = compute_checksum(sequence, payload)
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
    if compute_checksum(sequence, payload) != checksum:
        return None
    return Frame(sequence, payload, start + length)


def find_valid_frame(data: bytes, offset: int) -> int:
    """Returns the offset of the first valid frame from `offset` on, or -1."""
    place = data.find(_MAGIC, offset)
    while place >= 0:
        if read(data, place) is not None:
            return place
        place = data.find(_MAGIC, place + 1)
    return -1
