"""Lists all contracts."""

from bamboosill import command_registry
from bamboosill import output


@command_registry.register("contract list", "List all contracts.")
async def run(context: command_registry.Context) -> int:
    """Prints customers, revisions and services."""
    return await output.fetch_and_print(
        context,
        "/v1/contracts",
        lambda document: [
            (
                each["customer"],
                each["revision"],
                "retired" if each["retired"] else "in force",
                ", ".join(each["services"]),
            )
            for each in document["contracts"]
        ],
        ("customer", "revision", "state", "services"),
    )
