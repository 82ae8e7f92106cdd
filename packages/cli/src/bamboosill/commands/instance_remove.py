"""Removes an instance from the control group and the registry."""

import argparse

from bamboosill import client as client_lib
from bamboosill import command_registry
from bamboosill import output


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("instance")


@command_registry.register(
    "instance remove",
    "Remove an instance from the control group, or one that ended for good.",
    _add_arguments,
)
async def run(context: command_registry.Context) -> int:
    """Removes the instance."""
    name = context.flags.instance
    response = await context.client.call(
        "DELETE", f"/v1/instances/{client_lib.quote_path_segment(name)}"
    )
    if response.status != 200:
        return output.print_refusal(context, response)
    return output.print_result(
        context, response.document, f"instance {name} is removed"
    )
