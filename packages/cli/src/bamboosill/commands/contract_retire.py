"""Retires a contract."""

import argparse

from bamboosill import client as client_lib
from bamboosill import command_registry
from bamboosill import documents
from bamboosill import exit_codes
from bamboosill import output


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("customer")
    documents.add_base_flag(parser)


@command_registry.register(
    "contract retire", "Retire a contract.", _add_arguments
)
async def run(context: command_registry.Context) -> int:
    """Retires the contract if its revision is still the given one.

    Without `--base`, the revision that was just read counts as given.
    """
    customer, base = context.flags.customer, context.flags.base
    if base is None:
        current = await documents.fetch_current_contract(context, customer)
        if current is None or current["retired"]:
            context.warn(f"refused: {customer} has no contract in force")
            return exit_codes.REFUSED
        base = current["revision"]
    response = await context.client.call(
        "POST",
        f"/v1/contracts/{client_lib.quote_path_segment(customer)}/retire",
        {"command_id": context.client.command_id, "base_revision": base},
    )
    if response.status != 200:
        return output.print_refusal(context, response)
    revision = response.document["revision"]
    return output.print_result(
        context,
        response.document,
        f"contract of {customer} is retired, revision {revision}",
    )
