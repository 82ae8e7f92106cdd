"""Prints the version of this program."""

from importlib import metadata

from bamboosill import output
from bamboosill import registry


@registry.register("version", "Print the version of this program.")
async def run(context: registry.Context) -> int:
    """Prints the version."""
    version = metadata.version("bamboosill")
    return output.print_result(
        context, {"version": version}, f"bamboosill {version}"
    )
