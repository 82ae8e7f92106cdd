"""Shows what a contract document would change."""

from bamboosill import client as client_lib
from bamboosill import command_registry
from bamboosill import documents
from bamboosill import exit_codes
from bamboosill import output


@command_registry.register(
    "contract diff",
    "Show what a document would change.",
    documents.add_file_argument,
)
async def run(context: command_registry.Context) -> int:
    """Prints the fields that differ from the contract in force."""
    try:
        text, contract = documents.read_contract(context)
    except documents.DocumentError:
        return exit_codes.REFUSED
    response = await context.client.call(
        "POST",
        f"/v1/contracts/{client_lib.quote_path_segment(contract.customer)}/diff",
        {"document": text, "source": context.flags.file},
    )
    if response.status != 200:
        return output.print_refusal(context, response)
    return documents.print_changes(context, response.document)
