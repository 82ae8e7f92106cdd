"""Commands of the zone leader that register, update and remove upstreams."""

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
from bamboosilld.zone import grant_leases as grant_leases_lib
from bamboosilld.zone import moves as moves_lib
from bamboosilld.zone import state as state_lib
from bamboosilld.zone import upstreams as upstreams_lib


class Registry:
    """Registers, updates and removes upstreams in the replicated state."""

    def __init__(
        self,
        state: state_lib.ZoneState,
        leases: grant_leases_lib.UpstreamLeases,
        commit: moves_lib.Propose,
        spawn: Callable[[Coroutine[Any, Any, Any]], None],
        clock: clock_lib.Clock,
    ) -> None:
        self._state = state
        self._leases = leases
        self._commit = commit
        self._spawn = spawn
        self._clock = clock

    async def register(
        self, message: messages.PutUpstream
    ) -> Result[Any, errors.ProposeError]:
        """Registers an upstream that announced itself."""
        upstream = message.upstream
        owner = upstreams_lib.get_owner(upstream)
        current = self._state.upstreams.find(owner.id)
        if current is not None and current.incarnation == owner.incarnation:
            if self._leases.is_lost(owner):
                # It may register again once its shards have moved.
                return Success(messages.CommandStatus(code="lost"))
            if current.state == policy_lib.DRAINING:
                upstream = upstream._replace(state=policy_lib.DRAINING)
            if upstream == current:
                return Success(messages.CommandStatus(True, "ok"))
        result = await self._commit(messages.PutUpstream(upstream))
        self._record_restart(owner, current)
        return result

    def update_state(self, owner: assignments.Owner, state: str) -> None:
        """Commits a changed state; draining is final for an incarnation."""
        current = self._state.upstreams.find_incarnation(owner)
        if current is None or not state or current.state == state:
            return
        if current.state == policy_lib.DRAINING:
            return
        changed = messages.PutUpstream(current._replace(state=state))
        self._spawn(self._commit(changed))

    async def remove_lost(self) -> None:
        """Removes lost upstreams that no longer own shards."""
        for upstream in [
            *self._state.upstreams.list_former(),
            *self._state.upstreams.list_current(),
        ]:
            owner = upstreams_lib.get_owner(upstream)
            if not self._leases.is_lost(owner):
                continue
            if self._state.assignments.list_owned(owner):
                continue
            await self._commit(messages.DropUpstream(*owner, "lost"))
            if self._state.upstreams.find_incarnation(owner) is None:
                self._leases.remove(owner)

    def _record_restart(
        self, owner: assignments.Owner, current: messages.Upstream | None
    ) -> None:
        if not self._state.upstreams.is_current(owner):
            return
        now_s = self._clock.monotonic()
        self._leases.get_or_create(owner, now_s)
        if current is None or current.incarnation >= owner.incarnation:
            return
        former = self._leases.get_or_create(
            upstreams_lib.get_owner(current), now_s
        )
        if not former.is_lost:
            former.is_lost = True
            self._leases.record_loss(owner.id, now_s)
