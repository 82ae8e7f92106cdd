"""Functions that apply the control group's commands to its tables.

Each applier is registered for one command class. It changes the tables only
if the whole command is valid, and returns the result. It must be
deterministic, depending only on the command, its log index and the tables, so
that all members reach the same state.
"""

from collections.abc import Callable
from typing import Any

from bamboosill_common import contract as contract_lib
from bamboosill_common.generated import control as messages
from bamboosilld.control import delegationrules
from bamboosilld.control import tables as tables_lib

Applier = Callable[[tables_lib.Tables, int, Any], messages.CommandResult]

APPLIERS: dict[type[Any], Applier] = {}


def register(command_type: type[Any]) -> Callable[[Applier], Applier]:
    """Returns a decorator that registers the applier of a command."""

    def add(applier: Applier) -> Applier:
        APPLIERS[command_type] = applier
        return applier

    return add


def accept(revision: int) -> messages.CommandResult:
    """Returns the result of a command that was applied."""
    return messages.CommandResult(ok=True, revision=revision)


def refuse(code: str, detail: str, revision: int = 0) -> messages.CommandResult:
    """Returns the result of a command that changed nothing."""
    return messages.CommandResult(
        ok=False, revision=revision, code=code, detail=detail
    )


def _check_base_revision(
    tables: tables_lib.Tables, customer: str, base: int
) -> messages.CommandResult | None:
    item = tables.contracts.get(customer)
    current = item.revision if item else 0
    if base == current:
        return None
    detail = (
        f"the contract of {customer} is at revision {current}, not {base}"
        if current
        else f"{customer} has no contract"
    )
    return refuse("conflict", detail, current)


def validate_accept(
    tables: tables_lib.Tables, command: messages.AcceptContract
) -> messages.CommandResult | None:
    """Returns why a contract is refused, or None if it would be accepted."""
    try:
        contract = contract_lib.read_stored(command.document)
    except ValueError as error:
        return refuse("bad_contract", str(error)[:200])
    if contract.customer != command.customer:
        return refuse("bad_contract", "the document names another customer")
    conflict = _check_base_revision(
        tables, command.customer, command.base_revision
    )
    if conflict:
        return conflict
    for service in contract.services:
        service_keyspace = tables.service_keyspaces.get(
            (contract.customer, service.name)
        )
        keyspace = service.format_keyspace()
        if (
            service_keyspace
            and not service_keyspace.ended_revision
            and service_keyspace.keyspace != keyspace
        ):
            # Entry instances apply the change at different times. Until all
            # have, a key would have an owner in each of two keyspaces.
            return refuse(
                "keyspace_change",
                f"zone_loss and zones of {service.name} cannot change while "
                "it is in force; remove the service first",
                command.base_revision,
            )
    return None


@register(messages.AcceptContract)
def _accept_contract(
    tables: tables_lib.Tables, index: int, command: messages.AcceptContract
) -> messages.CommandResult:
    refusal = validate_accept(tables, command)
    if refusal:
        return refusal
    item = messages.ContractItem(
        customer=command.customer, revision=index, document=command.document
    )
    contract = contract_lib.read_stored(command.document)
    tables.put_contract(item, contract, index, command.shards)
    return accept(index)


@register(messages.RetireContract)
def _retire_contract(
    tables: tables_lib.Tables, index: int, command: messages.RetireContract
) -> messages.CommandResult:
    conflict = _check_base_revision(
        tables, command.customer, command.base_revision
    )
    if conflict:
        return conflict
    item = tables.contracts.get(command.customer)
    if item is None:
        return refuse("unknown_customer", f"{command.customer} has no contract")
    if item.retired:
        return refuse(
            "retired", "the contract is already retired", item.revision
        )
    changed = item._replace(revision=index, retired=True)
    tables.put_contract(changed, None, index, 0)
    return accept(index)


@register(messages.PutInstance)
def _put_instance(
    tables: tables_lib.Tables, index: int, command: messages.PutInstance
) -> messages.CommandResult:
    item = command.item
    stored = tables.instances.get(item.instance)
    if not item.instance or not item.zone:
        return refuse("bad_instance", "instance id and zone are required")
    if stored:
        if item.incarnation < stored.incarnation:
            return refuse(
                "old_incarnation",
                f"{item.instance} is known with a newer incarnation",
                stored.revision,
            )
        same = item._replace(revision=stored.revision)
        if same == stored:
            return accept(stored.revision)
        # The only allowed change within an incarnation is its removal.
        if item.incarnation == stored.incarnation and same != stored._replace(
            removed=True
        ):
            return refuse(
                "duplicate_identity",
                f"{item.instance} is known with other addresses or removed",
                stored.revision,
            )
    tables.put_instance(item._replace(revision=index))
    return accept(index)


@register(messages.FoundZone)
def _found_zone(
    tables: tables_lib.Tables, index: int, command: messages.FoundZone
) -> messages.CommandResult:
    item = command.item
    stored = tables.zones.get(item.zone)
    current_epoch = stored.group_epoch if stored else 0
    if item.group_epoch != current_epoch + 1:
        return refuse("epoch", f"group epoch of {item.zone} is {current_epoch}")
    founder = tables.instances.get(item.founder)
    if (
        founder is None
        or founder.removed
        or founder.zone != item.zone
        or founder.incarnation != item.founder_incarnation
    ):
        return refuse("founder", f"{item.founder} cannot found {item.zone}")
    founded = item._replace(
        revision=index,
        lost=False,
        voters=(item.founder,),
        voter_incarnations=(item.founder_incarnation,),
    )
    tables.put_zone(founded)
    return accept(index)


@register(messages.PutZoneVoters)
def _put_zone_voters(
    tables: tables_lib.Tables, index: int, command: messages.PutZoneVoters
) -> messages.CommandResult:
    stored = tables.zones.get(command.zone)
    if stored is None or stored.lost:
        return refuse("unknown_zone", f"{command.zone} has no group")
    if stored.group_epoch != command.group_epoch:
        return refuse("epoch", f"group epoch is {stored.group_epoch}")
    if not command.voters or len(command.voters) != len(
        command.voter_incarnations
    ):
        return refuse("bad_voters", "each voter needs an incarnation")
    changed = stored._replace(
        revision=index,
        voters=command.voters,
        voter_incarnations=command.voter_incarnations,
    )
    if changed._replace(revision=stored.revision) != stored:
        tables.put_zone(changed)
    return accept(tables.zones[command.zone].revision)


@register(messages.DeclareZoneLost)
def _declare_zone_lost(
    tables: tables_lib.Tables, index: int, command: messages.DeclareZoneLost
) -> messages.CommandResult:
    stored = tables.zones.get(command.zone)
    if stored is None:
        return refuse("unknown_zone", f"there is no zone {command.zone}")
    if not stored.lost:
        tables.put_zone(stored._replace(revision=index, lost=True))
    return accept(tables.zones[command.zone].revision)


@register(messages.SetDelegations)
def _set_delegations(
    tables: tables_lib.Tables, index: int, command: messages.SetDelegations
) -> messages.CommandResult:
    keys = [(each.keyspace, each.first_shard) for each in command.items]
    if len(set(keys)) != len(keys):
        return refuse("bad_delegation", "a block is given twice")
    for item in command.items:
        problem = delegationrules.find_problem(tables, item)
        if problem:
            return refuse(problem.code, problem.detail)
    for item in command.items:
        tables.put_delegation(item._replace(revision=index))
    return accept(index)
