"""Runs moves of shards and hot keys between upstreams, on the zone leader.

A move is started by a `BeginMove` command. The leader announces the new grant
to the target, waits until no instance has requests in flight to the former
owner, revokes the former owner's grant, and completes the move with
`FinishMove`. It waits for a lost instance or upstream until its lease has
expired and, where fences give no protection, until the longest deadline of a
request has passed as well.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bamboosill_common import clock as clock_lib
from bamboosill_common import errors
from bamboosill_common import events
from bamboosill_common import logs
from bamboosill_common.generated import zone as messages
from bamboosilld.zone import assignments
from bamboosilld.zone import grant_leases as grant_leases_lib
from bamboosilld.zone import serve_leases as serve_leases_lib
from bamboosilld.zone import state as state_lib
from bamboosilld.zone import upstream_client as client_lib

# Moves in progress at one time; bounds memory and the size of drain reports.
MAX_CONCURRENT_MOVES = 16_384
_REVOCATION_RETRY_S = 0.25

_log = logs.get_logger("zone")

Propose = Callable[[Any], Coroutine[Any, Any, Result[Any, errors.ProposeError]]]
Batch = tuple[str, int, str]
"""Keyspace, fence and hot key of the moves that one command started."""


class PlannedMove(NamedTuple):
    """A move to start; without a target the shard loses its owner."""

    key: assignments.AssignmentKey
    target: assignments.Owner | None
    reason: str


class _MoveProgress:
    """Progress of one move.

    Attributes:
        grant_expires_s: When the former owner's grant lease expires; None
            until the grant is revoked.
        revocation_confirmed: Whether the former owner confirmed the
            revocation.
        target_notified: Whether the grant was announced to the target.
        finish_proposed: Whether a `FinishMove` command is under way.
        next_revocation_s: When the revocation is sent again.
    """

    def __init__(self, fence: int) -> None:
        self.fence = fence
        self.grant_expires_s: float | None = None
        self.revocation_confirmed = False
        self.target_notified = False
        self.finish_proposed = False
        self.next_revocation_s = float("-inf")


class Mover:
    """Runs all moves of a zone; see section 2.5 of the design."""

    def __init__(
        self,
        state: state_lib.ZoneState,
        serve_leases: serve_leases_lib.ServeLeases,
        upstream_leases: grant_leases_lib.UpstreamLeases,
        propose: Propose,
        client: client_lib.UpstreamClient,
        clock: clock_lib.Clock,
        timeline: events.Timeline,
        get_longest_deadline_s: Callable[[str], float],
    ) -> None:
        self._state = state
        self._serve_leases = serve_leases
        self._upstream_leases = upstream_leases
        self._propose = propose
        self._client = client
        self._clock = clock
        self._timeline = timeline
        self._get_longest_deadline_s = get_longest_deadline_s
        self._progress_by_key: dict[
            assignments.AssignmentKey, _MoveProgress
        ] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._proposed: set[assignments.AssignmentKey] = set()

    def stop(self) -> None:
        """Cancels pending notices and proposals."""
        for task in list(self._tasks):
            task.cancel()

    def begin(self, moves: Iterable[PlannedMove]) -> None:
        """Proposes moves, many shards in one command."""
        batches: dict[Any, list[PlannedMove]] = {}
        free_slots = (
            MAX_CONCURRENT_MOVES
            - len(self._progress_by_key)
            - len(self._proposed)
        )
        for move in moves:
            if move.key in self._proposed or free_slots <= 0:
                continue
            free_slots -= 1
            self._proposed.add(move.key)
            batch = (move.key.keyspace, move.key.key, move.target, move.reason)
            batches.setdefault(batch, []).append(move)
        size = state_lib.MAX_SHARDS_PER_COMMAND
        for (keyspace, key, target, reason), batch_moves in batches.items():
            for start in range(0, len(batch_moves), size):
                shards = [
                    planned.key.shard
                    for planned in batch_moves[start : start + size]
                ]
                self.spawn(self._begin(keyspace, key, target, reason, shards))

    async def _begin(
        self,
        keyspace: str,
        key: str,
        target: assignments.Owner | None,
        reason: str,
        shards: list[int],
    ) -> None:
        owner = target or assignments.Owner("", 0)
        command = messages.BeginMove(
            keyspace, tuple(shards), owner.id, owner.incarnation, reason, key
        )
        try:
            result = await self._propose(command)
        finally:
            for shard in shards:
                self._proposed.discard(
                    assignments.AssignmentKey(keyspace, shard, key)
                )
        begun = _count_shards("Moves not begun.", keyspace, result)
        if begun:
            self._timeline.record(
                "zone",
                "begin_move",
                keyspace=keyspace,
                shards=begun,
                target=owner.id,
                reason=reason,
            )

    def advance(self, now_s: float) -> None:
        """Takes each move in progress one step further, if it may."""
        ready: dict[Batch, list[int]] = {}
        announcements: dict[Any, list[int]] = {}
        revocations: dict[Any, list[assignments.AssignmentKey]] = {}
        moving_keys = set()
        for key, assignment in self._state.assignments.list_moving():
            moving_keys.add(key)
            progress = self._progress_by_key.get(key)
            if progress is None or progress.fence != assignment.target_fence:
                progress = self._progress_by_key[key] = _MoveProgress(
                    assignment.target_fence
                )
            batch = (key.keyspace, progress.fence, key.key)
            if not progress.target_notified and assignment.target is not None:
                progress.target_notified = True
                announcements.setdefault((assignment.target, batch), []).append(
                    key.shard
                )
            self._start_revocation(key, assignment, progress, now_s)
            if not self.list_wait_reasons(key, assignment, now_s):
                if not progress.finish_proposed:
                    progress.finish_proposed = True
                    ready.setdefault(batch, []).append(key.shard)
            elif self._should_send_revocation(progress, assignment, now_s):
                progress.next_revocation_s = now_s + _REVOCATION_RETRY_S
                revocations.setdefault((assignment.owner, batch), []).append(
                    key
                )
        for key in [
            move_key
            for move_key in self._progress_by_key
            if move_key not in moving_keys
        ]:
            del self._progress_by_key[key]
        self._start_tasks(ready, announcements, revocations)

    def _start_tasks(
        self,
        ready: dict[Batch, list[int]],
        announcements: dict[Any, list[int]],
        revocations: dict[Any, list[assignments.AssignmentKey]],
    ) -> None:
        for (target, batch), shards in announcements.items():
            self.spawn(self._announce_grant(target, batch, shards))
        for (owner, batch), keys in revocations.items():
            self.spawn(self._send_revocation(owner, batch, keys))
        size = state_lib.MAX_SHARDS_PER_COMMAND
        for batch, shards in ready.items():
            for start in range(0, len(shards), size):
                self.spawn(self._finish(batch, shards[start : start + size]))

    def _should_send_revocation(
        self,
        progress: _MoveProgress,
        assignment: assignments.Assignment,
        now_s: float,
    ) -> bool:
        if progress.grant_expires_s is None or progress.revocation_confirmed:
            return False
        if assignment.owner is None or self._upstream_leases.is_lost(
            assignment.owner
        ):
            return False
        return now_s >= progress.next_revocation_s

    def list_wait_reasons(
        self,
        key: assignments.AssignmentKey,
        assignment: assignments.Assignment,
        now_s: float,
    ) -> list[str]:
        """Returns why a move may not be completed yet; empty if it may."""
        owner = assignment.owner
        if owner is None:
            return []
        if not self._has_fence_protection(key, owner):
            max_deadline_s = self._get_longest_deadline_s(key.keyspace)
            return self._serve_leases.list_wait_reasons(
                key, assignment.target_fence, max_deadline_s, now_s
            )
        drain_reasons = self._serve_leases.list_wait_reasons(
            key, assignment.target_fence, 0.0, now_s
        )
        progress = self._progress_by_key.get(key)
        if progress is None or progress.grant_expires_s is None:
            return drain_reasons or [f"revocation at {owner.id}"]
        if now_s >= progress.grant_expires_s:
            return []
        if progress.revocation_confirmed:
            return drain_reasons
        return [*drain_reasons, f"grant lease of {owner.id}"]

    def _start_revocation(
        self,
        key: assignments.AssignmentKey,
        assignment: assignments.Assignment,
        progress: _MoveProgress,
        now_s: float,
    ) -> None:
        """Revokes the owner's grant once it is drained or the owner is lost.

        Until then the owner keeps its grant, so that it can complete the
        requests in flight.
        """
        owner = assignment.owner
        if owner is None or progress.grant_expires_s is not None:
            return
        if not self._has_fence_protection(key, owner):
            return
        drain_reasons = self._serve_leases.list_wait_reasons(
            key, assignment.target_fence, 0.0, now_s
        )
        if drain_reasons and not self._upstream_leases.is_lost(owner):
            return
        self._upstream_leases.revoke(key, assignment.target_fence)
        lease = self._upstream_leases.get_or_create(owner, now_s)
        progress.grant_expires_s = lease.expires_s

    def _has_fence_protection(
        self, key: assignments.AssignmentKey, owner: assignments.Owner
    ) -> bool:
        # Fences do not protect hot keys: the grant of a whole shard does not
        # tell its owner that one hot key of it has moved away.
        upstream = self._state.upstreams.find_incarnation(owner)
        return upstream is not None and upstream.checks_fences and not key.key

    async def _announce_grant(
        self, target: assignments.Owner, batch: Batch, shards: list[int]
    ) -> None:
        upstream = self._state.upstreams.find_incarnation(target)
        if upstream is not None:
            notice = _make_shard_notice(target, batch, shards)
            await self._client.grant(upstream.address, notice)

    async def _send_revocation(
        self,
        owner: assignments.Owner,
        batch: Batch,
        keys: list[assignments.AssignmentKey],
    ) -> None:
        upstream = self._state.upstreams.find_incarnation(owner)
        if upstream is None:
            return
        notice = _make_shard_notice(owner, batch, [key.shard for key in keys])
        if not await self._client.revoke(upstream.address, notice):
            return
        for key in keys:
            progress = self._progress_by_key.get(key)
            if progress is not None and progress.fence == batch[1]:
                progress.revocation_confirmed = True

    async def _finish(self, batch: Batch, shards: list[int]) -> None:
        keyspace, fence, key = batch
        command = messages.FinishMove(keyspace, tuple(shards), fence, key)
        try:
            result = await self._propose(command)
        finally:
            for shard in shards:
                progress = self._progress_by_key.get(
                    assignments.AssignmentKey(keyspace, shard, key)
                )
                if progress is not None and progress.fence == fence:
                    progress.finish_proposed = False
        finished = _count_shards("Moves not finished.", keyspace, result)
        if finished:
            self._timeline.record(
                "zone", "finish_move", keyspace=keyspace, shards=finished
            )

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Runs a coroutine as a task, cancelled when the leadership ends."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _count_shards(
    refusal: str,
    keyspace: str,
    result: Result[messages.CommandStatus, errors.ProposeError],
) -> int:
    """Returns how many shards a command has changed; logs why none."""
    match result:
        case Success(status) if status.ok:
            return len(status.shards)
        case Success(status):
            code = status.code
        case Failure(error):
            code = error.code
    _log.info("%s Keyspace: %s. Reason: %s.", refusal, keyspace, code)
    return 0


def _make_shard_notice(
    owner: assignments.Owner, batch: Batch, shards: list[int]
) -> client_lib.ShardNotice:
    keyspace, fence, key = batch
    return client_lib.ShardNotice(
        owner.id, owner.incarnation, keyspace, tuple(shards), fence, key
    )
