"""Shared code of the subcommands that take a contract document."""

import argparse
import pathlib
import sys
from typing import Any

from returns.result import Failure
from returns.result import Success

from bamboosill import client as client_lib
from bamboosill import command_registry
from bamboosill import exit_codes
from bamboosill import output
from bamboosill_common import contract as contract_lib
from bamboosill_common import findings as findings_lib

STDIN = "-"


class DocumentError(Exception):
    """A document is invalid; its findings have already been printed."""


def add_file_argument(parser: argparse.ArgumentParser) -> None:
    """Adds the argument that names the document's file."""
    parser.add_argument(
        "file", help="Contract document (YAML); - reads standard input."
    )


def add_base_flag(parser: argparse.ArgumentParser) -> None:
    """Adds the flag for the revision that a change is based on."""
    parser.add_argument(
        "--base",
        type=int,
        help="Revision that this change is based on; if it is no longer the "
        "current one, the change is refused. Default: the current revision.",
    )


def read_contract(
    context: command_registry.Context,
) -> tuple[str, contract_lib.Contract]:
    """Reads and parses the contract document that the flags name.

    Raises:
        DocumentError: The document cannot be read or is invalid.
    """
    name = context.flags.file
    try:
        text = (
            sys.stdin.read()
            if name == STDIN
            else pathlib.Path(name).read_text(encoding="utf-8")
        )
    except (OSError, UnicodeDecodeError) as error:
        document_findings: tuple[findings_lib.Finding, ...] = (
            findings_lib.Finding(
                findings_lib.Location(name), f"cannot be read: {error}"
            ),
        )
    else:
        match contract_lib.parse(text, name):
            case Success(contract):
                return text, contract
            case Failure(findings):
                document_findings = findings
    _print_findings(context, document_findings)
    raise DocumentError


async def fetch_current_contract(
    context: command_registry.Context, customer: str
) -> dict[str, Any] | None:
    """Fetches the current contract of a customer; None if there is none."""
    path = f"/v1/contracts/{client_lib.quote_path_segment(customer)}"
    response = await context.client.call("GET", path)
    return response.document if response.status == 200 else None


async def submit(
    context: command_registry.Context, is_new: bool, dry_run: bool
) -> int:
    """Submits the document as a new or changed contract.

    Without --base, the customer must have no contract in force if `is_new`,
    and must have one otherwise.
    """
    try:
        text, contract = read_contract(context)
    except DocumentError:
        return exit_codes.REFUSED
    base = context.flags.base
    if base is None:
        current = await fetch_current_contract(context, contract.customer)
        in_force = current is not None and not current["retired"]
        if in_force == is_new:
            advice = (
                "already has a contract; use `contract change`"
                if is_new
                else "has no contract; use `contract accept`"
            )
            context.warn(f"refused: {contract.customer} {advice}")
            return exit_codes.REFUSED
        base = current["revision"] if current else 0
    response = await context.client.call(
        "PUT",
        f"/v1/contracts/{client_lib.quote_path_segment(contract.customer)}",
        {
            "command_id": context.client.command_id,
            "base_revision": base,
            "document": text,
            "source": context.flags.file,
            "dry_run": dry_run,
        },
    )
    if response.status != 200:
        return output.print_refusal(context, response)
    if dry_run:
        return print_changes(context, response.document)
    return output.print_result(
        context,
        response.document,
        f"contract of {contract.customer} is accepted, "
        f"revision {response.document['revision']}",
    )


def print_changes(
    context: command_registry.Context, document: dict[str, Any]
) -> int:
    """Prints the fields that a document changes."""
    if not document["changes"] and not context.flags.json:
        context.write("no changes")
        return exit_codes.OK
    return output.print_rows(
        context,
        document,
        (
            (
                each["path"],
                _format_value(each["old"]),
                _format_value(each["new"]),
            )
            for each in document["changes"]
        ),
        ("path", "now", "then"),
    )


def _format_value(value: Any) -> str:
    return "" if value is None else str(value)


def _print_findings(
    context: command_registry.Context,
    document_findings: tuple[findings_lib.Finding, ...],
) -> None:
    if context.flags.json:
        output.print_json(
            context,
            {
                "code": "findings",
                "detail": f"{len(document_findings)} findings",
                "findings": [
                    {**each.place._asdict(), "message": each.message}
                    for each in document_findings
                ],
            },
        )
    else:
        context.warn(findings_lib.format_findings(document_findings))
