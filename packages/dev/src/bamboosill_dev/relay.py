"""TCP relay that injects faults of a network between two processes.

In a process: `Relay`. As a command: `python -m bamboosill_dev.relay --listen
A --target B --control C`, which takes the fields of `Faults` and the actions
`silence` and `reset` as JSON by `POST /set` on the control address.
"""

import argparse
import asyncio
import contextlib
from typing import Any
from typing import NamedTuple

from aiohttp import web

from bamboosill_common import settings

_CHUNK_BYTES = 64 * 1024


class Faults(NamedTuple):
    """Faults in force.

    Attributes:
        refuse: Whether new connections are closed at once.
        delay_s: Delay of each chunk in each direction, in seconds.
        cut_to_target: Whether bytes to the target stop, silently.
        cut_to_client: Whether bytes to the client stop, silently.
        hold_new: Whether new connections are accepted and never served.
        cut_sources: IP numbers whose connections stop, silently.
    """

    refuse: bool = False
    delay_s: float = 0.0
    cut_to_target: bool = False
    cut_to_client: bool = False
    hold_new: bool = False
    cut_sources: frozenset[str] = frozenset()


class _Link:
    """One relayed connection."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writers = [writer]
        self.tasks: list[asyncio.Task[None]] = []
        self.silent = False
        self.source = str(writer.get_extra_info("peername")[0])

    def abort(self) -> None:
        for writer in self.writers:
            writer.transport.abort()
        for task in self.tasks:
            task.cancel()


class Relay:
    """Relays connections from one address to another.

    Attributes:
        faults: Faults in force; replace it to change them.
        address: Address in use.
        accepted: Number of connections accepted.
    """

    def __init__(self, target: str) -> None:
        self._target = settings.split_address(target)
        self._links: set[_Link] = set()
        self._changed = asyncio.Event()
        self.faults = Faults()
        self.address = ""
        self.accepted = 0

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._links)

    async def start(self, listen: str = "127.0.0.1:0") -> str:
        """Listens and returns the address in use."""
        host, port = settings.split_address(listen)
        self._server = await asyncio.start_server(self._accept, host, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        return self.address

    async def stop(self) -> None:
        """Closes everything."""
        self._server.close()
        self.reset()

    def set_faults(self, **changes: Any) -> None:
        """Changes single faults."""
        self.faults = self.faults._replace(**changes)
        self._changed.set()
        self._changed = asyncio.Event()

    def heal(self) -> None:
        """Ends all faults; silenced connections stay silent."""
        self.set_faults(**Faults()._asdict())

    def silence(self) -> None:
        """Stops forwarding on existing connections without closing them."""
        for link in self._links:
            link.silent = True

    def reset(self) -> None:
        """Closes existing connections at once."""
        for link in tuple(self._links):
            link.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        link = _Link(writer)
        if self.faults.refuse:
            link.abort()
            return
        self._links.add(link)
        try:
            await self._serve(link, reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._links.discard(link)
            link.abort()

    async def _serve(
        self,
        link: _Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while self.faults.hold_new or link.source in self.faults.cut_sources:
            await self._changed.wait()
        target_reader, target_writer = await asyncio.open_connection(
            *self._target
        )
        link.writers.append(target_writer)
        link.tasks = [
            asyncio.create_task(
                self._pump(link, reader, target_writer, "cut_to_target")
            ),
            asyncio.create_task(
                self._pump(link, target_reader, writer, "cut_to_client")
            ),
        ]
        await asyncio.wait(link.tasks)

    def _is_cut(self, link: _Link, cut: str) -> bool:
        return (
            link.silent
            or link.source in self.faults.cut_sources
            or getattr(self.faults, cut)
        )

    async def _pump(
        self,
        link: _Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        cut: str,
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(_CHUNK_BYTES):
                if self.faults.delay_s:
                    await asyncio.sleep(self.faults.delay_s)
                while self._is_cut(link, cut):
                    await self._changed.wait()
                writer.write(chunk)
                await writer.drain()
            while self._is_cut(link, cut):
                # The end of a connection is not passed on either.
                await self._changed.wait()
            writer.close()


def _make_control(relay: Relay) -> Any:
    async def handle(request: web.BaseRequest) -> web.Response:
        if request.method == "POST":
            document = await request.json()
            if document.pop("silence", False):
                relay.silence()
            if document.pop("reset", False):
                relay.reset()
            try:
                relay.set_faults(**document)
            except ValueError as error:
                return web.json_response({"detail": str(error)}, status=400)
        return web.json_response(
            {**relay.faults._asdict(), "connections": relay.connections}
        )

    return handle


async def _run(options: argparse.Namespace) -> None:
    relay = Relay(options.target)
    await relay.start(options.listen)
    host, port = settings.split_address(options.control)
    await asyncio.get_running_loop().create_server(
        web.Server(_make_control(relay), access_log=None), host, port
    )
    await asyncio.Event().wait()


def main() -> None:
    """Entry point of `python -m bamboosill_dev.relay`."""
    parser = argparse.ArgumentParser(prog="bamboosill_dev.relay")
    for name in ("--listen", "--target", "--control"):
        parser.add_argument(name, required=True)
    asyncio.run(_run(parser.parse_args()))


if __name__ == "__main__":
    main()
