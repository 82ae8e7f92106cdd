"""Assembles one instance from its settings and runs it."""

import asyncio
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
from bamboosilld.admin import app
from bamboosilld.admin import ports
from bamboosilld.admission import gate as gate_lib
from bamboosilld.admission import queues as queues_lib
from bamboosilld.admission import retry
from bamboosilld.consensus import groups as groups_lib
from bamboosilld.consensus import node as node_lib
from bamboosilld.control import service as control_service
from bamboosilld.control import state as control_state
from bamboosilld.entry import server as entry_server
from bamboosilld.placement import policy
from bamboosilld.storage import disk
from bamboosilld.zone import member as member_lib
from bamboosilld.zone import upstream_client

CONTROL_GROUP = "control"

_log = logs.get_logger("instance")


class ControlRole:
    """The control role of one instance."""

    def __init__(
        self,
        settings: generated.DaemonSettings,
        shared: "Shared",
    ) -> None:
        self._shared = shared
        members = tuple(
            consensus_messages.Member(name, 0, address, True)
            for name, address in list_control_peers(settings)
        )
        own = next(m for m in members if m.instance == settings.instance_id)
        self.state = control_state.ControlState()
        self.node = node_lib.Node(
            node_lib.GroupConfig(
                CONTROL_GROUP, own, consensus_messages.Membership(members)
            ),
            disk.DiskStorage(
                pathlib.Path(settings.data_dir),
                consensus_messages.StorageIdentity(
                    CONTROL_GROUP, settings.instance_id
                ),
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
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts the consensus node and the leader's duties."""
        await self.node.start()
        self._shared.groups.add(CONTROL_GROUP, self.node)
        self._task = asyncio.create_task(self.service.run())

    async def stop(self) -> None:
        """Stops both."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self.node.stop()


class Shared:
    """What all parts of an instance share."""

    def __init__(self, settings: generated.DaemonSettings) -> None:
        self.clock = clock_lib.SystemClock()
        self.rng = random.Random(settings.seed or secrets.randbits(64))
        self.timeline = events.Timeline(self.clock, settings.instance_id)
        self.authenticator = auth.Authenticator(
            settings.key_file, self.clock, settings.instance_id
        )
        # Grows with each start as long as the wall clock does not go back
        # further than the time between two starts.
        self.identity = peer.Identity(
            settings.instance_id, time.time_ns(), settings.zone
        )
        host, _ = settings_lib.split_address(settings.peer_listen)
        self.context = peer.PeerContext(
            self.identity,
            self.authenticator,
            self.clock,
            self.timeline,
            tls.make_client_context(settings),
            tls.make_server_context(settings),
            host,
        )
        self.directory = peer.Directory(self.context)
        self.handlers = peer.Handlers()
        self.groups = groups_lib.Groups(self.handlers)


def list_control_peers(
    settings: generated.DaemonSettings,
) -> list[tuple[str, str]]:
    """Returns name and peer address of each control instance."""
    pairs = [part.partition("=") for part in settings.control_peers]
    return [(name, address) for name, _, address in pairs]


def make_instance_item(
    settings: generated.DaemonSettings, identity: peer.Identity
) -> control_messages.InstanceItem:
    """Returns what this instance registers of itself."""
    return control_messages.InstanceItem(
        instance=identity.instance,
        incarnation=identity.incarnation,
        zone=identity.zone,
        roles=settings.roles,
        peer_address=settings.peer_advertise or settings.peer_listen,
        caller_address=settings.caller_advertise or settings.caller_listen,
        admin_address=settings.admin_listen,
    )


class InstanceService(aiomisc.Service):
    """One instance of bamboosill."""

    def __init__(self, settings: generated.DaemonSettings) -> None:
        super().__init__()
        self._settings = settings
        self.exit_code = 0

    async def start(self) -> None:
        """Starts all parts of the instance."""
        settings = self._settings
        self._shared = shared = Shared(settings)
        self._server = peer.Server(shared.context, shared.handlers)
        self._session = aiohttp.ClientSession()
        self._control: ControlRole | None = None
        if "control" in settings.roles:
            self._control = ControlRole(settings, shared)
        self._member = member_lib.ZoneMember(
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
            upstream_client.HttpUpstreamClient(self._session),
        )
        await self._server.start(
            *settings_lib.split_address(settings.peer_listen)
        )
        if self._control is not None:
            await self._control.start()
        await self._member.start()
        self._entry: entry_server.EntryServer | None = None
        if "entry" in settings.roles:
            await self._start_entry()
        await self._start_admin()
        shared.timeline.record(
            "instance", "started", incarnation=shared.identity.incarnation
        )
        _log.info("Started. Roles: %s.", ", ".join(settings.roles))

    async def stop(self, exception: Exception | None = None) -> None:
        """Stops gracefully: readiness goes first, connections last."""
        _log.info("Stopping.")
        if self._entry is not None:
            await self._entry.stop(self._settings.shutdown_grace_s)
        await self._member.stop()
        if self._control is not None:
            await self._control.stop()
        await self._server.stop()
        await self._shared.directory.close()
        await self._session.close()
        await self._admin.cleanup()
        _log.info("Stopped.")

    def _make_policy(self, *arguments: Any) -> policy.Policy:
        return policy.make_policy(
            self._settings.placement_policy, self._shared.rng
        )

    async def _start_entry(self) -> None:
        shared = self._shared
        count = self._member.count_entry_instances
        queues = queues_lib.Queues(shared.clock, shared.rng, count)
        gate = gate_lib.Gate(shared.clock, shared.rng, count)
        gate.watch_queues(queues.get_longest_wait_s)
        self._entry = entry_server.EntryServer(
            member=self._member,
            authenticator=shared.authenticator,
            clock=shared.clock,
            rng=shared.rng,
            timeline=shared.timeline,
            instance=shared.identity,
            gate=gate,
            queues=queues,
            budget=retry.Budget(shared.clock),
            instance_count=count,
        )
        await self._entry.start(
            self._settings.caller_listen, self._settings.upstream_listen
        )

    async def _start_admin(self) -> None:
        shared, control = self._shared, self._control
        application = app.make_app(
            ports.Parts(
                instance=self._settings.instance_id,
                clock=shared.clock,
                timeline=shared.timeline,
                authenticator=shared.authenticator,
                check_readiness=self._check_readiness,
                member=self._member,
                control=control.service if control else None,
                session=self._session,
            )
        )
        self._admin = web.AppRunner(application, access_log=None)
        await self._admin.setup()
        host, port = settings_lib.split_address(self._settings.admin_listen)
        await web.TCPSite(self._admin, host, port).start()

    def _check_readiness(self) -> tuple[str, ...]:
        """Returns the reasons why this instance is not ready."""
        part = self._entry or self._member
        ready, reason = part.is_ready()
        reasons = [] if ready else [reason]
        if self._control is not None and self._control.node.failure:
            reasons.append(f"control: {self._control.node.failure}")
        return tuple(reasons)
