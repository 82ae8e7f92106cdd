"""Grant leases of upstreams, tracked by the zone leader.

An upstream may run requests of its granted shards while its grant lease lasts,
and renews the lease by heartbeats. An upstream whose heartbeats stop is lost.
"""

from typing import NamedTuple

import xxhash

from bamboosill_common.generated import zone as messages
from bamboosilld.zone import assignments
from bamboosilld.zone import state as state_lib
from bamboosilld.zone import times
from bamboosilld.zone import upstreams as upstreams_lib

# An upstream that was lost gets no shards for this long after it returns.
# Doubled with each loss, so that a flapping upstream stops causing moves.
HOLD_DOWN_S = 5.0
MAX_HOLD_DOWN_S = 300.0
# The count of losses restarts after this long without one.
_LOSS_HISTORY_S = 600.0


class _LossHistory(NamedTuple):
    """How often an upstream id was lost, and when last."""

    losses: int
    last_lost_s: float


class GrantList(NamedTuple):
    """All grants of an upstream, with a hash of them as their version."""

    version: int
    grants: tuple[messages.Grant, ...]


class UpstreamLease:
    """Grant lease of one incarnation of an upstream.

    Attributes:
        known_since_s: When this leader first learned of it.
        last_heartbeat_s: When its last heartbeat arrived.
        expires_s: End of its grant lease plus the safety margin.
        is_lost: Whether it counts as lost; it must announce itself again.
        last_heartbeat: Its last heartbeat message.
    """

    def __init__(self, now_s: float, expires_s: float) -> None:
        self.known_since_s = now_s
        self.last_heartbeat_s = now_s
        self.expires_s = expires_s
        self.is_lost = False
        self.last_heartbeat = messages.UpstreamBeat()


class UpstreamLeases:
    """Grant leases, as known to this leader since its election."""

    def __init__(
        self, state: state_lib.ZoneState, elected_at_s: float, now_s: float
    ) -> None:
        self._state = state
        # Grant leases of former leaders have expired by then.
        self._former_leases_expire_s = (
            elected_at_s + times.GRANT_LEASE_S + times.MARGIN_S
        )
        self._leases: dict[assignments.Owner, UpstreamLease] = {}
        self._loss_history: dict[str, _LossHistory] = {}
        self._grant_lists: dict[assignments.Owner, GrantList] = {}
        self._revoked: dict[assignments.AssignmentKey, int] = {}
        for upstream in state.upstreams.list_current():
            self.get_or_create(upstreams_lib.get_owner(upstream), now_s)

    def get_or_create(
        self, owner: assignments.Owner, now_s: float
    ) -> UpstreamLease:
        """Returns the lease of an upstream, creating it if it is missing."""
        lease = self._leases.get(owner)
        if lease is None:
            lease = UpstreamLease(now_s, self._former_leases_expire_s)
            self._leases[owner] = lease
        return lease

    def is_lost(self, owner: assignments.Owner) -> bool:
        """Returns whether an upstream was replaced or stopped heartbeats."""
        if not self._state.upstreams.is_current(owner):
            return True
        lease = self._leases.get(owner)
        return lease is not None and lease.is_lost

    def record_heartbeat(
        self,
        owner: assignments.Owner,
        heartbeat: messages.UpstreamBeat,
        now_s: float,
    ) -> UpstreamLease:
        """Records a heartbeat and returns the upstream's lease."""
        lease = self.get_or_create(owner, now_s)
        lease.last_heartbeat_s = now_s
        lease.last_heartbeat = heartbeat
        return lease

    def extend(self, lease: UpstreamLease, now_s: float) -> None:
        """Extends a grant lease that is granted now."""
        lease.expires_s = max(
            lease.expires_s, now_s + times.GRANT_LEASE_S + times.MARGIN_S
        )

    def restart_detection(self, now_s: float) -> None:
        """Restarts loss detection after this leader could not receive."""
        for lease in self._leases.values():
            lease.last_heartbeat_s = max(lease.last_heartbeat_s, now_s)

    def detect_lost(self, now_s: float) -> list[assignments.Owner]:
        """Marks upstreams without heartbeats as lost and returns them."""
        found = []
        for owner, lease in self._leases.items():
            if lease.is_lost or not self._state.upstreams.is_current(owner):
                continue
            if now_s - lease.last_heartbeat_s > times.UPSTREAM_LOST_AFTER_S:
                lease.is_lost = True
                self.record_loss(owner.id, now_s)
                found.append(owner)
        return found

    def record_loss(self, upstream_id: str, now_s: float) -> None:
        """Counts a loss of an upstream."""
        history = self._loss_history.get(upstream_id, _LossHistory(0, now_s))
        recent = now_s - history.last_lost_s < _LOSS_HISTORY_S
        losses = history.losses + 1 if recent else 1
        self._loss_history[upstream_id] = _LossHistory(losses, now_s)

    def is_held_down(self, owner: assignments.Owner, now_s: float) -> bool:
        """Returns whether an upstream returned too recently to get shards.

        The first loss causes no hold-down, so that an upstream gets its load
        back after a restart.
        """
        history = self._loss_history.get(owner.id)
        if history is None or history.losses < 2:
            return False
        hold_down_s = min(
            HOLD_DOWN_S * 2 ** (min(history.losses, 32) - 2), MAX_HOLD_DOWN_S
        )
        return (
            now_s - self.get_or_create(owner, now_s).known_since_s < hold_down_s
        )

    def remove(self, owner: assignments.Owner) -> None:
        """Removes the lease of an incarnation that was removed."""
        self._leases.pop(owner, None)
        self._grant_lists.pop(owner, None)

    def revoke(self, key: assignments.AssignmentKey, fence: int) -> None:
        """Excludes a moving shard from its owner's grants from now on."""
        self._revoked[key] = fence
        self._grant_lists.clear()

    def clear_grant_lists(self) -> None:
        """Clears cached grant lists after assignments changed."""
        self._grant_lists.clear()
        self._revoked = {
            key: fence
            for key, fence in self._revoked.items()
            if (found := self._state.assignments.find(key)) is not None
            and found.moving
            and found.target_fence == fence
        }

    def list_grants(self, owner: assignments.Owner) -> GrantList:
        """Returns an upstream's grants, including those of incoming moves."""
        found = self._grant_lists.get(owner)
        if found is None:
            found = self._grant_lists[owner] = self._make_grant_list(owner)
        return found

    def _make_grant_list(self, owner: assignments.Owner) -> GrantList:
        grants = []
        for key in sorted(self._state.assignments.list_owned(owner)):
            value = self._state.assignments.find(key)
            if value is None:
                continue
            if value.moving and value.target == owner:
                fence = value.target_fence
            elif self._revoked.get(key) == value.target_fence and value.moving:
                continue
            else:
                fence = value.fence
            grants.append(
                messages.Grant(key.keyspace, key.shard, fence, key.key)
            )
        digest = xxhash.xxh3_64_intdigest(repr(grants).encode())
        return GrantList(digest, tuple(grants))
