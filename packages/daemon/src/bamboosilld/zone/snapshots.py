"""Snapshots of the zone state, in parts of bounded size."""

from collections.abc import Iterable
from collections.abc import Iterator
import itertools
import struct
import typing
from typing import Any

from bamboosill_common import wire
from bamboosill_common.generated import zone as messages
from bamboosilld.zone import assignments

if typing.TYPE_CHECKING:
    from bamboosilld.zone import state as state_lib

_HEADER = struct.Struct(">I")
# A record has up to 4 KiB of body; 1,000 of them stay far below the largest
# message.
_ITEMS_PER_PART = 1_000


def write(state: "state_lib.ZoneState") -> bytes:
    """Returns the whole state as length-prefixed parts."""
    head = messages.SnapshotPart(
        revision=state.feed.revision, now_ms=state.records.now_ms
    )
    lists: dict[str, Iterable[Any]] = {
        "feed": state.feed.list_items(),
        "upstreams": state.upstreams.list_current(),
        "former_upstreams": state.upstreams.list_former(),
        "assignments": (
            assignments.write_item(*each)
            for each in state.assignments.list_all()
        ),
        "released": (
            messages.ReleasedItem(*place, *release)
            for place, release in state.released.items()
        ),
        "last_ids": (
            messages.LastIdItem(*place, last_ms)
            for place, last_ms in state.last_ids_ms.items()
        ),
        "crashes": state.quarantine.list_items(),
    }
    parts = [head]
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
    """Fills an empty state from the bytes of `write`.

    Raises:
        wire.DecodeError: The bytes are malformed.
    """
    feed_items: list[bytes] = []
    head: messages.SnapshotPart | None = None
    for part in _read_parts(data):
        head = head or part
        feed_items += part.feed
        for upstream in part.upstreams:
            state.upstreams.put(upstream)
        for upstream in part.former_upstreams:
            state.upstreams.put_former(upstream)
        for item in part.assignments:
            state.assignments.put(*assignments.read_item(item))
        for each in part.released:
            state.put_released(each)
        for last in part.last_ids:
            place = (last.keyspace, last.shard)
            state.last_ids_ms[place] = last.last_id_ms
        for record in part.records:
            state.records.restore_item(record)
        for crash in part.crashes:
            state.quarantine.restore_item(crash)
    if head is not None:
        state.feed.apply(head.revision, True, tuple(feed_items))
        state.records.advance(head.now_ms)


def _split(name: str, items: Iterable[Any]) -> Iterator[dict[str, Any]]:
    iterator = iter(items)
    while chunk := tuple(itertools.islice(iterator, _ITEMS_PER_PART)):
        yield {name: chunk}


def _read_parts(data: bytes) -> Iterator[messages.SnapshotPart]:
    view = memoryview(data)
    while view:
        if len(view) < _HEADER.size:
            raise wire.DecodeError("snapshot ends within a header")
        (length,) = _HEADER.unpack(view[: _HEADER.size])
        body = view[_HEADER.size : _HEADER.size + length]
        if len(body) < length:
            raise wire.DecodeError("snapshot ends within a part")
        yield wire.decode(messages.SnapshotPart, bytes(body))
        view = view[_HEADER.size + length :]
