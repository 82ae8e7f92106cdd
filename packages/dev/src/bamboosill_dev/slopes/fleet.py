"""Fleet state and messages whose growth with size is measured."""

from typing import Any

from bamboosill_common import wire
from bamboosill_common.generated import fleet as messages
from bamboosill_dev.slopes import subjects
from bamboosilld.fleet import keyranges
from bamboosilld.fleet import state as state_lib

_SERVICE = "shopfront"


def _make_upstream_item(number: int) -> messages.UpstreamItem:
    return messages.UpstreamItem(
        upstream=f"i-{number:010x}",
        born_ms=subjects.START_MS + number,
        address=f"10.{number // 60000}.{number // 250 % 240}.{number % 250}:1",
        service=_SERVICE,
        zone="z1",
        software_version="v1",
        slots=6,
    )


@subjects.register_state(
    "upstream of a fleet", state_lib.FleetState, 50, 100, 200
)
def make_upstream_commands(count: int) -> subjects.Commands:
    """Returns commands that announce upstreams."""
    return [
        wire.pack(
            messages.SetUpstreams(upstreams=(_make_upstream_item(number),))
        )
        for number in range(count)
    ]


@subjects.register_state(
    "key range of a fleet", state_lib.FleetState, 250, 500, 1000
)
def make_key_range_commands(count: int) -> subjects.Commands:
    """Returns commands that grant key ranges, one range each."""
    keys_per_range = keyranges.KEY_COUNT // count
    return [
        wire.pack(
            messages.SetKeys(
                _SERVICE,
                (
                    messages.KeyRange(
                        number * keys_per_range,
                        (number + 1) * keys_per_range - 1,
                        0,
                        f"i-{number % 200:010x}",
                        subjects.START_MS,
                    ),
                ),
            )
        )
        for number in range(count)
    ]


@subjects.register_state(
    "change of one route among many", state_lib.FleetState, 50, 100, 200
)
def make_route_commands(count: int) -> subjects.Commands:
    """Returns commands that add routes, one route each."""
    service = messages.ServiceItem(_SERVICE)
    commands = []
    for number in range(count):
        route = messages.RouteItem(
            name=f"r-{number:06x}",
            host="shop.example",
            path_prefix=f"/p{number:06x}/",
            idempotent=True,
            timeout_ms=1000,
            max_upstreams=2,
            service=_SERVICE,
        )
        commands.append(
            wire.pack(
                messages.ChangeConfiguration(
                    version=number + 1,
                    base=number,
                    digest=number.to_bytes(16, "big"),
                    routes=(route,),
                    services=(service,),
                )
            )
        )
    return commands


@subjects.register_message("FollowReply per upstream", 24, 200, 1600)
def make_follow_reply(count: int) -> Any:
    """Returns a reply without changes and with the load of each upstream."""
    return messages.FollowReply(
        revision=1000,
        entry_count=90,
        control_peers=("10.1.0.1:7000", "10.2.0.1:7000", "10.3.0.1:7000"),
        loads=bytes(count),
    )


@subjects.register_message("Follow per reported load", 1, 8, 64)
def make_follow(count: int) -> Any:
    """Returns a request with the loads observed since the previous one."""
    return messages.Follow(
        revision=1000,
        instance="10.1.0.1:7000",
        loads=tuple(
            messages.UpstreamLoad(f"i-{number:010x}", 5)
            for number in range(count)
        ),
    )


@subjects.register_message("ReportReply per range", 8, 32, 128)
def make_report_reply(count: int) -> Any:
    """Returns the reply to the heartbeat of an upstream that holds ranges."""
    return messages.ReportReply(
        accepted=True,
        renewed=True,
        lease_ms=4000,
        grants=tuple(
            messages.KeyRange(number, number, 1000, f"i-{1:010x}", 1, "token")
            for number in range(count)
        ),
    )
