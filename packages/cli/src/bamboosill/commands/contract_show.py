"""Shows one contract."""

import argparse
import io

import ruamel.yaml

from bamboosill import client as client_lib
from bamboosill import command_registry
from bamboosill import output


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("customer")


@command_registry.register(
    "contract show", "Show one contract.", _add_arguments
)
async def run(context: command_registry.Context) -> int:
    """Prints the contract as a document that can be edited and submitted."""
    path = (
        f"/v1/contracts/{client_lib.quote_path_segment(context.flags.customer)}"
    )
    response = await context.client.call("GET", path)
    if response.status != 200:
        return output.print_refusal(context, response)
    document = response.document
    text = io.StringIO()
    ruamel.yaml.YAML(typ="safe", pure=True).dump(document["document"], text)
    state = "retired" if document["retired"] else "in force"
    return output.print_result(
        context,
        document,
        f"# revision {document['revision']}, {state}\n{text.getvalue()}",
    )
