"""Fixtures: an authority that leads without a consensus group."""

import asyncio
import random

import pytest
from returns.result import Failure
from returns.result import Success

from bamboosill_common import errors
from bamboosill_common import wire
from bamboosill_common.generated import fleet as messages
from bamboosilld.consensus import core as core_lib
from bamboosilld.fleet import authority as authority_lib
from bamboosilld.fleet import state as state_lib


class Clock:
    """A clock that tests advance."""

    def __init__(self):
        self.now_s = 1000.0

    def monotonic(self):
        return self.now_s

    def wall_ms(self):
        return int(self.now_s * 1000)

    async def sleep(self, seconds):
        self.now_s += seconds
        await asyncio.sleep(0)


class Node:
    """A consensus node that commits at once, or when `commits` is set.

    Attributes:
        post_commit_delay_s: Delay between commit and return of `propose`.
        loses_replies: Whether leadership is lost after a commit, so that its
            proposer does not learn of it.
    """

    def __init__(self, state):
        self._state = state
        self._index = 0
        self.is_leader = True
        self.elected_at_s = 1.0
        self.post_commit_delay_s = 0.0
        self.commits = asyncio.Event()
        self.commits.set()
        self.loses_replies = False
        self.barriers = 0

    def has_leader_lease(self):
        return self.is_leader

    def has_applied_earlier_terms(self):
        return True

    async def propose(self, command, deadline_s):
        await self.commits.wait()
        self._index += 1
        index, value = self._index, self._state.apply(self._index, command)
        # Other tasks run between the commit and the proposer's next step.
        await asyncio.sleep(self.post_commit_delay_s)
        if self.loses_replies:
            self.is_leader = False
            return Failure(errors.ProposeError("not_leader", "lost", True))
        return Success(core_lib.AppliedCommand(index, 1, value))

    async def read_barrier(self, deadline_s):
        self.barriers += 1
        if not self.is_leader:
            return Failure(errors.ProposeError("not_leader", "lost", False))
        return Success(self._index)


def make_configuration(version=1, base=0, **changes):
    """Returns a whole configuration with a plain and a sharded service."""
    change = messages.ChangeConfiguration(
        version=version,
        base=base,
        digest=f"{version}/{base}/{sorted(changes)}".encode(),
        whole=True,
        routes=(
            messages.RouteItem(
                name="r1",
                host="shop.example",
                path_prefix="/a/",
                idempotent=True,
                timeout_ms=1000,
                target_latency_ms=500,
                max_upstreams=2,
                service="plain",
            ),
        ),
        services=(
            messages.ServiceItem(name="plain"),
            messages.ServiceItem(name="keyed", sharded=True),
        ),
        limits=messages.CallerLimits(16384, 1 << 20, 3000, 15000),
        has_limits=True,
    )
    return change._replace(**changes)


def make_item(upstream, born_ms=1, **changes):
    """Returns an upstream of the sharded service, with default values."""
    item = messages.UpstreamItem(
        upstream=upstream,
        born_ms=born_ms,
        address=f"10.0.0.{sum(upstream.encode()) % 250}:80",
        service="keyed",
        zone="z1",
        slots=4,
    )
    return item._replace(**changes)


class NoCalls:
    """A client for deployments whose upstreams take no calls."""

    def retain(self, kept):
        pass


class Fleet:
    """An authority that leads, and its state."""

    def __init__(self):
        self.clock = Clock()
        self.state = state_lib.FleetState()
        self.node = Node(self.state)
        self.authority = authority_lib.Authority(
            self.node,
            self.state,
            self.clock,
            lease_s=4.0,
            heartbeat_s=1.0,
            call_client=NoCalls(),
            rng=random.Random(1),
        )
        self.sequence = 0
        self.state.apply(0, wire.pack(make_configuration()))
        assert self.authority.is_active_leader()

    async def report(self, item, holds=(), released=(), sequence=None):
        self.sequence += 1
        return await self.authority.handle_report(
            messages.UpstreamReport(
                item,
                self.sequence if sequence is None else sequence,
                tuple(holds),
                tuple(released),
            )
        )

    async def distribute(self, *items):
        """Registers upstreams and returns the keys that each one is granted.

        They report what they hold, as upstreams do.
        """
        for item in items:
            await self.report(item)
        self.clock.now_s += 2.5
        for item in items:
            await self.report(item)
        await self.authority.tick()
        grants = {
            item.upstream: (await self.report(item)).grants for item in items
        }
        for item in items:
            await self.report(item, grants[item.upstream])
        return grants


@pytest.fixture
async def fleet():
    return Fleet()
