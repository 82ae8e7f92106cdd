"""Declares that all instances of a zone have ended."""

import argparse

from bamboosill import client as client_lib
from bamboosill import exits
from bamboosill import output
from bamboosill import registry


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("zone")
    parser.add_argument(
        "--yes",
        action="store_true",
        help="Confirm that all instances and upstreams of the zone ended.",
    )


@registry.register(
    "zone declare-lost",
    "State that all instances of a zone have ended for good.",
    _add_arguments,
)
async def run(context: registry.Context) -> int:
    """Declares the zone lost once the operator has confirmed it."""
    zone = context.flags.zone
    if not context.flags.yes:
        context.warn(
            f"Keys of {zone} get other owners. If an instance or upstream of "
            f"{zone} still runs, a key can have two. Confirm with --yes."
        )
        return exits.USAGE
    answer = await context.client.call(
        "POST",
        f"/v1/zones/{client_lib.quote(zone)}/declare-lost",
        {"command_id": context.client.command_id},
    )
    if answer.status != 200:
        return output.refuse(context, answer)
    return output.print_result(
        context, answer.document, f"zone {zone} is declared lost"
    )
