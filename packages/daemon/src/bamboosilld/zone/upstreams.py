"""Table of the upstreams of one availability zone; replicated state."""

from collections.abc import Iterator

from bamboosill_common.generated import zone as messages
from bamboosilld.zone import assignments

# Bounds the table; far above the number of upstreams in one zone.
MAX_UPSTREAMS = 4096


class UpstreamTable:
    """Upstreams by id, and former incarnations that may still own shards."""

    def __init__(self) -> None:
        self._current: dict[str, messages.Upstream] = {}
        self._former: dict[assignments.Owner, messages.Upstream] = {}

    def put(self, upstream: messages.Upstream) -> str:
        """Registers an upstream and returns `ok`, `stale` or `full`."""
        current = self._current.get(upstream.id)
        if current is None:
            if len(self._current) >= MAX_UPSTREAMS:
                return "full"
        elif current.incarnation > upstream.incarnation:
            return "stale"
        elif current.incarnation < upstream.incarnation:
            self._former[get_owner(current)] = current
        self._current[upstream.id] = upstream
        return "ok"

    def remove(self, owner: assignments.Owner) -> bool:
        """Removes one incarnation of an upstream."""
        if self._former.pop(owner, None) is not None:
            return True
        current = self._current.get(owner.id)
        if current is None or current.incarnation != owner.incarnation:
            return False
        del self._current[owner.id]
        return True

    def find(self, upstream_id: str) -> messages.Upstream | None:
        """Returns the current incarnation of an upstream."""
        return self._current.get(upstream_id)

    def find_incarnation(
        self, owner: assignments.Owner
    ) -> messages.Upstream | None:
        """Returns an upstream by incarnation, former ones included."""
        current = self._current.get(owner.id)
        if current is not None and current.incarnation == owner.incarnation:
            return current
        return self._former.get(owner)

    def is_current(self, owner: assignments.Owner) -> bool:
        """Returns whether this is the newest known incarnation."""
        current = self._current.get(owner.id)
        return current is not None and current.incarnation == owner.incarnation

    def list_current(self) -> Iterator[messages.Upstream]:
        """Yields the upstreams in the order of their ids."""
        for upstream_id in sorted(self._current):
            yield self._current[upstream_id]

    def list_former(self) -> Iterator[messages.Upstream]:
        """Yields the former incarnations that were not removed yet."""
        for owner in sorted(self._former):
            yield self._former[owner]

    def restore_former(self, upstream: messages.Upstream) -> None:
        """Restores a former incarnation from a snapshot."""
        self._former[get_owner(upstream)] = upstream


def get_owner(upstream: messages.Upstream) -> assignments.Owner:
    """Returns the id and incarnation of an upstream as an owner."""
    return assignments.Owner(upstream.id, upstream.incarnation)
