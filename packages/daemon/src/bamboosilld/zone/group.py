"""Helpers for a zone's consensus group: its name and its commands."""

from typing import Any

from returns.result import Result

from bamboosill_common import errors
from bamboosill_common import wire
from bamboosilld.consensus import interfaces


async def propose(
    node: interfaces.Node, message: Any, deadline_s: float
) -> Result[Any, errors.ProposeError]:
    """Commits a message through this leader and returns its result."""
    result = await node.propose(wire.pack(message), deadline_s)
    return result.map(lambda applied: applied.value)


def format_group(zone: str, group_epoch: int) -> str:
    """Returns the name of a zone's group in one epoch."""
    return f"zone/{zone}/{group_epoch}"
