"""Explains how a key is routed."""

import argparse
import urllib.parse

from bamboosill import command_registry
from bamboosill import output


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("customer")
    parser.add_argument("service")
    parser.add_argument("key")


@command_registry.register(
    "key explain", "Say where a key is and why.", _add_arguments
)
async def run(context: command_registry.Context) -> int:
    """Prints the shard, zone, owner and fence of a key."""
    flags = context.flags
    query = urllib.parse.urlencode(
        {
            "customer": flags.customer,
            "service": flags.service,
            "key": flags.key,
        }
    )
    return await output.fetch_and_print(
        context,
        f"/v1/keys/explain?{query}",
        lambda document: sorted(document.items()),
        ("field", "value"),
    )
