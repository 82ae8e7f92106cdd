"""Scenarios of the benchmark: each starts an event in a simulation.

The name of a scenario is that of its function without the prefix `start_`.
"""

from collections.abc import Callable
from typing import NamedTuple

from bamboosill_dev.bench import deployments
from bamboosill_dev.bench import engine
from bamboosill_dev.bench import leader
from bamboosill_dev.bench import trace

_RESTART_DRAIN_S = 1.5
_RESTART_DOWN_S = 1.0
_ISOLATION_S = 30.0
_FREEZE_S = 10.0
_ADDED_TARGETS = 3


class Scenario(NamedTuple):
    """A scenario of the benchmark.

    Attributes:
        start: Starts the event and returns the time of its last part, from
            which the recovery time of the imbalance is counted.
    """

    start: Callable[[engine.Simulation], float]


SCENARIOS: dict[str, Scenario] = {}
# Run only when named on the command line: no deployment has targets of unequal
# speed today.
OPTIONAL_SCENARIOS = ("uneven",)


def _register(
    function: Callable[[engine.Simulation], float],
) -> Callable[[engine.Simulation], float]:
    name = function.__name__.removeprefix("start_")
    SCENARIOS[name] = Scenario(function)
    return function


def _count_unavoidable_moves(
    simulation: engine.Simulation, service_index: int, leaving: tuple = ()
) -> None:
    """Adds the moves that no policy can avoid to the count of the service."""
    live_targets = [
        item
        for item in simulation.leaders[
            service_index
        ].list_targets_with_heartbeat()
        if item not in leaving and not item.draining and item.reachable
    ]
    rates = simulation.compute_rates(service_index, ramped=False)
    simulation.placements[service_index].count_unavoidable_moves(
        rates, live_targets, leaving
    )


def _list_service_indexes(simulation: engine.Simulation) -> range:
    return range(len(simulation.deployment.services))


@_register
def start_steady(simulation: engine.Simulation) -> float:
    """Changes nothing."""
    del simulation
    return trace.EVENT_S


def _add_load(simulation: engine.Simulation) -> float:
    simulation.event_load = True
    for service_index in _list_service_indexes(simulation):
        _count_unavoidable_moves(simulation, service_index)
    return trace.EVENT_S


@_register
def start_uneven(simulation: engine.Simulation) -> float:
    """Gives the targets of each service different speeds."""
    for service_index in _list_service_indexes(simulation):
        service_targets = simulation.targets[service_index]
        for index, target in enumerate(service_targets):
            target.speed = 0.6 + 0.8 * index / (len(service_targets) - 1)
    return trace.EVENT_S


@_register
def start_sale(simulation: engine.Simulation) -> float:
    """Requests 30 keys of one customer 50 times as often."""
    return _add_load(simulation)


@_register
def start_saturday(simulation: engine.Simulation) -> float:
    """Increases the load of one customer and changes its hot keys."""
    return _add_load(simulation)


@_register
def start_newcomer(simulation: engine.Simulation) -> float:
    """Accepts a customer as large as all others together."""
    simulation.accept_contract(deployments.NEW_CUSTOMER, True)
    return _add_load(simulation)


@_register
def start_lost(simulation: engine.Simulation) -> float:
    """Loses one target of each service permanently."""
    for service_index in _list_service_indexes(simulation):
        target = simulation.targets[service_index][2]
        _count_unavoidable_moves(simulation, service_index, (target,))
        simulation.stop_target(service_index, target, False)
    return trace.EVENT_S


@_register
def start_frozen(simulation: engine.Simulation) -> float:
    """Freezes one target of each service, which later restarts."""
    for service_index in _list_service_indexes(simulation):
        target = simulation.targets[service_index][3]
        _count_unavoidable_moves(simulation, service_index, (target,))
        simulation.stop_target(service_index, target, True)
        simulation.scheduler.call_later(
            _FREEZE_S, simulation.restart_target, service_index, target
        )
    return trace.EVENT_S + _FREEZE_S


@_register
def start_rolling(simulation: engine.Simulation) -> float:
    """Drains and restarts all targets of each service, one at a time."""
    step_s = _RESTART_DRAIN_S + _RESTART_DOWN_S

    def drain(service_index: int, index: int) -> None:
        service_targets = simulation.targets[service_index]
        if index >= len(service_targets):
            return
        target = service_targets[index]
        _count_unavoidable_moves(simulation, service_index, (target,))
        target.draining = True

        def stop() -> None:
            simulation.stop_target(service_index, target, False)

        simulation.scheduler.call_later(_RESTART_DRAIN_S, stop)
        simulation.scheduler.call_later(
            step_s, simulation.restart_target, service_index, target
        )
        simulation.scheduler.call_later(step_s, drain, service_index, index + 1)

    for service_index in _list_service_indexes(simulation):
        drain(service_index, 0)
    max_target_count = max(len(item) for item in simulation.targets)
    return trace.EVENT_S + max_target_count * step_s


@_register
def start_cold(simulation: engine.Simulation) -> float:
    """Adds three cold targets to each service."""
    for service_index in _list_service_indexes(simulation):
        for _ in range(_ADDED_TARGETS):
            simulation.add_target(service_index)
        _count_unavoidable_moves(simulation, service_index)
    return trace.EVENT_S


@_register
def start_lies(simulation: engine.Simulation) -> float:
    """Makes one target report ten times its load and another one none."""
    for service_index in _list_service_indexes(simulation):
        simulation.targets[service_index][1].report_factor = 10.0
        simulation.targets[service_index][4].report_factor = 0.0
    return trace.EVENT_S


@_register
def start_zone(simulation: engine.Simulation) -> float:
    """Isolates one zone, which later rejoins."""
    zone_name = simulation.deployment.zones[1]
    delegations_expire = simulation.deployment.zone_loss == "lapse"
    simulation.isolated_zone = zone_name
    for service_index in _list_service_indexes(simulation):
        isolated_targets = tuple(
            item
            for item in simulation.targets[service_index]
            if item.announcement.zone == zone_name
        )
        if not delegations_expire:
            simulation.leaders[service_index].held_zone = zone_name
            continue
        _count_unavoidable_moves(simulation, service_index, isolated_targets)
        for target in isolated_targets:
            simulation.placements[service_index].mark_unserved(
                target, simulation.scheduler.now_s
            )

        def expire_delegations(service_index: int = service_index) -> None:
            simulation.leaders[service_index].lapsed_zone = zone_name

        simulation.scheduler.call_later(
            leader.DELEGATION_EXPIRY_S, expire_delegations
        )

    def rejoin() -> None:
        simulation.isolated_zone = None
        for service_index in _list_service_indexes(simulation):
            simulation.leaders[service_index].held_zone = None
            simulation.leaders[service_index].lapsed_zone = None
            if delegations_expire:
                _count_unavoidable_moves(simulation, service_index)

    simulation.scheduler.call_later(_ISOLATION_S, rejoin)
    return trace.EVENT_S + _ISOLATION_S
