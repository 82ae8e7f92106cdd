"""Quarantine of requests that crash the upstreams that run them.

Part of the replicated state of a zone group and of a control group. Entry
instances report the requests that were in flight at a crashed upstream. A
request that was in flight at several crashes is quarantined for a time, so that
it causes no more of them. An answer clears a request that is only suspected.

Which requests are suspected or quarantined follows from the recorded crashes
alone, so that a restored snapshot and the applied commands give the same table.
"""

import collections
from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Sequence
from typing import NamedTuple

# Crashes that quarantine a request if it was the only one in flight.
SOLE_CRASH_LIMIT = 2
# Crashes that quarantine a request, whatever else was in flight.
SHARED_CRASH_LIMIT = 3
QUARANTINE_MS = 600_000
MAX_QUARANTINED = 1_000
MAX_CRASHES = 1_000
# Limit of requests stored for one crash.
MAX_FINGERPRINTS_PER_CRASH = 64
# Stands for requests that were dropped from a crash. The others were still not
# the only one in flight.
_DROPPED = b""

CrashKey = tuple[str, int]
"""Upstream id and incarnation."""


class Crash(NamedTuple):
    """A crash and the fingerprints of the requests that were in flight."""

    at_ms: int
    fingerprints: tuple[bytes, ...]


class Explanation(NamedTuple):
    """Reason of a quarantine.

    Attributes:
        until_ms: Wall time at which it ends.
        crashes: Upstream, incarnation and wall time of each crash.
    """

    until_ms: int
    crashes: tuple[tuple[str, int, int], ...]


class QuarantineTable:
    """Recent crashes, and the requests quarantined because of them."""

    def __init__(self) -> None:
        self._crashes: collections.OrderedDict[CrashKey, Crash] = (
            collections.OrderedDict()
        )
        self._by_fingerprint: dict[bytes, dict[CrashKey, None]] = {}
        self._until_ms: collections.OrderedDict[bytes, int] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._until_ms)

    def report(
        self, key: CrashKey, fingerprints: Sequence[bytes], now_ms: int
    ) -> tuple[bytes, ...]:
        """Records a crash and returns its quarantined fingerprints.

        Several entry instances may report the same crash, each with the
        requests that it had in flight there.

        Args:
            key: The crashed upstream.
            fingerprints: Requests that may have caused it.
            now_ms: Wall time of the report.
        """
        self._expire(now_ms)
        current = self._crashes.pop(key, Crash(now_ms, ()))
        merged = dict.fromkeys((*current.fingerprints, *fingerprints))
        kept = tuple(merged)[:MAX_FINGERPRINTS_PER_CRASH]
        self.restore(key, Crash(current.at_ms, kept))
        return tuple(each for each in kept if each in self._until_ms)

    def is_suspected(self, fingerprint: bytes) -> bool:
        """Returns whether a request is suspected, but not quarantined."""
        return (
            fingerprint in self._by_fingerprint
            and fingerprint not in self._until_ms
        )

    def clear(self, fingerprint: bytes) -> bool:
        """Clears a request that an upstream has answered.

        Returns:
            Whether it was suspected. A quarantined request is not cleared.
        """
        if not self.is_suspected(fingerprint):
            return False
        self._drop_everywhere(fingerprint)
        return True

    def find(self, fingerprint: bytes, now_ms: int) -> Explanation | None:
        """Returns why a request is quarantined at a wall time, or None."""
        until_ms = self._until_ms.get(fingerprint)
        if until_ms is None or now_ms >= until_ms:
            return None
        crashes = tuple(
            (*key, self._crashes[key].at_ms)
            for key in self._by_fingerprint.get(fingerprint, ())
        )
        return Explanation(until_ms, crashes)

    def list_crashes(self) -> Iterator[tuple[CrashKey, Crash]]:
        """Yields all crashes, oldest first."""
        yield from self._crashes.items()

    def restore(self, key: CrashKey, crash: Crash) -> None:
        """Restores a crash that `list_crashes` has returned."""
        self._crashes[key] = crash
        for each in crash.fingerprints:
            if each != _DROPPED:
                keys = self._by_fingerprint.setdefault(each, {})
                # In the order of `_crashes`, as after a restored snapshot.
                keys.pop(key, None)
                keys[key] = None
        while len(self._crashes) > MAX_CRASHES:
            self._remove(next(iter(self._crashes)))
        for each in crash.fingerprints:
            self._update_quarantine(each)
            if each in self._until_ms:
                self._until_ms.move_to_end(each)
        while len(self._until_ms) > MAX_QUARANTINED:
            self._drop_everywhere(next(iter(self._until_ms)))

    def _update_quarantine(self, fingerprint: bytes) -> None:
        """Derives from the known crashes whether a request is quarantined."""
        crashes = [
            self._crashes[key]
            for key in self._by_fingerprint.get(fingerprint, ())
        ]
        sole_crashes = sum(len(crash.fingerprints) == 1 for crash in crashes)
        if (
            sole_crashes < SOLE_CRASH_LIMIT
            and len(crashes) < SHARED_CRASH_LIMIT
        ):
            self._until_ms.pop(fingerprint, None)
            return
        last_ms = max(crash.at_ms for crash in crashes)
        self._until_ms[fingerprint] = last_ms + QUARANTINE_MS

    def _expire(self, now_ms: int) -> None:
        """Drops old crashes from the counts of requests.

        Those that have quarantined a request count until its quarantine ends.
        """
        limit_ms = now_ms - QUARANTINE_MS
        for key, crash in list(self._crashes.items()):
            if crash.at_ms > limit_ms:
                continue
            dropped = {
                each
                for each in crash.fingerprints
                if self._until_ms.get(each, 0) <= now_ms
            }
            if len(dropped) == len(crash.fingerprints):
                self._remove(key)
            else:
                self._drop(key, dropped)

    def _remove(self, key: CrashKey) -> None:
        self._drop(key, self._crashes[key].fingerprints)
        del self._crashes[key]

    def _drop_everywhere(self, fingerprint: bytes) -> None:
        for key in tuple(self._by_fingerprint[fingerprint]):
            self._drop(key, (fingerprint,))

    def _drop(self, key: CrashKey, dropped: Collection[bytes]) -> None:
        """Drops requests from a crash."""
        crash = self._crashes[key]
        fingerprints = dict.fromkeys(
            _DROPPED if each in dropped else each for each in crash.fingerprints
        )
        self._crashes[key] = crash._replace(fingerprints=tuple(fingerprints))
        for each in dropped:
            if each == _DROPPED:
                continue
            keys = self._by_fingerprint[each]
            del keys[key]
            if not keys:
                del self._by_fingerprint[each]
            self._update_quarantine(each)
