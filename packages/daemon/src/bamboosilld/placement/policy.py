"""Interface between placement policies and the zone leader.

The leader gives a policy a view of the targets and shards of one service, and
the policy answers with moves. Policies register here under their names.
"""

from collections.abc import Callable
from collections.abc import Mapping
import random
from typing import NamedTuple
from typing import Protocol
from typing import TypeVar

COLD = "cold"
WARM = "warm"
DRAINING = "draining"


class Weights(NamedTuple):
    """Relative importance of three quantities that placement trades off.

    Attributes:
        unavailability: Weight of the time during which keys are unavailable.
        churn: Weight of keys that change their owner.
        imbalance: Weight of the highest load of a target over the mean load.
    """

    unavailability: float = 1.0
    churn: float = 1.0
    imbalance: float = 1.0


class TargetView(NamedTuple):
    """An upstream to which shards may be assigned.

    Attributes:
        id: Name of the upstream.
        incarnation: Number that grows with each restart.
        slots: Requests that it runs concurrently.
        state: `cold`, `warm` or `draining`.
        load: Effective load in the unit of `ShardView.load`; 0 if unknown.
        alive_for_s: Seconds since this incarnation was announced.
    """

    id: str
    incarnation: int
    slots: int
    state: str
    load: float = 0.0
    alive_for_s: float = 0.0


class ShardView(NamedTuple):
    """A shard, or one hot key that has its own assignment.

    Attributes:
        keyspace: Keyspace of the shard.
        shard: Number of the shard.
        key: Name of the hot key, or empty for the shard itself.
        owner: Target that owns it, or None.
        load: Requests per second, without those of the shard's hot keys.
        moving: Whether a move of it is in progress.
    """

    keyspace: str
    shard: int
    key: str
    owner: str | None
    load: float
    moving: bool = False


class PlacementView(NamedTuple):
    """Input of a policy for one service.

    Attributes:
        service: Name of the service.
        now_s: Monotonic time of the leader in seconds.
        weights: Weights by keyspace.
        targets: Live upstreams of the service.
        shards: Shards and hot keys to place.
    """

    service: str
    now_s: float
    weights: Mapping[str, Weights]
    targets: tuple[TargetView, ...]
    shards: tuple[ShardView, ...]


class Move(NamedTuple):
    """Assigns a shard or hot key to a new owner.

    Attributes:
        keyspace: Keyspace of the shard.
        shard: Number of the shard.
        key: Name of the hot key, or empty for the shard itself.
        target: New owner.
        reason: Short explanation for operators.
    """

    keyspace: str
    shard: int
    key: str
    target: str
    reason: str


class Policy(Protocol):
    """Chooses owners; one instance serves one service of one leader."""

    def plan(self, view: PlacementView) -> tuple[Move, ...]:
        """Returns the moves to start now, most urgent first."""


_Factory = Callable[[random.Random], Policy]
_F = TypeVar("_F", bound=_Factory)
_POLICIES: dict[str, _Factory] = {}


def register(name: str) -> Callable[[_F], _F]:
    """Returns a decorator that registers a policy under a name."""

    def add(factory: _F) -> _F:
        _POLICIES[name] = factory
        return factory

    return add


def list_policies() -> tuple[str, ...]:
    """Returns the names of all policies, sorted."""
    return tuple(sorted(_POLICIES))


def make_policy(name: str, rng: random.Random) -> Policy:
    """Returns a new policy.

    Raises:
        KeyError: No policy has this name.
    """
    return _POLICIES[name](rng)
