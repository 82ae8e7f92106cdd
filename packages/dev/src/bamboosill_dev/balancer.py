"""Stand-in for the platform's load balancer.

Forwards each TCP connection to one of the entry instances that answer
`GET /readyz` with 200. It does not parse the traffic.
"""

import argparse
import asyncio
from collections.abc import Sequence
import contextlib
import random

import aiohttp

from bamboosill_common import settings

CHECK_INTERVAL_S = 1.0
_CHECK_TIMEOUT_S = 0.5
_CHUNK_BYTES = 64 * 1024


class Balancer:
    """Checks the readiness of entry instances and forwards connections.

    Attributes:
        ready: Addresses of the ready instances.
        address: Address on which it listens, or empty.
    """

    def __init__(
        self,
        entries: Sequence[str],
        rng: random.Random,
        interval_s: float = CHECK_INTERVAL_S,
    ) -> None:
        self._entries = tuple(entries)
        self._rng = rng
        self._interval_s = interval_s
        self._tasks: list[asyncio.Task[None]] = []
        self.ready: set[str] = set()
        self.address = ""

    async def start(self, listen: str = "") -> None:
        """Starts the checks, and listens on an address if one is given."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True)
        )
        await asyncio.gather(
            *(self._check(address) for address in self._entries)
        )
        self._tasks = [
            asyncio.create_task(self._check_periodically(each))
            for each in self._entries
        ]
        if listen:
            host, port = settings.split_address(listen)
            server = await asyncio.start_server(
                self._handle_connection, host, port
            )
            port = server.sockets[0].getsockname()[1]
            self.address = f"{host}:{port}"
            self._server = server

    async def stop(self) -> None:
        """Stops checks and the listener; forwarded connections stay open."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self.address:
            self._server.close()
        await self._session.close()

    def choose(self) -> str:
        """Returns a random address, of a ready instance if there is one."""
        return self._rng.choice(sorted(self.ready) or sorted(self._entries))

    async def _check_periodically(self, address: str) -> None:
        while True:
            await asyncio.sleep(self._interval_s)
            await self._check(address)

    async def _check(self, address: str) -> None:
        is_ready = False
        timeout = aiohttp.ClientTimeout(total=_CHECK_TIMEOUT_S)
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with self._session.get(
                f"http://{address}/readyz", timeout=timeout
            ) as response:
                is_ready = response.status == 200
        if is_ready:
            self.ready.add(address)
        else:
            self.ready.discard(address)

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *settings.split_address(self.choose())
            )
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            _forward(reader, target_writer), _forward(target_reader, writer)
        )


async def _forward(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(OSError):
        while chunk := await reader.read(_CHUNK_BYTES):
            writer.write(chunk)
            await writer.drain()
    writer.close()


async def _run(options: argparse.Namespace) -> None:
    balancer = Balancer(options.entries.split(","), random.Random())
    await balancer.start(options.listen)
    await asyncio.Event().wait()


def main() -> None:
    """Entry point of `python -m bamboosill_dev.balancer`."""
    parser = argparse.ArgumentParser(prog="bamboosill_dev.balancer")
    for name in ("--listen", "--entries"):
        parser.add_argument(name, required=True)
    asyncio.run(_run(parser.parse_args()))


if __name__ == "__main__":
    main()
