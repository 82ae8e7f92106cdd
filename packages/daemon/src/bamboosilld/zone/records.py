"""Records of non-repeatable requests, by customer and request id.

Part of the replicated state of a zone group. A record is begun before its
request is dispatched, so that a retry with the same id never runs a second
time: it gets the stored response or an explicit refusal.
"""

from collections.abc import Callable
from collections.abc import Iterator
from typing import NamedTuple

from returns.result import Failure
from returns.result import Success

from bamboosill_common import requestid
from bamboosill_common.generated import zone as messages

RETENTION_MS = 600_000
MAX_ID_AHEAD_MS = 2_000
MAX_RECORDS = 200_000
MAX_STORED_BODY_BYTES = 4096
# Limit for all stored responses together. Beyond it responses are recorded
# without their body, because 200,000 full bodies would need 800 MB per voter.
MAX_STORED_TOTAL_BYTES = 8 * 1024 * 1024
# Records are grouped into buckets of this length by the time in their request
# id. The records of a bucket expire together and are encoded together.
_BUCKET_MS = 1000


class Record(NamedTuple):
    """State of one request.

    Attributes:
        token: Log index of the command that began it; tells attempts with
            the same id apart.
        state: `begun`, `finished` or `unknown`.
    """

    fingerprint: bytes
    instance: str
    incarnation: int
    token: int
    state: str = "begun"
    http_status: int = 0
    body: bytes = b""
    content_type: str = ""
    stored: bool = False


RecordKey = tuple[str, str]
"""Customer and request id."""


class RecordTable:
    """Table of records, bounded in age and number.

    Attributes:
        now_ms: Latest wall time seen in a command.
    """

    def __init__(self, max_records: int = MAX_RECORDS) -> None:
        self.now_ms = 0
        self._max_records = max_records
        self._records: dict[RecordKey, Record] = {}
        self._buckets: dict[int, set[RecordKey]] = {}
        self._oldest_bucket = 0
        # Cache of encoded buckets. Encoding 200,000 records for a snapshot
        # would block the process for seconds, longer than its leases last.
        self._encoded: dict[int, bytes] = {}
        self._stored_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    def begin(
        self,
        index: int,
        command: messages.BeginRequest,
        id_floor_ms: int | None,
        is_deregistered: Callable[[str, int], bool],
    ) -> messages.RecordStatus:
        """Records a request unless it may have run already.

        Args:
            index: Log index of the command.
            command: The command.
            id_floor_ms: Ids with this timestamp or an older one are refused;
                None if the shard is not delegated here.
            is_deregistered: Returns whether an incarnation of an instance is
                no longer registered.
        """
        self.advance_time(command.now_ms)
        match requestid.parse_request_id(command.id):
            case Failure(detail):
                return messages.RecordStatus("mismatch", detail=detail)
            case Success(parsed):
                time_ms = parsed.time_ms
        if time_ms < self.now_ms - RETENTION_MS:
            return messages.RecordStatus("too_old")
        key = (command.customer, command.id)
        existing = self._records.get(key)
        if existing is not None:
            return _make_status(existing, command, is_deregistered)
        # Uses the time in this command rather than `self.now_ms`, the newest
        # time in any command so far: an id accepted now must be old enough
        # that the next zone to get this shard refuses it (`id_floor_ms`).
        if time_ms > command.now_ms + MAX_ID_AHEAD_MS:
            return messages.RecordStatus("future")
        if id_floor_ms is None:
            return messages.RecordStatus(
                "below_floor", detail="the shard is not delegated to this zone"
            )
        if time_ms <= id_floor_ms:
            return messages.RecordStatus("below_floor")
        if len(self._records) >= self._max_records:
            return messages.RecordStatus("full")
        record = Record(
            command.fingerprint, command.instance, command.incarnation, index
        )
        self._put(key, time_ms, record)
        return messages.RecordStatus("new", token=index)

    def finish(self, command: messages.FinishRequest) -> messages.RecordStatus:
        """Stores the response or unknown outcome of a request."""
        key = (command.customer, command.id)
        existing = self._records.get(key)
        if existing is None:
            return messages.RecordStatus("too_old")
        if existing.state != "begun":
            return messages.RecordStatus(existing.state)
        if command.outcome == "unknown":
            self._invalidate_encoding(key)
            self._records[key] = existing._replace(state="unknown")
            return messages.RecordStatus("unknown")
        size = len(command.body)
        stored = (
            command.stored
            and size <= MAX_STORED_BODY_BYTES
            and self._stored_bytes + size <= MAX_STORED_TOTAL_BYTES
        )
        body = command.body if stored else b""
        self._stored_bytes += len(body)
        self._invalidate_encoding(key)
        self._records[key] = existing._replace(
            state="finished",
            http_status=command.status,
            body=body,
            content_type=command.content_type,
            stored=stored,
        )
        return messages.RecordStatus("finished")

    def abandon(self, command: messages.AbandonRequest) -> bool:
        """Removes the record of a request that certainly did not run.

        The token keeps a repeated command from removing the record of a later
        attempt with the same id.
        """
        key = (command.customer, command.id)
        existing = self._records.get(key)
        if existing is None or existing.state != "begun":
            return False
        if existing.fingerprint != command.fingerprint:
            return False
        if command.token and existing.token != command.token:
            return False
        self._remove(key)
        return True

    def advance_time(self, now_ms: int) -> None:
        """Advances the time and removes expired records."""
        self.now_ms = max(self.now_ms, now_ms)
        oldest_kept = (self.now_ms - RETENTION_MS) // _BUCKET_MS
        if oldest_kept <= self._oldest_bucket:
            return
        for bucket in [each for each in self._buckets if each < oldest_kept]:
            for key in sorted(self._buckets[bucket]):
                self._remove(key)
        self._oldest_bucket = oldest_kept

    def encode_buckets(
        self, encode: Callable[[tuple[messages.RecordItem, ...]], bytes]
    ) -> Iterator[bytes]:
        """Yields all records as encoded by `encode`, one bucket at a time."""
        for bucket in sorted(self._buckets):
            data = self._encoded.get(bucket)
            if data is None:
                keys = sorted(self._buckets[bucket])
                data = encode(tuple(self._make_item(key) for key in keys))
                self._encoded[bucket] = data
            yield data

    def _make_item(self, key: RecordKey) -> messages.RecordItem:
        return messages.RecordItem(
            id=key[1], customer=key[0], **self._records[key]._asdict()
        )

    def _invalidate_encoding(self, key: RecordKey) -> None:
        self._encoded.pop(_get_time_ms(key[1]) // _BUCKET_MS, None)

    def restore_item(self, item: messages.RecordItem) -> None:
        """Restores a record from a snapshot item."""
        values = item._asdict()
        key = (values.pop("customer"), values.pop("id"))
        self._put(key, _get_time_ms(key[1]), Record(**values))
        self._stored_bytes += len(item.body)

    def _put(self, key: RecordKey, time_ms: int, record: Record) -> None:
        self._records[key] = record
        self._buckets.setdefault(time_ms // _BUCKET_MS, set()).add(key)
        self._invalidate_encoding(key)

    def _remove(self, key: RecordKey) -> None:
        self._invalidate_encoding(key)
        record = self._records.pop(key)
        self._stored_bytes -= len(record.body)
        bucket = _get_time_ms(key[1]) // _BUCKET_MS
        keys = self._buckets[bucket]
        keys.discard(key)
        if not keys:
            del self._buckets[bucket]


def _get_time_ms(request_id: str) -> int:
    return requestid.parse_request_id(request_id).unwrap().time_ms


def _make_status(
    existing: Record,
    command: messages.BeginRequest,
    is_deregistered: Callable[[str, int], bool],
) -> messages.RecordStatus:
    if existing.fingerprint != command.fingerprint:
        return messages.RecordStatus("mismatch")
    if existing.state == "finished":
        return messages.RecordStatus(
            "finished",
            existing.http_status,
            existing.body,
            existing.content_type,
            existing.stored,
        )
    if existing.state == "unknown" or is_deregistered(
        existing.instance, existing.incarnation
    ):
        return messages.RecordStatus("unknown")
    return messages.RecordStatus("in_progress")
