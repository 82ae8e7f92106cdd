"""Snapshot files: a header frame followed by the serialized state."""

import re

import xxhash

from bamboosill_common import wire
from bamboosill_common.generated import consensus as messages
from bamboosilld.consensus import interfaces
from bamboosilld.storage import frames

_NAME = re.compile(r"snapshot-(\d{20})")


def make_name(index: int) -> str:
    """Returns the file name of a snapshot."""
    return f"snapshot-{index:020d}"


def parse_name(name: str) -> int | None:
    """Returns the index in a snapshot's file name; None for other files."""
    match = _NAME.fullmatch(name)
    return int(match[1]) if match else None


def encode(snapshot: interfaces.Snapshot) -> bytes:
    """Returns the bytes of a snapshot file."""
    header = messages.SnapshotHeader(
        last_index=snapshot.last_index,
        last_term=snapshot.last_term,
        membership=snapshot.membership,
        size_bytes=len(snapshot.data),
        checksum=xxhash.xxh3_64_intdigest(snapshot.data),
    )
    return frames.encode(0, wire.encode(header)) + snapshot.data


def decode(data: bytes, index: int) -> interfaces.Snapshot:
    """Returns the snapshot that a file holds.

    Raises:
        frames.CorruptionError: The file is truncated, changed or misnamed.
    """
    frame = frames.read(data, 0)
    if frame is None:
        raise frames.CorruptionError("offset 0: invalid header frame")
    try:
        header = wire.decode(messages.SnapshotHeader, frame.payload)
    except wire.DecodeError as error:
        raise frames.CorruptionError(f"offset 0: {error}") from error
    state = data[frame.end :]
    if (
        header.last_index != index
        or len(state) != header.size_bytes
        or xxhash.xxh3_64_intdigest(state) != header.checksum
    ):
        raise frames.CorruptionError(
            f"offset {frame.end}: state does not match the header or file name"
        )
    return interfaces.Snapshot(
        header.last_index, header.last_term, header.membership, state
    )
