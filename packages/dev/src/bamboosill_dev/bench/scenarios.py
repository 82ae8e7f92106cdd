"""Events of the scenarios, registered by name."""

from collections.abc import Callable
from typing import NamedTuple

from bamboosill_dev.bench import deployments
from bamboosill_dev.bench import engine
from bamboosill_dev.bench import leader
from bamboosill_dev.bench import trace

_RESTART_DRAIN_S = 1.5
_RESTART_DOWN_S = 1.0
_CUT_S = 30.0
_FROZEN_S = 10.0
_ADDED_TARGETS = 3


class Scenario(NamedTuple):
    """A scenario.

    Attributes:
        start: Begins the event; returns the time of its last part, from
            which the return into the bound on imbalance is counted.
    """

    start: Callable[[engine.Engine], float]


SCENARIOS: dict[str, Scenario] = {}
# Left out unless named: no deployment has targets of unequal speed today.
EXTRA = ("uneven",)


def _register(
    function: Callable[[engine.Engine], float],
) -> Callable[[engine.Engine], float]:
    name = function.__name__.removeprefix("start_")
    SCENARIOS[name] = Scenario(function)
    return function


def _note_least(run: engine.Engine, service: int, leaving: tuple = ()) -> None:
    live = [
        item
        for item in run.leaders[service].list_seen()
        if item not in leaving and not item.draining and item.reachable
    ]
    rates = run.compute_rates(service, ramped=False)
    run.places[service].add_least(rates, live, leaving)


def _for_each(run: engine.Engine) -> range:
    return range(len(run.deployment.services))


@_register
def start_steady(run: engine.Engine) -> float:
    """Changes nothing."""
    del run
    return trace.EVENT_S


def _add_load(run: engine.Engine) -> float:
    run.extra_load = True
    for service in _for_each(run):
        _note_least(run, service)
    return trace.EVENT_S


@_register
def start_uneven(run: engine.Engine) -> float:
    """The targets of each service are of unequal speed from the event on."""
    for service in _for_each(run):
        members = run.targets[service]
        for index, target in enumerate(members):
            target.speed = 0.6 + 0.8 * index / (len(members) - 1)
    return trace.EVENT_S


@_register
def start_sale(run: engine.Engine) -> float:
    """Thirty keys of one customer are asked for 50 times as often."""
    return _add_load(run)


@_register
def start_saturday(run: engine.Engine) -> float:
    """All other keys of a chain become hot."""
    return _add_load(run)


@_register
def start_newcomer(run: engine.Engine) -> float:
    """A customer as large as all others is accepted."""
    run.accept_contract(deployments.NEWCOMER, True)
    return _add_load(run)


@_register
def start_lost(run: engine.Engine) -> float:
    """One target of each service is lost for good."""
    for service in _for_each(run):
        target = run.targets[service][2]
        _note_least(run, service, (target,))
        run.stop_target(service, target, False)
    return trace.EVENT_S


@_register
def start_frozen(run: engine.Engine) -> float:
    """One target of each service freezes, and later resumes as a new one."""
    for service in _for_each(run):
        target = run.targets[service][3]
        _note_least(run, service, (target,))
        run.stop_target(service, target, True)
        run.heap.call_later(_FROZEN_S, run.restart_target, service, target)
    return trace.EVENT_S + _FROZEN_S


@_register
def start_rolling(run: engine.Engine) -> float:
    """All targets are drained and restarted, one after the other."""
    step_s = _RESTART_DRAIN_S + _RESTART_DOWN_S

    def drain(service: int, index: int) -> None:
        members = run.targets[service]
        if index >= len(members):
            return
        target = members[index]
        _note_least(run, service, (target,))
        target.draining = True

        def stop() -> None:
            run.stop_target(service, target, False)

        run.heap.call_later(_RESTART_DRAIN_S, stop)
        run.heap.call_later(step_s, run.restart_target, service, target)
        run.heap.call_later(step_s, drain, service, index + 1)

    for service in _for_each(run):
        drain(service, 0)
    longest = max(len(item) for item in run.targets)
    return trace.EVENT_S + longest * step_s


@_register
def start_cold(run: engine.Engine) -> float:
    """Three cold targets are added to each service."""
    for service in _for_each(run):
        for _ in range(_ADDED_TARGETS):
            run.add_target(service)
        _note_least(run, service)
    return trace.EVENT_S


@_register
def start_lies(run: engine.Engine) -> float:
    """One target reports ten times its load, another none."""
    for service in _for_each(run):
        run.targets[service][1].lie = 10.0
        run.targets[service][4].lie = 0.0
    return trace.EVENT_S


@_register
def start_zone(run: engine.Engine) -> float:
    """One zone is cut off and comes back."""
    where = run.deployment.zones[1]
    lapse = run.deployment.zone_loss == "lapse"
    run.cut_zone = where
    for service in _for_each(run):
        cut = tuple(
            item
            for item in run.targets[service]
            if item.announcement.zone == where
        )
        if not lapse:
            run.leaders[service].held_zone = where
            continue
        _note_least(run, service, cut)
        for target in cut:
            run.places[service].lose(target, run.heap.now_s)

        def lapse_zone(service: int = service) -> None:
            run.leaders[service].lapsed_zone = where

        run.heap.call_later(leader.LAPSE_S, lapse_zone)

    def rejoin() -> None:
        run.cut_zone = None
        for service in _for_each(run):
            run.leaders[service].held_zone = None
            run.leaders[service].lapsed_zone = None
            if lapse:
                _note_least(run, service)

    run.heap.call_later(_CUT_S, rejoin)
    return trace.EVENT_S + _CUT_S
