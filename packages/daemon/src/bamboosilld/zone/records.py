"""Records of requests that may not be repeated."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import NamedTuple

from returns.result import Failure
from returns.result import Success

from bamboosill_common import requestid
from bamboosill_common.generated import zone as messages

RETENTION_MS = 600_000
FUTURE_LIMIT_MS = 2_000
MAX_RECORDS = 200_000
MAX_STORED_BODY_BYTES = 4096
# All stored answers together; answers beyond it are recorded without their
# body, because 200,000 full bodies would need 800 MB in each voter.
MAX_STORED_TOTAL_BYTES = 8 * 1024 * 1024
_BUCKET_MS = 1000


class Record(NamedTuple):
    """What is known of one request.

    Attributes:
        token: Log index of the command that began it.
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
    """Records by customer and request id, bounded in time and number.

    Attributes:
        now_ms: Largest wall time seen in a command.
    """

    def __init__(self, max_records: int = MAX_RECORDS) -> None:
        self.now_ms = 0
        self._max_records = max_records
        self._records: dict[RecordKey, Record] = {}
        self._buckets: dict[int, set[RecordKey]] = {}
        self._oldest_bucket = 0
        # Encoded buckets. A snapshot of 200,000 records would otherwise stop
        # the process for seconds, longer than its leases.
        self._encoded: dict[int, bytes] = {}
        self._stored_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    def begin(
        self,
        index: int,
        command: messages.BeginRequest,
        id_floor_ms: int | None,
        is_gone: Callable[[str, int], bool],
    ) -> messages.RecordStatus:
        """Records a request unless it may have run already.

        Args:
            index: Log index of the command.
            command: The command.
            id_floor_ms: Floor of the shard; None if it is not delegated here.
            is_gone: Tells whether an incarnation of an instance has ended.
        """
        self.advance(command.now_ms)
        match requestid.parse_request_id(command.id):
            case Failure(detail):
                return messages.RecordStatus("mismatch", detail=detail)
            case Success(parsed):
                time_ms = parsed.time_ms
        if time_ms < self.now_ms - RETENTION_MS:
            return messages.RecordStatus("too_old")
        key = (command.customer, command.id)
        present = self._records.get(key)
        if present is not None:
            return _describe(present, command, is_gone)
        # The command's own time, not the largest: an id accepted here must
        # stay below the floor of the next delegation.
        if time_ms > command.now_ms + FUTURE_LIMIT_MS:
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
        """Stores the answer of a request that was begun."""
        key = (command.customer, command.id)
        present = self._records.get(key)
        if present is None:
            return messages.RecordStatus("too_old")
        if present.state != "begun":
            return messages.RecordStatus(present.state)
        if command.outcome == "unknown":
            self._touch(key)
            self._records[key] = present._replace(state="unknown")
            return messages.RecordStatus("unknown")
        size = len(command.body)
        stored = (
            command.stored
            and size <= MAX_STORED_BODY_BYTES
            and self._stored_bytes + size <= MAX_STORED_TOTAL_BYTES
        )
        body = command.body if stored else b""
        self._stored_bytes += len(body)
        self._touch(key)
        self._records[key] = present._replace(
            state="finished",
            http_status=command.status,
            body=body,
            content_type=command.content_type,
            stored=stored,
        )
        return messages.RecordStatus("finished")

    def abandon(self, command: messages.AbandonRequest) -> bool:
        """Removes a record whose request certainly did not run.

        The token keeps a repeated command from removing the record of a
        later attempt with the same id.
        """
        key = (command.customer, command.id)
        present = self._records.get(key)
        if present is None or present.state != "begun":
            return False
        if present.fingerprint != command.fingerprint:
            return False
        if command.token and present.token != command.token:
            return False
        self._remove(key)
        return True

    def advance(self, now_ms: int) -> None:
        """Moves the time forward and removes expired records."""
        self.now_ms = max(self.now_ms, now_ms)
        limit = (self.now_ms - RETENTION_MS) // _BUCKET_MS
        if limit <= self._oldest_bucket:
            return
        for bucket in [each for each in self._buckets if each < limit]:
            for key in sorted(self._buckets[bucket]):
                self._remove(key)
        self._oldest_bucket = limit

    def encode_buckets(
        self, encode: Callable[[tuple[messages.RecordItem, ...]], bytes]
    ) -> Iterator[bytes]:
        """Yields all records as encoded by `encode`, a second's together."""
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

    def _touch(self, key: RecordKey) -> None:
        self._encoded.pop(_get_time_ms(key[1]) // _BUCKET_MS, None)

    def restore_item(self, item: messages.RecordItem) -> None:
        """Stores a record of a snapshot."""
        values = item._asdict()
        key = (values.pop("customer"), values.pop("id"))
        self._put(key, _get_time_ms(key[1]), Record(**values))
        self._stored_bytes += len(item.body)

    def _put(self, key: RecordKey, time_ms: int, record: Record) -> None:
        self._records[key] = record
        self._buckets.setdefault(time_ms // _BUCKET_MS, set()).add(key)
        self._touch(key)

    def _remove(self, key: RecordKey) -> None:
        self._touch(key)
        record = self._records.pop(key)
        self._stored_bytes -= len(record.body)
        bucket = _get_time_ms(key[1]) // _BUCKET_MS
        keys = self._buckets[bucket]
        keys.discard(key)
        if not keys:
            del self._buckets[bucket]


def _get_time_ms(request_id: str) -> int:
    return requestid.parse_request_id(request_id).unwrap().time_ms


def _describe(
    present: Record,
    command: messages.BeginRequest,
    is_gone: Callable[[str, int], bool],
) -> messages.RecordStatus:
    if present.fingerprint != command.fingerprint:
        return messages.RecordStatus("mismatch")
    if present.state == "finished":
        return messages.RecordStatus(
            "finished",
            present.http_status,
            present.body,
            present.content_type,
            present.stored,
        )
    if present.state == "unknown" or is_gone(
        present.instance, present.incarnation
    ):
        return messages.RecordStatus("unknown")
    return messages.RecordStatus("in_progress")
