"""Moves shards between upstreams: notices, waits and completion."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

from returns.result import Result

from bamboosill_common import clock as clock_lib
from bamboosill_common import events
from bamboosill_common.generated import zone as messages
from bamboosilld.zone import assignments
from bamboosilld.zone import grants as grants_lib
from bamboosilld.zone import leases as leases_lib
from bamboosilld.zone import state as state_lib
from bamboosilld.zone import upstream_client as client_lib

# Assignments that are being changed at one time; bounds memory and the size
# of drain reports.
MAX_MOVING = 16_384
_RETRY_S = 0.25
_PROPOSE_S = 2.0

Propose = Callable[[Any], Coroutine[Any, Any, Result[Any, Any]]]
Batch = tuple[str, int, str]
"""Keyspace, fence and hot key of changes that one command began."""


class PlannedMove(NamedTuple):
    """A change to begin; no target leaves the shard without an owner."""

    key: assignments.AssignmentKey
    target: assignments.Owner | None
    reason: str


class _Track:
    """Progress of one change.

    Attributes:
        revoke_until_s: When the former owner's grant has ended; None while
            the former owner may still finish requests.
        confirmed: Whether the former owner confirmed the revocation.
        notified: Whether the next owner was told of its prepared grant.
        retry_s: When the revocation is sent again.
    """

    def __init__(self, fence: int) -> None:
        self.fence = fence
        self.revoke_until_s: float | None = None
        self.confirmed = False
        self.notified = False
        self.finishing = False
        self.retry_s = float("-inf")


class Mover:
    """Carries out changes on the leader; section 2.5 of the design."""

    def __init__(
        self,
        state: state_lib.ZoneState,
        serve_leases: leases_lib.ServeLeases,
        upstream_leases: grants_lib.UpstreamLeases,
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
        self._tracks: dict[assignments.AssignmentKey, _Track] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._beginning: set[assignments.AssignmentKey] = set()

    def stop(self) -> None:
        """Cancels notices and proposals under way."""
        for task in list(self._tasks):
            task.cancel()

    def begin(self, moves: Iterable[PlannedMove]) -> None:
        """Proposes changes, many shards in one command."""
        batches: dict[Any, list[PlannedMove]] = {}
        room = MAX_MOVING - len(self._tracks) - len(self._beginning)
        for move in moves:
            if move.key in self._beginning or room <= 0:
                continue
            room -= 1
            self._beginning.add(move.key)
            batch = (move.key.keyspace, move.key.key, move.target, move.reason)
            batches.setdefault(batch, []).append(move)
        size = state_lib.MAX_SHARDS_PER_COMMAND
        for (keyspace, key, target, reason), group in batches.items():
            for start in range(0, len(group), size):
                shards = [
                    each.key.shard for each in group[start : start + size]
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
            await self._propose(command)
        finally:
            for shard in shards:
                self._beginning.discard(
                    assignments.AssignmentKey(keyspace, shard, key)
                )
        self._timeline.record(
            "zone",
            "begin_move",
            keyspace=keyspace,
            shards=len(shards),
            target=owner.id,
            reason=reason,
        )

    def advance(self, now_s: float) -> None:
        """Checks the waits of all changes and completes those that ended."""
        ready: dict[Batch, list[int]] = {}
        grants: dict[Any, list[int]] = {}
        revokes: dict[Any, list[assignments.AssignmentKey]] = {}
        seen = set()
        for key, value in self._state.assignments.list_moving():
            seen.add(key)
            track = self._tracks.get(key)
            if track is None or track.fence != value.target_fence:
                track = self._tracks[key] = _Track(value.target_fence)
            batch = (key.keyspace, track.fence, key.key)
            if not track.notified and value.target is not None:
                track.notified = True
                grants.setdefault((value.target, batch), []).append(key.shard)
            self._begin_revocation(key, value, track, now_s)
            if not self.find_waits(key, value, now_s):
                if not track.finishing:
                    track.finishing = True
                    ready.setdefault(batch, []).append(key.shard)
            elif self._should_revoke(track, value, now_s):
                track.retry_s = now_s + _RETRY_S
                revokes.setdefault((value.owner, batch), []).append(key)
        for key in [each for each in self._tracks if each not in seen]:
            del self._tracks[key]
        self._send(ready, grants, revokes)

    def _send(
        self,
        ready: dict[Batch, list[int]],
        grants: dict[Any, list[int]],
        revokes: dict[Any, list[assignments.AssignmentKey]],
    ) -> None:
        for (target, batch), shards in grants.items():
            self.spawn(self._notify(target, batch, shards))
        for (owner, batch), keys in revokes.items():
            self.spawn(self._revoke(owner, batch, keys))
        size = state_lib.MAX_SHARDS_PER_COMMAND
        for batch, shards in ready.items():
            for start in range(0, len(shards), size):
                self.spawn(self._finish(batch, shards[start : start + size]))

    def _should_revoke(
        self, track: _Track, value: assignments.Assignment, now_s: float
    ) -> bool:
        if track.revoke_until_s is None or track.confirmed:
            return False
        if value.owner is None or self._upstream_leases.is_lost(value.owner):
            return False
        return now_s >= track.retry_s

    def find_waits(
        self,
        key: assignments.AssignmentKey,
        value: assignments.Assignment,
        now_s: float,
    ) -> list[str]:
        """Returns why a change may not be completed yet."""
        owner = value.owner
        if owner is None:
            return []
        if not self._checks_fence(key, owner):
            longest_s = self._get_longest_deadline_s(key.keyspace)
            return self._serve_leases.find_waits(
                key, value.target_fence, longest_s, now_s
            )
        undrained = self._serve_leases.find_waits(
            key, value.target_fence, 0.0, now_s
        )
        track = self._tracks.get(key)
        if track is None or track.revoke_until_s is None:
            return undrained or [f"revocation at {owner.id}"]
        if now_s >= track.revoke_until_s:
            return []
        if track.confirmed:
            return undrained
        return [*undrained, f"grant lease of {owner.id}"]

    def _begin_revocation(
        self,
        key: assignments.AssignmentKey,
        value: assignments.Assignment,
        track: _Track,
        now_s: float,
    ) -> None:
        """Ends the owner's grant when it has no request in flight, or is lost.

        Until then the owner keeps its grant, so that it can complete them.
        """
        owner = value.owner
        if owner is None or track.revoke_until_s is not None:
            return
        if not self._checks_fence(key, owner):
            return
        undrained = self._serve_leases.find_waits(
            key, value.target_fence, 0.0, now_s
        )
        if undrained and not self._upstream_leases.is_lost(owner):
            return
        self._upstream_leases.revoke(key, value.target_fence)
        lease = self._upstream_leases.find(owner, now_s)
        track.revoke_until_s = lease.until_s

    def _checks_fence(
        self, key: assignments.AssignmentKey, owner: assignments.Owner
    ) -> bool:
        # A grant of a whole shard does not tell an upstream that one hot key
        # of it moved away, so fences do not protect hot keys.
        upstream = self._state.upstreams.find_owner(owner)
        return upstream is not None and upstream.checks_fences and not key.key

    async def _notify(
        self, target: assignments.Owner, batch: Batch, shards: list[int]
    ) -> None:
        upstream = self._state.upstreams.find_owner(target)
        if upstream is not None:
            notice = _make_notice(target, batch, shards)
            await self._client.grant(upstream.address, notice)

    async def _revoke(
        self,
        owner: assignments.Owner,
        batch: Batch,
        keys: list[assignments.AssignmentKey],
    ) -> None:
        upstream = self._state.upstreams.find_owner(owner)
        if upstream is None:
            return
        notice = _make_notice(owner, batch, [key.shard for key in keys])
        if not await self._client.revoke(upstream.address, notice):
            return
        for key in keys:
            track = self._tracks.get(key)
            if track is not None and track.fence == batch[1]:
                track.confirmed = True

    async def _finish(self, batch: Batch, shards: list[int]) -> None:
        keyspace, fence, key = batch
        command = messages.FinishMove(keyspace, tuple(shards), fence, key)
        try:
            await self._propose(command)
        finally:
            for shard in shards:
                track = self._tracks.get(
                    assignments.AssignmentKey(keyspace, shard, key)
                )
                if track is not None and track.fence == fence:
                    track.finishing = False
        self._timeline.record(
            "zone", "finish_move", keyspace=keyspace, shards=len(shards)
        )

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Runs work until it ends or the leadership does."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _make_notice(
    owner: assignments.Owner, batch: Batch, shards: list[int]
) -> client_lib.ShardNotice:
    keyspace, fence, key = batch
    return client_lib.ShardNotice(
        owner.id, owner.incarnation, keyspace, tuple(shards), fence, key
    )
