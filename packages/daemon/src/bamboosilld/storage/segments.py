"""Segments of the write-ahead log.

A segment has a fixed size, which its header states, and is filled with zeros
before use, so that a truncated file is detected. After a record is synced, a
marker frame is written behind it. An invalid record with a valid record or
marker behind it was therefore synced and is corrupt. An invalid record with
nothing valid behind it is treated as a write that was not finished when the
process ended.
"""

from collections.abc import Sequence
import re
from typing import NamedTuple

from bamboosill_common import wire
from bamboosill_common.generated import consensus as messages
from bamboosilld.storage import frames

_NAME = re.compile(r"log-(\d{12})")
# Batches are split into records of at most this many bytes of entries, unless
# one entry is larger, so that each record stays below the decoder's limit of
# 16 MiB. Each record is synced on its own.
MAX_RECORD_BYTES = 4 * 1024 * 1024


class Content(NamedTuple):
    """Content of a segment.

    Attributes:
        header: The segment's header.
        records: Its valid records.
        end: Offset of the next record.
        next_sequence: Sequence number of the next record.
        torn: Whether bytes of an unfinished write follow `end`.
    """

    header: messages.SegmentHeader
    records: list[messages.LogRecord]
    end: int
    next_sequence: int
    torn: bool


def make_name(number: int) -> str:
    """Returns the file name of a segment."""
    return f"log-{number:012d}"


def parse_name(name: str) -> int | None:
    """Returns the number in a segment's file name; None for other files."""
    match = _NAME.fullmatch(name)
    return int(match[1]) if match else None


def split_records(
    hard_state: messages.HardState | None,
    entries: Sequence[messages.LogEntry],
) -> list[messages.LogRecord]:
    """Returns records of bounded size for a hard state and entries."""
    groups: list[list[messages.LogEntry]] = [[]]
    size = 0
    for entry in entries:
        if groups[-1] and size + len(entry.data) > MAX_RECORD_BYTES:
            groups.append([])
            size = 0
        groups[-1].append(entry)
        size += len(entry.data)
    state = hard_state or messages.HardState()
    records = [messages.LogRecord(entries=tuple(each)) for each in groups]
    return [records[0]._replace(hard_state=state), *records[1:]]


def encode_record(sequence: int, payload: bytes) -> bytes:
    """Returns a record with its marker."""
    return frames.encode(sequence, payload) + encode_marker(sequence)


def encode_marker(sequence: int) -> bytes:
    """Returns the marker that shows that a record was synced."""
    return frames.encode(sequence, b"")


def build(
    header: messages.SegmentHeader, records: Sequence[messages.LogRecord]
) -> tuple[bytes, int]:
    """Returns the bytes of a new segment and the end of its records.

    Args:
        header: The header. Its size is the free space for later records; in
            the result, it is the size of the whole segment.
        records: The first records. Their sequence numbers follow the header's.
    """
    sequence = header.first_sequence
    parts = []
    for number, record in enumerate(records, start=sequence + 1):
        parts.append(encode_record(number, wire.encode(record)))
    body = b"".join(parts)
    # The header's encoded length does not depend on the value of its size.
    head_size = len(encode_record(sequence, wire.encode(header)))
    end = head_size + len(body)
    header = header._replace(size_bytes=end + header.size_bytes)
    head = encode_record(sequence, wire.encode(header))
    return (head + body).ljust(header.size_bytes, b"\0"), end


def parse(data: bytes, number: int) -> Content:
    """Returns the content of a segment.

    Raises:
        frames.CorruptionError: Synced data is unreadable; the message names
            the offset.
    """
    first = frames.read(data, 0)
    if first is None:
        raise frames.CorruptionError("offset 0: invalid header frame")
    header = _decode(messages.SegmentHeader, first, 0)
    if header.number != number or header.size_bytes != len(data):
        raise frames.CorruptionError(
            f"offset {len(data)}: file size {len(data)} does not match the"
            f" header's {header.size_bytes}, or the file name is wrong"
        )
    end = first.end + frames.HEADER_BYTES
    sequence = header.first_sequence + 1
    records = []
    while True:
        frame = frames.read(data, end)
        if frame is None or frame.sequence != sequence or not frame.payload:
            break
        records.append(_decode(messages.LogRecord, frame, end))
        # The marker is skipped even if it is invalid: it is not synced on its
        # own, so it can be lost although the next record was written.
        end = frame.end + frames.HEADER_BYTES
        sequence += 1
    if frames.find_valid_frame(data, end) >= 0:
        raise frames.CorruptionError(
            f"offset {end}: invalid record before a valid frame"
        )
    torn = bool(data[end:].strip(b"\0"))
    return Content(header, records, end, sequence, torn)


def _decode(
    message_type: type[wire.Message], frame: frames.Frame, offset: int
) -> wire.Message:
    try:
        return wire.decode(message_type, frame.payload)
    except wire.DecodeError as error:
        raise frames.CorruptionError(f"offset {offset}: {error}") from error
