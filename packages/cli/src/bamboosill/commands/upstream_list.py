"""Lists the upstreams of all zones."""

from bamboosill import command_registry
from bamboosill import exit_codes
from bamboosill import output


@command_registry.register("upstream list", "List the upstreams of all zones.")
async def run(context: command_registry.Context) -> int:
    """Prints the upstreams, and a warning for each unreachable zone."""
    response = await context.client.call("GET", "/v1/upstreams")
    if response.status != 200:
        return output.print_refusal(context, response)
    document = response.document
    output.print_rows(
        context,
        document,
        (
            (
                each["id"],
                each["zone"],
                each["service"],
                each["state"],
                each["slots"],
                "yes" if each["checks_fences"] else "no",
                each["address"],
            )
            for each in document["upstreams"]
        ),
        ("upstream", "zone", "service", "state", "slots", "fences", "address"),
    )
    for each in document["unreachable"]:
        context.warn(f"zone {each['zone']} does not answer: {each['detail']}")
    return exit_codes.UNREACHABLE if document["unreachable"] else exit_codes.OK
