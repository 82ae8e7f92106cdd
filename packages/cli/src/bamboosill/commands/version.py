"""Prints the version of this program."""

from importlib import metadata

from bamboosill import command_registry
from bamboosill import output


@command_registry.register("version", "Print the version of this program.")
async def run(context: command_registry.Context) -> int:
    """Prints the version."""
    version = metadata.version("bamboosill")
    return output.print_result(
        context, {"version": version}, f"bamboosill {version}"
    )
