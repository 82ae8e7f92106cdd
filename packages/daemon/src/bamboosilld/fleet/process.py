"""Base of the processes of a fleet: peer connections, signals and settings."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import signal
import time

import uvloop

from bamboosill_common import clock as clock_lib
from bamboosill_common import events
from bamboosill_common import identities
from bamboosill_common import logs
from bamboosill_common import peer
from bamboosilld import memory_account
from bamboosilld.fleet import settings as settings_lib

# Most recent events that a process keeps in memory.
_MAX_EVENTS = 500
# How often settings are read again, as the file may change without a SIGHUP.
_RELOAD_INTERVAL_S = 1.0

_log = logs.get_logger("process")

ReadSettings = Callable[[], settings_lib.FleetSettings | None]


class Process:
    """What entry and control processes have in common.

    Attributes:
        settings: Settings in force.
        stopping: Set by SIGTERM or SIGINT.
    """

    def __init__(
        self, settings: settings_lib.FleetSettings, read: ReadSettings
    ) -> None:
        self.settings = settings
        self._read_settings = read
        self.clock = clock_lib.SystemClock()
        self.timeline = events.Timeline(
            self.clock, settings.instance, _MAX_EVENTS
        )
        self.handlers = peer.Handlers()
        host, _, port = settings.peer_address.rpartition(":")
        context = peer.PeerContext(
            peer.Identity(settings.peer_address, time.time_ns(), settings.zone),
            identities.OpenAuthenticator(),
            self.clock,
            self.timeline,
            local_host=host,
        )
        self.directory = peer.Directory(context)
        self._server = peer.Server(context, self.handlers)
        self._host, self._port = host, int(port)
        self.stopping = asyncio.Event()

    def list_control_peers(self) -> tuple[str, ...]:
        """Returns the control instances in the settings in force."""
        return self.settings.control_peers

    async def start(self, serves_peers: bool) -> None:
        """Installs signal handlers and, if asked to, listens for peers."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
        self._reload_task = asyncio.create_task(self._run_reload_loop())
        if serves_peers:
            await self._server.start(self._host, self._port)
        _log.info(
            "Started. Zone: %s. Control peers: %s.",
            self.settings.zone,
            ", ".join(self.settings.control_peers),
        )

    async def stop(self) -> None:
        """Closes all connections to other instances."""
        self._reload_task.cancel()
        await self._server.stop()
        await self.directory.close()
        _log.info("Stopped.")

    def _reload_settings(self) -> None:
        settings = self._read_settings()
        if settings is None or settings == self.settings:
            return
        self.settings = settings
        _log.info(
            "Settings reloaded. Control peers: %s.",
            ", ".join(settings.control_peers),
        )

    async def _run_reload_loop(self) -> None:
        while True:
            await self.clock.sleep(_RELOAD_INTERVAL_S)
            self._reload_settings()


def run(main: Awaitable[int]) -> int:
    """Runs the main coroutine of a process and returns its exit code."""
    memory_account.map_long_buffers()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main)  # type: ignore[arg-type]
