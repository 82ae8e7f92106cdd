"""Registry of subcommands, which add themselves with a decorator."""

import argparse
from collections.abc import Awaitable
from collections.abc import Callable
import importlib
import pkgutil
from typing import Any
from typing import NamedTuple

from bamboosill import client as client_lib


class Context(NamedTuple):
    """What a subcommand gets when it runs.

    Attributes:
        flags: Parsed flags of the subcommand.
        client: Client for the control instances.
        write: Writes a text to standard output.
        warn: Writes a line to standard error.
    """

    flags: argparse.Namespace
    client: client_lib.Client
    write: Callable[[str], None]
    warn: Callable[[str], None]


RunFunction = Callable[[Context], Awaitable[int]]
AddArguments = Callable[[argparse.ArgumentParser], Any]


class Command(NamedTuple):
    """A subcommand, selected by the words that the operator types."""

    words: tuple[str, ...]
    help: str
    add_arguments: AddArguments
    run: RunFunction


COMMANDS: dict[tuple[str, ...], Command] = {}


def add_no_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds no arguments."""
    del parser


def register(
    words: str, help_text: str, add_arguments: AddArguments = add_no_arguments
) -> Callable[[RunFunction], RunFunction]:
    """Returns a decorator that registers a function as a subcommand.

    Args:
        words: The words of the subcommand, separated by spaces.
        help_text: One sentence for --help.
        add_arguments: Adds the subcommand's arguments to its parser.
    """

    def register_command(run: RunFunction) -> RunFunction:
        key = tuple(words.split())
        COMMANDS[key] = Command(key, help_text, add_arguments, run)
        return run

    return register_command


def load_commands() -> dict[tuple[str, ...], Command]:
    """Imports all modules of `commands` and returns what they registered."""
    package = importlib.import_module("bamboosill.commands")
    for module in pkgutil.iter_modules(package.__path__):
        importlib.import_module(f"bamboosill.commands.{module.name}")
    return COMMANDS
