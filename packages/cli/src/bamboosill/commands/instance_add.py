"""Adds an instance to the control group."""

import argparse

from bamboosill import command_registry
from bamboosill import output


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("instance")
    parser.add_argument(
        "address", help="Peer address of the instance (IP:port)."
    )


@command_registry.register(
    "instance add", "Add an instance to the control group.", _add_arguments
)
async def run(context: command_registry.Context) -> int:
    """Adds the instance as a learner and then promotes it to voter."""
    flags = context.flags
    response = await context.client.call(
        "POST",
        "/v1/instances",
        {"instance": flags.instance, "address": flags.address},
    )
    if response.status != 200:
        return output.print_refusal(context, response)
    return output.print_result(
        context,
        response.document,
        f"instance {flags.instance} is a voter of the control group",
    )
