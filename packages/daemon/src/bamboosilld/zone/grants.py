"""Grant leases and heartbeats of upstreams, as the zone leader sees them."""

from typing import NamedTuple

import xxhash

from bamboosill_common.generated import zone as messages
from bamboosilld.zone import assignments
from bamboosilld.zone import state as state_lib
from bamboosilld.zone import times
from bamboosilld.zone import upstreams as upstreams_lib

# An upstream that was lost gets no shards for this long after it returns;
# doubled with each loss, so that a flapping one stops causing moves.
HOLD_DOWN_S = 5.0
MAX_HOLD_DOWN_S = 300.0
# Losses are forgotten after this long without another one.
_FLAP_MEMORY_S = 600.0


class _Flap(NamedTuple):
    """Losses of an upstream id, and when it was lost last."""

    losses: int
    lost_at_s: float


class GrantList(NamedTuple):
    """All grants of an upstream and a number that stands for them."""

    version: int
    grants: tuple[messages.Grant, ...]


class UpstreamLease:
    """What this leader knows of one incarnation of an upstream.

    Attributes:
        since_s: When this leader first knew of it.
        beat_s: When its last heartbeat arrived.
        until_s: End of its grant lease plus the margin.
        is_lost: Whether it is treated as lost until it announces itself.
        beat: Its last heartbeat.
    """

    def __init__(self, now_s: float, until_s: float) -> None:
        self.since_s = now_s
        self.beat_s = now_s
        self.until_s = until_s
        self.is_lost = False
        self.beat = messages.UpstreamBeat()


class UpstreamLeases:
    """Grant leases that this leader gave since its election."""

    def __init__(
        self, state: state_lib.ZoneState, elected_at_s: float, now_s: float
    ) -> None:
        self._state = state
        # A predecessor's grants have ended by then.
        self._unknown_until_s = (
            elected_at_s + times.GRANT_LEASE_S + times.MARGIN_S
        )
        self._leases: dict[assignments.Owner, UpstreamLease] = {}
        self._flaps: dict[str, _Flap] = {}
        self._lists: dict[assignments.Owner, GrantList] = {}
        self._revoked: dict[assignments.AssignmentKey, int] = {}
        for upstream in state.upstreams.list_current():
            self.find(upstreams_lib.get_owner(upstream), now_s)

    def find(self, owner: assignments.Owner, now_s: float) -> UpstreamLease:
        """Returns the lease of an upstream."""
        lease = self._leases.get(owner)
        if lease is None:
            lease = UpstreamLease(now_s, self._unknown_until_s)
            self._leases[owner] = lease
        return lease

    def is_lost(self, owner: assignments.Owner) -> bool:
        """Returns whether an upstream ended or stopped its heartbeats."""
        if not self._state.upstreams.is_current(owner):
            return True
        lease = self._leases.get(owner)
        return lease is not None and lease.is_lost

    def record_beat(
        self,
        owner: assignments.Owner,
        beat: messages.UpstreamBeat,
        now_s: float,
    ) -> UpstreamLease:
        """Notes a heartbeat."""
        lease = self.find(owner, now_s)
        lease.beat_s = now_s
        lease.beat = beat
        return lease

    def grant(self, lease: UpstreamLease, now_s: float) -> None:
        """Notes that a grant lease is given now."""
        lease.until_s = max(
            lease.until_s, now_s + times.GRANT_LEASE_S + times.MARGIN_S
        )

    def excuse(self, now_s: float) -> None:
        """Restarts the detection after this leader could not receive."""
        for lease in self._leases.values():
            lease.beat_s = max(lease.beat_s, now_s)

    def detect_lost(self, now_s: float) -> list[assignments.Owner]:
        """Returns the upstreams found lost now."""
        found = []
        for owner, lease in self._leases.items():
            if lease.is_lost or not self._state.upstreams.is_current(owner):
                continue
            if now_s - lease.beat_s > times.UPSTREAM_LOST_S:
                lease.is_lost = True
                self.note_loss(owner.id, now_s)
                found.append(owner)
        return found

    def note_loss(self, upstream_id: str, now_s: float) -> None:
        """Counts a loss of an upstream."""
        flap = self._flaps.get(upstream_id, _Flap(0, now_s))
        recent = now_s - flap.lost_at_s < _FLAP_MEMORY_S
        losses = flap.losses + 1 if recent else 1
        self._flaps[upstream_id] = _Flap(losses, now_s)

    def is_held_down(self, owner: assignments.Owner, now_s: float) -> bool:
        """Returns whether an upstream returned too recently to be trusted.

        The first loss is forgiven, so that a restart brings its load back.
        """
        flap = self._flaps.get(owner.id)
        if flap is None or flap.losses < 2:
            return False
        hold_s = min(
            HOLD_DOWN_S * 2 ** (min(flap.losses, 32) - 2), MAX_HOLD_DOWN_S
        )
        return now_s - self.find(owner, now_s).since_s < hold_s

    def forget(self, owner: assignments.Owner) -> None:
        """Drops what is known of an incarnation that was removed."""
        self._leases.pop(owner, None)
        self._lists.pop(owner, None)

    def revoke(self, key: assignments.AssignmentKey, fence: int) -> None:
        """Leaves a shard out of its owner's grants from now on."""
        self._revoked[key] = fence
        self._lists.clear()

    def clear_lists(self) -> None:
        """Drops prepared lists after assignments changed."""
        self._lists.clear()
        self._revoked = {
            key: fence
            for key, fence in self._revoked.items()
            if (found := self._state.assignments.find(key)) is not None
            and found.moving
            and found.target_fence == fence
        }

    def list_grants(self, owner: assignments.Owner) -> GrantList:
        """Returns what an upstream may run, prepared grants included."""
        found = self._lists.get(owner)
        if found is None:
            found = self._lists[owner] = self._make_list(owner)
        return found

    def _make_list(self, owner: assignments.Owner) -> GrantList:
        grants = []
        for key in sorted(self._state.assignments.list_of(owner)):
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
