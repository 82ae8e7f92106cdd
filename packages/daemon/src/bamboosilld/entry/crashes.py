"""Finds requests that were running when an upstream crashed."""

import asyncio
import collections

from bamboosill_common import clock as clock_lib
from bamboosill_common import logs
from bamboosill_common import settings
from bamboosill_common.generated import zone as zone_messages
from bamboosilld.entry import interfaces

# An upstream that closed one connection accepts another at once; one that
# crashed refuses it, at the latest when the system has closed its socket.
_PROBE_DELAYS_S = (0.0, 0.03)
_PROBE_TIMEOUT_S = 0.5
_REPORT_DEADLINE_S = 5.0
MAX_SUSPECTS = 1000
# As long as the records of requests, within which callers resend.
_SUSPECT_S = 600.0
_MAX_CRASHES = 256

_log = logs.get_logger("entry")


class Crashes:
    """Requests in flight by upstream, and those suspected of a crash."""

    def __init__(
        self, member: interfaces.Member, clock: clock_lib.Clock
    ) -> None:
        self._member = member
        self._clock = clock
        self._running: dict[tuple[str, int], collections.Counter[bytes]] = {}
        self._suspects: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        self._inquiries: dict[tuple[str, int], asyncio.Task[bool]] = {}
        self._reported: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )

    def begin(
        self, upstream: zone_messages.Upstream, fingerprint: bytes
    ) -> None:
        """Notes that a request is written to an upstream."""
        running = self._running.setdefault(
            (upstream.id, upstream.incarnation), collections.Counter()
        )
        running[fingerprint] += 1

    def end(self, upstream: zone_messages.Upstream, fingerprint: bytes) -> None:
        """Notes that the exchange is over."""
        identity = (upstream.id, upstream.incarnation)
        running = self._running[identity]
        running[fingerprint] -= 1
        if running[fingerprint] <= 0:
            del running[fingerprint]
        if not running:
            del self._running[identity]

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Returns whether a request ran at an upstream when it crashed."""
        noted_s = self._suspects.get(fingerprint)
        return (
            noted_s is not None
            and noted_s + _SUSPECT_S > self._clock.monotonic()
        )

    async def inquire(self, upstream: zone_messages.Upstream) -> bool:
        """Returns whether an upstream that broke a connection has crashed.

        Called while the broken exchange still counts as running. If it has
        crashed, the requests that ran there are reported and suspected.
        """
        identity = (upstream.id, upstream.incarnation)
        if identity in self._reported:
            self._suspect(tuple(self._running.get(identity, ())))
            return True
        task = self._inquiries.get(identity)
        if task is None:
            fingerprints = tuple(self._running.get(identity, ()))
            task = asyncio.create_task(self._probe(upstream, fingerprints))
            self._inquiries[identity] = task
            task.add_done_callback(
                lambda _: self._inquiries.pop(identity, None)
            )
        return await asyncio.shield(task)

    async def close(self) -> None:
        """Ends probes in progress."""
        tasks = tuple(self._inquiries.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _suspect(self, fingerprints: tuple[bytes, ...]) -> None:
        now_s = self._clock.monotonic()
        for fingerprint in fingerprints:
            self._suspects[fingerprint] = now_s
            self._suspects.move_to_end(fingerprint)
        while len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)

    async def _probe(
        self,
        upstream: zone_messages.Upstream,
        fingerprints: tuple[bytes, ...],
    ) -> bool:
        for delay_s in _PROBE_DELAYS_S:
            if delay_s:
                await self._clock.sleep(delay_s)
            if await _is_refused(upstream.address):
                break
        else:
            return False
        identity = (upstream.id, upstream.incarnation)
        self._reported[identity] = None
        while len(self._reported) > _MAX_CRASHES:
            self._reported.popitem(last=False)
        self._suspect(fingerprints)
        _log.warning(
            "Upstream %s crashed with %d requests in flight.",
            upstream.id,
            len(fingerprints),
        )
        report = zone_messages.ReportCrash(
            upstream=upstream.id,
            incarnation=upstream.incarnation,
            fingerprints=fingerprints,
            now_ms=self._clock.wall_ms(),
        )
        await self._member.propose(report, _REPORT_DEADLINE_S)
        return True


async def _is_refused(address: str) -> bool:
    host, port = settings.split_address(address)
    try:
        async with asyncio.timeout(_PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False
