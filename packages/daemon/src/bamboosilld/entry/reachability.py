"""Probes the entry instances of other zones.

Without probes, a network partition that drops packets would be detected only
when requests already written to the zone exceed their deadlines, and their
callers would get an unknown outcome. Requests to a zone that is known to be
unreachable are rejected before anything is written.
"""

import asyncio
from collections.abc import Sequence
import ssl

from returns.result import Failure

from bamboosill_common import clock as clock_lib
from bamboosill_common import logs
from bamboosilld.entry import connection as connection_lib
from bamboosilld.entry import pools as pools_lib

# Addresses probed for each zone; further ones are not used.
MAX_ADDRESSES = 8
# Longest round trip between zones plus time for a busy instance to respond.
_PROBE_TIMEOUT_S = 0.3
# A pause of either process may fail one probe.
_UNREACHABLE_AFTER_FAILURES = 2
_UNREACHABLE_PROBE_INTERVAL_S = 0.25
_PROBE_INTERVAL_S = 0.5
# Probing of an address stops after this time without requests to it.
_UNUSED_TTL_S = 10.0
# The same for unreachable addresses. Longer, so that infrequent requests are
# rejected as well.
_UNREACHABLE_UNUSED_TTL_S = 60.0


_log = logs.get_logger("entry")


class _AddressState:
    """Probe state of one address.

    Attributes:
        last_response_s: Time at which data last arrived.
        last_requested_s: Time at which a request last needed the address.
        failures: Failed probes since the last response.
        probe_now: Set to start the next probe immediately.
        task: Task that runs the probes.
    """

    def __init__(self, last_requested_s: float) -> None:
        self.last_response_s = float("-inf")
        self.last_requested_s = last_requested_s
        self.failures = 0
        self.probe_now = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    @property
    def unreachable(self) -> bool:
        """Whether requests must not be forwarded to the address."""
        return self.failures >= _UNREACHABLE_AFTER_FAILURES


class ReachabilityMonitor:
    """Probes the addresses that requests are forwarded to."""

    def __init__(
        self,
        clock: clock_lib.Clock,
        tls: ssl.SSLContext | None,
        source_ip: str,
    ) -> None:
        self._clock = clock
        # Probes have their own connections, so that they do not wait for those
        # in use by requests.
        self._pools = pools_lib.Pools(tls, source_ip)
        self._states: dict[str, _AddressState] = {}

    def select(self, addresses: Sequence[str]) -> list[str]:
        """Returns the reachable addresses, and starts to probe new ones."""
        now_s = self._clock.monotonic()
        usable = []
        for address in addresses[:MAX_ADDRESSES]:
            state = self._states.get(address)
            if state is None:
                state = self._states[address] = _AddressState(now_s)
                state.task = asyncio.create_task(
                    self._run_probes(address, state)
                )
            state.last_requested_s = now_s
            if not state.unreachable:
                usable.append(address)
        return usable

    def record_response(self, address: str) -> None:
        """Marks an address as reachable because data arrived from it."""
        state = self._states.get(address)
        if state is not None:
            state.last_response_s = self._clock.monotonic()
            self._set_failures(address, state, 0)

    def request_probe(self, address: str) -> None:
        """Probes an address immediately after an attempt received no data.

        The attempt itself does not mark the address as unreachable: only its
        connection may be broken, or the upstream may be slow.
        """
        state = self._states.get(address)
        if state is not None:
            state.probe_now.set()

    async def close(self) -> None:
        """Cancels all probes and closes their connections."""
        tasks = [each.task for each in self._states.values() if each.task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._pools.close()

    async def _run_probes(self, address: str, state: _AddressState) -> None:
        while self._is_in_use(state):
            begun_s = self._clock.monotonic()
            if await self._probe(address):
                self.record_response(address)
            elif state.last_response_s < begun_s:
                self._set_failures(address, state, state.failures + 1)
            if 0 < state.failures < _UNREACHABLE_AFTER_FAILURES:
                continue
            await self._wait_for_next_probe(state)
        del self._states[address]
        self._pools.sweep()

    async def _wait_for_next_probe(self, state: _AddressState) -> None:
        if state.unreachable:
            await self._clock.sleep(_UNREACHABLE_PROBE_INTERVAL_S)
            return
        state.probe_now.clear()
        try:
            async with asyncio.timeout(_PROBE_INTERVAL_S):
                await state.probe_now.wait()
        except TimeoutError:
            pass

    def _is_in_use(self, state: _AddressState) -> bool:
        limit_s = (
            _UNREACHABLE_UNUSED_TTL_S if state.unreachable else _UNUSED_TTL_S
        )
        return self._clock.monotonic() - state.last_requested_s < limit_s

    def _set_failures(
        self, address: str, state: _AddressState, failures: int
    ) -> None:
        before = state.unreachable
        state.failures = failures
        if state.unreachable != before:
            change = "does not answer" if state.unreachable else "answers again"
            _log.warning("Entry instance at %s %s.", address, change)

    async def _probe(self, address: str) -> bool:
        """Returns whether a host responds at an address, even by a refusal."""
        pool = self._pools.get(address, 1)
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                acquired = await pool.acquire(
                    _PROBE_TIMEOUT_S, new_connection=True
                )
                if isinstance(acquired, Failure):
                    # A refusal shows that the host is reachable; requests get
                    # the same refusal quickly and try the next address.
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
    # Any response shows that the address is reachable.
    await connection.read_head()
