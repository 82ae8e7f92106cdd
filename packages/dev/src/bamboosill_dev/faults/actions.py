"""Actions that inject and repair each kind of fault.

An action takes the targets, a number that selects the process or zone, and the
duration of the fault. It returns the name of what it acted on once the fault
is repaired.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import signal
from typing import NamedTuple

from bamboosill_dev import cluster as cluster_lib
from bamboosill_dev import relay as relay_lib


class FaultTargets(NamedTuple):
    """Processes and relays that faults act on.

    Attributes:
        cluster: Processes of the system.
        relays: Relays in front of each instance, by its name.
    """

    cluster: cluster_lib.Cluster
    relays: Mapping[str, Sequence[relay_lib.Relay]]


Action = Callable[[FaultTargets, int, float], Awaitable[str]]
ACTIONS: dict[str, Action] = {}


def register(kind: str) -> Callable[[Action], Action]:
    """Returns a decorator that registers the action of a kind of fault."""

    def add(action: Action) -> Action:
        ACTIONS[kind] = action
        return action

    return add


def _select(names: Sequence[str], selector: int) -> str:
    ordered = sorted(names)
    return ordered[selector % len(ordered)]


def _select_instance(targets: FaultTargets, role: str, selector: int) -> str:
    specs = targets.cluster.list_instances(role)
    return _select([spec.name for spec in specs], selector)


async def _stop_and_restart(
    targets: FaultTargets, name: str, duration_s: float, number: signal.Signals
) -> str:
    process = targets.cluster.processes[name]
    process.send(number)
    await process.wait()
    await asyncio.sleep(duration_s)
    if name in targets.cluster.instances:
        await targets.cluster.start_instance(name)
    else:
        spec = targets.cluster.upstreams[name]
        await targets.cluster.start_upstream(name, spec.service, spec.zone)
    return name


async def _pause(targets: FaultTargets, name: str, duration_s: float) -> str:
    process = targets.cluster.processes[name]
    process.send(signal.SIGSTOP)
    try:
        await asyncio.sleep(duration_s)
    finally:
        process.send(signal.SIGCONT)
    return name


@register("kill_upstream")
async def kill_upstream(
    targets: FaultTargets, selector: int, duration_s: float
) -> str:
    """Kills an upstream and restarts it."""
    name = _select(list(targets.cluster.upstreams), selector)
    return await _stop_and_restart(targets, name, duration_s, signal.SIGKILL)


@register("stop_upstream")
async def stop_upstream(
    targets: FaultTargets, selector: int, duration_s: float
) -> str:
    """Stops an upstream gracefully and restarts it."""
    name = _select(list(targets.cluster.upstreams), selector)
    return await _stop_and_restart(targets, name, duration_s, signal.SIGTERM)


@register("pause_upstream")
async def pause_upstream(
    targets: FaultTargets, selector: int, duration_s: float
) -> str:
    """Pauses an upstream, which then resumes with the state it had."""
    name = _select(list(targets.cluster.upstreams), selector)
    return await _pause(targets, name, duration_s)


@register("kill_entry")
async def kill_entry(
    targets: FaultTargets, selector: int, duration_s: float
) -> str:
    """Kills an entry instance and restarts it."""
    name = _select_instance(targets, "entry", selector)
    return await _stop_and_restart(targets, name, duration_s, signal.SIGKILL)


@register("pause_entry")
async def pause_entry(
    targets: FaultTargets, selector: int, duration_s: float
) -> str:
    """Pauses an entry instance."""
    return await _pause(
        targets, _select_instance(targets, "entry", selector), duration_s
    )


@register("kill_control")
async def kill_control(
    targets: FaultTargets, selector: int, duration_s: float
) -> str:
    """Kills a control instance and restarts it."""
    name = _select_instance(targets, "control", selector)
    return await _stop_and_restart(targets, name, duration_s, signal.SIGKILL)


@register("pause_control")
async def pause_control(
    targets: FaultTargets, selector: int, duration_s: float
) -> str:
    """Pauses a control instance."""
    return await _pause(
        targets, _select_instance(targets, "control", selector), duration_s
    )


@register("cut_zone")
async def cut_zone(
    targets: FaultTargets, selector: int, duration_s: float
) -> str:
    """Partitions a zone from the others without closing connections."""
    zone = _select(targets.cluster.zones, selector)
    specs = targets.cluster.instances.values()
    inside = frozenset(spec.host for spec in specs if spec.zone == zone)
    outside = frozenset(spec.host for spec in specs if spec.zone != zone)
    try:
        for spec in specs:
            sources = outside if spec.zone == zone else inside
            for relay in targets.relays[spec.name]:
                relay.set_faults(cut_sources=sources)
        await asyncio.sleep(duration_s)
    finally:
        for relays in targets.relays.values():
            for relay in relays:
                relay.set_faults(cut_sources=frozenset())
    return zone


@register("silence_connections")
async def silence_connections(
    targets: FaultTargets, selector: int, duration_s: float
) -> str:
    """Stops traffic on the open connections of an instance; new ones work."""
    name = _select(list(targets.cluster.instances), selector)
    for relay in targets.relays[name]:
        relay.silence()
    await asyncio.sleep(duration_s)
    return name


@register("drop_connections")
async def drop_connections(
    targets: FaultTargets, selector: int, duration_s: float
) -> str:
    """Closes the open connections to an instance."""
    name = _select(list(targets.cluster.instances), selector)
    for relay in targets.relays[name]:
        relay.reset()
    await asyncio.sleep(duration_s)
    return name
