"""Moves all work away from an upstream."""

import argparse

from bamboosill import client as client_lib
from bamboosill import output
from bamboosill import registry


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("upstream")


@registry.register(
    "upstream drain", "Move all work away from an upstream.", _add_arguments
)
async def run(context: registry.Context) -> int:
    """Drains the upstream."""
    name = context.flags.upstream
    answer = await context.client.call(
        "POST", f"/v1/upstreams/{client_lib.quote(name)}/drain", {}
    )
    if answer.status != 200:
        return output.refuse(context, answer)
    return output.print_result(
        context, answer.document, f"upstream {name} is draining"
    )
