"""The state machine of the control group."""

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
# A reply must fit in one frame; the rest follows with the next beat.
MAX_DELTA_BYTES = 4 * 1024 * 1024
_LENGTH = struct.Struct(">I")


class Feed(NamedTuple):
    """Items for a zone group.

    Attributes:
        revision: Revision that the receiver has after it applied the items.
        full: Whether the items replace all that the receiver has.
        items: Tagged feed items, oldest change first.
    """

    revision: int
    full: bool
    items: tuple[bytes, ...]


class ControlState:
    """Applies the commands of the control group's log."""

    def __init__(self) -> None:
        self.tables = tables_lib.Tables()
        self._records: collections.OrderedDict[str, messages.CommandRecord] = (
            collections.OrderedDict()
        )

    @property
    def revision(self) -> int:
        """Log index of the last command that changed something."""
        return self.tables.revision

    def apply(self, index: int, command: bytes) -> messages.CommandResult:
        """Applies one tagged command and returns its result.

        A command id that was seen before gives the result of its first
        command, whatever happened since.
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
        record = self._records.get(command_id)
        if record:
            if record.digest == digest:
                return record.result
            return commands.refuse(
                "id_reused", "the command id belongs to another command"
            )
        result = applier(self.tables, index, message)
        self._records[command_id] = messages.CommandRecord(
            command_id, digest, result
        )
        if len(self._records) > MAX_COMMAND_IDS:
            self._records.popitem(last=False)
        return result

    def items_since(
        self, revision: int, max_bytes: int = MAX_DELTA_BYTES
    ) -> Feed:
        """Returns the items that changed after a revision.

        Revision 0, one from the future, and one from before the oldest
        tombstone give the full state.
        """
        full = (
            revision == 0
            or revision > self.revision
            or revision < self.tables.floor_revision
        )
        after = 0 if full else revision
        changed = sorted(
            (
                each
                for each in self.tables.list_items()
                if each.revision > after
            ),
            key=lambda each: each.revision,
        )
        items: list[bytes] = []
        size = 0
        reached = after
        for item in changed:
            # Items of one revision stay together.
            if size > max_bytes and item.revision != reached:
                return Feed(reached, full, tuple(items))
            items.append(wire.pack(item))
            size += len(items[-1])
            reached = item.revision
        return Feed(self.revision, full, tuple(items))

    def snapshot(self) -> bytes:
        """Returns the whole state; equal states give equal bytes."""
        tables = self.tables
        records: list[Any] = sorted(
            [*tables.list_items(), *tables.homes.values()],
            key=lambda each: (type(each).__name__, each[0], each[1:3]),
        )
        records += self._records.values()
        head = messages.ControlSnapshot(
            revision=tables.revision,
            floor_revision=tables.floor_revision,
            records=len(records),
        )
        parts = []
        for record in (head, *records):
            data = wire.pack(record)
            parts += [_LENGTH.pack(len(data)), data]
        return b"".join(parts)

    def restore(self, data: bytes) -> None:
        """Replaces the state by a snapshot.

        Raises:
            ValueError: The bytes are no snapshot; the state is unchanged.
        """
        try:
            head, *records = _split_records(data)
        except (wire.DecodeError, struct.error) as error:
            raise ValueError(f"bad snapshot: {error}") from error
        if not isinstance(head, messages.ControlSnapshot) or (
            head.records != len(records)
        ):
            raise ValueError("bad snapshot: records are missing")
        restored = ControlState()
        restored.tables.revision = head.revision
        restored.tables.floor_revision = head.floor_revision
        for record in records:
            if isinstance(record, messages.CommandRecord):
                restored._records[record.command_id] = record
            else:
                restored.tables.restore_record(record)
        self.tables, self._records = restored.tables, restored._records


def compute_digest(message: Any) -> bytes:
    """Returns a digest of what a sender put into a command."""
    # The leader fills in the shards; another leader may have other settings.
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
            raise ValueError("bad snapshot: cut off")
        records.append(wire.unpack(data[offset : offset + length]))
        offset += length
    if not records:
        raise ValueError("bad snapshot: empty")
    return records
