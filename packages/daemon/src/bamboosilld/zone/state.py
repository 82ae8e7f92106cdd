"""The replicated state machine of a zone's consensus group.

Applies committed commands in log order. It is deterministic: it never reads a
clock; commands carry the times that they need.
"""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from bamboosill_common import logs
from bamboosill_common import requestid
from bamboosill_common import wire
from bamboosill_common.generated import zone as messages
from bamboosilld import quarantine as quarantine_lib
from bamboosilld.zone import assignments
from bamboosilld.zone import feed as feed_lib
from bamboosilld.zone import records as records_lib
from bamboosilld.zone import snapshots
from bamboosilld.zone import upstreams as upstreams_lib

# Limit per command; bounds the time that one command takes to apply.
MAX_SHARDS_PER_COMMAND = 1024

Applier = Callable[["ZoneState", int, Any], Any]
Listener = Callable[[Any, Any], None]

_APPLIERS: dict[type[Any], Applier] = {}

_log = logs.get_logger("zone")


def _register_applier(command_type: type[Any]) -> Callable[[Applier], Applier]:
    """Returns a decorator that registers the applier of a command type."""

    def register(applier: Applier) -> Applier:
        _APPLIERS[command_type] = applier
        return applier

    return register


class Release(NamedTuple):
    """A shard that was released to the control group.

    Attributes:
        epoch: Delegation epoch under which it was released.
        last_id_ms: Largest timestamp of the request ids recorded for it.
    """

    epoch: int
    last_id_ms: int


class ZoneState:
    """Replicated state of one group.

    Holds assignments, upstreams, request records, the quarantine and the copy
    of the control state.

    Attributes:
        zone: Availability zone of the group.
        group_epoch: Epoch of the group.
        applied_index: Log index of the last applied command.
        released: Shards released to the control group.
        last_ids_ms: Largest timestamp of the request ids recorded for a
            shard. Outlives the records, because it becomes the lower bound
            of accepted ids when the shard is released.
    """

    def __init__(self, zone: str, group_epoch: int) -> None:
        self.zone = zone
        self.group_epoch = group_epoch
        self._listeners: list[Listener] = []
        self._reset()

    def _reset(self) -> None:
        self.applied_index = 0
        self.feed = feed_lib.FeedState()
        self.assignments = assignments.AssignmentTable()
        self.upstreams = upstreams_lib.UpstreamTable()
        self.records = records_lib.RecordTable()
        self.quarantine = quarantine_lib.QuarantineTable()
        self.released: dict[tuple[str, int], Release] = {}
        self.last_ids_ms: dict[tuple[str, int], int] = {}

    def add_listener(self, listener: Listener) -> None:
        """Registers `listener(command, result)`, called after each command.

        After a snapshot is restored, the command is None and the result is
        the set of customers whose contracts may have changed.
        """
        self._listeners.append(listener)

    def apply(self, index: int, command: bytes) -> object:
        """Applies a command and returns its result message."""
        self.applied_index = index
        try:
            message = wire.unpack(command)
        except wire.DecodeError as error:
            _log.error("Command %d is malformed. Reason: %s.", index, error)
            return messages.CommandStatus(code="malformed")
        applier = _APPLIERS.get(type(message))
        if applier is None:
            _log.error("Command %d has an unknown type.", index)
            return messages.CommandStatus(code="unknown_command")
        result = applier(self, index, message)
        for listener in self._listeners:
            listener(message, result)
        if isinstance(result, feed_lib.FeedChange):
            return messages.CommandStatus(ok=True)
        return result

    def snapshot(self) -> bytes:
        """Returns the whole state, serialized."""
        return snapshots.write(self)

    def restore(self, data: bytes) -> None:
        """Replaces the state with that of a snapshot."""
        before = set(self.feed.contracts)
        self._reset()
        snapshots.read(self, data)
        changed = frozenset(before | set(self.feed.contracts))
        for listener in self._listeners:
            listener(None, changed)

    def get_delegation_epoch(self, keyspace: str, shard: int) -> int | None:
        """Returns a shard's delegation epoch, or None if not delegated here."""
        delegation = self.feed.find_delegation(keyspace, shard)
        if delegation is None or not self.is_delegated_here(delegation):
            return None
        return delegation.epoch

    def is_delegated_here(self, delegation: feed_lib.Delegation) -> bool:
        """Returns whether a delegation is to this group."""
        return (
            delegation.zone == self.zone
            and delegation.group_epoch == self.group_epoch
        )

    def is_grantable(self, keyspace: str, shard: int) -> bool:
        """Returns whether the shard may be assigned to an upstream."""
        delegation = self.feed.find_delegation(keyspace, shard)
        return (
            delegation is not None
            and self.is_delegated_here(delegation)
            and not delegation.releasing
            and not self.is_released(keyspace, shard, delegation.epoch)
        )

    def restore_release(self, item: messages.ReleasedItem) -> None:
        """Restores a release from a snapshot item."""
        self.released[(item.keyspace, item.shard)] = Release(
            item.epoch, item.last_id_ms
        )

    def is_released(self, keyspace: str, shard: int, epoch: int) -> bool:
        """Returns whether a shard was released under an epoch."""
        release = self.released.get((keyspace, shard))
        return release is not None and release.epoch == epoch


@_register_applier(messages.ApplyFeed)
def _apply_feed(
    state: ZoneState, index: int, command: messages.ApplyFeed
) -> feed_lib.FeedChange:
    try:
        feed_change = state.feed.apply(
            command.revision, command.full, command.items
        )
    except wire.DecodeError as error:
        _log.error("Feed of command %d is malformed: %s.", index, error)
        return feed_lib.FeedChange()
    for keyspace, shard in feed_change.delegated:
        epoch = state.get_delegation_epoch(keyspace, shard)
        # Safe: the control group changes an epoch only after all leases
        # under the previous one have expired or the shard was released.
        state.assignments.remove_shard(keyspace, shard, except_epoch=epoch)
        release = state.released.get((keyspace, shard))
        if release is not None and release.epoch != epoch:
            del state.released[(keyspace, shard)]
        if epoch is None:
            state.last_ids_ms.pop((keyspace, shard), None)
    return feed_change


@_register_applier(messages.PutUpstream)
def _put_upstream(
    state: ZoneState, index: int, command: messages.PutUpstream
) -> messages.CommandStatus:
    del index
    if command.upstream.zone != state.zone:
        return messages.CommandStatus(code="wrong_zone")
    code = state.upstreams.put(command.upstream)
    return messages.CommandStatus(code == "ok", code)


@_register_applier(messages.DropUpstream)
def _drop_upstream(
    state: ZoneState, index: int, command: messages.DropUpstream
) -> messages.CommandStatus:
    del index
    owner = assignments.Owner(command.id, command.incarnation)
    if state.assignments.list_owned(owner):
        return messages.CommandStatus(code="owns_shards")
    found = state.upstreams.remove(owner)
    return messages.CommandStatus(found, "ok" if found else "unknown")


@_register_applier(messages.BeginMove)
def _begin_move(
    state: ZoneState, index: int, command: messages.BeginMove
) -> messages.CommandStatus:
    target = None
    if command.target:
        target = assignments.Owner(command.target, command.target_incarnation)
        upstream = state.upstreams.find_incarnation(target)
        keyspace = state.feed.keyspaces.get(command.keyspace)
        if upstream is None or not state.upstreams.is_current(target):
            return messages.CommandStatus(code="unknown_upstream")
        if keyspace is None or keyspace.service != upstream.service:
            return messages.CommandStatus(code="wrong_service")
    started = []
    for shard in command.shards[:MAX_SHARDS_PER_COMMAND]:
        epoch = state.get_delegation_epoch(command.keyspace, shard)
        if epoch is None:
            continue
        if target and not state.is_grantable(command.keyspace, shard):
            continue
        key = assignments.AssignmentKey(command.keyspace, shard, command.key)
        if state.assignments.begin_move(key, epoch, index, target):
            started.append(shard)
    return messages.CommandStatus(
        bool(started), "ok" if started else "nothing", 0, tuple(started)
    )


@_register_applier(messages.FinishMove)
def _finish_move(
    state: ZoneState, index: int, command: messages.FinishMove
) -> messages.CommandStatus:
    del index
    finished = []
    for shard in command.shards[:MAX_SHARDS_PER_COMMAND]:
        key = assignments.AssignmentKey(command.keyspace, shard, command.key)
        assignment = state.assignments.find(key)
        if assignment is None or not assignment.moving:
            continue
        target = assignment.target
        if target is not None and not state.upstreams.is_current(target):
            continue
        if target and not state.is_grantable(command.keyspace, shard):
            continue
        if state.assignments.finish_move(key, command.fence):
            finished.append(shard)
    return messages.CommandStatus(
        bool(finished),
        "ok" if finished else "refused",
        command.fence,
        tuple(finished),
    )


@_register_applier(messages.ReleaseShards)
def _release_shards(
    state: ZoneState, index: int, command: messages.ReleaseShards
) -> messages.CommandStatus:
    del index
    released = []
    for shard in command.shards[:MAX_SHARDS_PER_COMMAND]:
        if state.get_delegation_epoch(command.keyspace, shard) != command.epoch:
            continue
        if state.assignments.has_owner(command.keyspace, shard):
            continue
        state.assignments.remove_shard(command.keyspace, shard)
        shard_key = (command.keyspace, shard)
        # From here on `_begin_request` refuses requests for the shard.
        state.released[shard_key] = Release(
            command.epoch, state.last_ids_ms.get(shard_key, 0)
        )
        released.append(shard)
    return messages.CommandStatus(
        bool(released),
        "ok" if released else "refused",
        shards=tuple(released),
    )


@_register_applier(messages.BeginRequest)
def _begin_request(
    state: ZoneState, index: int, command: messages.BeginRequest
) -> messages.RecordStatus:
    delegation = state.feed.find_delegation(command.keyspace, command.shard)
    floor_ms = None
    shard_key = (command.keyspace, command.shard)
    if (
        delegation is not None
        and state.is_delegated_here(delegation)
        and not state.is_released(*shard_key, delegation.epoch)
    ):
        floor_ms = delegation.id_floor_ms
    status = state.records.begin(
        index, command, floor_ms, state.feed.is_instance_deregistered
    )
    if status.status == "new":
        time_ms = requestid.parse_request_id(command.id).unwrap().time_ms
        last_ms = state.last_ids_ms.get(shard_key, 0)
        state.last_ids_ms[shard_key] = max(last_ms, time_ms)
    return status


@_register_applier(messages.FinishRequest)
def _finish_request(
    state: ZoneState, index: int, command: messages.FinishRequest
) -> messages.RecordStatus:
    del index
    return state.records.finish(command)


@_register_applier(messages.AbandonRequest)
def _abandon_request(
    state: ZoneState, index: int, command: messages.AbandonRequest
) -> messages.CommandStatus:
    del index
    done = state.records.abandon(command)
    return messages.CommandStatus(done, "ok" if done else "refused")


@_register_applier(messages.ReportCrash)
def _report_crash(
    state: ZoneState, index: int, command: messages.ReportCrash
) -> messages.CommandStatus:
    del index
    state.quarantine.report(
        (command.upstream, command.incarnation),
        command.fingerprints,
        command.now_ms,
    )
    return messages.CommandStatus(ok=True, code="ok")
