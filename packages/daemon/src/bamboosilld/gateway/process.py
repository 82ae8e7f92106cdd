"""Process of an entry instance: listeners, startup, readiness and draining."""

import asyncio
import random
from typing import NamedTuple

from bamboosill_common import logs
from bamboosill_common import metrics
from bamboosilld import memory_account
from bamboosilld.fleet import follower as follower_lib
from bamboosilld.fleet import process as process_lib
from bamboosilld.fleet import settings as settings_lib
from bamboosilld.gateway import forwarding
from bamboosilld.gateway import http_messages
from bamboosilld.gateway import listener as listener_lib
from bamboosilld.gateway import metrics as metrics_lib
from bamboosilld.gateway import service as service_lib
from bamboosilld.gateway import view as view_lib

# The external load balancer removes an instance after two failed readiness
# checks, one second apart.
_DEREGISTRATION_DELAY_S = 2.5
# Fraction of the grace period after which requests still in flight are
# abandoned.
_DRAIN_FRACTION = 0.9
_DRAIN_POLL_S = 0.05
_POOL_SWEEP_INTERVAL_S = 1.0

_DEFAULT_MEMORY_BYTES = 256 * 1024 * 1024
# Memory for the program, its state and its connections. Of the rest, messages
# may hold what remains after the overhead of their buffers.
_BASE_MEMORY_BYTES = 100 * 1024 * 1024
_BUFFER_OVERHEAD = 1.25
_MIN_ACCOUNT_BYTES = 16 * 1024 * 1024

_log = logs.get_logger("entry")


class EntrySettings(NamedTuple):
    """Addresses and timing of an entry instance.

    Attributes:
        caller_address: Listen address for callers.
        readiness_address: Listen address for readiness checks of the load
            balancer.
        readiness_path: Path of the readiness check.
        metrics_port: Port of the metrics on the callers' host; 0 disables it.
        grace_s: Time from the stop signal until the process is killed.
        memory_bytes: Memory that the process may use.
        gateway: Settings of the request path.
    """

    caller_address: str
    readiness_address: str
    readiness_path: str
    metrics_port: int
    grace_s: float
    gateway: service_lib.GatewaySettings
    memory_bytes: int = _DEFAULT_MEMORY_BYTES


class EntryInstance:
    """The listeners, the state replica and the request path of an instance."""

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
            lambda: self.service.pop_measurements(),
            lambda stats: self._view.update_stats(stats),
            lambda limits: self._view.update_limits(limits),
            lambda items: self.service.update_instances(items),
        )
        self._view = view_lib.View(
            self._follower.state,
            process.clock,
            settings.gateway.names.request_id,
            process.settings.peer_address.rpartition(":")[0],
            settings.gateway.drain_s,
            settings.gateway.evacuation_s,
            lambda: self._follower.previous_sync_s,
        )
        self.service = service_lib.Service(
            settings.gateway,
            self._follower,
            self._view,
            process.clock,
            random.Random(),
        )
        account = _make_account(settings.memory_bytes)
        self._caller_listener = listener_lib.Listener(
            self.service.handle, account
        )
        self._forward_listener = listener_lib.Listener(
            self.service.handle_forwarded, account
        )
        self._readiness_listener = listener_lib.Listener(self._handle_readiness)
        self._metrics_listener = listener_lib.Listener(metrics_lib.handle)
        self._follower.state.add_listener(self._apply_limits)
        metrics.gateway_sync_age.set_function(
            lambda: process.clock.monotonic() - self._follower.synced_s
        )
        metrics_lib.register_fleet_gauges(lambda: self._follower.state)

    def is_ready(self) -> bool:
        """Returns whether the load balancer should send callers here."""
        return self._follower.is_synced and not self._process.stopping.is_set()

    async def run(self) -> int:
        """Serves until stopped and drained; returns the exit code."""
        process, settings = self._process, self._settings
        await process.start(serves_peers=False)
        caller_address_parts = settings.caller_address.rpartition(":")
        forward_address_parts = process.settings.peer_address.rpartition(":")
        readiness_address_parts = settings.readiness_address.rpartition(":")
        await self._readiness_listener.start(
            readiness_address_parts[0], int(readiness_address_parts[2])
        )
        await self._forward_listener.start(
            forward_address_parts[0], int(forward_address_parts[2])
        )
        await self._caller_listener.start(
            caller_address_parts[0], int(caller_address_parts[2])
        )
        if settings.metrics_port:
            await self._metrics_listener.start(
                caller_address_parts[0], settings.metrics_port
            )
        tasks = self._start_tasks()
        await process.stopping.wait()
        _log.info("Stopping. Requests in flight: %d.", self.service.in_flight)
        await self._drain()
        for task in tasks:
            task.cancel()
        await process.stop()
        return 0

    def _start_tasks(self) -> list[asyncio.Task[None]]:
        return [
            asyncio.create_task(self._follower.run()),
            asyncio.create_task(self._caller_listener.run_timeout_checks()),
            asyncio.create_task(self._forward_listener.run_timeout_checks()),
            asyncio.create_task(self._run_pool_sweeps()),
        ]

    async def _drain(self) -> None:
        clock = self._process.clock
        drain_deadline_s = (
            clock.monotonic() + self._settings.grace_s * _DRAIN_FRACTION
        )
        self.service.stop(drain_deadline_s)
        self._caller_listener.is_closing = True
        await asyncio.sleep(_DEREGISTRATION_DELAY_S)
        self._caller_listener.stop_accepting()
        self._caller_listener.is_refusing = True
        while (
            self._caller_listener.connections or self.service.in_flight
        ) and clock.monotonic() < drain_deadline_s:
            self._caller_listener.close_idle()
            await asyncio.sleep(_DRAIN_POLL_S)

    async def _run_pool_sweeps(self) -> None:
        while True:
            await asyncio.sleep(_POOL_SWEEP_INTERVAL_S)
            self.service.sweep()

    async def _handle_readiness(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        if request.target != self._settings.readiness_path:
            return http_messages.Response(404, [], b"")
        return http_messages.Response(200 if self.is_ready() else 503, [], b"")

    def _apply_limits(self, command: object) -> None:
        limits = self._follower.state.configuration.limits
        if not limits.max_header_bytes:
            return
        self._caller_listener.limits = listener_lib.Limits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        )
        # What one instance takes from a caller, another one takes from it.
        self._forward_listener.limits = self._caller_listener.limits._replace(
            max_header_bytes=limits.max_header_bytes
            + forwarding.MAX_ADDED_HEADER_BYTES
        )


def _make_account(memory_bytes: int) -> memory_account.MemoryAccount:
    left_bytes = (memory_bytes - _BASE_MEMORY_BYTES) / _BUFFER_OVERHEAD
    return memory_account.MemoryAccount(
        max(_MIN_ACCOUNT_BYTES, int(left_bytes))
    )


def run(
    settings: settings_lib.FleetSettings,
    entry: EntrySettings,
    read: process_lib.ReadSettings,
) -> int:
    """Runs an entry instance and returns its exit code."""

    async def main() -> int:
        process = process_lib.Process(settings, read)
        return await EntryInstance(process, entry).run()

    return process_lib.run(main())
