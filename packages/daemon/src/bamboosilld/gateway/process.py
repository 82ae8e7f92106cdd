"""The process of an entry instance."""

import asyncio
import random
from typing import NamedTuple

from bamboosill_common import logs
from bamboosill_common import metrics
from bamboosilld.fleet import follower as follower_lib
from bamboosilld.fleet import process as process_lib
from bamboosilld.fleet import settings as settings_lib
from bamboosilld.gateway import listener as listener_lib
from bamboosilld.gateway import messages
from bamboosilld.gateway import metrics as metrics_lib
from bamboosilld.gateway import service as service_lib
from bamboosilld.gateway import view as view_lib

# After readiness has ended, the balancer needs two checks, a second apart.
_LEAVE_ROTATION_S = 2.5
# Part of the grace after which requests still in flight are given up.
_GRACE_PART = 0.9
_POLL_S = 0.05
_SWEEP_INTERVAL_S = 1.0

_log = logs.get_logger("entry")


class EntrySettings(NamedTuple):
    """Addresses and times of an entry instance.

    Attributes:
        caller_address: Where callers connect.
        readiness_address: Where the balancer asks for readiness.
        readiness_path: Path of that question.
        metrics_port: Port of the metrics, on the address of the callers.
        grace_s: Time from the signal to stop until the process is killed.
        gateway: Settings of the request path.
    """

    caller_address: str
    readiness_address: str
    readiness_path: str
    metrics_port: int
    grace_s: float
    gateway: service_lib.GatewaySettings


class Entry:
    """Listeners, the copy of the state, and the request path."""

    def __init__(
        self, process: process_lib.Process, settings: EntrySettings
    ) -> None:
        self._process = process
        self._settings = settings
        self._follower = follower_lib.Follower(
            process.settings.peer_address,
            process.directory,
            process.clock,
            process.list_control_peers,
            lambda: self.service.take_reports(),
            lambda sights: self._view.take_sights(sights),
        )
        self._view = view_lib.View(
            self._follower.state,
            process.clock,
            settings.gateway.names.request_id,
        )
        self.service = service_lib.Service(
            settings.gateway,
            self._follower,
            self._view,
            process.clock,
            random.Random(),
        )
        self._callers = listener_lib.Listener(self.service.handle)
        self._probes = listener_lib.Listener(self._handle_probe)
        self._metrics = listener_lib.Listener(metrics_lib.handle)
        self._follower.state.add_listener(self._take_limits)
        metrics.gateway_sync_age.set_function(
            lambda: process.clock.monotonic() - self._follower.synced_s
        )
        metrics_lib.connect_state(lambda: self._follower.state)

    def is_ready(self) -> bool:
        """Returns whether callers should be sent here."""
        return self._follower.is_synced and not self._process.stopping.is_set()

    async def run(self) -> int:
        """Serves until told to stop, and returns the exit code."""
        process, settings = self._process, self._settings
        await process.start(serves_peers=False)
        callers = settings.caller_address.rpartition(":")
        probes = settings.readiness_address.rpartition(":")
        await self._probes.start(probes[0], int(probes[2]))
        await self._callers.start(callers[0], int(callers[2]))
        if settings.metrics_port:
            await self._metrics.start(callers[0], settings.metrics_port)
        tasks = [
            asyncio.create_task(self._follower.run()),
            asyncio.create_task(self._callers.run_checks()),
            asyncio.create_task(self._run_sweeps()),
        ]
        await process.stopping.wait()
        _log.info("Stopping. Requests in flight: %d.", self.service.in_flight)
        await self._drain()
        for task in tasks:
            task.cancel()
        await process.stop()
        return 0

    async def _drain(self) -> None:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + self._settings.grace_s * _GRACE_PART
        self._callers.is_closing = True
        await asyncio.sleep(_LEAVE_ROTATION_S)
        self._callers.stop_accepting()
        self._callers.is_refusing = True
        while self._callers.connections and loop.time() < until_s:
            self._callers.close_idle()
            await asyncio.sleep(_POLL_S)

    async def _run_sweeps(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            self._view.sweep()

    async def _handle_probe(
        self, request: messages.Request
    ) -> messages.Response:
        if request.target != self._settings.readiness_path:
            return messages.Response(404, [], b"")
        return messages.Response(200 if self.is_ready() else 503, [], b"")

    def _take_limits(self, command: object) -> None:
        limits = self._follower.state.configuration.limits
        if limits.max_header_bytes:
            self._callers.limits = listener_lib.Limits(
                limits.max_header_bytes,
                limits.max_body_bytes,
                limits.header_timeout_ms / 1000,
                limits.idle_timeout_ms / 1000,
            )


def run(
    settings: settings_lib.FleetSettings,
    entry: EntrySettings,
    read: process_lib.ReadSettings,
) -> int:
    """Runs an entry instance and returns its exit code."""

    async def main() -> int:
        process = process_lib.Process(settings, read)
        return await Entry(process, entry).run()

    return process_lib.run(main())
