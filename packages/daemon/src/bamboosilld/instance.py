"""Builds an instance from its settings, starts it and stops it.

An instance is one daemon process. It always takes part in its zone's group and
serves the admin and peer ports; the control and entry roles are optional.
"""

import asyncio
import contextlib
import pathlib
import random
import secrets
import time
from typing import Any

import aiohttp
from aiohttp import web
import aiomisc

from bamboosill_common import auth
from bamboosill_common import clock as clock_lib
from bamboosill_common import events
from bamboosill_common import logs
from bamboosill_common import peer
from bamboosill_common import settings as settings_lib
from bamboosill_common import tls
from bamboosill_common.generated import consensus as consensus_messages
from bamboosill_common.generated import control as control_messages
from bamboosill_common.generated import settings as generated
from bamboosilld import gauges
from bamboosilld import memory_account
from bamboosilld import startup
from bamboosilld.admin import app
from bamboosilld.admin import dependencies as dependencies_lib
from bamboosilld.admission import gate as gate_lib
from bamboosilld.admission import queues as queues_lib
from bamboosilld.admission import retry
from bamboosilld.consensus import groups as groups_lib
from bamboosilld.consensus import joining_node as joining_node_lib
from bamboosilld.consensus import node as node_lib
from bamboosilld.control import service as control_service
from bamboosilld.control import state as control_state
from bamboosilld.entry import listener
from bamboosilld.entry import server as entry_server
from bamboosilld.placement import policy
from bamboosilld.storage import disk
from bamboosilld.zone import member as member_lib
from bamboosilld.zone import upstream_client

CONTROL_GROUP = "control"

_BYTES_PER_MIB = 1024 * 1024

_log = logs.get_logger("instance")


class _AdminRunner(web.AppRunner):
    """Serves the admin application with `listener.Server`.

    Its error responses do not quote the request, which may contain a token.
    """

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        return listener.Server(
            server.request_handler,
            request_factory=server.request_factory,
            access_log=None,
        )


class ControlRole:
    """The control role: a consensus node and the control service."""

    def __init__(
        self,
        settings: generated.DaemonSettings,
        shared: "Shared",
    ) -> None:
        self._shared = shared
        self._data_dir = settings.data_dir
        members = tuple(
            consensus_messages.Member(name, 0, address, True)
            for name, address in list_control_peers(settings)
        )
        joins_existing_group = settings.control_start == "join"
        joining_member = consensus_messages.Member(
            settings.instance_id, 0, get_peer_address(settings), False
        )
        own_member = next(
            (
                member
                for member in members
                if member.instance == settings.instance_id
            ),
            joining_member,
        )
        make_node = (
            joining_node_lib.JoiningNode
            if joins_existing_group
            else node_lib.Node
        )
        self.state = control_state.ControlState()
        self.node = make_node(
            node_lib.GroupConfig(
                CONTROL_GROUP,
                joining_member if joins_existing_group else own_member,
                None
                if joins_existing_group
                else consensus_messages.Membership(members),
            ),
            disk.DiskStorage(
                pathlib.Path(settings.data_dir),
                consensus_messages.StorageIdentity(
                    CONTROL_GROUP, settings.instance_id
                ),
                gauges.TimedFiles(),
            ),
            groups_lib.PeerTransport(shared.directory),
            self.state,
            shared.clock,
            shared.rng,
            shared.timeline,
        )
        self.service = control_service.ControlService(
            node=self.node,
            state=self.state,
            clock=shared.clock,
            timeline=shared.timeline,
            shards_per_keyspace=settings.shards_per_keyspace,
        )
        self.service.register_handlers(shared.handlers)
        self._service_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts the consensus node and the control service.

        Raises:
            startup.StartupError: The data folder cannot be used.
        """
        startup.create_data_folder(self._data_dir)
        await startup.open_storage(self._data_dir, self.node.start())
        self._shared.groups.add(CONTROL_GROUP, self.node)
        self._service_task = asyncio.create_task(self.service.run())

    def get_failure(self) -> str:
        """Returns why this role has failed, or an empty string."""
        if self.node.failure:
            return self.node.failure
        if self._service_task is not None and self._service_task.done():
            return "the leader's duties have ended"
        return ""

    async def stop(self) -> None:
        """Stops the control service and then the consensus node."""
        if self._service_task is not None:
            self._service_task.cancel()
            await asyncio.gather(self._service_task, return_exceptions=True)
        await self.node.stop()


class Shared:
    """Objects that all components of an instance share."""

    def __init__(self, settings: generated.DaemonSettings) -> None:
        self.clock = clock_lib.SystemClock()
        self.rng = random.Random(settings.seed or secrets.randbits(64))
        self.timeline = events.Timeline(self.clock, settings.instance_id)
        self.authenticator = auth.Authenticator(
            settings.key_file, self.clock, settings.instance_id
        )
        self.tls = tls.make_contexts(settings)
        # The start time serves as incarnation number. It increases with each
        # start unless the wall clock is set back by more than the time
        # between two starts.
        self.identity = peer.Identity(
            settings.instance_id, time.time_ns(), settings.zone
        )
        host, _ = settings_lib.split_address(settings.peer_listen)
        self.context = peer.PeerContext(
            self.identity,
            self.authenticator,
            self.clock,
            self.timeline,
            self.tls.client,
            self.tls.peer_server,
            host,
        )
        self.directory = peer.Directory(self.context)
        self.handlers = peer.Handlers()
        self.groups = groups_lib.Groups(self.handlers)


def list_control_peers(
    settings: generated.DaemonSettings,
) -> list[tuple[str, str]]:
    """Returns the name and peer address of each control instance."""
    pairs = [
        peer_setting.partition("=") for peer_setting in settings.control_peers
    ]
    return [(name, address) for name, _, address in pairs]


def get_peer_address(settings: generated.DaemonSettings) -> str:
    """Returns the address at which other instances reach this one."""
    return settings.peer_advertise or settings.peer_listen


def make_instance_item(
    settings: generated.DaemonSettings, identity: peer.Identity
) -> control_messages.InstanceItem:
    """Returns the entry of this instance for the instance registry."""
    return control_messages.InstanceItem(
        instance=identity.instance,
        incarnation=identity.incarnation,
        zone=identity.zone,
        roles=settings.roles,
        peer_address=get_peer_address(settings),
        caller_address=settings.caller_advertise or settings.caller_listen,
        admin_address=settings.admin_listen,
    )


class InstanceService(aiomisc.Service):
    """Runs one instance as an aiomisc service."""

    def __init__(self, settings: generated.DaemonSettings) -> None:
        super().__init__()
        self._settings = settings
        self._exit_stack = contextlib.AsyncExitStack()
        self._control: ControlRole | None = None
        self._entry: entry_server.EntryServer | None = None
        # Lifecycle phase that keeps the instance from being ready, or empty.
        self._state = "starting"

    async def start(self) -> None:
        """Starts all components; stops those already started if one fails.

        Raises:
            startup.StartupError: An address or the data folder cannot be used.
        """
        try:
            await self._start_components()
        except BaseException:
            await self._exit_stack.aclose()
            raise

    async def stop(self, exception: Exception | None = None) -> None:
        """Shuts down gracefully.

        The instance first reports that it is not ready. The entry role then
        waits until load balancers have noticed and finishes the requests in
        flight. Only then does the instance leave its consensus groups and
        close its connections.
        """
        _log.info("Stopping.")
        self._state = "stopping"
        self._shared.timeline.record("instance", "stopping")
        await self._exit_stack.aclose()
        self._shared.timeline.record("instance", "stopped")
        _log.info("Stopped.")

    async def _start_components(self) -> None:
        # The exit stack stops the components in reverse order of their start.
        settings = self._settings
        for path in tls.find_world_readable(
            (settings.key_file, settings.tls_key)
        ):
            _log.warning("%s can be read by all users of the machine.", path)
        self._shared = shared = Shared(settings)
        self._peer_server = peer.Server(shared.context, shared.handlers)
        self._http_session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(ssl=shared.tls.client or True)
        )
        self._exit_stack.push_async_callback(self._http_session.close)
        self._exit_stack.push_async_callback(shared.directory.close)
        self._reload_task = asyncio.create_task(self._reload_tls_files())
        self._exit_stack.callback(self._reload_task.cancel)
        if "control" in settings.roles:
            self._control = ControlRole(settings, shared)
        self._zone_member = self._make_zone_member()
        self._connect_metrics()
        await self._start_admin()
        await startup.listen(
            "--peer-listen",
            settings.peer_listen,
            self._peer_server.start(
                *settings_lib.split_address(settings.peer_listen)
            ),
        )
        self._exit_stack.push_async_callback(self._peer_server.stop)
        if self._control is not None:
            self._exit_stack.push_async_callback(self._control.stop)
            await self._control.start()
        await self._zone_member.start()
        self._exit_stack.push_async_callback(self._zone_member.stop)
        if "entry" in settings.roles:
            await self._start_entry()
        self._state = ""
        shared.timeline.record(
            "instance", "started", incarnation=shared.identity.incarnation
        )
        _log.info("Started. Roles: %s.", ", ".join(settings.roles))

    def _connect_metrics(self) -> None:
        shared = self._shared
        shared.timeline.add_listener(gauges.count_event)
        gauges.connect(
            gauges.MetricSources(
                shared.groups,
                self._zone_member,
                self._control.service if self._control else None,
                shared.clock,
                self._check_readiness,
                lambda: self._entry.in_flight if self._entry else 0,
            )
        )

    async def _reload_tls_files(self) -> None:
        while True:
            await self._shared.clock.sleep(tls.RELOAD_INTERVAL_S)
            self._shared.tls.reload()

    def _make_zone_member(self) -> member_lib.ZoneMember:
        settings, shared = self._settings, self._shared
        return member_lib.ZoneMember(
            shared.identity,
            make_instance_item(settings, shared.identity),
            tuple(address for _, address in list_control_peers(settings)),
            shared.directory,
            shared.handlers,
            shared.groups,
            shared.clock,
            shared.rng,
            shared.timeline,
            self._make_policy,
            upstream_client.HttpUpstreamClient(self._http_session),
        )

    def _make_policy(self, *arguments: Any) -> policy.Policy:
        return policy.make_policy(
            self._settings.placement_policy, self._shared.rng
        )

    async def _start_entry(self) -> None:
        settings, shared = self._settings, self._shared
        count_entry_instances = self._zone_member.count_entry_instances
        queues = queues_lib.Queues(
            shared.clock, shared.rng, count_entry_instances
        )
        gate = gate_lib.Gate(shared.clock, shared.rng, count_entry_instances)
        gate.set_upstream_wait_source(queues.get_longest_wait_s)
        entry = entry_server.EntryServer(
            member=self._zone_member,
            authenticator=shared.authenticator,
            clock=shared.clock,
            rng=shared.rng,
            timeline=shared.timeline,
            instance=shared.identity,
            gate=gate,
            queues=queues,
            budget=retry.RetryBudget(shared.clock),
            server_tls=shared.tls.server,
            client_tls=shared.tls.client,
            instance_count=count_entry_instances,
            account=memory_account.MemoryAccount(
                settings.body_memory_mb * _BYTES_PER_MIB
            ),
        )
        self._exit_stack.push_async_callback(self._stop_entry, entry)
        addresses = (settings.caller_listen, settings.upstream_listen)
        try:
            await entry.start(*addresses)
        except OSError as error:
            # The caller address is set once the caller listener has started, so
            # a set address means that the upstream listener failed.
            failed_upstream_listen = bool(entry.caller_address)
            setting = ("--caller-listen", "--upstream-listen")[
                failed_upstream_listen
            ]
            address = addresses[failed_upstream_listen]
            raise startup.make_listen_error(setting, address, error) from error
        self._entry = entry

    async def _stop_entry(self, entry: entry_server.EntryServer) -> None:
        if self._entry is None:
            await entry.stop(0.0)
        else:
            await entry.stop(self._settings.shutdown_grace_s)

    async def _start_admin(self) -> None:
        shared, control = self._shared, self._control
        application = app.make_app(
            dependencies_lib.AdminDependencies(
                instance=self._settings.instance_id,
                clock=shared.clock,
                timeline=shared.timeline,
                authenticator=shared.authenticator,
                check_readiness=self._check_readiness,
                member=self._zone_member,
                control=control.service if control else None,
                session=self._http_session,
                scheme="https" if shared.tls.server else "http",
            )
        )
        self._admin_runner = _AdminRunner(application, access_log=None)
        await self._admin_runner.setup()
        host, port = settings_lib.split_address(self._settings.admin_listen)
        self._exit_stack.push_async_callback(self._admin_runner.cleanup)
        site = web.TCPSite(
            self._admin_runner, host, port, ssl_context=shared.tls.server
        )
        await startup.listen(
            "--admin-listen", self._settings.admin_listen, site.start()
        )

    def _check_readiness(self) -> tuple[str, ...]:
        """Returns the reasons why this instance is not ready."""
        reasons = [self._state] if self._state else []
        component = self._entry or self._zone_member
        ready, reason = component.is_ready()
        if not ready:
            reasons.append(reason)
        control_failure = self._control.get_failure() if self._control else ""
        if control_failure and not self._state:
            reasons.append(f"control: {control_failure}")
        return tuple(reasons)
