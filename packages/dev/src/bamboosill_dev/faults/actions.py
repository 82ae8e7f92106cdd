"""How each kind of fault is brought about and repaired."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import signal
from typing import NamedTuple

from bamboosill_dev import cluster as cluster_lib
from bamboosill_dev import relay as relay_lib


class Scene(NamedTuple):
    """What faults act on.

    Attributes:
        cluster: The processes.
        relays: Relays in front of each instance.
    """

    cluster: cluster_lib.Cluster
    relays: Mapping[str, Sequence[relay_lib.Relay]]


Action = Callable[[Scene, int, float], Awaitable[str]]
ACTIONS: dict[str, Action] = {}


def register(kind: str) -> Callable[[Action], Action]:
    """Returns a decorator that registers the action of a kind of fault."""

    def add(action: Action) -> Action:
        ACTIONS[kind] = action
        return action

    return add


def _choose(names: Sequence[str], choice: int) -> str:
    ordered = sorted(names)
    return ordered[choice % len(ordered)]


def _choose_instance(scene: Scene, role: str, choice: int) -> str:
    specs = scene.cluster.list_instances(role)
    return _choose([spec.name for spec in specs], choice)


async def _kill_and_restart(
    scene: Scene, name: str, length_s: float, number: signal.Signals
) -> str:
    process = scene.cluster.processes[name]
    process.send(number)
    await process.wait()
    await asyncio.sleep(length_s)
    if name in scene.cluster.instances:
        await scene.cluster.start_instance(name)
    else:
        spec = scene.cluster.upstreams[name]
        await scene.cluster.start_upstream(name, spec.service, spec.zone)
    return name


async def _pause(scene: Scene, name: str, length_s: float) -> str:
    process = scene.cluster.processes[name]
    process.send(signal.SIGSTOP)
    try:
        await asyncio.sleep(length_s)
    finally:
        process.send(signal.SIGCONT)
    return name


@register("kill_upstream")
async def kill_upstream(scene: Scene, choice: int, length_s: float) -> str:
    """Kills an upstream and starts it again."""
    name = _choose(list(scene.cluster.upstreams), choice)
    return await _kill_and_restart(scene, name, length_s, signal.SIGKILL)


@register("stop_upstream")
async def stop_upstream(scene: Scene, choice: int, length_s: float) -> str:
    """Stops an upstream gracefully and starts it again."""
    name = _choose(list(scene.cluster.upstreams), choice)
    return await _kill_and_restart(scene, name, length_s, signal.SIGTERM)


@register("pause_upstream")
async def pause_upstream(scene: Scene, choice: int, length_s: float) -> str:
    """Freezes an upstream that then goes on as if nothing happened."""
    name = _choose(list(scene.cluster.upstreams), choice)
    return await _pause(scene, name, length_s)


@register("kill_entry")
async def kill_entry(scene: Scene, choice: int, length_s: float) -> str:
    """Kills an entry instance and starts it again."""
    name = _choose_instance(scene, "entry", choice)
    return await _kill_and_restart(scene, name, length_s, signal.SIGKILL)


@register("pause_entry")
async def pause_entry(scene: Scene, choice: int, length_s: float) -> str:
    """Freezes an entry instance."""
    return await _pause(
        scene, _choose_instance(scene, "entry", choice), length_s
    )


@register("kill_control")
async def kill_control(scene: Scene, choice: int, length_s: float) -> str:
    """Kills a control instance and starts it again."""
    name = _choose_instance(scene, "control", choice)
    return await _kill_and_restart(scene, name, length_s, signal.SIGKILL)


@register("pause_control")
async def pause_control(scene: Scene, choice: int, length_s: float) -> str:
    """Freezes a control instance."""
    return await _pause(
        scene, _choose_instance(scene, "control", choice), length_s
    )


@register("cut_zone")
async def cut_zone(scene: Scene, choice: int, length_s: float) -> str:
    """Cuts an availability zone off from the others, silently."""
    zone = _choose(scene.cluster.zones, choice)
    specs = scene.cluster.instances.values()
    inside = frozenset(spec.host for spec in specs if spec.zone == zone)
    outside = frozenset(spec.host for spec in specs if spec.zone != zone)
    try:
        for spec in specs:
            sources = outside if spec.zone == zone else inside
            for relay in scene.relays[spec.name]:
                relay.set_faults(cut_sources=sources)
        await asyncio.sleep(length_s)
    finally:
        for relays in scene.relays.values():
            for relay in relays:
                relay.set_faults(cut_sources=frozenset())
    return zone


@register("silence_connections")
async def silence_connections(
    scene: Scene, choice: int, length_s: float
) -> str:
    """Silences the open connections to an instance; new ones work."""
    name = _choose(list(scene.cluster.instances), choice)
    for relay in scene.relays[name]:
        relay.silence()
    await asyncio.sleep(length_s)
    return name


@register("drop_connections")
async def drop_connections(scene: Scene, choice: int, length_s: float) -> str:
    """Closes the open connections to an instance."""
    name = _choose(list(scene.cluster.instances), choice)
    for relay in scene.relays[name]:
        relay.reset()
    await asyncio.sleep(length_s)
    return name
