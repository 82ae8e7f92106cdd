"""What entry instances have told the leader of keys and upstreams."""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from bamboosill_common import clock as clock_lib
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import keyplan
from bamboosilld.fleet import suspicion

# A load that was seen longer ago counts as none.
_LOAD_LIFE_S = 3.0
# Weight of the newest load in the moving average of an upstream.
_LOAD_GAIN = 0.15
# Weight of the newest reported pace in the moving average of an upstream.
_PACE_GAIN = 0.3
# A fast upstream counts as at most this much faster than the mean.
_MIN_PACE = 0.4


class _Load(NamedTuple):
    """The latest load of an upstream that an entry instance saw.

    Attributes:
        requests: Requests running and waiting.
        mean: Moving average of them.
        at_s: When it was reported.
    """

    requests: int
    mean: float
    at_s: float


class Observations:
    """Recent work of keys, and paces and loads of upstreams.

    Attributes:
        works: Work of keys, by service.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self.works: dict[str, keyplan.Works] = collections.defaultdict(
            keyplan.Works
        )
        self._paces: dict[str, float] = {}
        self._loads: dict[str, _Load] = {}
        self._suspicions = suspicion.Suspicions(clock)

    def add(self, request: messages.Follow) -> None:
        """Counts what an entry instance has seen since its last question."""
        for work in request.works:
            self.works[work.service].add(work.block, float(work.work_ms))
        for each in request.paces:
            pace = self._paces.get(each.upstream, each.pace)
            self._paces[each.upstream] = pace + _PACE_GAIN * (each.pace - pace)
        for load in request.loads:
            if load.is_silent:
                self._suspicions.add(load.upstream, request.instance)
            else:
                self._suspicions.clear(load.upstream)
                self._add_load(load.upstream, load.requests)

    def get_pace(self, upstream: str) -> float:
        """Returns how slow an upstream is; 1 is the mean of its service."""
        return max(_MIN_PACE, self._paces.get(upstream, 1.0))

    def get_mean_load(self, upstream: str) -> float:
        """Returns the recent requests of an upstream, 0 if unknown."""
        load = self._get_load(upstream)
        return load.mean if load is not None else 0.0

    def encode_loads(self, upstreams: Iterable[tuple[str, bool]]) -> bytes:
        """Returns the latest loads of upstreams, a byte for each.

        Args:
            upstreams: Ids, and whether their heartbeats are late.
        """
        loads = bytearray()
        for upstream, is_late in upstreams:
            load = self._get_load(upstream)
            requests = load.requests if load is not None else 0
            if self._suspicions.is_suspect(upstream, is_late):
                loads.append(suspicion.SUSPECT_LOAD)
            else:
                loads.append(min(requests, suspicion.SUSPECT_LOAD - 1))
        return bytes(loads)

    def _add_load(self, upstream: str, requests: int) -> None:
        before = self._get_load(upstream)
        mean = float(requests)
        if before is not None:
            mean = before.mean + _LOAD_GAIN * (requests - before.mean)
        now_s = self._clock.monotonic()
        self._loads[upstream] = _Load(requests, mean, now_s)

    def _get_load(self, upstream: str) -> _Load | None:
        load = self._loads.get(upstream)
        now_s = self._clock.monotonic()
        if load is None or now_s - load.at_s >= _LOAD_LIFE_S:
            return None
        return load
