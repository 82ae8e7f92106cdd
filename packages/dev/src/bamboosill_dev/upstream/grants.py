"""Grants of shards and keys that an upstream holds, with their leases.

A grant names a fence, and a request may run only under the fence of the grant
for its key or shard, and while the lease of the last heartbeat is valid.
"""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

_SEPARATOR = "\x1f"


class RequestTarget(NamedTuple):
    """Key of a request, and the assignment that it was sent under."""

    keyspace: str
    shard: int
    fence: int
    customer: str
    key: str


class _GrantKey(NamedTuple):
    keyspace: str
    shard: int
    key: str


class Grants:
    """The grants of one incarnation of an upstream.

    Attributes:
        version: Version of the grants, as stated by the authority.
    """

    def __init__(self, monotonic: Callable[[], float]) -> None:
        self._monotonic = monotonic
        self._held_grants: dict[_GrantKey, tuple[int, bool]] = {}
        self._revoked: dict[_GrantKey, int] = {}
        self._posted_s: dict[_GrantKey, float] = {}
        self._hold_lease_end_s = float("-inf")
        self._lapse_lease_end_s = float("-inf")
        self.version = 0

    def __len__(self) -> int:
        return len(self._held_grants)

    def apply_heartbeat(self, sent_s: float, reply: dict[str, Any]) -> None:
        """Applies the reply to a heartbeat.

        Args:
            sent_s: Time at which the heartbeat was sent, from which the
                leases count.
            reply: The reply.
        """
        if not reply["unchanged"]:
            # Keeps grants that were posted after the heartbeat was sent: the
            # reply may be older than these.
            held_grants = {
                grant_key: held
                for grant_key, held in self._held_grants.items()
                if self._posted_s.get(grant_key, float("-inf")) >= sent_s
            }
            for grant in reply["grants"]:
                grant_key, fence = _parse_grant_key(grant), int(grant["fence"])
                held_fence = held_grants.get(grant_key, (0, False))[0]
                if fence >= max(self._revoked.get(grant_key, 0), held_fence):
                    held_grants[grant_key] = (fence, bool(grant.get("lapse")))
            self._held_grants = held_grants
            self.version = reply["grants_version"]
        self._hold_lease_end_s = max(
            self._hold_lease_end_s, sent_s + reply["lease_ms"] / 1000
        )
        self._lapse_lease_end_s = max(
            self._lapse_lease_end_s, sent_s + reply["lapse_lease_ms"] / 1000
        )

    def add(self, document: dict[str, Any]) -> None:
        """Applies a grant that the authority posted.

        It is valid under the lease of the last heartbeat, because the age of
        a posted grant is not known.
        """
        for shard in _list_shards(document):
            grant_key = _GrantKey(
                document["keyspace"], shard, document.get("key") or ""
            )
            fence = int(document["fence"])
            if fence < self._revoked.get(grant_key, 0):
                continue
            if fence >= self._held_grants.get(grant_key, (0, False))[0]:
                lapse = "lapse" in grant_key.keyspace.split("/")[1:2]
                self._held_grants[grant_key] = (fence, lapse)
                self._posted_s[grant_key] = self._monotonic()

    def revoke(self, document: dict[str, Any]) -> None:
        """Drops grants whose fence is below that of a posted revocation."""
        for shard in _list_shards(document):
            grant_key = _GrantKey(
                document["keyspace"], shard, document.get("key") or ""
            )
            fence = int(document["fence"])
            self._revoked[grant_key] = max(
                fence, self._revoked.get(grant_key, 0)
            )
            held = self._held_grants.get(grant_key)
            if held is not None and held[0] < fence:
                del self._held_grants[grant_key]

    def drop_all(self) -> None:
        """Drops all grants and leases, for a new incarnation."""
        self._held_grants.clear()
        self._revoked.clear()
        self._posted_s.clear()
        self._hold_lease_end_s = self._lapse_lease_end_s = float("-inf")
        self.version = 0

    def allows(self, target: RequestTarget) -> bool:
        """Returns whether a request may run now.

        A grant for the key itself takes precedence over that of its shard.
        """
        hot_key = _GrantKey(
            target.keyspace,
            target.shard,
            f"{target.customer}{_SEPARATOR}{target.key}",
        )
        if target.fence < self._revoked.get(hot_key, 0):
            return False
        shard = _GrantKey(target.keyspace, target.shard, "")
        held = self._held_grants.get(hot_key) or self._held_grants.get(shard)
        if held is None or held[0] != target.fence:
            return False
        lease_end_s = (
            self._lapse_lease_end_s if held[1] else self._hold_lease_end_s
        )
        return self._monotonic() < lease_end_s


def _parse_grant_key(grant: dict[str, Any]) -> _GrantKey:
    return _GrantKey(grant["keyspace"], grant["shard"], grant.get("key") or "")


def _list_shards(document: dict[str, Any]) -> list[int]:
    if "shards" in document:
        return [int(shard) for shard in document["shards"]]
    return [int(document["shard"])]
