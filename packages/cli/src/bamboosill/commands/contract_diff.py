"""Shows what a document would change."""

from bamboosill import client as client_lib
from bamboosill import documents
from bamboosill import exits
from bamboosill import output
from bamboosill import registry


@registry.register(
    "contract diff",
    "Show what a document would change.",
    documents.add_file,
)
async def run(context: registry.Context) -> int:
    """Prints the fields that differ from the contract in force."""
    try:
        text, contract = documents.read(context)
    except documents.DocumentError:
        return exits.REFUSED
    answer = await context.client.call(
        "POST",
        f"/v1/contracts/{client_lib.quote(contract.customer)}/diff",
        {"document": text, "source": context.flags.file},
    )
    if answer.status != 200:
        return output.refuse(context, answer)
    return documents.print_changes(context, answer.document)
