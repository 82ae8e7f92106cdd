"""Detects upstream crashes and the requests that were running at the time.

The zone group quarantines requests that repeatedly crash upstreams. To find
them, each instance reports the fingerprints of its requests that were in flight
at an upstream when it crashed.
"""

import asyncio
import collections

from bamboosill_common import clock as clock_lib
from bamboosill_common import logs
from bamboosill_common import settings
from bamboosill_common.generated import zone as zone_messages
from bamboosilld.entry import interfaces

# An upstream that only closed one connection accepts a new one; after a crash,
# connections are refused once the operating system has closed the listening
# socket, which the second probe waits for.
_PROBE_DELAYS_S = (0.0, 0.03)
_PROBE_TIMEOUT_S = 0.5
_REPORT_DEADLINE_S = 5.0
MAX_SUSPECTED_REQUESTS = 1000
# Same as the lifetime of idempotency records, during which callers resend.
_SUSPECT_TTL_S = 600.0
_MAX_REPORTED_CRASHES = 256

_log = logs.get_logger("entry")


class CrashDetector:
    """Tracks requests in flight and detects crashes of their upstreams."""

    def __init__(
        self, member: interfaces.ZoneMember, clock: clock_lib.Clock
    ) -> None:
        self._member = member
        self._clock = clock
        self._in_flight: dict[tuple[str, int], collections.Counter[bytes]] = {}
        self._suspects: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        self._probes: dict[tuple[str, int], asyncio.Task[bool]] = {}
        self._reported: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )

    def begin_exchange(
        self, upstream: zone_messages.Upstream, fingerprint: bytes
    ) -> None:
        """Registers a request before it is written to an upstream."""
        in_flight = self._in_flight.setdefault(
            (upstream.id, upstream.incarnation), collections.Counter()
        )
        in_flight[fingerprint] += 1

    def end_exchange(
        self, upstream: zone_messages.Upstream, fingerprint: bytes
    ) -> None:
        """Unregisters a request at the end of its exchange."""
        identity = (upstream.id, upstream.incarnation)
        in_flight = self._in_flight[identity]
        in_flight[fingerprint] -= 1
        if in_flight[fingerprint] <= 0:
            del in_flight[fingerprint]
        if not in_flight:
            del self._in_flight[identity]

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Returns whether a request was running when an upstream crashed."""
        suspected_s = self._suspects.get(fingerprint)
        return (
            suspected_s is not None
            and suspected_s + _SUSPECT_TTL_S > self._clock.monotonic()
        )

    async def check_crash(self, upstream: zone_messages.Upstream) -> bool:
        """Returns whether an upstream that broke a connection has crashed.

        Must be called before `end_exchange` of the broken exchange. After a
        crash, the requests in flight at the upstream are reported to the zone
        group and become suspects, which are not retried.
        """
        identity = (upstream.id, upstream.incarnation)
        if identity in self._reported:
            self._add_suspects(tuple(self._in_flight.get(identity, ())))
            return True
        task = self._probes.get(identity)
        if task is None:
            fingerprints = tuple(self._in_flight.get(identity, ()))
            task = asyncio.create_task(self._probe(upstream, fingerprints))
            self._probes[identity] = task
            task.add_done_callback(lambda _: self._probes.pop(identity, None))
        return await asyncio.shield(task)

    async def close(self) -> None:
        """Cancels probes in progress."""
        tasks = tuple(self._probes.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _add_suspects(self, fingerprints: tuple[bytes, ...]) -> None:
        now_s = self._clock.monotonic()
        for fingerprint in fingerprints:
            self._suspects[fingerprint] = now_s
            self._suspects.move_to_end(fingerprint)
        while len(self._suspects) > MAX_SUSPECTED_REQUESTS:
            self._suspects.popitem(last=False)

    async def _probe(
        self,
        upstream: zone_messages.Upstream,
        fingerprints: tuple[bytes, ...],
    ) -> bool:
        for delay_s in _PROBE_DELAYS_S:
            if delay_s:
                await self._clock.sleep(delay_s)
            if await _refuses_connection(upstream.address):
                break
        else:
            return False
        identity = (upstream.id, upstream.incarnation)
        self._reported[identity] = None
        while len(self._reported) > _MAX_REPORTED_CRASHES:
            self._reported.popitem(last=False)
        self._add_suspects(fingerprints)
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


async def _refuses_connection(address: str) -> bool:
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
