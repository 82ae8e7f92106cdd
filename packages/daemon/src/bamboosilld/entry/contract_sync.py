"""Passes contracts and limit shares from the zone group to admission."""

from typing import Any
from typing import NamedTuple

from bamboosilld.entry import interfaces


class GateContract(NamedTuple):
    """A contract in the form that the gate reads, with services by name."""

    services: dict[str, Any]


def _convert(contract: Any | None) -> GateContract | None:
    if contract is None:
        return None
    return GateContract({each.name: each for each in contract.services})


def connect_gate(member: interfaces.ZoneMember, gate: interfaces.Gate) -> None:
    """Keeps the gate up to date with contracts and shares of the member."""

    def update(customer: str, contract: Any | None) -> None:
        # Contracts received before this instance is ready are existing
        # state after a restart; their rates are not ramped up again.
        new, _ = member.is_ready()
        gate.update_contract(customer, _convert(contract), new=new)

    member.add_contract_listener(update)
    member.add_share_listener(gate.update_shares)
    for customer, contract in member.list_contracts().items():
        gate.update_contract(customer, _convert(contract))
