"""Adds an instance to the control group."""

import argparse

from bamboosill import output
from bamboosill import registry


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("instance")
    parser.add_argument("address", help="Its peer address (IP:port).")


@registry.register(
    "instance add", "Add an instance to the control group.", _add_arguments
)
async def run(context: registry.Context) -> int:
    """Adds the instance as a learner and then gives it a vote."""
    flags = context.flags
    answer = await context.client.call(
        "POST",
        "/v1/instances",
        {"instance": flags.instance, "address": flags.address},
    )
    if answer.status != 200:
        return output.refuse(context, answer)
    return output.print_result(
        context,
        answer.document,
        f"instance {flags.instance} is a voter of the control group",
    )
