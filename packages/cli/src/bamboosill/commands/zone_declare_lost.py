"""Declares a zone permanently lost, so that others take over its keys."""

import argparse

from bamboosill import client as client_lib
from bamboosill import command_registry
from bamboosill import exit_codes
from bamboosill import output


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("zone")
    parser.add_argument(
        "--yes",
        action="store_true",
        help="Confirm that all instances and upstreams in it have stopped.",
    )


@command_registry.register(
    "zone declare-lost",
    "State that all instances of a zone have ended for good.",
    _add_arguments,
)
async def run(context: command_registry.Context) -> int:
    """Declares the zone lost if the operator has confirmed it with --yes."""
    zone = context.flags.zone
    if not context.flags.yes:
        context.warn(
            f"Keys of {zone} get other owners. If an instance or upstream of "
            f"{zone} still runs, a key can have two. Confirm with --yes."
        )
        return exit_codes.USAGE
    response = await context.client.call(
        "POST",
        f"/v1/zones/{client_lib.quote_path_segment(zone)}/declare-lost",
        {"command_id": context.client.command_id},
    )
    if response.status != 200:
        return output.print_refusal(context, response)
    return output.print_result(
        context, response.document, f"zone {zone} is declared lost"
    )
