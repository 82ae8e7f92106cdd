"""Fixtures: the admin API of a control group with a single member."""

import json
from typing import Any

import aiohttp
from aiohttp import test_utils
import pytest
from returns.result import Failure
from returns.result import Success

from bamboosill_common import auth
from bamboosill_common import clock as clock_lib
from bamboosill_common import errors
from bamboosill_common import events
from bamboosill_common import wire
from bamboosill_common.generated import consensus
from bamboosill_common.generated import control as messages
from bamboosill_common.generated import zone as zone_messages
from bamboosilld.admin import app as app_lib
from bamboosilld.admin import dependencies as dependencies_lib
from bamboosilld.consensus import core
from bamboosilld.control import service as service_lib
from bamboosilld.control import state as state_lib

LEADER = consensus.Member("c1", 0, "127.0.0.1:1", True)


class FakeNode:
    """A consensus node that applies each command immediately.

    Attributes:
        failure: Error that all calls return, or None.
    """

    def __init__(self, state: state_lib.ControlState) -> None:
        self.state = state
        self.is_leader = True
        self.elected_at_s = 0.0
        self.index = 0
        self.failure: errors.ProposeError | None = None
        self.leader = LEADER
        self.membership = consensus.Membership((LEADER,))

    def has_leader_lease(self) -> bool:
        """Returns whether this node is the leader."""
        return self.is_leader

    async def propose(self, command: bytes, deadline_s: float) -> Any:
        """Applies a command."""
        if self.failure:
            return Failure(self.failure)
        self.index += 1
        value = self.state.apply(self.index, command)
        return Success(core.AppliedCommand(self.index, 1, value))

    async def read_barrier(self, deadline_s: float) -> Any:
        """Succeeds unless a failure is set."""
        return Failure(self.failure) if self.failure else Success(None)

    async def add_learner(self, member: Any, deadline_s: float) -> Any:
        """Adds a learner."""
        return self._put(member.instance, member._replace(voter=False))

    async def promote(self, member: Any, deadline_s: float) -> Any:
        """Makes a member a voter."""
        return self._put(member.instance, member._replace(voter=True))

    async def remove(self, member: Any, deadline_s: float) -> Any:
        """Removes a member."""
        return self._put(member.instance)

    def _put(self, name: str, *new: Any) -> Any:
        if self.failure:
            return Failure(self.failure)
        other_members = [
            e for e in self.membership.members if e.instance != name
        ]
        self.membership = consensus.Membership((*other_members, *new))
        return Success(None)


class FakeMember:
    """Membership in a zone that has the single upstream u1."""

    def __init__(self) -> None:
        self.drained: list[str] = []

    def list_upstreams(self) -> tuple[zone_messages.Upstream, ...]:
        """Returns the upstream."""
        return (zone_messages.Upstream(id="u1", zone="za", service="shop"),)

    async def drain_upstream(self, upstream_id: str) -> Any:
        """Drains the upstream."""
        if upstream_id != "u1":
            status = zone_messages.CommandStatus(code="unknown_upstream")
            return Success(status)
        self.drained.append(upstream_id)
        return Success(zone_messages.CommandStatus(ok=True))

    async def explain_key(self, customer: str, service: str, key: str) -> Any:
        """Returns a fixed owner and fence."""
        return Success({"owner": "u1", "fence": 7, "status": "owned"})


class Admin:
    """A control instance c1 that serves its admin port."""

    def __init__(self, key_file: str = "") -> None:
        self.clock = clock_lib.LoopClock()
        self.state = state_lib.ControlState()
        self.node = FakeNode(self.state)
        self.timeline = events.Timeline(self.clock, "c1")
        self.service = service_lib.ControlService(
            node=self.node,
            state=self.state,
            clock=self.clock,
            timeline=self.timeline,
            shards_per_keyspace=64,
        )
        self.member = FakeMember()
        self.reasons: tuple[str, ...] = ()
        self.authenticator = auth.Authenticator(key_file, self.clock)
        self.address = ""

    async def start(self) -> None:
        """Serves the admin port and registers the instance in zone za."""
        assert await self.service._take_over()
        self.session = aiohttp.ClientSession()
        dependencies = dependencies_lib.AdminDependencies(
            instance="c1",
            authenticator=self.authenticator,
            clock=self.clock,
            timeline=self.timeline,
            check_readiness=lambda: self.reasons,
            member=self.member,
            control=self.service,
            session=self.session,
        )
        self.server = test_utils.TestServer(app_lib.make_app(dependencies))
        self.client = test_utils.TestClient(self.server)
        await self.client.start_server()
        self.address = f"127.0.0.1:{self.server.port}"
        item = messages.InstanceItem(
            instance="c1", incarnation=1, zone="za", admin_address=self.address
        )
        await self.propose(messages.PutInstance(item=item))
        zone = messages.ZoneItem(
            zone="za", group_epoch=1, founder="c1", founder_incarnation=1
        )
        await self.propose(messages.FoundZone(item=zone))

    async def propose(self, command: Any) -> Any:
        """Applies a command."""
        return (await self.node.propose(wire.pack(command), 1)).unwrap().value

    async def ask(
        self, method: str, path: str, body: Any = None, **options: Any
    ) -> tuple[int, Any]:
        """Sends a request; returns status and JSON document of the response."""
        async with self.client.request(
            method, path, json=body, **options
        ) as response:
            return response.status, await response.json()

    async def stop(self) -> None:
        """Closes the test client and the HTTP session."""
        await self.client.close()
        await self.session.close()


@pytest.fixture
async def admin():
    started_admin = Admin()
    await started_admin.start()
    yield started_admin
    await started_admin.stop()


@pytest.fixture
async def admin_with_keys(tmp_path):
    keys = [
        {"id": role, "secret": "s" * 32, "roles": [role]}
        for role in ("operator", "caller")
    ]
    path = tmp_path / "keys.json"
    path.write_text(json.dumps({"keys": keys}))
    started_admin = Admin(str(path))
    await started_admin.start()
    yield started_admin
    await started_admin.stop()
