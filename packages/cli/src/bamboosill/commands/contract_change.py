"""Changes the contract of a customer."""

import argparse

from bamboosill import command_registry
from bamboosill import documents


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    documents.add_file_argument(parser)
    documents.add_base_flag(parser)
    parser.add_argument(
        "--dry-run",
        action="store_true",
        help="Validate and show the changes without applying them.",
    )


@command_registry.register(
    "contract change", "Change a contract in force.", _add_arguments
)
async def run(context: command_registry.Context) -> int:
    """Submits the file as a change of the contract in force."""
    return await documents.submit(context, False, context.flags.dry_run)
