"""A control service on a fake consensus node, and fake zones, for tests."""

from typing import Any

import pytest
from returns.result import Failure
from returns.result import Success

from bamboosill_common import clock as clock_lib
from bamboosill_common import contract as contract_lib
from bamboosill_common import errors
from bamboosill_common import events
from bamboosill_common import peer
from bamboosill_common import wire
from bamboosill_common.generated import consensus
from bamboosill_common.generated import control as messages
from bamboosill_common.generated import peer as peer_messages
from bamboosilld.consensus import core
from bamboosilld.control import delegation
from bamboosilld.control import service as service_lib
from bamboosilld.control import state as state_lib
from bamboosilld.control import timing


class FakeNode:
    """Consensus node of a one-member group that applies commands at once."""

    def __init__(self, state: state_lib.ControlState) -> None:
        self.state = state
        self.is_leader = True
        self.lease = True
        self.elected_at_s = 0.0
        self.index = 0
        self.failure: errors.ProposeError | None = None
        self.before_propose: Any = None
        self.leader = consensus.Member("c1", 1, "127.0.0.1:1", True)
        self.membership = consensus.Membership((self.leader,))

    def has_leader_lease(self) -> bool:
        """Returns whether this member leads and has its lease."""
        return self.is_leader and self.lease

    async def propose(self, command: bytes, deadline_s: float) -> Any:
        """Applies the command, or returns the failure that the test set."""
        if self.before_propose is not None:
            await self.before_propose(command)
        if self.failure:
            return Failure(self.failure)
        self.index += 1
        return Success(
            core.AppliedCommand(
                self.index, 1, self.state.apply(self.index, command)
            )
        )

    async def read_barrier(self, deadline_s: float) -> Any:
        """Succeeds."""
        return Success(None)


class ControlGroup:
    """A control service with shortcuts for the requests that tests send."""

    def __init__(self, shards: int) -> None:
        self.clock = clock_lib.LoopClock()
        self.state = state_lib.ControlState()
        self.node = FakeNode(self.state)
        self.timeline = events.Timeline(self.clock, "c1")
        self.service = service_lib.ControlService(
            node=self.node,
            state=self.state,
            clock=self.clock,
            timeline=self.timeline,
            shards_per_keyspace=shards,
        )
        self.handlers = peer.Handlers()
        self.service.register_handlers(self.handlers)

    async def send(self, message: Any, instance: str = "") -> Any:
        """Sends a peer message and returns the answer."""
        return await self.handlers.dispatch(
            message, peer_messages.Hello(instance=instance)
        )

    async def register(
        self,
        instance: str,
        zone: str = "za",
        incarnation: int = 1,
        address: str = "",
    ) -> Any:
        """Registers an instance."""
        item = messages.InstanceItem(
            instance=instance,
            incarnation=incarnation,
            zone=zone,
            roles=("entry",),
            peer_address=address or f"127.0.0.1:{instance}",
        )
        return await self.send(messages.RegisterInstance(item=item), instance)

    async def accept(
        self,
        customer: str = "a",
        zone_loss: str = "lapse",
        base: int = 0,
        zones: str = "",
    ) -> messages.CommandResult:
        """Submits a contract."""
        text = f"""
customer: {customer}
services:
  - name: shop
    zone_loss: {zone_loss}
    {f"zones: {zones}" if zones else ""}
    limits: {{rate_per_s: 10, concurrency: 4}}
    deadline_ms: {{default: 1000, longest: 4000}}
"""
        contract = contract_lib.parse(text).unwrap()
        command = messages.AcceptContract(
            base_revision=base,
            customer=customer,
            document=contract_lib.normalise(contract),
        )
        return (await self.service.submit(command)).unwrap()

    def list_shards(self, keyspace: str = "") -> list[delegation.Shard]:
        """Returns the delegations of a keyspace, by default the first."""
        name = keyspace or next(iter(self.state.tables.keyspaces))
        return delegation.read_shards(self.state.tables, name)

    def count_shards(self, keyspace: str = "") -> dict[str, int]:
        """Returns the number of shards by zone."""
        held: dict[str, int] = {}
        for shard in self.list_shards(keyspace):
            held[shard.zone] = held.get(shard.zone, 0) + 1
        return held


class FakeZone:
    """Leader of a zone group, reduced to what the control group sees of it."""

    def __init__(self, group: ControlGroup, name: str, slots: int) -> None:
        self.group = group
        self.name = name
        self.slots = slots
        self.max_unfenced_deadline_ms = 0
        self.last_id_ms = 0
        self.group_epoch = 1
        self.term = 1
        self.applied_revision = 0
        self.releases_shards = True
        self.applies_replies = True
        self.live_ids: tuple[str, ...] = (f"{name}1",)
        self.voters: dict[str, int] = {}
        self.reply = messages.ZoneBeatReply()

    def list_released(self) -> tuple[messages.ShardRelease, ...]:
        """Returns the releases of the shards that the zone must release."""
        return tuple(
            messages.ShardRelease(name, index, shard.epoch, self.last_id_ms)
            for name in self.group.state.tables.keyspaces
            for index, shard in enumerate(self.group.list_shards(name))
            if self.releases_shards
            and shard.releasing
            and shard.zone == self.name
        )

    async def send_heartbeat(self) -> messages.ZoneBeatReply:
        """Sends a heartbeat and applies the reply."""
        load = messages.ServiceLoad(
            service="shop",
            slots=self.slots,
            upstreams=1,
            unfenced_deadline_ms=self.max_unfenced_deadline_ms,
        )
        self.reply = await self.group.send(
            messages.ZoneBeat(
                zone=self.name,
                group_epoch=self.group_epoch,
                group_term=self.term,
                applied_revision=self.applied_revision,
                services=(load,),
                released=self.list_released(),
                live_instances=self.live_ids,
                voters=tuple(self.voters),
                voter_incarnations=tuple(self.voters.values()),
            )
        )
        if self.applies_replies:
            self.applied_revision = self.reply.revision
        return self.reply


class Harness:
    """Runs a control service and its zones in virtual time."""

    def __init__(self, shards: int = 64) -> None:
        self.group = ControlGroup(shards)
        self.zones: dict[str, FakeZone] = {}

    async def add_zone(self, name: str, slots: int = 6) -> FakeZone:
        """Registers the first instance of a zone."""
        await self.group.register(f"{name}1", name)
        self.zones[name] = FakeZone(self.group, name, slots)
        return self.zones[name]

    async def run(self, seconds: float, *silent: str) -> None:
        """Runs for some time; all zones but the silent ones send heartbeats."""
        clock = self.group.clock
        end_s = clock.monotonic() + seconds
        while clock.monotonic() < end_s - 1e-6:
            await clock.sleep(timing.TICK_INTERVAL_S)
            for name, zone in self.zones.items():
                if name not in silent:
                    await zone.send_heartbeat()
            await self.group.service.tick()


@pytest.fixture
async def harness():
    started_harness = Harness()
    assert await started_harness.group.service._take_over()
    return started_harness


@pytest.fixture
def pack():
    return wire.pack
