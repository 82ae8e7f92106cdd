"""Detects that this entry instance reaches no upstream.

One upstream that does not respond may itself have failed. If several do not,
others are probed; if none of them responds either, the instance counts as cut
off until a probe succeeds.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import random

from bamboosill_common import clock as clock_lib
from bamboosill_common import logs
from bamboosill_common import metrics
from bamboosilld import memory_account
from bamboosilld.gateway import load_balancing
from bamboosilld.gateway import upstream_connection as upstream_connection_lib

# Upstreams without a response, or whose connections could not be opened, before
# others are probed.
_MIN_FAILED_UPSTREAMS = 2
# Upstreams that are probed at once, and how many of them are of the own zone if
# there are others: links to other zones may have failed alone.
_PROBED_UPSTREAMS = 4
_PROBED_SAME_ZONE = 2
_PROBE_TIMEOUT_S = 0.7
_PROBE_INTERVAL_S = 0.5
_MAX_PROBE_BYTES = 128 * 1024
# Shortest time between probes while some upstreams respond.
_CHECK_INTERVAL_S = 1.0
# Connections on which a response arrived this recently are kept during a cut.
_ALIVE_S = 1.0

_log = logs.get_logger("reach")

ListUpstreams = Callable[[], Sequence[load_balancing.Upstream]]
FormatProbe = Callable[[load_balancing.Upstream], bytes]


class Reachability:
    """Collects failures of upstreams and probes them.

    Attributes:
        is_cut_off: Whether no connection to any upstream can be used.
    """

    def __init__(
        self,
        list_upstreams: ListUpstreams,
        format_probe: FormatProbe,
        zone: str,
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        self._list_upstreams = list_upstreams
        self._format_probe = format_probe
        self._zone = zone
        self._clock = clock
        self._rng = rng
        self.is_cut_off = False
        # Failures since any upstream responded, and since any connection could
        # be opened: existing connections can live on while none can be opened.
        self._unresponsive: set[str] = set()
        self._unconnectable: set[str] = set()
        self._responded_s = float("-inf")
        self._checked_s = float("-inf")
        self._check: asyncio.Task[None] | None = None

    @property
    def has_live_connections(self) -> bool:
        """Whether upstreams still respond on connections from before."""
        return self._clock.monotonic() - self._responded_s < _ALIVE_S

    def record_response(self) -> None:
        """Records that an upstream responded."""
        self._responded_s = self._clock.monotonic()
        self._unresponsive.clear()

    def record_failure(self, upstream: str, is_connect: bool) -> None:
        """Records an upstream that did not respond, and probes if needed.

        Args:
            upstream: Id.
            is_connect: Whether no connection to it could be opened.
        """
        self._unresponsive.add(upstream)
        if is_connect:
            self._unconnectable.add(upstream)
        failed = max(len(self._unresponsive), len(self._unconnectable))
        now_s = self._clock.monotonic()
        # Upstreams that get no requests cannot fail.
        available = max(1, len(self._list_available()))
        if (
            failed >= min(_MIN_FAILED_UPSTREAMS, available)
            and self._check is None
            and now_s - self._checked_s >= _CHECK_INTERVAL_S
        ):
            self._checked_s = now_s
            self._check = asyncio.create_task(self._run_check())

    async def _run_check(self) -> None:
        """Probes upstreams; if none responds, does so until one does."""
        try:
            while not await self._probe_several():
                self._set_cut_off()
                await self._clock.sleep(_PROBE_INTERVAL_S)
        except Exception:
            _log.exception("Probing failed; requests go to upstreams again.")
        finally:
            self._check = None
        self._end_cut()

    def _set_cut_off(self) -> None:
        if self.is_cut_off:
            return
        self.is_cut_off = True
        upstreams = self._list_upstreams()
        _log.warning(
            "No upstream reached; forwarding requests. Upstreams: %d.",
            len(upstreams),
            extra={
                "unresponsive": len(self._unresponsive),
                "unconnectable": len(self._unconnectable),
                "live_connections": self.has_live_connections,
            },
        )
        metrics.gateway_cut_off.set(1)
        if not self.has_live_connections:
            for upstream in upstreams:
                upstream.pool.close_idle()

    def _end_cut(self) -> None:
        self._unresponsive.clear()
        self._unconnectable.clear()
        if not self.is_cut_off:
            return
        self.is_cut_off = False
        metrics.gateway_cut_off.set(0)
        _log.warning("Upstreams reached again.")
        for upstream in self._list_upstreams():
            upstream.record_success()

    async def _probe_several(self) -> bool:
        """Returns whether any of some upstreams responds to a probe."""
        probes = {
            asyncio.create_task(self._probe(each))
            for each in self._choose_probed()
        }
        if not probes:
            return True
        try:
            for probe in asyncio.as_completed(probes):
                if await probe:
                    return True
            return False
        finally:
            for each in probes:
                each.cancel()

    def _list_available(self) -> list[load_balancing.Upstream]:
        return [
            each
            for each in self._list_upstreams()
            if each.availability.find_obstacle() is None
        ]

    def _choose_probed(self) -> list[load_balancing.Upstream]:
        upstreams = self._list_available()
        # Probes need no permit, so they spare upstreams with a rate limit.
        upstreams = [
            each for each in upstreams if each.rate_limit.rate_per_s is None
        ] or upstreams
        self._rng.shuffle(upstreams)
        same_zone = [e for e in upstreams if e.item.zone == self._zone]
        first = same_zone[:_PROBED_SAME_ZONE]
        others = [e for e in upstreams if e.item.zone != self._zone]
        last = same_zone[_PROBED_SAME_ZONE:]
        return [*first, *others, *last][:_PROBED_UPSTREAMS]

    async def _probe(self, upstream: load_balancing.Upstream) -> bool:
        """Returns whether an upstream responds on a new connection."""
        connection: upstream_connection_lib.Connection | None = None
        started_s = self._clock.monotonic()
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                connection = await upstream.pool.open()
                if upstream.availability.find_obstacle() is not None:
                    return False
                await connection.exchange(
                    self._format_probe(upstream),
                    b"",
                    hold=memory_account.MemoryAccount(_MAX_PROBE_BYTES).open(),
                )
                return True
        except upstream_connection_lib.ExchangeError as error:
            return error.begun
        except TimeoutError:
            # A busy upstream responds late: responses of others count then.
            return connection is not None and self._responded_s > started_s
        finally:
            if connection is not None:
                upstream.pool.release(connection)
