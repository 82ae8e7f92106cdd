"""Accepts the first contract of a customer."""

import argparse

from bamboosill import documents
from bamboosill import registry


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    documents.add_file(parser)
    documents.add_base(parser)
    parser.add_argument(
        "--dry-run", action="store_true", help="Check only; change nothing."
    )


@registry.register(
    "contract accept", "Accept a new customer's contract.", _add_arguments
)
async def run(context: registry.Context) -> int:
    """Submits the file as a new contract."""
    return await documents.submit(context, True, context.flags.dry_run)
