"""Connects admission to the contracts and shares of the zone group."""

from typing import Any
from typing import NamedTuple

from bamboosilld.entry import interfaces


class GateContract(NamedTuple):
    """A contract as the gate reads it, with services by name."""

    services: dict[str, Any]


def _convert(contract: Any | None) -> GateContract | None:
    if contract is None:
        return None
    return GateContract({each.name: each for each in contract.services})


def connect_gate(member: interfaces.Member, gate: interfaces.Gate) -> None:
    """Puts the member's contracts and shares in force at the gate."""

    def update(customer: str, contract: Any | None) -> None:
        # What arrives before the instance serves is old state, whose
        # customers are not ramped up again.
        new, _ = member.is_ready()
        gate.update_contract(customer, _convert(contract), new=new)

    member.add_contract_listener(update)
    member.add_share_listener(gate.update_shares)
    for customer, contract in member.contracts().items():
        gate.update_contract(customer, _convert(contract))
