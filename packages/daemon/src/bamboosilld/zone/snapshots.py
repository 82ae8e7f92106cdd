"""Serializes the zone state as a snapshot of parts of bounded size."""

from collections.abc import Iterable
from collections.abc import Iterator
import itertools
import struct
import typing
from typing import Any

from bamboosill_common import wire
from bamboosill_common.generated import zone as messages
from bamboosilld import quarantine as quarantine_lib
from bamboosilld.zone import assignments

if typing.TYPE_CHECKING:
    from bamboosilld.zone import state as state_lib

_HEADER = struct.Struct(">I")
# A record has up to 4 KiB of body; 1,000 of them stay far below the message
# size limit.
_ITEMS_PER_PART = 1_000


def write(state: "state_lib.ZoneState") -> bytes:
    """Returns the whole state as length-prefixed parts."""
    first_part = messages.SnapshotPart(
        revision=state.feed.revision, now_ms=state.records.now_ms
    )
    lists: dict[str, Iterable[Any]] = {
        "feed": state.feed.list_items(),
        "upstreams": state.upstreams.list_current(),
        "former_upstreams": state.upstreams.list_former(),
        "assignments": (
            assignments.make_snapshot_item(*each)
            for each in state.assignments.list_all()
        ),
        "released": (
            messages.ReleasedItem(*shard_key, *release)
            for shard_key, release in state.released.items()
        ),
        "last_ids": (
            messages.LastIdItem(*shard_key, last_ms)
            for shard_key, last_ms in state.last_ids_ms.items()
        ),
        "crashes": (
            messages.CrashItem(*key, *crash)
            for key, crash in state.quarantine.list_crashes()
        ),
    }
    parts = [first_part]
    for name, items in lists.items():
        parts += [
            messages.SnapshotPart()._replace(**fields)
            for fields in _split(name, items)
        ]
    encoded = [_frame(part) for part in parts]
    encoded += state.records.encode_buckets(_encode_records)
    return b"".join(encoded)


def _encode_records(items: tuple[messages.RecordItem, ...]) -> bytes:
    return b"".join(
        _frame(messages.SnapshotPart()._replace(**fields))
        for fields in _split("records", items)
    )


def _frame(part: messages.SnapshotPart) -> bytes:
    data = wire.encode(part)
    return _HEADER.pack(len(data)) + data


def read(state: "state_lib.ZoneState", data: bytes) -> None:
    """Fills an empty state from a snapshot.

    Raises:
        wire.DecodeError: The snapshot is malformed.
    """
    feed_items: list[bytes] = []
    first_part: messages.SnapshotPart | None = None
    for part in _read_parts(data):
        first_part = first_part or part
        feed_items += part.feed
        for upstream in part.upstreams:
            state.upstreams.put(upstream)
        for upstream in part.former_upstreams:
            state.upstreams.restore_former(upstream)
        for item in part.assignments:
            state.assignments.put(*assignments.parse_snapshot_item(item))
        for each in part.released:
            state.restore_release(each)
        for last_id in part.last_ids:
            shard_key = (last_id.keyspace, last_id.shard)
            state.last_ids_ms[shard_key] = last_id.last_id_ms
        for record in part.records:
            state.records.restore_item(record)
        for crash in part.crashes:
            state.quarantine.restore(
                (crash.upstream, crash.incarnation),
                quarantine_lib.Crash(crash.at_ms, crash.fingerprints),
            )
    if first_part is not None:
        state.feed.apply(first_part.revision, True, tuple(feed_items))
        state.records.advance_time(first_part.now_ms)


def _split(name: str, items: Iterable[Any]) -> Iterator[dict[str, Any]]:
    iterator = iter(items)
    while chunk := tuple(itertools.islice(iterator, _ITEMS_PER_PART)):
        yield {name: chunk}


def _read_parts(data: bytes) -> Iterator[messages.SnapshotPart]:
    view = memoryview(data)
    while view:
        if len(view) < _HEADER.size:
            raise wire.DecodeError("snapshot is truncated within a part header")
        (length,) = _HEADER.unpack(view[: _HEADER.size])
        body = view[_HEADER.size : _HEADER.size + length]
        if len(body) < length:
            raise wire.DecodeError("snapshot is truncated within a part")
        yield wire.decode(messages.SnapshotPart, bytes(body))
        view = view[_HEADER.size + length :]
