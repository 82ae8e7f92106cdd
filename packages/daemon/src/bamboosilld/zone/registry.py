"""Keeps the registry of upstreams on the leader."""

from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from returns.result import Result
from returns.result import Success

from bamboosill_common import clock as clock_lib
from bamboosill_common import errors
from bamboosill_common.generated import zone as messages
from bamboosilld.placement import policy as policy_lib
from bamboosilld.zone import assignments
from bamboosilld.zone import grants as grants_lib
from bamboosilld.zone import moves as moves_lib
from bamboosilld.zone import state as state_lib
from bamboosilld.zone import upstreams as upstreams_lib


class Registry:
    """Registers, follows and removes upstreams."""

    def __init__(
        self,
        state: state_lib.ZoneState,
        leases: grants_lib.UpstreamLeases,
        commit: moves_lib.Propose,
        spawn: Callable[[Coroutine[Any, Any, Any]], None],
        clock: clock_lib.Clock,
    ) -> None:
        self._state = state
        self._leases = leases
        self._commit = commit
        self._spawn = spawn
        self._clock = clock

    async def put(
        self, message: messages.PutUpstream
    ) -> Result[Any, errors.ProposeError]:
        """Registers an upstream that announced itself."""
        upstream = message.upstream
        owner = upstreams_lib.get_owner(upstream)
        present = self._state.upstreams.find(owner.id)
        if present is not None and present.incarnation == owner.incarnation:
            if self._leases.is_lost(owner):
                # It may announce itself again when its shards have moved.
                return Success(messages.CommandStatus(code="lost"))
            if present.state == policy_lib.DRAINING:
                upstream = upstream._replace(state=policy_lib.DRAINING)
            if upstream == present:
                return Success(messages.CommandStatus(True, "ok"))
        result = await self._commit(messages.PutUpstream(upstream))
        self._note_restart(owner, present)
        return result

    def follow_state(self, owner: assignments.Owner, state: str) -> None:
        """Replicates a changed state; draining is final for an incarnation."""
        present = self._state.upstreams.find_owner(owner)
        if present is None or not state or present.state == state:
            return
        if present.state == policy_lib.DRAINING:
            return
        changed = messages.PutUpstream(present._replace(state=state))
        self._spawn(self._commit(changed))

    async def drop_lost(self) -> None:
        """Removes lost upstreams that own nothing any more."""
        for upstream in [
            *self._state.upstreams.list_former(),
            *self._state.upstreams.list_current(),
        ]:
            owner = upstreams_lib.get_owner(upstream)
            if not self._leases.is_lost(owner):
                continue
            if self._state.assignments.list_of(owner):
                continue
            await self._commit(messages.DropUpstream(*owner, "lost"))
            if self._state.upstreams.find_owner(owner) is None:
                self._leases.forget(owner)

    def _note_restart(
        self, owner: assignments.Owner, present: messages.Upstream | None
    ) -> None:
        if not self._state.upstreams.is_current(owner):
            return
        now_s = self._clock.monotonic()
        self._leases.find(owner, now_s)
        if present is None or present.incarnation >= owner.incarnation:
            return
        former = self._leases.find(upstreams_lib.get_owner(present), now_s)
        if not former.is_lost:
            former.is_lost = True
            self._leases.note_loss(owner.id, now_s)
