"""Snapshot files: a header frame and the state of the group."""

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
    """Returns the index of a snapshot, or None for another file."""
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
    """Returns the snapshot in a file.

    Raises:
        frames.DamageError: The file does not hold what was written.
    """
    frame = frames.read(data, 0)
    if frame is None:
        raise frames.DamageError("offset 0: bad header")
    try:
        header = wire.decode(messages.SnapshotHeader, frame.payload)
    except wire.DecodeError as error:
        raise frames.DamageError(f"offset 0: {error}") from error
    state = data[frame.end :]
    if (
        header.last_index != index
        or len(state) != header.size_bytes
        or xxhash.xxh3_64_intdigest(state) != header.checksum
    ):
        raise frames.DamageError(f"offset {frame.end}: bad state or name")
    return interfaces.Snapshot(
        header.last_index, header.last_term, header.membership, state
    )
