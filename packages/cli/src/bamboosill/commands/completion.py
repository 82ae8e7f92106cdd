"""Prints a shell completion script."""

import argparse

import argcomplete

from bamboosill import command_registry
from bamboosill import output


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("shell", choices=("bash", "zsh", "fish"))


@command_registry.register(
    "completion", "Print shell code for completion.", _add_arguments
)
async def run(context: command_registry.Context) -> int:
    """Prints the completion script for the shell to evaluate."""
    shell = context.flags.shell
    code = argcomplete.shellcode(["bamboosill"], shell=shell)
    return output.print_result(context, {"shell": shell, "code": code}, code)
