"""Reads a data folder after a start."""

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

IDENTITY = "identity"
TEMPORARY = ".tmp"

_NO_CONTENT = segments.Content(messages.SegmentHeader(), [], 0, 0, False)


class Folder(NamedTuple):
    """What a data folder holds.

    Attributes:
        identity: Whose folder it is, or None if none was written.
        hard_state: Last hard state.
        snapshot: Latest snapshot.
        entries: Entries after the snapshot.
        content: Last segment.
        last_number: Number of the last segment; 0 if there is none.
        is_behind_snapshot: Whether the process ended between writing the
            snapshot and the fresh segment that follows it.
        old_names: Files that are no longer needed.
    """

    identity: messages.StorageIdentity | None
    hard_state: messages.HardState
    snapshot: interfaces.Snapshot | None
    entries: list[messages.LogEntry]
    content: segments.Content
    last_number: int
    is_behind_snapshot: bool
    old_names: list[str]


def is_data(name: str) -> bool:
    """Returns whether a name is that of a segment or snapshot."""
    return (
        segments.parse_name(name) is not None
        or snapshots.parse_name(name) is not None
    )


def replay(
    entries: list[messages.LogEntry], new: Sequence[messages.LogEntry]
) -> None:
    """Appends entries; one with a stored index replaces the rest."""
    for entry in new:
        if entries and entry.index <= entries[-1].index:
            del entries[max(entry.index - entries[0].index, 0) :]
        entries.append(entry)


def keep_after(
    entries: Sequence[messages.LogEntry], snapshot: interfaces.Snapshot
) -> list[messages.LogEntry]:
    """Returns the entries after a snapshot if the log agrees with it."""
    for position, entry in enumerate(entries):
        if entry.index == snapshot.last_index:
            if entry.term == snapshot.last_term:
                return list(entries[position + 1 :])
            return []
    return []


def read_identity(
    files: files_lib.Files, folder: pathlib.Path
) -> messages.StorageIdentity | None:
    """Returns whose folder it is, or None if it was not used.

    Raises:
        frames.DamageError: The identity file is damaged.
    """
    try:
        data = files.read(folder / IDENTITY)
    except FileNotFoundError:
        return None
    frame = frames.read(data, 0)
    if frame is None or frame.end != len(data):
        raise frames.DamageError(f"{IDENTITY}: offset 0: damaged")
    return wire.decode(messages.StorageIdentity, frame.payload)


def read_folder(files: files_lib.Files, folder: pathlib.Path) -> Folder:
    """Returns the content of a folder.

    Raises:
        frames.DamageError: Something that was synced is not readable; the
            message names file and offset.
    """
    names = files.list_names(folder)
    identity = read_identity(files, folder)
    contents = _read_segments(files, folder, names)
    if identity is not None and not contents:
        raise frames.DamageError("log: all segments are missing")
    snapshot = _read_snapshot(files, folder, names)
    hard_state, entries = _replay_segments(contents)
    base_index = contents[0].header.base_index if contents else 0
    last_index = snapshot.last_index if snapshot else 0
    if last_index < base_index:
        raise frames.DamageError(f"{snapshots.make_name(base_index)}: missing")
    is_behind = last_index > base_index
    if snapshot is not None and is_behind:
        entries = keep_after(entries, snapshot)
    last_number = contents[-1].header.number if contents else 0
    first_number = (
        last_number + 1
        if is_behind
        else (contents[0].header.number if contents else 1)
    )
    return Folder(
        identity,
        hard_state,
        snapshot,
        entries,
        contents[-1] if contents else _NO_CONTENT,
        last_number,
        is_behind,
        _list_old(names, first_number, last_index),
    )


def _list_old(
    names: Sequence[str], first_number: int, last_index: int
) -> list[str]:
    old = []
    for name in names:
        number = segments.parse_name(name)
        index = snapshots.parse_name(name)
        if (
            name.endswith(TEMPORARY)
            or (number is not None and number < first_number)
            or (index is not None and index < last_index)
        ):
            old.append(name)
    return old


def _read_segments(
    files: files_lib.Files, folder: pathlib.Path, names: Sequence[str]
) -> list[segments.Content]:
    """Returns the segments from the last fresh one on."""
    numbers = sorted(
        number
        for number in map(segments.parse_name, names)
        if number is not None
    )
    contents: list[segments.Content] = []
    for number in reversed(numbers):
        name = segments.make_name(number)
        try:
            content = segments.parse(files.read(folder / name), number)
            _check_follows(content, contents)
        except frames.DamageError as error:
            raise frames.DamageError(f"{name}: {error}") from error
        contents.insert(0, content)
        if content.header.fresh:
            return contents
    if contents:
        number = contents[0].header.number - 1
        raise frames.DamageError(f"{segments.make_name(number)}: missing")
    return []


def _check_follows(
    content: segments.Content, later: Sequence[segments.Content]
) -> None:
    """Checks that no record is missing between two segments."""
    if not later:
        return
    following = later[0].header
    if (
        following.number != content.header.number + 1
        or following.first_sequence != content.next_sequence
    ):
        raise frames.DamageError(f"offset {content.end}: records are missing")


def _replay_segments(
    contents: Sequence[segments.Content],
) -> tuple[messages.HardState, list[messages.LogEntry]]:
    hard_state = messages.HardState()
    entries: list[messages.LogEntry] = []
    for content in contents:
        for record in content.records:
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
    except frames.DamageError as error:
        raise frames.DamageError(f"{name}: {error}") from error
