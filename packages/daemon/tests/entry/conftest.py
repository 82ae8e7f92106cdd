"""Test harness: an entry server with a fake zone member and a test upstream."""

import asyncio
import contextlib
import random
import time
from typing import NamedTuple

import aiohttp
import pytest
from returns.result import Failure
from returns.result import Success

from bamboosill_common import auth
from bamboosill_common import clock
from bamboosill_common import errors
from bamboosill_common import events
from bamboosill_common import peer
from bamboosill_common.generated import zone as zone_messages
from bamboosill_dev.upstream import options
from bamboosill_dev.upstream import process
from bamboosilld.entry import identity
from bamboosilld.entry import server

# Makes a hanging test fail; passing tests never reach it.
_HANG_TIMEOUT = aiohttp.ClientTimeout(total=60)
KEYSPACE = "shopfront/hold/all"
FENCE = 5


class _Limits(NamedTuple):
    max_header_bytes: int = 2000
    max_body_bytes: int = 5000


class _Deadlines(NamedTuple):
    default: int = 1000
    longest: int = 3000


class _Operation(NamedTuple):
    repeatable: bool
    traffic_class: str = "counter"


class _Service(NamedTuple):
    limits: _Limits = _Limits()
    name: str = "shopfront"
    deadlines: _Deadlines = _Deadlines()
    weight: float = 1.0

    def find_operation(self, method, path):
        return _Operation(method in ("GET", "HEAD") or path != "/orders")


class _Contract(NamedTuple):
    services: tuple = (_Service(),)
    customer: str = "acme"

    def find_service(self, name):
        return next((each for each in self.services if each.name == name), None)


class _Quarantine(NamedTuple):
    until_ms: int
    crashes: tuple = (("u1", 1, 5), ("u2", 1, 6))


class _Route(NamedTuple):
    status: str = "unassigned"
    keyspace: str = KEYSPACE
    shard: int = 1
    key: str = ""
    fence: int = FENCE
    upstream: zone_messages.Upstream | None = None
    zone: str = "z1"
    addresses: tuple = ()


class _FakeMember:
    """Uses the next route of `routes`, else `default_route` or `upstream`."""

    def __init__(self):
        self.clock_skew_ms = 0
        self.upstream = None
        self.routes = []
        self.default_route = None
        self.by_customer = {"acme": _Contract()}
        self.records = {}
        self.proposed = []
        self.propose_errors = {}
        self.lease_valid = True
        self.in_flight = 0
        self.quarantined = set()
        self.ready = (True, "")
        self.beats = []
        self.announced = []
        self.beat_result = Success(
            zone_messages.UpstreamBeatReply(code="ok", lease_ms=1500)
        )
        self.announce_result = Success(None)

    def find_contract(self, customer):
        return self.by_customer.get(customer)

    def route(self, customer, service, key):
        if self.routes:
            return self.routes.pop(0)
        if self.default_route is not None:
            return self.default_route
        if self.upstream is None:
            return _Route()
        return _Route("local", key=key, upstream=self.upstream)

    async def wait_for_routing_change(self, deadline_s):
        await asyncio.sleep(min(deadline_s, 0.01))

    def begin_dispatch(self, route, deadline_s):
        self.in_flight += 1
        return route

    def check_dispatch(self, dispatch):
        return self.lease_valid

    def end_dispatch(self, dispatch):
        self.in_flight -= 1

    async def propose(self, message, deadline_s):
        self.proposed.append(message)
        name = type(message).__name__
        if name in self.propose_errors:
            unknown = self.propose_errors[name]
            return Failure(errors.ProposeError("timeout", "test", unknown))
        return Success(self._apply(name, message))

    def _apply(self, name, message):
        if name == "BeginRequest":
            record = self.records.get(message.id)
            if record is not None:
                return record
            self.records[message.id] = zone_messages.RecordStatus("in_progress")
            return zone_messages.RecordStatus("new")
        if name == "FinishRequest":
            status = "finished" if message.outcome == "answer" else "unknown"
            self.records[message.id] = zone_messages.RecordStatus(
                status,
                message.status,
                message.body,
                message.content_type,
                message.stored,
            )
        if name == "AbandonRequest":
            self.records.pop(message.id, None)
        return None

    def count(self, name):
        return sum(type(each).__name__ == name for each in self.proposed)

    def find_quarantine(self, fingerprint):
        return _Quarantine(9) if fingerprint in self.quarantined else None

    def list_contracts(self):
        return self.by_customer

    def list_upstreams(self):
        return [self.upstream] if self.upstream else []

    def set_load_reporter(self, reporter):
        self.reporter = reporter

    def add_share_listener(self, listener):
        self.share_listener = listener

    def add_contract_listener(self, listener):
        self.contract_listener = listener

    async def forward_heartbeat(self, beat):
        self.beats.append(beat)
        return self.beat_result

    async def register_upstream(self, upstream):
        self.announced.append(upstream)
        return self.announce_result

    def is_ready(self):
        return self.ready


class EntryHarness:
    """An entry instance, its fake member, and an upstream with all grants."""

    def __init__(self, stack):
        self._stack = stack
        self.member = _FakeMember()
        self.clock = clock.SystemClock()

    async def start(self, authenticator=None, **parts):
        self.entry = await self.start_entry(self.member, authenticator, **parts)
        self.session = await self._stack.enter_async_context(
            aiohttp.ClientSession(timeout=_HANG_TIMEOUT)
        )
        # Automatic retries of aiohttp would hide faults.
        self.session._retry_connection = False

    async def start_entry(self, member, authenticator=None, **parts):
        entry = server.EntryServer(
            member=member,
            authenticator=authenticator or auth.Authenticator("", self.clock),
            clock=self.clock,
            rng=random.Random(1),
            timeline=events.Timeline(self.clock, "e1"),
            instance=peer.Identity("e1", 1, "z1"),
            **parts,
        )
        await entry.start("127.0.0.1:0", "127.0.0.1:0")
        self._stack.push_async_callback(entry.stop, 0.0, 0.0)
        return entry

    async def start_upstream(self, **changes):
        upstream = process.Upstream(options.Options(**changes))
        await upstream.start()
        self._stack.push_async_callback(upstream.stop)
        upstream.grants.apply_heartbeat(
            time.monotonic(),
            {
                "unchanged": False,
                "grants_version": 1,
                "lease_ms": 60_000,
                "lapse_lease_ms": 60_000,
                "grants": [{"keyspace": KEYSPACE, "shard": 1, "fence": FENCE}],
            },
        )
        self.upstream = upstream
        self.member.upstream = zone_messages.Upstream(
            id=changes.get("id", "u1"),
            incarnation=upstream.heartbeats.incarnation,
            address=upstream.address,
            slots=6,
            connections=20,
            checks_fences=True,
            accepts_cancellation=changes.get("accepts_cancellation", True),
        )
        return upstream

    async def wait_until(self, predicate):
        for _ in range(1000):
            if predicate():
                return
            await asyncio.sleep(0.01)
        raise AssertionError("condition not reached")

    def get_pool(self):
        """Returns the connection pool of the upstream."""
        upstream = self.member.upstream
        return self.entry._dispatcher.pools.get(
            upstream.address,
            upstream.connections,
            identity.Identity(upstream.id, upstream.incarnation),
        )

    def make_route(self, status, **fields):
        return _Route(status, **fields)

    def make_member(self):
        return _FakeMember()

    async def send(self, method="GET", path="/shopfront/items", **changes):
        """Returns status, headers and body; status 0 for a broken response."""
        fields = {
            "Bamboosill-Customer": "acme",
            "Bamboosill-Key": "k1",
            "Bamboosill-Deadline-Ms": "2000",
        }
        fields.update(changes.pop("headers", {}))
        fields = {name: text for name, text in fields.items() if text}
        address = changes.pop("address", self.entry.caller_address)
        try:
            async with self.session.request(
                method, f"http://{address}{path}", headers=fields, **changes
            ) as response:
                return response.status, response.headers, await response.read()
        except aiohttp.ClientError as error:
            return 0, {}, str(error).encode()


@pytest.fixture
async def harness():
    async with contextlib.AsyncExitStack() as stack:
        yield EntryHarness(stack)
