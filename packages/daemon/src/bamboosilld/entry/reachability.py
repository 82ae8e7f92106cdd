"""Which entry instances of other zones answer.

A zone that is cut off silently would otherwise be noticed only by the
deadlines of the requests that were written to it, and their callers would be
told that the outcome is unknown.
"""

import asyncio
from collections.abc import Sequence
import ssl

from returns.result import Failure

from bamboosill_common import clock as clock_lib
from bamboosill_common import logs
from bamboosilld.entry import connection as connection_lib
from bamboosilld.entry import pools as pools_lib

# Bounds the probes; further addresses of a zone are not used.
MAX_ADDRESSES = 8
# Above the longest round trip between zones, with room for a busy instance.
_PROBE_TIMEOUT_S = 0.3
# One probe may be lost to a pause of either process.
_SUSPECT_AFTER = 2
_SUSPECT_INTERVAL_S = 0.25
_WATCH_INTERVAL_S = 0.5
# Time without requests after which an address is probed no more.
_WATCH_S = 10.0
# The same for suspects, so that rare requests are refused, too.
_WATCH_SUSPECT_S = 60.0


_log = logs.get_logger("entry")


class _State:
    """What is known of one address.

    Attributes:
        heard_s: When bytes last came.
        wanted_s: When a request last wanted the address.
        failures: Probes without an answer since then.
        wake: Set to probe at once.
        task: Its probes.
    """

    def __init__(self, wanted_s: float) -> None:
        self.heard_s = float("-inf")
        self.wanted_s = wanted_s
        self.failures = 0
        self.wake = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    @property
    def suspect(self) -> bool:
        """Whether the address is not to be used."""
        return self.failures >= _SUSPECT_AFTER


class Reachability:
    """Watches the addresses that requests are forwarded to."""

    def __init__(
        self,
        clock: clock_lib.Clock,
        tls: ssl.SSLContext | None,
        local_host: str,
    ) -> None:
        self._clock = clock
        # Probes must not wait for the connections that requests hold.
        self._pools = pools_lib.Pools(tls, local_host)
        self._states: dict[str, _State] = {}

    def select(self, addresses: Sequence[str]) -> list[str]:
        """Returns the addresses that may be used now, and watches all."""
        now_s = self._clock.monotonic()
        usable = []
        for address in addresses[:MAX_ADDRESSES]:
            state = self._states.get(address)
            if state is None:
                state = self._states[address] = _State(now_s)
                state.task = asyncio.create_task(self._watch(address, state))
            state.wanted_s = now_s
            if not state.suspect:
                usable.append(address)
        return usable

    def note_heard(self, address: str) -> None:
        """Notes that bytes came from an address."""
        state = self._states.get(address)
        if state is not None:
            state.heard_s = self._clock.monotonic()
            self._set_failures(address, state, 0)

    def note_silent(self, address: str) -> None:
        """Notes that an attempt saw no byte, which a probe is to explain.

        The connection alone may have gone silent, or the upstream may be
        slow; neither makes the address unusable.
        """
        state = self._states.get(address)
        if state is not None:
            state.wake.set()

    async def close(self) -> None:
        """Ends all probes."""
        tasks = [each.task for each in self._states.values() if each.task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._pools.close()

    async def _watch(self, address: str, state: _State) -> None:
        while self._is_wanted(state):
            begun_s = self._clock.monotonic()
            if await self._probe(address):
                self.note_heard(address)
            elif state.heard_s < begun_s:
                self._set_failures(address, state, state.failures + 1)
            if 0 < state.failures < _SUSPECT_AFTER:
                continue
            await self._pause(state)
        del self._states[address]

    async def _pause(self, state: _State) -> None:
        if state.suspect:
            await self._clock.sleep(_SUSPECT_INTERVAL_S)
            return
        state.wake.clear()
        try:
            async with asyncio.timeout(_WATCH_INTERVAL_S):
                await state.wake.wait()
        except TimeoutError:
            pass

    def _is_wanted(self, state: _State) -> bool:
        limit_s = _WATCH_SUSPECT_S if state.suspect else _WATCH_S
        return self._clock.monotonic() - state.wanted_s < limit_s

    def _set_failures(self, address: str, state: _State, failures: int) -> None:
        before = state.suspect
        state.failures = failures
        if state.suspect != before:
            word = "does not answer" if state.suspect else "answers again"
            _log.warning("Entry instance at %s %s.", address, word)

    async def _probe(self, address: str) -> bool:
        """Returns whether an address answers, or refuses, a new connection."""
        pool = self._pools.get(address, 1)
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                acquired = await pool.acquire(_PROBE_TIMEOUT_S, fresh=True)
                if isinstance(acquired, Failure):
                    # Whoever refuses is reached; requests try the next one.
                    return acquired.failure().code == "refused"
                await _read_readiness(acquired.unwrap(), address)
        except (TimeoutError, connection_lib.ConnectionFaultError):
            return False
        finally:
            pool.close()
        return True


async def _read_readiness(
    connection: connection_lib.Connection, address: str
) -> None:
    request = f"GET /readyz HTTP/1.1\r\nHost: {address}\r\n\r\n"
    connection.send(request.encode(), False)
    # Any answer shows that the address is reached.
    await connection.read_head()
