"""Retires a contract."""

import argparse

from bamboosill import client as client_lib
from bamboosill import documents
from bamboosill import exits
from bamboosill import output
from bamboosill import registry


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("customer")
    documents.add_base(parser)


@registry.register("contract retire", "Retire a contract.", _add_arguments)
async def run(context: registry.Context) -> int:
    """Retires the contract at the given or present revision."""
    customer, base = context.flags.customer, context.flags.base
    if base is None:
        present = await documents.find_present(context, customer)
        if present is None or present["retired"]:
            context.warn(f"refused: {customer} has no contract in force")
            return exits.REFUSED
        base = present["revision"]
    answer = await context.client.call(
        "POST",
        f"/v1/contracts/{client_lib.quote(customer)}/retire",
        {"command_id": context.client.command_id, "base_revision": base},
    )
    if answer.status != 200:
        return output.refuse(context, answer)
    revision = answer.document["revision"]
    return output.print_result(
        context,
        answer.document,
        f"contract of {customer} is retired, revision {revision}",
    )
