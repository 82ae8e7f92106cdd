"""Shows the events of all instances in one order."""

import argparse
import asyncio
from typing import Any

from bamboosill import client as client_lib
from bamboosill import exits
from bamboosill import output
from bamboosill import registry
from bamboosill_common import events as events_lib


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--instance", help="Only events of this instance.")
    parser.add_argument("--part", help="Only events of this part.")
    parser.add_argument("--name", help="Only events of this name.")
    parser.add_argument(
        "--since", type=int, default=0, help="Only events after this stamp."
    )


@registry.register(
    "events", "Show the events of all instances in one order.", _add_arguments
)
async def run(context: registry.Context) -> int:
    """Prints the merged events; instances that are silent are named."""
    addresses = await _list_addresses(context)
    path = f"/v1/events?since={context.flags.since}"
    replies = await asyncio.gather(
        *(_fetch(context, address, path) for address in addresses)
    )
    answered = [each for each in replies if isinstance(each, dict)]
    for reply in replies:
        if isinstance(reply, str):
            context.warn(reply)
    if not answered:
        return exits.UNREACHABLE
    by_instance = {each["instance"]: each["events"] for each in answered}
    merged = [
        event
        for event in events_lib.merge_events(by_instance.values())
        if _is_wanted(context.flags, event)
    ]
    return output.print_rows(
        context,
        {"events": merged},
        (
            (
                event["stamp"],
                event["instance"],
                event["part"],
                event["name"],
                " ".join(f"{k}={v}" for k, v in event["fields"].items()),
            )
            for event in merged
        ),
        ("stamp", "instance", "part", "event", "fields"),
    )


def _is_wanted(
    flags: argparse.Namespace, event: events_lib.EventDocument
) -> bool:
    return (
        flags.instance in (None, event["instance"])
        and flags.part in (None, event["part"])
        and flags.name in (None, event["name"])
    )


async def _list_addresses(context: registry.Context) -> list[str]:
    """Returns the admin addresses of all instances that are known."""
    addresses = dict.fromkeys(context.client.addresses)
    for address in context.client.addresses:
        try:
            answer = await context.client.call_one(
                address, "GET", "/v1/instances?stale=1"
            )
        except client_lib.TryError:
            continue
        for each in answer.document.get("instances", ()):
            if each["admin_address"] and not each["removed"]:
                addresses[each["admin_address"]] = None
        break
    return list(addresses)


async def _fetch(
    context: registry.Context, address: str, path: str
) -> dict[str, Any] | str:
    try:
        answer = await context.client.call_one(address, "GET", path)
    except client_lib.TryError as error:
        return f"{address}: {error}"
    if answer.status != 200:
        return f"{address}: {answer.document.get('detail')}"
    return answer.document
