"""TCP relay that injects network faults between two processes.

Tests use the class `Relay`. The command `python -m bamboosill_dev.relay
--listen A --target B --control C` accepts the fields of `Faults` and the
actions `silence` and `reset` as JSON by `POST /set` on the control address.
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
    """Active faults of a relay.

    Attributes:
        refuse: Whether new connections are closed at once.
        delay_s: Delay of each chunk in each direction, in seconds.
        cut_to_target: Whether data to the target is held back, with the
            connection open.
        cut_to_client: Whether data to the client is held back, with the
            connection open.
        hold_new: Whether new connections are accepted but not forwarded.
        cut_sources: IP addresses whose connections are neither forwarded nor
            closed.
        refused_sources: IP addresses whose new connections are closed at once.
    """

    refuse: bool = False
    delay_s: float = 0.0
    cut_to_target: bool = False
    cut_to_client: bool = False
    hold_new: bool = False
    cut_sources: frozenset[str] = frozenset()
    refused_sources: frozenset[str] = frozenset()


class _RelayedConnection:
    """One client connection and its connection to the target."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writers = [writer]
        self.tasks: list[asyncio.Task[None]] = []
        self.silent = False
        self.source_ip = str(writer.get_extra_info("peername")[0])

    def abort(self) -> None:
        for writer in self.writers:
            writer.transport.abort()
        for task in self.tasks:
            task.cancel()


class Relay:
    """Relays connections from one address to another.

    Attributes:
        faults: Active faults; `set_faults` changes them.
        address: Address on which it listens.
        accepted: Number of connections accepted so far.
    """

    def __init__(self, target: str) -> None:
        self._target = settings.split_address(target)
        self._connections: set[_RelayedConnection] = set()
        self._faults_changed = asyncio.Event()
        self.faults = Faults()
        self.address = ""
        self.accepted = 0

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    async def start(self, listen: str = "127.0.0.1:0") -> str:
        """Starts to listen and returns the address."""
        host, port = settings.split_address(listen)
        self._server = await asyncio.start_server(
            self._handle_connection, host, port
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        return self.address

    async def stop(self) -> None:
        """Closes the listener and all connections."""
        self._server.close()
        self.reset()

    def set_faults(self, **changes: Any) -> None:
        """Changes the given faults and leaves the others as they are."""
        self.faults = self.faults._replace(**changes)
        self._faults_changed.set()
        self._faults_changed = asyncio.Event()

    def heal(self) -> None:
        """Clears all faults, except on connections stopped by `silence`."""
        self.set_faults(**Faults()._asdict())

    def silence(self) -> None:
        """Stops forwarding on existing connections without closing them."""
        for connection in self._connections:
            connection.silent = True

    def reset(self, source_ip: str = "") -> None:
        """Aborts existing connections, of all sources or of one."""
        for connection in tuple(self._connections):
            if source_ip in ("", connection.source_ip):
                connection.abort()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        connection = _RelayedConnection(writer)
        if (
            self.faults.refuse
            or connection.source_ip in self.faults.refused_sources
        ):
            connection.abort()
            return
        self._connections.add(connection)
        try:
            await self._connect_and_forward(connection, reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(connection)
            connection.abort()

    async def _connect_and_forward(
        self,
        connection: _RelayedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while (
            self.faults.hold_new
            or connection.source_ip in self.faults.cut_sources
        ):
            await self._faults_changed.wait()
        target_reader, target_writer = await asyncio.open_connection(
            *self._target
        )
        connection.writers.append(target_writer)
        connection.tasks = [
            asyncio.create_task(
                self._forward(
                    connection, reader, target_writer, "cut_to_target"
                )
            ),
            asyncio.create_task(
                self._forward(
                    connection, target_reader, writer, "cut_to_client"
                )
            ),
        ]
        await asyncio.wait(connection.tasks)

    def _is_cut(self, connection: _RelayedConnection, cut_field: str) -> bool:
        return (
            connection.silent
            or connection.source_ip in self.faults.cut_sources
            or getattr(self.faults, cut_field)
        )

    async def _forward(
        self,
        connection: _RelayedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        cut_field: str,
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(_CHUNK_BYTES):
                if self.faults.delay_s:
                    await asyncio.sleep(self.faults.delay_s)
                while self._is_cut(connection, cut_field):
                    await self._faults_changed.wait()
                writer.write(chunk)
                await writer.drain()
            while self._is_cut(connection, cut_field):
                # A cut also holds back the end of the connection.
                await self._faults_changed.wait()
            writer.close()


def _make_control(relay: Relay) -> Any:
    async def handle(request: web.BaseRequest) -> web.Response:
        if request.method == "POST":
            try:
                _apply_changes(relay, await request.json())
            except (TypeError, ValueError) as error:
                return web.json_response({"detail": str(error)}, status=400)
        return web.json_response(
            {
                **{
                    name: sorted(value)
                    if isinstance(value, frozenset)
                    else value
                    for name, value in relay.faults._asdict().items()
                },
                "connections": relay.connections,
            }
        )

    return handle


def _apply_changes(relay: Relay, document: Any) -> None:
    """Applies the document of a `POST /set`.

    Raises:
        ValueError: It is no JSON object, or a field is not known.
        TypeError: The value of a field has another type.
    """
    if not isinstance(document, dict):
        raise ValueError("no JSON object")
    changes = {}
    for name, value in document.items():
        if name in ("silence", "reset"):
            continue
        expected = Faults._field_defaults.get(name)
        if expected is None:
            raise ValueError(f"no field: {name}")
        if isinstance(expected, frozenset):
            if not isinstance(value, list):
                raise TypeError(f"{name} is no list")
            value = frozenset(map(str, value))
        elif isinstance(expected, bool) != isinstance(value, bool) or (
            not isinstance(value, int | float)
        ):
            raise TypeError(f"{name} is no {type(expected).__name__}")
        changes[name] = value
    if document.get("silence"):
        relay.silence()
    if document.get("reset"):
        relay.reset()
    relay.set_faults(**changes)


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
