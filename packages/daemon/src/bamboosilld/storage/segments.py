"""Segments of the write-ahead log.

A segment has a fixed size, stated in its header, and is filled with zeros
before it is used, so that a file that was cut is recognised. After a record
is synced, a marker follows it; an invalid record that is followed by a valid
record or marker was therefore synced and is damaged, whereas one that is
followed by nothing valid was being written when the process ended.
"""

from collections.abc import Sequence
import re
from typing import NamedTuple

from bamboosill_common import wire
from bamboosill_common.generated import consensus as messages
from bamboosilld.storage import frames

_NAME = re.compile(r"log-(\d{12})")
# Records are cut so that each stays decodable (16 MiB) and is synced alone.
MAX_RECORD_BYTES = 4 * 1024 * 1024


class Content(NamedTuple):
    """What a segment holds.

    Attributes:
        header: Its header.
        records: Its valid records.
        end: Offset at which the next record goes.
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
    """Returns the number of a segment, or None for another file."""
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
    """Returns the marker that says that a record was synced."""
    return frames.encode(sequence, b"")


def build(
    header: messages.SegmentHeader, records: Sequence[messages.LogRecord]
) -> tuple[bytes, int]:
    """Returns the bytes of a new segment and the end of its records.

    Args:
        header: The header; its size is the room for records to come, and is
            replaced by the whole size.
        records: First records, numbered from the header's sequence on.
    """
    sequence = header.first_sequence
    parts = []
    for number, record in enumerate(records, start=sequence + 1):
        parts.append(encode_record(number, wire.encode(record)))
    body = b"".join(parts)
    # The header's own length does not depend on the size it states.
    head_size = len(encode_record(sequence, wire.encode(header)))
    end = head_size + len(body)
    header = header._replace(size_bytes=end + header.size_bytes)
    head = encode_record(sequence, wire.encode(header))
    return (head + body).ljust(header.size_bytes, b"\0"), end


def parse(data: bytes, number: int) -> Content:
    """Returns the content of a segment.

    Raises:
        frames.DamageError: Something that was synced is not readable; the
            message names the offset.
    """
    first = frames.read(data, 0)
    if first is None:
        raise frames.DamageError("offset 0: bad header")
    header = _decode(messages.SegmentHeader, first, 0)
    if header.number != number or header.size_bytes != len(data):
        raise frames.DamageError(
            f"offset {len(data)}: the file has {len(data)} bytes instead of"
            f" {header.size_bytes}, or another name"
        )
    end = first.end + frames.HEADER_BYTES
    sequence = header.first_sequence + 1
    records = []
    while True:
        frame = frames.read(data, end)
        if frame is None or frame.sequence != sequence or not frame.payload:
            break
        records.append(_decode(messages.LogRecord, frame, end))
        # The marker is skipped whether it is valid or not: it may have been
        # lost although the record after it was written.
        end = frame.end + frames.HEADER_BYTES
        sequence += 1
    if frames.find_later(data, end) >= 0:
        raise frames.DamageError(f"offset {end}: bad record before a valid one")
    torn = bool(data[end:].strip(b"\0"))
    return Content(header, records, end, sequence, torn)


def _decode(
    message_type: type[wire.Message], frame: frames.Frame, offset: int
) -> wire.Message:
    try:
        return wire.decode(message_type, frame.payload)
    except wire.DecodeError as error:
        raise frames.DamageError(f"offset {offset}: {error}") from error
