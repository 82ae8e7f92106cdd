"""Writes a new file of keys that sign tokens."""

import argparse
import json
import os
import secrets

from bamboosill import command_registry
from bamboosill import exit_codes
from bamboosill import output

ROLES = ("instance", "operator", "upstream", "caller")
_SECRET_BYTES = 32


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("file", help="File to create; it must not exist yet.")
    parser.add_argument(
        "--roles",
        default=",".join(ROLES),
        help="Comma-separated roles; one key is made for each.",
    )


@command_registry.register("keys new", "Write a new key file.", _add_arguments)
async def run(context: command_registry.Context) -> int:
    """Writes one key for each role to a file that only its owner can read."""
    flags = context.flags
    roles = [each.strip() for each in flags.roles.split(",") if each.strip()]
    unknown = [each for each in roles if each not in ROLES]
    if unknown or not roles:
        context.warn(f"--roles: choose from {', '.join(ROLES)}")
        return exit_codes.USAGE
    keys = [
        {
            "id": f"{role}-{secrets.token_hex(4)}",
            "secret": secrets.token_urlsafe(_SECRET_BYTES),
            "roles": [role],
        }
        for role in roles
    ]
    try:
        descriptor = os.open(
            flags.file, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600
        )
    except OSError as error:
        context.warn(f"refused: {flags.file}: {error.strerror}")
        return exit_codes.REFUSED
    with os.fdopen(descriptor, "w") as file:
        json.dump({"keys": keys}, file, indent=2)
    return output.print_result(
        context,
        {"file": flags.file, "keys": [each["id"] for each in keys]},
        f"{flags.file} has {len(keys)} keys",
    )
