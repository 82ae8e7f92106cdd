"""What a placement policy sees and decides, and the registry of policies."""

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
    """How much a keyspace minds each of the three quantities.

    Attributes:
        unavailability: Weight of the time during which keys are unavailable.
        churn: Weight of keys that change their owner.
        imbalance: Weight of the load of the fullest target over the mean.
    """

    unavailability: float = 1.0
    churn: float = 1.0
    imbalance: float = 1.0


class TargetView(NamedTuple):
    """An upstream as a place for load.

    Attributes:
        id: Name of the upstream.
        incarnation: Number of its present run.
        slots: Requests it runs at a time.
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
        moving: Whether a move of it has begun and not finished.
    """

    keyspace: str
    shard: int
    key: str
    owner: str | None
    load: float
    moving: bool = False


class PlacementView(NamedTuple):
    """All that a policy may use for one service.

    Attributes:
        service: Name of the service.
        now_s: Monotonic time of the leader in seconds.
        weights: Weights by keyspace.
        targets: Live upstreams of the service.
        shards: Shards and hot keys to be placed.
    """

    service: str
    now_s: float
    weights: Mapping[str, Weights]
    targets: tuple[TargetView, ...]
    shards: tuple[ShardView, ...]


class Move(NamedTuple):
    """Gives a shard or hot key to a target.

    Attributes:
        keyspace: Keyspace of the shard.
        shard: Number of the shard.
        key: Name of the hot key, or empty for the shard itself.
        target: New owner.
        reason: Short sentence for operators.
    """

    keyspace: str
    shard: int
    key: str
    target: str
    reason: str


class Policy(Protocol):
    """Chooses owners; one instance serves one service of one leader."""

    def plan(self, view: PlacementView) -> tuple[Move, ...]:
        """Returns the moves to begin now, most urgent first."""


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
