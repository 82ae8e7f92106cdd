"""Serve leases of entry instances, tracked by the zone leader that grants them.

An instance may dispatch requests while its serve lease lasts. With each renewal
it reports which moves it has drained: for which of them it has no request in
flight to the former owner.
"""

from typing import NamedTuple

from bamboosill_common.generated import zone as messages
from bamboosilld.zone import assignments
from bamboosilld.zone import times

# A holder whose last renewal is older missed two of them and may be lost.
_RECENT_RENEWAL_S = 3 * times.SERVE_RENEWAL_INTERVAL_S
# Holders are removed this long after their lease expired. Longer than any
# deadline that a contract may allow.
_HOLDER_RETENTION_S = 3600.0


class HolderKey(NamedTuple):
    """One incarnation of an instance."""

    instance: str
    incarnation: int


class Holder:
    """Serve lease and last report of one instance.

    Attributes:
        expires_s: End of its lease plus the safety margin, on the leader's
            clock.
        report: What it sent with its last renewal.
        drained: Fences of the moves that it reported as drained.
    """

    def __init__(self) -> None:
        self.expires_s = float("-inf")
        self.report = messages.RenewLease()
        self.drained: dict[assignments.AssignmentKey, int] = {}


class ServeLeases:
    """Serve leases that this leader granted since its election."""

    def __init__(self, elected_at_s: float) -> None:
        # Serve leases of former leaders have expired by then.
        self._former_leases_expire_s = (
            elected_at_s + times.SERVE_LEASE_S + times.MARGIN_S
        )
        self._holders: dict[HolderKey, Holder] = {}

    def record_renewal(self, message: messages.RenewLease) -> Holder:
        """Stores the report in a renewal and returns the holder."""
        key = HolderKey(message.instance, message.incarnation)
        holder = self._holders.setdefault(key, Holder())
        if message.same_load:
            previous = holder.report
            message = message._replace(
                demand=previous.demand,
                upstreams=previous.upstreams,
                shard_load=previous.shard_load,
            )
        holder.report = message
        holder.drained = {
            assignments.AssignmentKey(
                item.keyspace, item.shard, item.key
            ): item.fence
            for item in message.drained
        }
        return holder

    def extend(self, holder: Holder, now_s: float) -> None:
        """Extends a lease that is granted now."""
        holder.expires_s = now_s + times.SERVE_LEASE_S + times.MARGIN_S

    def list_live(self, now_s: float) -> dict[HolderKey, Holder]:
        """Returns the holders of leases that have not expired."""
        return {
            key: holder
            for key, holder in self._holders.items()
            if now_s < holder.expires_s
        }

    def list_wait_reasons(
        self,
        key: assignments.AssignmentKey,
        fence: int,
        max_in_flight_s: float,
        now_s: float,
    ) -> list[str]:
        """Returns why requests to the former owner may still be in flight.

        Args:
            key: The shard or hot key.
            fence: Fence of its move.
            max_in_flight_s: How long a request may be in flight after the
                last moment at which a lost instance could have sent it; 0 if
                the former owner refuses it by its fence.
            now_s: The leader's time.
        """
        reasons = []
        if now_s < self._former_leases_expire_s + max_in_flight_s:
            reasons.append("leases of the former leader")
        for holder_key, holder in self._holders.items():
            if holder.drained.get(key) == fence:
                continue
            if now_s < holder.expires_s:
                reasons.append(f"{holder_key.instance} has not drained")
            elif now_s < holder.expires_s + max_in_flight_s:
                reasons.append(f"{holder_key.instance} is lost")
        return reasons

    def has_no_lost_holder(self, max_in_flight_s: float, now_s: float) -> bool:
        """Returns whether a move that starts now waits for no lost holder.

        Args:
            max_in_flight_s: As for `list_wait_reasons`.
            now_s: The leader's time.
        """
        if now_s < self._former_leases_expire_s + max_in_flight_s:
            return False
        lease_s = times.SERVE_LEASE_S + times.MARGIN_S
        return all(
            now_s - (holder.expires_s - lease_s) <= _RECENT_RENEWAL_S
            or now_s >= holder.expires_s + max_in_flight_s
            for holder in self._holders.values()
        )

    def remove_expired(self, now_s: float) -> None:
        """Removes holders whose lease expired long ago."""
        for key in [
            key
            for key, holder in self._holders.items()
            if now_s > holder.expires_s + _HOLDER_RETENTION_S
        ]:
            if self._holders[key].expires_s != float("-inf"):
                del self._holders[key]
