"""Registry of subcommands, filled by a decorator."""

import argparse
from collections.abc import Awaitable
from collections.abc import Callable
import importlib
import pkgutil
from typing import Any
from typing import NamedTuple

from bamboosill import client as client_lib


class Context(NamedTuple):
    """What a subcommand runs with.

    Attributes:
        flags: Parsed flags of the subcommand.
        client: Calls control instances.
        write: Writes one text to standard output.
        warn: Writes one line to standard error.
    """

    flags: argparse.Namespace
    client: client_lib.Client
    write: Callable[[str], None]
    warn: Callable[[str], None]


Run = Callable[[Context], Awaitable[int]]
AddArguments = Callable[[argparse.ArgumentParser], Any]


class Command(NamedTuple):
    """One subcommand; its words are what the operator types."""

    words: tuple[str, ...]
    help: str
    add_arguments: AddArguments
    run: Run


COMMANDS: dict[tuple[str, ...], Command] = {}


def add_nothing(parser: argparse.ArgumentParser) -> None:
    """Adds no arguments."""
    del parser


def register(
    words: str, help_text: str, add_arguments: AddArguments = add_nothing
) -> Callable[[Run], Run]:
    """Returns a decorator that registers the function of a subcommand."""

    def add(run: Run) -> Run:
        key = tuple(words.split())
        COMMANDS[key] = Command(key, help_text, add_arguments, run)
        return run

    return add


def load_commands() -> dict[tuple[str, ...], Command]:
    """Imports all modules of `commands` and returns what they registered."""
    package = importlib.import_module("bamboosill.commands")
    for module in pkgutil.iter_modules(package.__path__):
        importlib.import_module(f"bamboosill.commands.{module.name}")
    return COMMANDS
