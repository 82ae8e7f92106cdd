"""Lists the availability zones."""

from bamboosill import command_registry
from bamboosill import output


@command_registry.register("zone list", "List the availability zones.")
async def run(context: command_registry.Context) -> int:
    """Prints the state and capacity of each zone."""
    return await output.fetch_and_print(
        context,
        "/v1/zones",
        lambda document: [
            (
                each["zone"],
                "lost"
                if each["lost"]
                else "live"
                if each["live"]
                else "silent",
                each["group_epoch"],
                each.get("leader", ""),
                ", ".join(each["voters"]),
                ", ".join(
                    f"{load['service']} {load['slots']}"
                    for load in each.get("services", ())
                ),
            )
            for each in document["zones"]
        ],
        ("zone", "state", "group epoch", "leader", "voters", "slots"),
    )
