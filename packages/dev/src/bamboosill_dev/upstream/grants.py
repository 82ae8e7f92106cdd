"""Grants that an upstream holds, with their leases."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

_SEPARATOR = "\x1f"


class Work(NamedTuple):
    """What a request states about the assignment it was sent under."""

    keyspace: str
    shard: int
    fence: int
    customer: str
    key: str


class _Name(NamedTuple):
    keyspace: str
    shard: int
    key: str


class Grants:
    """The grants of one incarnation.

    Attributes:
        version: Version of the grants, as given by the authority.
    """

    def __init__(self, monotonic: Callable[[], float]) -> None:
        self._monotonic = monotonic
        self._fences: dict[_Name, tuple[int, bool]] = {}
        self._revoked: dict[_Name, int] = {}
        self._posted_s: dict[_Name, float] = {}
        self._hold_until = float("-inf")
        self._lapse_until = float("-inf")
        self.version = 0

    def __len__(self) -> int:
        return len(self._fences)

    def apply_heartbeat(self, sent_s: float, reply: dict[str, Any]) -> None:
        """Applies the answer to a heartbeat.

        Args:
            sent_s: When the heartbeat was sent; leases count from then.
            reply: The answer.
        """
        if not reply["unchanged"]:
            # Notices posted after the heartbeat was sent are newer.
            fences = {
                name: held
                for name, held in self._fences.items()
                if self._posted_s.get(name, float("-inf")) >= sent_s
            }
            for grant in reply["grants"]:
                name, fence = _name(grant), int(grant["fence"])
                newest = fences.get(name, (0, False))[0]
                if fence >= max(self._revoked.get(name, 0), newest):
                    fences[name] = (fence, bool(grant.get("lapse")))
            self._fences = fences
            self.version = reply["grants_version"]
        self._hold_until = max(
            self._hold_until, sent_s + reply["lease_ms"] / 1000
        )
        self._lapse_until = max(
            self._lapse_until, sent_s + reply["lapse_lease_ms"] / 1000
        )

    def add(self, document: dict[str, Any]) -> None:
        """Applies a grant posted by the authority.

        It is served under the lease of the last heartbeat, because the age of
        a posted grant is not known.
        """
        for shard in _list_shards(document):
            name = _Name(document["keyspace"], shard, document.get("key") or "")
            fence = int(document["fence"])
            if fence < self._revoked.get(name, 0):
                continue
            if fence >= self._fences.get(name, (0, False))[0]:
                lapse = "lapse" in name.keyspace.split("/")[1:2]
                self._fences[name] = (fence, lapse)
                self._posted_s[name] = self._monotonic()

    def revoke(self, document: dict[str, Any]) -> None:
        """Drops grants with a fence below the one posted."""
        for shard in _list_shards(document):
            name = _Name(document["keyspace"], shard, document.get("key") or "")
            fence = int(document["fence"])
            self._revoked[name] = max(fence, self._revoked.get(name, 0))
            held = self._fences.get(name)
            if held is not None and held[0] < fence:
                del self._fences[name]

    def drop_all(self) -> None:
        """Forgets all grants, for a new incarnation."""
        self._fences.clear()
        self._revoked.clear()
        self._posted_s.clear()
        self._hold_until = self._lapse_until = float("-inf")
        self.version = 0

    def allows(self, work: Work) -> bool:
        """Returns whether a request may run now."""
        hot = _Name(
            work.keyspace,
            work.shard,
            f"{work.customer}{_SEPARATOR}{work.key}",
        )
        if work.fence < self._revoked.get(hot, 0):
            return False
        shard = _Name(work.keyspace, work.shard, "")
        held = self._fences.get(hot) or self._fences.get(shard)
        if held is None or held[0] != work.fence:
            return False
        until = self._lapse_until if held[1] else self._hold_until
        return self._monotonic() < until


def _name(grant: dict[str, Any]) -> _Name:
    return _Name(grant["keyspace"], grant["shard"], grant.get("key") or "")


def _list_shards(document: dict[str, Any]) -> list[int]:
    if "shards" in document:
        return [int(shard) for shard in document["shards"]]
    return [int(document["shard"])]
