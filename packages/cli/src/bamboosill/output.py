"""Prints responses as tables or JSON, and errors as sentences."""

from collections.abc import Iterable
from collections.abc import Sequence
import json
from typing import Any

import tabulate

from bamboosill import client as client_lib
from bamboosill import command_registry
from bamboosill import exit_codes

_CONFLICT_CODES = frozenset({"conflict"})


def print_json(context: command_registry.Context, document: Any) -> None:
    """Prints a document as JSON."""
    context.write(json.dumps(document, indent=2, sort_keys=True))


def print_rows(
    context: command_registry.Context,
    document: Any,
    rows: Iterable[Sequence[Any]],
    headers: Sequence[str],
) -> int:
    """Prints rows as a table; with --json, the document."""
    if context.flags.json:
        print_json(context, document)
    else:
        context.write(tabulate.tabulate(list(rows), headers))
    return exit_codes.OK


def print_result(
    context: command_registry.Context, document: dict[str, Any], sentence: str
) -> int:
    """Prints a sentence; with --json, the document."""
    if context.flags.json:
        print_json(context, document)
    else:
        context.write(sentence)
    return exit_codes.OK


def print_refusal(
    context: command_registry.Context, response: client_lib.Response
) -> int:
    """Prints an error response and returns the exit code for it."""
    document = response.document
    if context.flags.json:
        print_json(context, document)
    else:
        for each in document.get("findings") or ():
            line = f":{each['line']}" if each["line"] else ""
            path = f": {each['path']}" if each["path"] else ""
            context.warn(f"{each['source']}{line}{path}: {each['message']}")
        context.warn(
            f"refused ({document.get('code')}): {document.get('detail')}"
        )
    is_conflict = document.get("code") in _CONFLICT_CODES
    return exit_codes.CONFLICT if is_conflict else exit_codes.REFUSED


async def fetch_and_print(
    context: command_registry.Context,
    path: str,
    make_rows: Any,
    headers: Sequence[str],
) -> int:
    """Fetches a document and prints it as a table.

    `make_rows` returns the rows of the table for a document.
    """
    response = await context.client.call("GET", path)
    if response.status != 200:
        return print_refusal(context, response)
    document = response.document
    return print_rows(context, document, make_rows(document), headers)
