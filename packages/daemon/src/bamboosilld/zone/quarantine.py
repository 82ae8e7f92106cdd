"""Recognises requests that crash the upstreams that run them."""

import collections
from collections.abc import Iterator
from typing import NamedTuple

from bamboosill_common.generated import zone as messages

SOLO_LIMIT = 2
SHARED_LIMIT = 3
DURATION_MS = 600_000
MAX_ENTRIES = 1_000
MAX_CRASHES = 1_000
# Requests in flight at one upstream that are remembered for one crash.
MAX_FINGERPRINTS_PER_CRASH = 64

CrashKey = tuple[str, int]
"""Upstream id and incarnation."""


class Crash(NamedTuple):
    """One crash and the requests in flight there."""

    at_ms: int
    fingerprints: tuple[bytes, ...]


class Explanation(NamedTuple):
    """Why a request is quarantined.

    Attributes:
        until_ms: Wall time at which it is released.
        crashes: Upstream, incarnation and wall time of each crash.
    """

    until_ms: int
    crashes: tuple[tuple[str, int, int], ...]


class QuarantineTable:
    """Crashes by upstream incarnation, and requests quarantined for them."""

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

    def report(self, command: messages.ReportCrash) -> tuple[bytes, ...]:
        """Counts a crash and returns the fingerprints now quarantined.

        Several entry instances may report the same crash, each with the
        requests that it had in flight there.
        """
        self._expire(command.now_ms)
        key = (command.upstream, command.incarnation)
        present = self._crashes.pop(key, Crash(command.now_ms, ()))
        known = dict.fromkeys((*present.fingerprints, *command.fingerprints))
        fingerprints = tuple(known)[:MAX_FINGERPRINTS_PER_CRASH]
        self._put(key, Crash(present.at_ms, fingerprints))
        for each in fingerprints:
            self._evaluate(each)
        return tuple(f for f in fingerprints if f in self._until_ms)

    def find(self, fingerprint: bytes, now_ms: int) -> Explanation | None:
        """Returns why a request is quarantined at the given wall time."""
        until_ms = self._until_ms.get(fingerprint)
        if until_ms is None or now_ms >= until_ms:
            return None
        crashes = tuple(
            (*key, self._crashes[key].at_ms)
            for key in self._by_fingerprint.get(fingerprint, ())
        )
        return Explanation(until_ms, crashes)

    def list_items(self) -> Iterator[messages.CrashItem]:
        """Yields the snapshot form of all crashes."""
        for (upstream, incarnation), crash in self._crashes.items():
            yield messages.CrashItem(upstream, incarnation, *crash)

    def restore_item(self, item: messages.CrashItem) -> None:
        """Stores a crash of a snapshot."""
        key = (item.upstream, item.incarnation)
        self._put(key, Crash(item.at_ms, item.fingerprints))
        for each in item.fingerprints:
            self._evaluate(each)

    def _put(self, key: CrashKey, crash: Crash) -> None:
        self._crashes[key] = crash
        for each in crash.fingerprints:
            self._by_fingerprint.setdefault(each, {})[key] = None
        while len(self._crashes) > MAX_CRASHES:
            self._forget(next(iter(self._crashes)))

    def _evaluate(self, fingerprint: bytes) -> None:
        """Derives the state of a request from all crashes known of it."""
        crashes = [
            self._crashes[key]
            for key in self._by_fingerprint.get(fingerprint, ())
        ]
        solo = sum(len(crash.fingerprints) == 1 for crash in crashes)
        self._until_ms.pop(fingerprint, None)
        if solo < SOLO_LIMIT and len(crashes) < SHARED_LIMIT:
            return
        last_ms = max(crash.at_ms for crash in crashes)
        self._until_ms[fingerprint] = last_ms + DURATION_MS
        while len(self._until_ms) > MAX_ENTRIES:
            self._until_ms.popitem(last=False)

    def _expire(self, now_ms: int) -> None:
        limit_ms = now_ms - DURATION_MS
        for key in [
            key
            for key, crash in self._crashes.items()
            if crash.at_ms <= limit_ms
        ]:
            self._forget(key)

    def _forget(self, key: CrashKey) -> None:
        crash = self._crashes.pop(key)
        for each in crash.fingerprints:
            keys = self._by_fingerprint[each]
            keys.pop(key, None)
            if not keys:
                del self._by_fingerprint[each]
            if len(keys) < SOLO_LIMIT:
                self._until_ms.pop(each, None)
