"""Shows the events of all instances merged by their stamps."""

import argparse
import asyncio
from typing import Any

from bamboosill import client as client_lib
from bamboosill import command_registry
from bamboosill import exit_codes
from bamboosill import output
from bamboosill_common import events as events_lib


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--instance", help="Only events of this instance.")
    parser.add_argument("--part", help="Only events of this component.")
    parser.add_argument("--name", help="Only events with this name.")
    parser.add_argument(
        "--since", type=int, default=0, help="Only events with a greater stamp."
    )


@command_registry.register(
    "events", "Show the events of all instances in one order.", _add_arguments
)
async def run(context: command_registry.Context) -> int:
    """Prints the merged events, and a warning for each failed instance."""
    addresses = await _list_addresses(context)
    path = f"/v1/events?since={context.flags.since}"
    replies = await asyncio.gather(
        *(_fetch(context, address, path) for address in addresses)
    )
    documents = [each for each in replies if isinstance(each, dict)]
    for reply in replies:
        if isinstance(reply, str):
            context.warn(reply)
    if not documents:
        return exit_codes.UNREACHABLE
    by_instance = {each["instance"]: each["events"] for each in documents}
    merged = [
        event
        for event in events_lib.merge_events(by_instance.values())
        if _matches_filters(context.flags, event)
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


def _matches_filters(
    flags: argparse.Namespace, event: events_lib.EventDocument
) -> bool:
    return (
        flags.instance in (None, event["instance"])
        and flags.part in (None, event["part"])
        and flags.name in (None, event["name"])
    )


async def _list_addresses(context: command_registry.Context) -> list[str]:
    """Returns the admin addresses of the control group and of the registry.

    The registry is read from the first control instance that answers. A stale
    read needs no leader.
    """
    addresses = dict.fromkeys(context.client.addresses)
    for address in context.client.addresses:
        try:
            response = await context.client.call_instance(
                address, "GET", "/v1/instances?stale=1"
            )
        except client_lib.AttemptError:
            continue
        if response.status != 200:
            continue
        for each in response.document.get("instances", ()):
            if each["admin_address"] and not each["removed"]:
                addresses[each["admin_address"]] = None
        break
    return list(addresses)


async def _fetch(
    context: command_registry.Context, address: str, path: str
) -> dict[str, Any] | str:
    try:
        response = await context.client.call_instance(address, "GET", path)
    except client_lib.AttemptError as error:
        return f"{address}: {error}"
    if response.status != 200:
        return f"{address}: {response.document.get('detail')}"
    return response.document
