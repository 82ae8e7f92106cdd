"""Entry instances that take forwarded requests, as the leader names them.

An entry instance that reaches no upstream forwards requests to others. The
leader knows which ones poll it and are not cut off themselves.
"""

from collections.abc import Container
import random
from typing import NamedTuple

from bamboosill_common.generated import fleet as messages

# Instances that are named to one, of its own zone and of all others.
_MAX_SAME_ZONE = 12
_MAX_OTHER_ZONES = 20


class _Entry(NamedTuple):
    zone: str
    is_cut_off: bool


class Forwarders:
    """The entry instances that poll the leader, and which are cut off."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._entries: dict[str, _Entry] = {}
        # Instances that poll elsewhere.
        self._remote: tuple[messages.EntryAddress, ...] = ()
        # Versions of different leaders differ.
        self._version = rng.getrandbits(62) + 1

    def add(self, request: messages.Follow, zone: str) -> None:
        """Adds or updates the instance that polls."""
        entry = _Entry(zone, request.is_cut_off)
        if self._entries.get(request.instance) != entry:
            self._entries[request.instance] = entry
            self._version += 1

    def set_remote(self, items: tuple[messages.EntryAddress, ...]) -> None:
        """Replaces the instances of other zones that poll elsewhere."""
        if items != self._remote:
            self._remote = items
            self._version += 1

    def list_for_relay(
        self, zone: str, known_version: int
    ) -> tuple[tuple[messages.EntryAddress, ...], int]:
        """Returns instances for a relay of a zone, and their version.

        Args:
            zone: Availability zone whose instances poll the relay.
            known_version: Version that the relay knows: the list is empty if
                it is the current one.
        """
        if known_version == self._version:
            return (), 0
        items = [
            messages.EntryAddress(address, entry.zone)
            for address, entry in self._entries.items()
            if entry.zone != zone and not entry.is_cut_off
        ]
        return tuple(self._sample(items, _MAX_OTHER_ZONES)), self._version

    def retain(self, polling: Container[str]) -> None:
        """Removes the instances that no longer poll."""
        gone = [each for each in self._entries if each not in polling]
        for each in gone:
            del self._entries[each]
        self._version += bool(gone)

    def add_to(
        self, reply: messages.FollowReply, request: messages.Follow
    ) -> messages.FollowReply:
        """Adds the instances to a reply, unless the instance knows them."""
        if request.forwarders_version == self._version:
            return reply
        own = self._entries.get(request.instance)
        own_zone = own.zone if own is not None else ""
        same_zone: list[messages.EntryAddress] = []
        other_zones: list[messages.EntryAddress] = list(self._remote)
        for address, entry in self._entries.items():
            if address == request.instance or entry.is_cut_off:
                continue
            item = messages.EntryAddress(address, entry.zone)
            (same_zone if entry.zone == own_zone else other_zones).append(item)
        return reply._replace(
            forwarders=(
                *self._sample(same_zone, _MAX_SAME_ZONE),
                *self._sample(other_zones, _MAX_OTHER_ZONES),
            ),
            forwarders_version=self._version,
        )

    def _sample(
        self, items: list[messages.EntryAddress], count: int
    ) -> list[messages.EntryAddress]:
        return self._rng.sample(items, min(count, len(items)))
