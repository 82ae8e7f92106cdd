"""How grants, renewals and releases of keys reach upstreams.

The granter decides who holds which keys. A service's configuration names the
delivery that tells its upstreams.
"""

import abc
from collections.abc import Callable
from collections.abc import Iterable
import random
from typing import ClassVar
from typing import NamedTuple
from typing import Protocol

from bamboosill_common import clock as clock_lib
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import keyplan
from bamboosilld.fleet import leases as leases_lib
from bamboosilld.fleet import state as state_lib
from bamboosilld.fleet import upstream_calls

DEFAULT_DELIVERY = "heartbeat"


class KeyHolders(Protocol):
    """What a delivery needs of the granter."""

    def list_grants(
        self, incarnation: state_lib.UpstreamIncarnation, service: str
    ) -> list[messages.KeyRange]:
        """Returns the ranges that an incarnation is to hold and renew."""

    def list_revoked(
        self, incarnation: state_lib.UpstreamIncarnation, service: str
    ) -> list[messages.KeyRange]:
        """Returns the ranges that it holds and is to release."""

    def revoke(self, service: str, moves: Iterable[keyplan.Move]) -> None:
        """Ends the renewal of keys; they are free once the lease is over."""

    async def free(
        self,
        service: str,
        incarnation: state_lib.UpstreamIncarnation,
        ranges: list[messages.KeyRange],
    ) -> None:
        """Frees ranges that their holder has released.

        Raises:
            errors.HandlerError: The command could not be committed.
        """

    async def assign(
        self, service: str, ranges: list[messages.KeyRange]
    ) -> None:
        """Grants ranges, under new fences, to the holders that they name.

        Raises:
            errors.HandlerError: The command could not be committed.
        """

    async def grant_reserved(
        self, service: str, incarnation: state_lib.UpstreamIncarnation | None
    ) -> None:
        """Grants free keys to the upstreams that they are reserved for.

        Args:
            service: Name of the service.
            incarnation: The only upstream to grant keys to; None for all.

        Raises:
            errors.HandlerError: The command could not be committed.
        """


class Environment(NamedTuple):
    """Dependencies of a delivery.

    Attributes:
        keys: The granter.
        state: The replicated state.
        clock: The leader's clock.
        lease_s: Length of a lease in seconds.
        may_act: Returns whether this member may act as leader now.
        call_client: Calls upstreams.
        rng: Source of random numbers.
    """

    keys: KeyHolders
    state: state_lib.FleetState
    clock: clock_lib.Clock
    lease_s: float
    may_act: Callable[[], bool]
    call_client: upstream_calls.CallClient
    rng: random.Random


class Delivery(abc.ABC):
    """Tells the upstreams of some services which keys they hold.

    Attributes:
        ranges_per_upstream: Ranges of an upstream in the first distribution.
        max_ranges: Most ranges that an upstream may hold.
        is_immediate: Whether a grant is sent at once, without waiting for a
            heartbeat of its upstream.
        leases: Leases of the upstreams, as the leader counts them.
    """

    ranges_per_upstream: ClassVar[int]
    max_ranges: ClassVar[int]
    is_immediate: ClassVar[bool]
    leases: leases_lib.Leases

    @abc.abstractmethod
    def reset(self) -> None:
        """Drops all in-memory state; called after each election."""

    @abc.abstractmethod
    async def apply_report(
        self,
        incarnation: state_lib.UpstreamIncarnation,
        report: messages.UpstreamReport,
    ) -> list[messages.KeyRange] | None:
        """Applies the heartbeat of an upstream.

        Returns:
            The keys that the reply renews, or None if it renews none.

        Raises:
            errors.HandlerError: A command could not be committed.
        """

    @abc.abstractmethod
    async def tick(self, service: str) -> None:
        """Does what is due for a service.

        Raises:
            errors.HandlerError: A command could not be committed.
        """

    @abc.abstractmethod
    def prepare_grants(
        self, incarnations: Iterable[state_lib.UpstreamIncarnation]
    ) -> None:
        """Prepares for grants to upstreams that are about to be committed."""

    @abc.abstractmethod
    def is_reachable(self, incarnation: state_lib.UpstreamIncarnation) -> bool:
        """Returns whether grants reach an upstream, as far as known."""

    @abc.abstractmethod
    def may_free_replaced(self) -> bool:
        """Returns whether the keys of a replaced process are free at once."""

    @abc.abstractmethod
    def is_release_final(self, move: keyplan.Move) -> bool:
        """Returns whether keys are free as soon as their holder releases them.

        They are not while an earlier grant of them may still be under way.
        """


MakeDelivery = Callable[[Environment], Delivery]

DELIVERIES: dict[str, MakeDelivery] = {}


def register(name: str) -> Callable[[type[Delivery]], type[Delivery]]:
    """Returns a decorator that registers a delivery under a name.

    Args:
        name: Value of `ServiceItem.grants` that selects it.
    """

    def decorator(delivery: type[Delivery]) -> type[Delivery]:
        DELIVERIES[name] = delivery
        return delivery

    return decorator
