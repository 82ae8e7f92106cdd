"""Recovers a member's state from its data folder after a start."""

from collections.abc import Sequence
import pathlib
from typing import NamedTuple

from bamboosill_common import wire
from bamboosill_common.generated import consensus as messages
from bamboosilld.consensus import interfaces
from bamboosilld.storage import files as files_lib
from bamboosilld.storage import frames
from bamboosilld.storage import segments
from bamboosilld.storage import snapshots

IDENTITY_FILE = "identity"
TEMPORARY_SUFFIX = ".tmp"

_EMPTY_SEGMENT = segments.Content(messages.SegmentHeader(), [], 0, 0, False)


class RecoveredState(NamedTuple):
    """State read from a data folder.

    Attributes:
        identity: Member that owns the folder, or None if none was written.
        hard_state: Last hard state.
        snapshot: Latest snapshot.
        entries: Entries after the snapshot.
        last_segment: Content of the last segment.
        last_segment_number: Number of the last segment; 0 if there is none.
        needs_fresh_segment: Whether the snapshot is newer than the log: the
            process ended after it wrote the snapshot and before it wrote the
            fresh segment that follows it.
        obsolete_names: Files that are no longer needed and can be removed.
    """

    identity: messages.StorageIdentity | None
    hard_state: messages.HardState
    snapshot: interfaces.Snapshot | None
    entries: list[messages.LogEntry]
    last_segment: segments.Content
    last_segment_number: int
    needs_fresh_segment: bool
    obsolete_names: list[str]


def is_data_file(name: str) -> bool:
    """Returns whether a file is a segment or a snapshot, by its name."""
    return (
        segments.parse_name(name) is not None
        or snapshots.parse_name(name) is not None
    )


def replay(
    entries: list[messages.LogEntry], new: Sequence[messages.LogEntry]
) -> None:
    """Appends new entries to a list of entries.

    An entry whose index exists already replaces that entry and all after it.
    """
    for entry in new:
        if entries and entry.index <= entries[-1].index:
            del entries[max(entry.index - entries[0].index, 0) :]
        entries.append(entry)


def list_entries_after(
    entries: Sequence[messages.LogEntry], snapshot: interfaces.Snapshot
) -> list[messages.LogEntry]:
    """Returns the entries after a snapshot.

    The list is empty unless the log has the snapshot's last entry with the same
    term.
    """
    for position, entry in enumerate(entries):
        if entry.index == snapshot.last_index:
            if entry.term == snapshot.last_term:
                return list(entries[position + 1 :])
            return []
    return []


def read_identity(
    files: files_lib.Files, folder: pathlib.Path
) -> messages.StorageIdentity | None:
    """Returns the member that owns a folder, or None if it is new.

    Raises:
        frames.CorruptionError: The identity file is damaged.
    """
    try:
        data = files.read(folder / IDENTITY_FILE)
    except FileNotFoundError:
        return None
    frame = frames.read(data, 0)
    if frame is None or frame.end != len(data):
        raise frames.CorruptionError(
            f"{IDENTITY_FILE}: offset 0: invalid frame"
        )
    return wire.decode(messages.StorageIdentity, frame.payload)


def recover(files: files_lib.Files, folder: pathlib.Path) -> RecoveredState:
    """Returns the state that a folder holds.

    Raises:
        frames.CorruptionError: Synced data is missing or unreadable; the
            message names the file and the offset.
    """
    names = files.list_names(folder)
    identity = read_identity(files, folder)
    contents = _read_segments(files, folder, names)
    if identity is not None and not contents:
        raise frames.CorruptionError("log: all segments are missing")
    snapshot = _read_snapshot(files, folder, names)
    hard_state, entries = _replay_segments(contents)
    base_index = contents[0].header.base_index if contents else 0
    last_index = snapshot.last_index if snapshot else 0
    if last_index < base_index:
        raise frames.CorruptionError(
            f"{snapshots.make_name(base_index)}: missing"
        )
    is_snapshot_newer = last_index > base_index
    if snapshot is not None and is_snapshot_newer:
        entries = list_entries_after(entries, snapshot)
    last_segment_number = contents[-1].header.number if contents else 0
    first_number = (
        last_segment_number + 1
        if is_snapshot_newer
        else (contents[0].header.number if contents else 1)
    )
    return RecoveredState(
        identity,
        hard_state,
        snapshot,
        entries,
        contents[-1] if contents else _EMPTY_SEGMENT,
        last_segment_number,
        is_snapshot_newer,
        _list_obsolete(names, first_number, last_index),
    )


def _list_obsolete(
    names: Sequence[str], first_number: int, last_index: int
) -> list[str]:
    old = []
    for name in names:
        number = segments.parse_name(name)
        index = snapshots.parse_name(name)
        if (
            name.endswith(TEMPORARY_SUFFIX)
            or (number is not None and number < first_number)
            or (index is not None and index < last_index)
        ):
            old.append(name)
    return old


def _read_segments(
    files: files_lib.Files, folder: pathlib.Path, names: Sequence[str]
) -> list[segments.Content]:
    """Returns the segments from the last fresh one on.

    A fresh segment repeats all state after its snapshot, so older segments are
    not needed.
    """
    numbers = sorted(
        number
        for number in map(segments.parse_name, names)
        if number is not None
    )
    contents: list[segments.Content] = []
    for number in reversed(numbers):
        name = segments.make_name(number)
        try:
            segment = segments.parse(files.read(folder / name), number)
            _check_contiguous(segment, contents)
        except frames.CorruptionError as error:
            raise frames.CorruptionError(f"{name}: {error}") from error
        contents.insert(0, segment)
        if segment.header.fresh:
            return contents
    if contents:
        number = contents[0].header.number - 1
        raise frames.CorruptionError(f"{segments.make_name(number)}: missing")
    return []


def _check_contiguous(
    segment: segments.Content, later: Sequence[segments.Content]
) -> None:
    """Checks that no record is missing between a segment and the next."""
    if not later:
        return
    following = later[0].header
    if (
        following.number != segment.header.number + 1
        or following.first_sequence != segment.next_sequence
    ):
        raise frames.CorruptionError(
            f"offset {segment.end}: records are missing before the next segment"
        )


def _replay_segments(
    contents: Sequence[segments.Content],
) -> tuple[messages.HardState, list[messages.LogEntry]]:
    hard_state = messages.HardState()
    entries: list[messages.LogEntry] = []
    for segment in contents:
        for record in segment.records:
            if record.hard_state.term:
                hard_state = record.hard_state
            replay(entries, record.entries)
    return hard_state, entries


def _read_snapshot(
    files: files_lib.Files, folder: pathlib.Path, names: Sequence[str]
) -> interfaces.Snapshot | None:
    indexes = [
        index for index in map(snapshots.parse_name, names) if index is not None
    ]
    if not indexes:
        return None
    name = snapshots.make_name(max(indexes))
    try:
        return snapshots.decode(files.read(folder / name), max(indexes))
    except frames.CorruptionError as error:
        raise frames.CorruptionError(f"{name}: {error}") from error
