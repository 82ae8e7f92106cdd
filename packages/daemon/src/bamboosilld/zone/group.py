"""Names and commands of a zone's consensus group."""

from typing import Any

from returns.result import Result

from bamboosill_common import errors
from bamboosill_common import wire
from bamboosilld.consensus import interfaces


async def propose(
    node: interfaces.Node, message: Any, deadline_s: float
) -> Result[Any, errors.ProposeError]:
    """Commits a message on this leader and returns the result message."""
    result = await node.propose(wire.pack(message), deadline_s)
    return result.map(lambda applied: applied.value)


def format_group(zone: str, group_epoch: int) -> str:
    """Returns the name of an availability zone's group."""
    return f"zone/{zone}/{group_epoch}"
