"""In-memory network between consensus nodes, with fault injection.

Tests cut links, drop or delay messages and pause the clocks of nodes without
sockets or processes.
"""

import asyncio
import random
from typing import Any

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bamboosill_common import clock as clock_lib
from bamboosill_common import errors
from bamboosill_common.generated import consensus as messages
from bamboosilld.consensus import interfaces
from bamboosilld.consensus import node as node_lib

_DEFAULT_DELAY_S = 0.001


class PausableClock(clock_lib.LoopClock):
    """An event loop clock that can be paused.

    It stands still while paused and then jumps ahead, as the clock that a
    process sees when it is suspended and resumed.
    """

    def __init__(self) -> None:
        super().__init__()
        self._paused_at_s: float | None = None

    def monotonic(self) -> float:
        """Returns the time of the loop, or of the pause while paused."""
        if self._paused_at_s is not None:
            return self._paused_at_s
        return super().monotonic()

    def pause(self) -> None:
        """Stops the clock."""
        self._paused_at_s = super().monotonic()

    def resume(self) -> None:
        """Resumes the clock, which jumps to the time of the loop."""
        self._paused_at_s = None


class Network:
    """Delivers requests between nodes by address.

    Attributes:
        nodes: Running nodes by address.
        cuts: Pairs (sender, receiver) of instances whose messages are lost.
        drop_rate: Probability that a message is lost.
        delay_s: Minimum one-way delay of a message.
        jitter: Maximum random delay on top, relative to `delay_s`. With
            jitter, messages may be reordered.
        calls: Number of calls by the type name of the request.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._tasks: set[asyncio.Task[Any]] = set()
        self.nodes: dict[str, node_lib.Node] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.drop_rate = 0.0
        self.delay_s = _DEFAULT_DELAY_S
        self.jitter = 1.0
        self.calls: dict[str, int] = {}

    def cut(self, sender: str, receiver: str) -> None:
        """Drops all messages from one instance to another."""
        self.cuts.add((sender, receiver))

    def isolate(self, instance: str, others: list[str]) -> None:
        """Drops all messages from and to an instance."""
        for other in others:
            if other != instance:
                self.cut(instance, other)
                self.cut(other, instance)

    def heal(self) -> None:
        """Restores all links and stops random message loss."""
        self.cuts.clear()
        self.drop_rate = 0.0

    async def call(
        self,
        sender: str,
        member: messages.Member,
        request: Any,
        deadline_s: float,
    ) -> Result[Any, errors.PeerError]:
        """Delivers a request to a member and returns its reply."""
        name = type(request).__name__
        self.calls[name] = self.calls.get(name, 0) + 1
        # The receiver still handles the request after the sender times out.
        task = asyncio.create_task(self._deliver(sender, member, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            async with asyncio.timeout(deadline_s):
                result = await asyncio.shield(task)
                if result is not None:
                    return result
                await asyncio.sleep(deadline_s)
        except TimeoutError:
            pass
        return Failure(errors.PeerError("timeout", member.instance, True))

    async def _deliver(
        self, sender: str, member: messages.Member, request: Any
    ) -> Result[Any, errors.PeerError] | None:
        """Returns the reply, or None if a message was lost."""
        if not await self._transmit(sender, member.instance):
            return None
        node = self.nodes.get(member.address)
        if node is None:
            return Failure(errors.PeerError("unreachable", "", False))
        try:
            reply = await node.handle(request)
        except errors.HandlerError as error:
            return Failure(errors.PeerError(error.code, error.detail, True))
        if not await self._transmit(member.instance, sender):
            return None
        return Success(reply)

    async def _transmit(self, sender: str, receiver: str) -> bool:
        """Delays a message; returns whether it arrives."""
        if self.delay_s:
            await asyncio.sleep(
                self.delay_s * self._rng.uniform(1, 1 + self.jitter)
            )
        return (
            sender,
            receiver,
        ) not in self.cuts and self._rng.random() >= self.drop_rate


class NetworkTransport:
    """Transport of one node over a `Network`."""

    def __init__(self, network: Network, instance: str) -> None:
        self._network = network
        self._instance = instance

    async def call(
        self,
        member: messages.Member,
        request: Any,
        reply_type: type[interfaces.Reply],
        deadline_s: float,
    ) -> Result[interfaces.Reply, errors.PeerError]:
        """Sends a request over the network."""
        return await self._network.call(
            self._instance, member, request, deadline_s
        )
