"""Contract documents that operators give."""

import argparse
import pathlib
import sys
from typing import Any

from returns.result import Failure
from returns.result import Success

from bamboosill import client as client_lib
from bamboosill import exits
from bamboosill import output
from bamboosill import registry
from bamboosill_common import contract as contract_lib
from bamboosill_common import findings as findings_lib

STDIN = "-"


class DocumentError(Exception):
    """A document has findings; they are printed already."""


def add_file(parser: argparse.ArgumentParser) -> None:
    """Adds the argument for the document's file."""
    parser.add_argument("file", help="Contract document (YAML); - is stdin.")


def add_base(parser: argparse.ArgumentParser) -> None:
    """Adds the flag for the revision on which a change is based."""
    parser.add_argument(
        "--base",
        type=int,
        help="Revision on which this change is based. Default: the present "
        "one; give it to be refused if another operator was faster.",
    )


def read(context: registry.Context) -> tuple[str, contract_lib.Contract]:
    """Returns the text and the contract of the given file.

    Raises:
        DocumentError: The document cannot be read or has findings.
    """
    name = context.flags.file
    try:
        text = (
            sys.stdin.read()
            if name == STDIN
            else pathlib.Path(name).read_text(encoding="utf-8")
        )
    except (OSError, UnicodeDecodeError) as error:
        found: tuple[findings_lib.Finding, ...] = (
            findings_lib.Finding(
                findings_lib.Place(name), f"cannot be read: {error}"
            ),
        )
    else:
        match contract_lib.parse(text, name):
            case Success(contract):
                return text, contract
            case Failure(findings):
                found = findings
    _print_findings(context, found)
    raise DocumentError


async def find_present(
    context: registry.Context, customer: str
) -> dict[str, Any] | None:
    """Returns the present contract of a customer, or None."""
    path = f"/v1/contracts/{client_lib.quote(customer)}"
    answer = await context.client.call("GET", path)
    return answer.document if answer.status == 200 else None


async def submit(context: registry.Context, is_new: bool, dry_run: bool) -> int:
    """Submits the given file as a new or changed contract."""
    try:
        text, contract = read(context)
    except DocumentError:
        return exits.REFUSED
    base = context.flags.base
    if base is None:
        present = await find_present(context, contract.customer)
        in_force = present is not None and not present["retired"]
        if in_force == is_new:
            advice = (
                "already has a contract; use `contract change`"
                if is_new
                else "has no contract; use `contract accept`"
            )
            context.warn(f"refused: {contract.customer} {advice}")
            return exits.REFUSED
        base = present["revision"] if present else 0
    answer = await context.client.call(
        "PUT",
        f"/v1/contracts/{client_lib.quote(contract.customer)}",
        {
            "command_id": context.client.command_id,
            "base_revision": base,
            "document": text,
            "source": context.flags.file,
            "dry_run": dry_run,
        },
    )
    if answer.status != 200:
        return output.refuse(context, answer)
    if dry_run:
        return print_changes(context, answer.document)
    return output.print_result(
        context,
        answer.document,
        f"contract of {contract.customer} is accepted, "
        f"revision {answer.document['revision']}",
    )


def print_changes(context: registry.Context, document: dict[str, Any]) -> int:
    """Prints what a document changes."""
    if not document["changes"] and not context.flags.json:
        context.write("no changes")
        return exits.OK
    return output.print_rows(
        context,
        document,
        (
            (each["path"], _format(each["old"]), _format(each["new"]))
            for each in document["changes"]
        ),
        ("path", "now", "then"),
    )


def _format(value: Any) -> str:
    return "" if value is None else str(value)


def _print_findings(
    context: registry.Context, found: tuple[findings_lib.Finding, ...]
) -> None:
    if context.flags.json:
        output.print_json(
            context,
            {
                "code": "findings",
                "detail": f"{len(found)} findings",
                "findings": [
                    {**each.place._asdict(), "message": each.message}
                    for each in found
                ],
            },
        )
    else:
        context.warn(findings_lib.format_findings(found))
