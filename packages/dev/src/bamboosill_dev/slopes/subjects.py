"""Subjects of the slopes: state machines and messages of a given size.

The decorators `register_state` and `register_message` add a subject to the
lists that the command measures.
"""

from collections.abc import Callable
import functools
import pathlib
import random
from typing import Any
from typing import NamedTuple

from bamboosill_common import contract as contract_lib
from bamboosill_common import requestid
from bamboosill_common import wire
from bamboosill_common.generated import consensus as consensus_messages
from bamboosill_common.generated import control as control_messages
from bamboosill_common.generated import zone as zone_messages
from bamboosilld.control import state as control_state
from bamboosilld.zone import state as zone_state

ZONE = "z1"
KEYSPACE = "shopfront/hold/all"
SHARDS_PER_BATCH = 64
START_MS = 1_700_000_000_000
_EXAMPLE = pathlib.Path(__file__).parents[5] / "examples" / "grand-bois.yaml"

Commands = list[bytes]
CommandFactory = Callable[[int], Commands]


class StateSubject(NamedTuple):
    """A state machine and the commands that put `n` items into it.

    Attributes:
        name: Item that is counted.
        make_machine: Returns an empty state machine.
        make_setup: Returns commands that are applied first and not measured.
        make_commands: Returns the measured commands for `n` items.
        sizes: Three values of `n`, in ascending order.
    """

    name: str
    make_machine: Callable[[], Any]
    make_setup: CommandFactory
    make_commands: CommandFactory
    sizes: tuple[int, ...]


class MessageSubject(NamedTuple):
    """A message whose size depends on `n`.

    Attributes:
        name: Message and the item that is counted.
        make_message: Returns the message for `n` items.
        sizes: Three values of `n`, in ascending order.
    """

    name: str
    make_message: Callable[[int], Any]
    sizes: tuple[int, ...]


STATES: list[StateSubject] = []
MESSAGES: list[MessageSubject] = []


def register_message(
    name: str, *sizes: int
) -> Callable[[Callable[[int], Any]], Callable[[int], Any]]:
    """Returns a decorator that registers a function that makes a message."""

    def add(make_message: Callable[[int], Any]) -> Callable[[int], Any]:
        MESSAGES.append(MessageSubject(name, make_message, sizes))
        return make_message

    return add


def register_state(
    name: str,
    make_machine: Callable[[], Any],
    *sizes: int,
    make_setup: CommandFactory = lambda count: [],
) -> Callable[[CommandFactory], CommandFactory]:
    """Returns a decorator that registers a function that makes commands.

    Args:
        name: Item that is counted.
        make_machine: Returns an empty state machine.
        sizes: Three numbers of items, in ascending order.
        make_setup: Returns commands that are applied first and not measured.
    """

    def add(make_commands: CommandFactory) -> CommandFactory:
        STATES.append(
            StateSubject(name, make_machine, make_setup, make_commands, sizes)
        )
        return make_commands

    return add


def _make_zone() -> zone_state.ZoneState:
    return zone_state.ZoneState(ZONE, 1)


def _make_feed_command(revision: int, *items: Any) -> bytes:
    packed = tuple(wire.pack(item) for item in items)
    return wire.pack(zone_messages.ApplyFeed(revision, False, packed))


@functools.cache
def _parse_example() -> contract_lib.Contract:
    return contract_lib.parse(_EXAMPLE.read_text()).unwrap()


def _make_document(customer: str) -> str:
    contract = _parse_example()._replace(customer=customer)
    return contract_lib.normalise(contract)


def _make_delegation_setup(count: int) -> Commands:
    items: list[Any] = [
        control_messages.KeyspaceItem(
            KEYSPACE, 1, "shopfront", "hold", (), count
        )
    ]
    for first in range(0, count, SHARDS_PER_BATCH):
        size = min(SHARDS_PER_BATCH, count - first)
        items.append(
            control_messages.DelegationItem(
                KEYSPACE,
                1,
                first,
                (ZONE,) * size,
                (1,) * size,
                (1,) * size,
                (0,) * size,
                (False,) * size,
            )
        )
    upstream = _make_upstream(0)
    return [
        _make_feed_command(1, *items),
        wire.pack(zone_messages.PutUpstream(upstream)),
    ]


def _make_upstream(number: int) -> zone_messages.Upstream:
    return zone_messages.Upstream(
        id=f"shopfront-{number}",
        incarnation=1,
        service="shopfront",
        zone=ZONE,
        address=f"10.0.{number // 250}.{number % 250}:7500",
        slots=6,
        connections=110,
        checks_fences=True,
        state="warm",
    )


@register_state("zone: delegated shard", _make_zone, 1024, 4096, 16384)
def make_delegation_commands(count: int) -> Commands:
    """Returns commands that delegate shards to the zone."""
    return _make_delegation_setup(count)


@register_state(
    "zone: assigned shard",
    _make_zone,
    1024,
    4096,
    16384,
    make_setup=_make_delegation_setup,
)
def make_move_commands(count: int) -> Commands:
    """Returns commands that begin a move of each shard to an upstream."""
    return [
        wire.pack(
            zone_messages.BeginMove(
                KEYSPACE,
                tuple(range(first, min(first + SHARDS_PER_BATCH, count))),
                "shopfront-0",
                1,
                "placed on shopfront-0: it had no live owner",
            )
        )
        for first in range(0, count, SHARDS_PER_BATCH)
    ]


@register_state("zone: contract", _make_zone, 50, 200, 800)
def make_zone_contract_commands(count: int) -> Commands:
    """Returns commands that put contracts into force in a zone."""
    return [
        _make_feed_command(
            number + 1,
            control_messages.ContractItem(
                f"customer-{number}",
                number + 1,
                _make_document(f"customer-{number}"),
            ),
        )
        for number in range(count)
    ]


@register_state("zone: instance", _make_zone, 100, 400, 1600)
def make_zone_instance_commands(count: int) -> Commands:
    """Returns commands that announce instances to a zone."""
    return [
        _make_feed_command(
            number + 1,
            control_messages.InstanceItem(
                instance=f"entry-{number}",
                revision=number + 1,
                incarnation=1,
                zone=f"z{number % 7}",
                roles=("entry",),
                peer_address=f"10.1.{number // 250}.{number % 250}:7100",
                caller_address=f"10.1.{number // 250}.{number % 250}:7300",
                admin_address=f"10.1.{number // 250}.{number % 250}:7200",
            ),
        )
        for number in range(count)
    ]


@register_state("zone: upstream", _make_zone, 50, 200, 800)
def make_upstream_commands(count: int) -> Commands:
    """Returns commands that register upstreams."""
    return [
        wire.pack(zone_messages.PutUpstream(_make_upstream(number)))
        for number in range(count)
    ]


@register_state(
    "zone: request record",
    _make_zone,
    500,
    2000,
    8000,
    make_setup=lambda count: _make_delegation_setup(SHARDS_PER_BATCH),
)
def make_request_record_commands(count: int) -> Commands:
    """Returns commands that record requests with responses of 100 bytes."""
    rng = random.Random(1)
    commands = []
    for number in range(count):
        request_id = requestid.make_request_id(START_MS + number, rng)
        commands.append(
            wire.pack(
                zone_messages.BeginRequest(
                    id=request_id,
                    customer="grand-bois",
                    fingerprint=rng.randbytes(16),
                    keyspace=KEYSPACE,
                    shard=number % SHARDS_PER_BATCH,
                    instance="entry-1",
                    incarnation=1,
                    now_ms=START_MS + number,
                )
            )
        )
        commands.append(
            wire.pack(
                zone_messages.FinishRequest(
                    id=request_id,
                    customer="grand-bois",
                    status=201,
                    body=b"x" * 100,
                    content_type="application/json",
                    stored=True,
                    outcome="answer",
                )
            )
        )
    return commands


@register_state("control: contract", control_state.ControlState, 50, 200, 800)
def make_contract_commands(count: int) -> Commands:
    """Returns commands that accept contracts."""
    return [
        wire.pack(
            control_messages.AcceptContract(
                command_id=f"command-{number}",
                customer=f"customer-{number}",
                document=_make_document(f"customer-{number}"),
                shards=512,
            )
        )
        for number in range(count)
    ]


@register_state("control: instance", control_state.ControlState, 100, 400, 1600)
def make_instance_commands(count: int) -> Commands:
    """Returns commands that register instances."""
    return [
        wire.pack(
            control_messages.PutInstance(
                f"command-{number}",
                control_messages.InstanceItem(
                    instance=f"entry-{number}",
                    incarnation=1,
                    zone=f"z{number % 7}",
                    roles=("entry",),
                    peer_address=f"10.1.{number // 250}.{number % 250}:7100",
                ),
            )
        )
        for number in range(count)
    ]


@register_message("RenewLease per reported shard", 16, 64, 256)
def make_lease_renewal(count: int) -> Any:
    """Returns a lease renewal with the load of `count` shards."""
    return zone_messages.RenewLease(
        group="zone/z1/1",
        instance="entry-1",
        incarnation=1,
        applied_index=1000,
        demand=(zone_messages.Demand("grand-bois", "shopfront", 10, 1, 0),),
        upstreams=(zone_messages.UpstreamView(id="shopfront-1"),),
        shard_load=tuple(
            zone_messages.ShardLoad(KEYSPACE, shard, 10.0)
            for shard in range(count)
        ),
    )


@register_message("LeaseReply per share", 16, 64, 256)
def make_lease_reply(count: int) -> Any:
    """Returns a lease reply with `count` shares of limits."""
    return zone_messages.LeaseReply(
        granted=True,
        lease_ms=1000,
        shares=tuple(
            zone_messages.Share(f"customer-{number}", "shopfront", 10, 5, 2)
            for number in range(count)
        ),
    )


@register_message("ZoneBeat per service", 2, 8, 32)
def make_zone_beat(count: int) -> Any:
    """Returns a zone heartbeat with the load of `count` services."""
    return control_messages.ZoneBeat(
        zone=ZONE,
        group_epoch=1,
        leader="entry-1",
        services=tuple(
            control_messages.ServiceLoad(f"service-{number}", 24, 4, 12.0)
            for number in range(count)
        ),
    )


@register_message("ZoneBeatReply per changed contract", 1, 4, 16)
def make_zone_beat_reply(count: int) -> Any:
    """Returns a heartbeat reply with `count` changed contracts."""
    return control_messages.ZoneBeatReply(
        lease_ms=1500,
        revision=100,
        items=tuple(
            wire.pack(
                control_messages.ContractItem(
                    f"customer-{number}", 100, _make_document(f"c-{number}")
                )
            )
            for number in range(count)
        ),
    )


@register_message("UpstreamBeatReply per grant", 16, 64, 256)
def make_upstream_beat_reply(count: int) -> Any:
    """Returns the reply to an upstream heartbeat with `count` grants."""
    return zone_messages.UpstreamBeatReply(
        code="ok",
        lease_ms=1500,
        grants=tuple(
            zone_messages.Grant(KEYSPACE, shard, 1 << 40 | shard)
            for shard in range(count)
        ),
    )


@register_message("AppendEntries per request record", 1, 16, 256)
def make_append_entries(count: int) -> Any:
    """Returns a replication message with `count` log entries of requests."""
    command = make_request_record_commands(1)[0]
    return consensus_messages.AppendEntries(
        group="zone/z1/1",
        term=1,
        entries=tuple(
            consensus_messages.LogEntry(index, 1, "command", command)
            for index in range(count)
        ),
    )
