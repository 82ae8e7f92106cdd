"""Lists the registered instances."""

from bamboosill import command_registry
from bamboosill import output


@command_registry.register("instance list", "List the instances.")
async def run(context: command_registry.Context) -> int:
    """Prints the instances with their state and control group role."""
    return await output.fetch_and_print(
        context,
        "/v1/instances",
        lambda document: [
            (
                each["instance"],
                each["zone"],
                ",".join(each["roles"]),
                "removed"
                if each["removed"]
                else "live"
                if each["live"]
                else "silent",
                each["control"],
                each["peer_address"],
                each["admin_address"],
            )
            for each in document["instances"]
        ],
        ("instance", "zone", "roles", "state", "control", "peer", "admin"),
    )
