"""Bounded connection pools, one for each address and upstream process."""

import asyncio
import collections
import ssl

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bamboosill_common import metrics
from bamboosill_common import settings
from bamboosilld import connector
from bamboosilld.entry import connection as connection_lib
from bamboosilld.entry import faults
from bamboosilld.entry import identity as identity_lib

# Three times the longest round trip between zones. After a lost SYN, which
# Linux sends again after 1 s, 0.2 s remain.
_CONNECT_TIMEOUT_S = 1.2
# Firewalls and NAT devices drop idle connections without notice, most of them
# after minutes; opening a new connection takes about 1 ms.
_MAX_IDLE_S = 10.0


class Pool:
    """Connections to one address, for one exchange at a time each.

    Attributes:
        address: Remote address as `host:port`.
        limit: Maximum number of connections, idle ones included.
    """

    def __init__(
        self,
        address: str,
        limit: int,
        tls: ssl.SSLContext | None = None,
        source_ip: str = "",
        identity: identity_lib.Identity | None = None,
    ) -> None:
        self.address = address
        self._identity = identity
        self.limit = max(1, limit)
        self._host, self._port = settings.split_address(address)
        self._tls = tls
        self._source_address = (source_ip, 0) if source_ip else None
        self._loop = asyncio.get_running_loop()
        self._idle: list[connection_lib.Connection] = []
        self._open: set[connection_lib.Connection] = set()
        self._connecting = 0
        self._waiters: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    @property
    def size(self) -> int:
        """Number of connections, including those being opened."""
        return len(self._open) + self._connecting

    @property
    def in_use(self) -> int:
        """Number of connections that carry an exchange or are being opened."""
        return self.size - len(self._idle)

    async def acquire(
        self, deadline_s: float, new_connection: bool = False
    ) -> Result[connection_lib.Connection, faults.Fault]:
        """Returns an idle or new connection for one exchange.

        Args:
            deadline_s: Maximum time to wait, in seconds.
            new_connection: Whether idle connections must not be used. At the
                limit, an idle one is closed to make room.
        """
        until = self._loop.time() + deadline_s
        while True:
            idle = None if new_connection else self._take_idle()
            if idle is not None:
                return Success(idle)
            if new_connection and self._idle and self.size >= self.limit:
                self.discard(self._idle[0], "replaced")
            if self.size < self.limit:
                return await self._connect_and_verify(until)
            if not await self._wait_for_connection(until):
                return Failure(
                    faults.Fault("pool", "no connection became free", False)
                )

    def release(self, connection: connection_lib.Connection) -> None:
        """Returns a connection after its response was read completely."""
        if connection.finish():
            self._idle.append(connection)
            self._wake_waiter()
        else:
            self.discard(connection, "not reusable")

    def return_unused(self, connection: connection_lib.Connection) -> None:
        """Returns a connection on which nothing was written."""
        if connection.usable:
            self._idle.append(connection)
            self._wake_waiter()
        else:
            self.discard(connection, "closed")

    def discard(self, connection: connection_lib.Connection, code: str) -> None:
        """Aborts a connection and removes it from the pool."""
        connection.fail(code)
        self._remove(connection)

    def discard_idle(self) -> None:
        """Closes all idle connections.

        Called after a timeout without any received byte. A firewall or NAT
        device that dropped one connection has probably dropped all of them.
        """
        for connection in tuple(self._idle):
            self.discard(connection, "replaced")

    def sweep(self) -> None:
        """Closes connections that were idle for too long."""
        oldest = self._loop.time() - _MAX_IDLE_S
        for connection in tuple(self._idle):
            if connection.last_used_s < oldest:
                self.discard(connection, "idle")

    def close(self) -> None:
        """Closes all connections."""
        for connection in tuple(self._open):
            self.discard(connection, "closed")

    def _take_idle(self) -> connection_lib.Connection | None:
        oldest = self._loop.time() - _MAX_IDLE_S
        while self._idle:
            connection = self._idle.pop()
            if connection.usable and connection.last_used_s >= oldest:
                return connection
            self.discard(connection, "idle")
        return None

    async def _connect(
        self, remaining_s: float
    ) -> Result[connection_lib.Connection, faults.Fault]:
        self._connecting += 1
        try:
            connection = await connector.connect(
                lambda: connection_lib.Connection(self._loop, self._remove),
                self._host,
                self._port,
                min(remaining_s, _CONNECT_TIMEOUT_S),
                tls=self._tls,
                local_address=self._source_address,
            )
        except connector.ConnectError as error:
            detail = f"{self.address}: {error}"
            return Failure(faults.Fault(error.code, detail, False))
        finally:
            self._connecting -= 1
            self._wake_waiter()
        if connection.usable:
            self._open.add(connection)
            metrics.pool_connections.inc()
        return Success(connection)

    async def _connect_and_verify(
        self, until: float
    ) -> Result[connection_lib.Connection, faults.Fault]:
        """Opens a connection and verifies the expected identity, if any."""
        result = await self._connect(until - self._loop.time())
        if self._identity is None or isinstance(result, Failure):
            return result
        connection = result.unwrap()
        fault: faults.Fault | None = None
        checked = False
        try:
            fault = await identity_lib.check_connection(
                connection,
                self._identity,
                self.address,
                until - self._loop.time(),
            )
            checked = fault is None
        finally:
            if not checked:
                self.discard(connection, "identity")
        return Success(connection) if fault is None else Failure(fault)

    async def _wait_for_connection(self, until: float) -> bool:
        waiter: asyncio.Future[None] = self._loop.create_future()
        self._waiters.append(waiter)
        woken = False
        try:
            async with asyncio.timeout_at(until):
                await waiter
            woken = True
        except TimeoutError:
            return False
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
            elif not woken:
                # This waiter was woken and cancelled at the same time; without
                # this call the free connection would wake nobody.
                self._wake_waiter()
        return True

    def _remove(self, connection: connection_lib.Connection) -> None:
        if connection in self._open:
            metrics.pool_connections.dec()
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        self._wake_waiter()

    def _wake_waiter(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return


class Pools:
    """Pools by address and, for upstreams, by expected process identity."""

    def __init__(
        self, tls: ssl.SSLContext | None = None, source_ip: str = ""
    ) -> None:
        """Creates an empty set of pools.

        Args:
            tls: TLS context of all connections, or None for plain text.
            source_ip: Source IP address of all connections; empty to let the
                system choose.
        """
        self._tls = tls
        self._source_ip = source_ip
        self._pools: dict[tuple[str, identity_lib.Identity | None], Pool] = {}

    def get(
        self,
        address: str,
        limit: int,
        identity: identity_lib.Identity | None = None,
    ) -> Pool:
        """Returns the pool of an address and sets its limit.

        Args:
            address: Remote address as `host:port`.
            limit: Maximum number of connections.
            identity: Upstream process that connections must lead to, or None
                to accept any, as for entry instances.
        """
        pool = self._pools.get((address, identity))
        if pool is None:
            self._discard_idle(address)
            pool = self._pools[address, identity] = Pool(
                address, limit, self._tls, self._source_ip, identity
            )
        elif pool.limit != limit:
            pool.limit = max(1, limit)
        return pool

    def sweep(self) -> None:
        """Closes connections idle for too long and removes empty pools."""
        for name, pool in tuple(self._pools.items()):
            pool.sweep()
            if not pool.size:
                del self._pools[name]

    def close(self) -> None:
        """Closes all connections."""
        for pool in self._pools.values():
            pool.close()

    def _discard_idle(self, address: str) -> None:
        # Connections to a former incarnation would count towards the
        # connection limit of its successor.
        for (other, _), pool in self._pools.items():
            if other == address:
                pool.discard_idle()
