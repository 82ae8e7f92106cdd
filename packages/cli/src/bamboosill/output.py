"""Prints answers as tables or JSON, and refusals as sentences."""

from collections.abc import Iterable
from collections.abc import Sequence
import json
from typing import Any

import tabulate

from bamboosill import client as client_lib
from bamboosill import exits
from bamboosill import registry

_CONFLICT_CODES = frozenset({"conflict"})


def print_json(context: registry.Context, document: Any) -> None:
    """Prints a document as JSON."""
    context.write(json.dumps(document, indent=2, sort_keys=True))


def print_rows(
    context: registry.Context,
    document: Any,
    rows: Iterable[Sequence[Any]],
    headers: Sequence[str],
) -> int:
    """Prints rows as a table, or the document with --json."""
    if context.flags.json:
        print_json(context, document)
    else:
        context.write(tabulate.tabulate(list(rows), headers))
    return exits.OK


def print_result(
    context: registry.Context, document: dict[str, Any], sentence: str
) -> int:
    """Prints a sentence, or the document with --json."""
    if context.flags.json:
        print_json(context, document)
    else:
        context.write(sentence)
    return exits.OK


def refuse(context: registry.Context, answer: client_lib.Answer) -> int:
    """Prints why a request was refused and returns the exit code."""
    document = answer.document
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
    return exits.CONFLICT if is_conflict else exits.REFUSED


async def show(
    context: registry.Context,
    path: str,
    rows: Any,
    headers: Sequence[str],
) -> int:
    """Reads a document and prints the rows that `rows(document)` makes."""
    answer = await context.client.call("GET", path)
    if answer.status != 200:
        return refuse(context, answer)
    document = answer.document
    return print_rows(context, document, rows(document), headers)
