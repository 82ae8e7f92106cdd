"""Detects upstream crashes and the requests that were running at the time.

Requests that repeatedly crash upstreams are quarantined on all instances. To
find them, each instance reports the fingerprints of its requests that were in
flight at an upstream when it crashed, unless the same request has recently been
answered.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
import itertools
from typing import NamedTuple

from bamboosill_common import addresses
from bamboosill_common import clock as clock_lib
from bamboosill_common import logs
from bamboosilld import connector

# An upstream that only closed one connection accepts a new one; after a crash,
# connections are refused once the operating system has closed the listening
# socket, which the second probe waits for.
_SECOND_PROBE_DELAY_S = 0.03
_PROBE_TIMEOUT_S = 0.5
MAX_SUSPECTED_REQUESTS = 1000
# Same as the lifetime of idempotency records, during which callers resend.
_SUSPECT_TTL_S = 600.0
# A request that an upstream has answered this recently did not cause a crash.
_SOUND_TTL_S = 60.0
MAX_SOUND_REQUESTS = 4096
# An upstream may give up a request that it has not started, with an error such
# as 504 at its deadline.
_FIRST_ERROR_STATUS = 500
_MAX_REPORTED_CRASHES = 256

_log = logs.get_logger("crash")


class Target(NamedTuple):
    """One incarnation of an upstream."""

    upstream: str
    incarnation: int
    address: str


class Crash(NamedTuple):
    """A crash, and the fingerprints of the requests that may have caused it."""

    target: Target
    fingerprints: tuple[bytes, ...]


class CrashDetector:
    """Tracks requests in flight and detects crashes of their upstreams."""

    def __init__(
        self,
        report: Callable[[Crash], Awaitable[None]],
        clock: clock_lib.Clock,
        settle_s: float = 0.0,
        on_sound: Callable[[bytes], None] = lambda fingerprint: None,
    ) -> None:
        """Creates a detector.

        Args:
            report: Reports a crash to the instances that count them.
            clock: Source of time.
            settle_s: Time after a broken connection before a probe. An exchange
                that continues for so long shows that the upstream did not
                crash. With 0, each broken connection is followed by a probe.
            on_sound: Called with each request that an answer shows to be
                harmless.
        """
        self._report = report
        self._clock = clock
        self._on_sound = on_sound
        self._settle_s = settle_s
        self._numbers = itertools.count()
        # Fingerprints by number of the exchange.
        self._in_flight: dict[Target, dict[int, bytes]] = {}
        self._suspects: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        self._sound: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        self._probes: dict[Target, asyncio.Task[bool]] = {}
        self._reported: collections.OrderedDict[Target, None] = (
            collections.OrderedDict()
        )

    def begin_exchange(self, target: Target, fingerprint: bytes) -> int:
        """Registers a request before it is written; returns its number."""
        number = next(self._numbers)
        self._in_flight.setdefault(target, {})[number] = fingerprint
        return number

    def end_exchange(self, target: Target, number: int) -> None:
        """Unregisters a request at the end of its exchange."""
        in_flight = self._in_flight[target]
        del in_flight[number]
        if not in_flight:
            del self._in_flight[target]

    def record_answer(self, fingerprint: bytes, status: int) -> None:
        """Records that an upstream has answered a request.

        Errors of upstreams do not show that the request is harmless.

        Args:
            fingerprint: The request.
            status: Status of the answer, which is not a rejection.
        """
        if status >= _FIRST_ERROR_STATUS:
            return
        self._suspects.pop(fingerprint, None)
        _put(
            self._sound,
            fingerprint,
            self._clock.monotonic(),
            MAX_SOUND_REQUESTS,
        )
        self._on_sound(fingerprint)

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Returns whether a request was running when an upstream crashed."""
        suspected_s = self._suspects.get(fingerprint)
        return (
            suspected_s is not None
            and suspected_s + _SUSPECT_TTL_S > self._clock.monotonic()
        )

    async def check_crash(self, target: Target) -> bool:
        """Returns whether an upstream that broke a connection has crashed.

        Must be called before `end_exchange` of the broken exchange. After a
        crash, the requests in flight at the upstream are reported and become
        suspects, which are not retried.
        """
        if target in self._reported:
            self._add_suspects(self._list_unproven(self._list_running(target)))
            return True
        return await asyncio.shield(self.begin_check(target))

    def begin_check(self, target: Target) -> asyncio.Task[bool]:
        """Starts `check_crash` without waiting for its result."""
        task = self._probes.get(target)
        if task is None:
            task = asyncio.create_task(
                self._check(target, dict(self._in_flight.get(target, {})))
            )
            self._probes[target] = task
            task.add_done_callback(lambda _: self._probes.pop(target, None))
        return task

    async def close(self) -> None:
        """Cancels probes in progress."""
        tasks = tuple(self._probes.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _list_running(self, target: Target) -> Collection[bytes]:
        return self._in_flight.get(target, {}).values()

    def _list_unproven(
        self, fingerprints: Collection[bytes]
    ) -> tuple[bytes, ...]:
        """Returns the different requests that were not answered recently."""
        oldest_s = self._clock.monotonic() - _SOUND_TTL_S
        return tuple(
            each
            for each in dict.fromkeys(fingerprints)
            if self._sound.get(each, float("-inf")) < oldest_s
        )

    def _add_suspects(self, fingerprints: tuple[bytes, ...]) -> None:
        now_s = self._clock.monotonic()
        for fingerprint in fingerprints:
            _put(self._suspects, fingerprint, now_s, MAX_SUSPECTED_REQUESTS)

    async def _check(self, target: Target, running: dict[int, bytes]) -> bool:
        try:
            if not await self._has_crashed(target, running):
                return False
            self._reported[target] = None
            while len(self._reported) > _MAX_REPORTED_CRASHES:
                self._reported.popitem(last=False)
            fingerprints = self._list_unproven(running.values())
            self._add_suspects(fingerprints)
            _log.warning(
                "Upstream %s crashed with %d requests in flight.",
                target.upstream,
                len(running),
                extra={"unproven": len(fingerprints)},
            )
            await self._report(Crash(target, fingerprints))
        except Exception:
            _log.exception("Crash check failed.")
        return target in self._reported

    async def _has_crashed(
        self, target: Target, running: dict[int, bytes]
    ) -> bool:
        if self._settle_s:
            await self._clock.sleep(self._settle_s)
            if not running.keys().isdisjoint(self._in_flight.get(target, ())):
                return False
        if await _refuses_connection(target.address):
            return True
        await self._clock.sleep(_SECOND_PROBE_DELAY_S)
        return await _refuses_connection(target.address)


def _put(
    times_s: collections.OrderedDict[bytes, float],
    fingerprint: bytes,
    now_s: float,
    maximum: int,
) -> None:
    times_s[fingerprint] = now_s
    times_s.move_to_end(fingerprint)
    while len(times_s) > maximum:
        times_s.popitem(last=False)


async def _refuses_connection(address: str) -> bool:
    host, port = addresses.split_connectable(address)
    try:
        protocol = await connector.connect(
            _ProbeProtocol, host, port, _PROBE_TIMEOUT_S
        )
    except connector.ConnectError as error:
        return error.code == "refused"
    protocol.close()
    return False


class _ProbeProtocol(asyncio.Protocol):
    """A connection that is closed once it is open."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def close(self) -> None:
        self._transport.close()
