"""Moves all work away from an upstream."""

import argparse

from bamboosill import client as client_lib
from bamboosill import command_registry
from bamboosill import output


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("upstream")


@command_registry.register(
    "upstream drain", "Move all work away from an upstream.", _add_arguments
)
async def run(context: command_registry.Context) -> int:
    """Drains the upstream."""
    name = context.flags.upstream
    response = await context.client.call(
        "POST", f"/v1/upstreams/{client_lib.quote_path_segment(name)}/drain", {}
    )
    if response.status != 200:
        return output.print_refusal(context, response)
    return output.print_result(
        context, response.document, f"upstream {name} is draining"
    )
