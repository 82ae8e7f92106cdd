"""The replicated state machine of the control group.

It applies committed log commands to the tables, remembers their results so
that a resent command is not applied twice, and makes the deltas that zones
receive as well as snapshots.
"""

import collections
import struct
from typing import Any
from typing import NamedTuple

import xxhash

from bamboosill_common import wire
from bamboosill_common.generated import control as messages
from bamboosilld.control import commands
from bamboosilld.control import tables as tables_lib

MAX_COMMAND_IDS = 10_000
# Keeps a reply within one frame; the next heartbeat gets the rest.
MAX_DELTA_BYTES = 4 * 1024 * 1024
_LENGTH = struct.Struct(">I")


class Feed(NamedTuple):
    """Changes of the control data, or all of it, for one zone group.

    Attributes:
        revision: Revision of the receiver after it applied the items.
        full: Whether the items replace the receiver's whole data.
        items: Tagged feed items, oldest change first.
    """

    revision: int
    full: bool
    items: tuple[bytes, ...]


class ControlState:
    """State that results from the commands of the control group's log."""

    def __init__(self) -> None:
        self.tables = tables_lib.Tables()
        self._command_records: collections.OrderedDict[
            str, messages.CommandRecord
        ] = collections.OrderedDict()

    @property
    def revision(self) -> int:
        """Log index of the last command that changed the data."""
        return self.tables.revision

    def apply(self, index: int, command: bytes) -> messages.CommandResult:
        """Applies one tagged command and returns its result.

        A command with an id that was applied before is not applied again; it
        returns the result of the first one, whatever changed since.
        """
        try:
            message = wire.unpack(command)
        except wire.DecodeError as error:
            return commands.refuse("bad_command", str(error)[:200])
        applier = commands.APPLIERS.get(type(message))
        if applier is None:
            return commands.refuse("bad_command", "not a control command")
        command_id = getattr(message, "command_id", "")
        if not command_id:
            return applier(self.tables, index, message)
        digest = compute_digest(message)
        recorded = self._command_records.get(command_id)
        if recorded:
            if recorded.digest == digest:
                return recorded.result
            return commands.refuse(
                "id_reused", "the command id belongs to another command"
            )
        result = applier(self.tables, index, message)
        self._command_records[command_id] = messages.CommandRecord(
            command_id, digest, result
        )
        if len(self._command_records) > MAX_COMMAND_IDS:
            self._command_records.popitem(last=False)
        return result

    def list_changes_since(
        self, revision: int, max_bytes: int = MAX_DELTA_BYTES
    ) -> Feed:
        """Returns the items that changed after a revision.

        The feed is full if the revision is 0, is newer than this state, or is
        older than the oldest tombstone that is kept.
        """
        full = (
            revision == 0
            or revision > self.revision
            or revision < self.tables.floor_revision
        )
        after_revision = 0 if full else revision
        changed = sorted(
            (
                each
                for each in self.tables.list_items()
                if each.revision > after_revision
            ),
            key=lambda each: each.revision,
        )
        items: list[bytes] = []
        size = 0
        last_revision = after_revision
        for item in changed:
            # Items of one revision are never split over two feeds.
            if size > max_bytes and item.revision != last_revision:
                return Feed(last_revision, full, tuple(items))
            items.append(wire.pack(item))
            size += len(items[-1])
            last_revision = item.revision
        return Feed(self.revision, full, tuple(items))

    def snapshot(self) -> bytes:
        """Encodes the whole state; equal states give equal bytes."""
        tables = self.tables
        records: list[Any] = sorted(
            [*tables.list_items(), *tables.service_keyspaces.values()],
            key=lambda each: (type(each).__name__, each[0], each[1:3]),
        )
        records += self._command_records.values()
        header = messages.ControlSnapshot(
            revision=tables.revision,
            floor_revision=tables.floor_revision,
            records=len(records),
        )
        parts = []
        for record in (header, *records):
            data = wire.pack(record)
            parts += [_LENGTH.pack(len(data)), data]
        return b"".join(parts)

    def restore(self, data: bytes) -> None:
        """Replaces the state with that of a snapshot.

        Raises:
            ValueError: The snapshot is malformed; the state is unchanged.
        """
        try:
            header, *records = _split_records(data)
        except (wire.DecodeError, struct.error) as error:
            raise ValueError(f"bad snapshot: {error}") from error
        if not isinstance(header, messages.ControlSnapshot) or (
            header.records != len(records)
        ):
            raise ValueError(
                "bad snapshot: record count differs from the header"
            )
        restored = ControlState()
        restored.tables.revision = header.revision
        restored.tables.floor_revision = header.floor_revision
        for record in records:
            if isinstance(record, messages.CommandRecord):
                restored._command_records[record.command_id] = record
            else:
                restored.tables.restore_record(record)
        self.tables, self._command_records = (
            restored.tables,
            restored._command_records,
        )


def compute_digest(message: Any) -> bytes:
    """Returns a digest of the parts of a command that its sender chose."""
    # The leader fills in the number of shards from its settings, which may
    # differ from those of another leader.
    if isinstance(message, messages.AcceptContract):
        message = message._replace(shards=0)
    return xxhash.xxh3_128_digest(wire.pack(message))


def _split_records(data: bytes) -> list[Any]:
    records = []
    offset = 0
    while offset < len(data):
        (length,) = _LENGTH.unpack_from(data, offset)
        offset += _LENGTH.size
        if offset + length > len(data):
            raise ValueError("bad snapshot: last record is truncated")
        records.append(wire.unpack(data[offset : offset + length]))
        offset += length
    if not records:
        raise ValueError("bad snapshot: empty")
    return records
