"""Shows a summary of the system's state."""

import tabulate

from bamboosill import command_registry
from bamboosill import output


@command_registry.register("status", "Show the state of the system in short.")
async def run(context: command_registry.Context) -> int:
    """Prints the control group, the zones and the keyspaces."""
    response = await context.client.call("GET", "/v1/status")
    if response.status != 200:
        return output.print_refusal(context, response)
    document = response.document
    members = [
        (each["instance"], each["address"], each["part"])
        for each in document["control_members"]
    ]
    zones = [
        (
            each["zone"],
            "lost" if each["lost"] else "live" if each["live"] else "silent",
            each["group_epoch"],
            each.get("leader", ""),
            len(each.get("live_instances", ())),
        )
        for each in document["zones"]
    ]
    keyspaces = [
        (
            each["keyspace"],
            each["shards"],
            _format_shard_counts(each["shards_by_zone"]),
            each["releasing"],
            len(each["customers"]),
        )
        for each in document["keyspaces"]
    ]
    zone_headers = ("zone", "state", "group epoch", "leader", "instances")
    keyspace_headers = ("keyspace", "shards", "zones", "moving", "customers")
    return output.print_result(
        context,
        document,
        f"control leader {document['leader']}, "
        f"revision {document['revision']}, "
        f"{document['instances']} instances, "
        f"{document['contracts']} contracts\n\n"
        + "\n\n".join(
            (
                tabulate.tabulate(members, ("control", "address", "part")),
                tabulate.tabulate(zones, zone_headers),
                tabulate.tabulate(keyspaces, keyspace_headers),
            )
        ),
    )


def _format_shard_counts(shards_by_zone: dict[str, int]) -> str:
    return ", ".join(
        f"{zone or 'none'} {count}"
        for zone, count in sorted(shards_by_zone.items())
    )
