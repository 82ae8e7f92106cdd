# PYTHON_ARGCOMPLETE_OK
"""Entry point of the operators' command line."""

import argparse
import asyncio
from importlib import metadata
import os
import ssl
import sys
from typing import Any

import argcomplete

from bamboosill import client as client_lib
from bamboosill import command_registry
from bamboosill import exit_codes
from bamboosill_common import auth
from bamboosill_common import clock as clock_lib
from bamboosill_common import findings
from bamboosill_common import settings as settings_lib
from bamboosill_common.generated import settings as generated


def make_parser() -> argparse.ArgumentParser:
    """Builds the parser with all registered subcommands."""
    parser = argparse.ArgumentParser(
        prog="bamboosill",
        description="Operates bamboosill through its control instances.",
        epilog="Exit codes: 0 done, 1 refused or findings, 2 wrong usage, "
        "3 no answer before the deadline, 4 conflict with another change.",
    )
    version = metadata.version("bamboosill")
    parser.add_argument(
        "--version", action="version", version=f"bamboosill {version}"
    )
    groups: dict[tuple[str, ...], Any] = {
        (): parser.add_subparsers(required=True, metavar="COMMAND")
    }
    commands = command_registry.load_commands()
    for words, command in sorted(commands.items()):
        parent = words[:-1]
        if parent not in groups:
            group = groups[()].add_parser(
                parent[0], help=f"Commands about {parent[0]}."
            )
            groups[parent] = group.add_subparsers(
                required=True, metavar="COMMAND"
            )
        leaf = groups[parent].add_parser(
            words[-1],
            help=command.help,
            description=command.help,
            allow_abbrev=False,
        )
        command.add_arguments(leaf)
        leaf.add_argument(
            "--json", action="store_true", help="Print JSON instead of text."
        )
        settings_lib.add_flags(leaf, generated.CLI_SETTINGS)
        leaf.set_defaults(command=command)
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Runs one subcommand and returns the exit code."""
    parser = make_parser()
    argcomplete.autocomplete(parser)
    try:
        flags = parser.parse_args(arguments)
    except SystemExit as stop:
        return int(stop.code or 0)
    loaded = settings_lib.load_settings(
        generated.CLI_SETTINGS, vars(flags), os.environ
    )
    check_addresses(loaded)
    if loaded.findings:
        print(findings.format_findings(loaded.findings), file=sys.stderr)
        return exit_codes.USAGE
    settings = generated.CliSettings(**loaded.values)
    try:
        return asyncio.run(run(flags, settings))
    except KeyboardInterrupt:
        print("interrupted", file=sys.stderr)
        return exit_codes.UNREACHABLE


def check_addresses(loaded: settings_lib.Loaded) -> None:
    """Adds a finding for each invalid address of a control instance."""
    place = loaded.sources["instances"].place
    for address in loaded.values.get("instances", ()):
        try:
            settings_lib.split_address(address)
        except ValueError as error:
            loaded.findings.append(
                findings.Finding(place, f"{address!r} is no IP:port: {error}")
            )
    if not loaded.values.get("instances", ("",)):
        loaded.findings.append(findings.Finding(place, "names no instance"))


async def run(
    flags: argparse.Namespace, settings: generated.CliSettings
) -> int:
    """Runs the selected subcommand and returns its exit code."""
    clock = clock_lib.SystemClock()
    try:
        tls = (
            ssl.create_default_context(cafile=settings.tls_ca)
            if settings.tls_ca
            else None
        )
    except OSError as error:
        warn(f"tls-ca {settings.tls_ca}: {error.strerror or error}")
        return exit_codes.USAGE
    client = client_lib.Client(
        settings.instances,
        settings.timeout_s,
        auth.Authenticator(settings.key_file, clock),
        clock,
        tls,
    )
    context = command_registry.Context(flags, client, print, warn)
    try:
        code: int = await flags.command.run(context)
    except client_lib.NoResponseError as error:
        warn(f"unreachable: {error}")
        if error.maybe_applied:
            warn(
                "The command may have been applied all the same; look before "
                "repeating it."
            )
        return exit_codes.UNREACHABLE
    finally:
        await client.close()
    return code


def warn(text: str) -> None:
    """Writes one line to standard error."""
    print(text, file=sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
