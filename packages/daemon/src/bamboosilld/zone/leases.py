"""Serve leases of entry instances, as their grantor sees them."""

from typing import NamedTuple

from bamboosill_common.generated import zone as messages
from bamboosilld.zone import assignments
from bamboosilld.zone import times

# A holder whose last renewal is older missed two; it may be lost.
_RENEWED_S = 3 * times.SERVE_RENEWAL_S
# Longer than any deadline that a contract may allow; a holder's reports are
# forgotten this long after its lease ended.
_FORGET_S = 3600.0


class HolderKey(NamedTuple):
    """One incarnation of an instance."""

    instance: str
    incarnation: int


class Holder:
    """The last report of one instance.

    Attributes:
        until_s: End of its lease plus the margin, on the leader's clock.
        report: What it sent with its last renewal.
        drained: Fences of the changes that it reported drained.
    """

    def __init__(self) -> None:
        self.until_s = float("-inf")
        self.report = messages.RenewLease()
        self.drained: dict[assignments.AssignmentKey, int] = {}


class ServeLeases:
    """Leases that this leader granted since its election."""

    def __init__(self, elected_at_s: float) -> None:
        # A predecessor's leases have ended by then.
        self._unknown_until_s = (
            elected_at_s + times.SERVE_LEASE_S + times.MARGIN_S
        )
        self._holders: dict[HolderKey, Holder] = {}

    def record(self, message: messages.RenewLease) -> Holder:
        """Stores the report of an instance."""
        key = HolderKey(message.instance, message.incarnation)
        holder = self._holders.setdefault(key, Holder())
        if message.same_load:
            known = holder.report
            message = message._replace(
                demand=known.demand,
                upstreams=known.upstreams,
                shard_load=known.shard_load,
            )
        holder.report = message
        holder.drained = {
            assignments.AssignmentKey(
                each.keyspace, each.shard, each.key
            ): each.fence
            for each in message.drained
        }
        return holder

    def grant(self, holder: Holder, now_s: float) -> None:
        """Notes that a lease is granted now."""
        holder.until_s = now_s + times.SERVE_LEASE_S + times.MARGIN_S

    def list_live(self, now_s: float) -> dict[HolderKey, Holder]:
        """Returns the holders of leases that have not ended."""
        return {
            key: holder
            for key, holder in self._holders.items()
            if now_s < holder.until_s
        }

    def find_waits(
        self,
        key: assignments.AssignmentKey,
        fence: int,
        in_flight_s: float,
        now_s: float,
    ) -> list[str]:
        """Returns why requests to the former owner may still be in flight.

        Args:
            key: The shard or hot key.
            fence: Fence of its change.
            in_flight_s: How long a request may be in flight after the last
                moment at which a lost instance could have written it; 0 if
                the former owner refuses it by its fence.
            now_s: The leader's time.
        """
        waits = []
        if now_s < self._unknown_until_s + in_flight_s:
            waits.append("leases of the former leader")
        for holder_key, holder in self._holders.items():
            if holder.drained.get(key) == fence:
                continue
            if now_s < holder.until_s:
                waits.append(f"{holder_key.instance} has not drained")
            elif now_s < holder.until_s + in_flight_s:
                waits.append(f"{holder_key.instance} is lost")
        return waits

    def is_certain(self, in_flight_s: float, now_s: float) -> bool:
        """Returns whether a change that begins now waits for no lost holder.

        Args:
            in_flight_s: As for `find_waits`.
            now_s: The leader's time.
        """
        if now_s < self._unknown_until_s + in_flight_s:
            return False
        lease_s = times.SERVE_LEASE_S + times.MARGIN_S
        return all(
            now_s - (holder.until_s - lease_s) <= _RENEWED_S
            or now_s >= holder.until_s + in_flight_s
            for holder in self._holders.values()
        )

    def forget(self, now_s: float) -> None:
        """Drops reports too old to matter."""
        for key in [
            key
            for key, holder in self._holders.items()
            if now_s > holder.until_s + _FORGET_S
        ]:
            if self._holders[key].until_s != float("-inf"):
                del self._holders[key]
