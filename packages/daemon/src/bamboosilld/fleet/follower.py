"""The copy of the fleet's state that an entry instance keeps."""

from collections.abc import Callable
import random
from typing import NamedTuple

from returns.result import Failure
from returns.result import Success

from bamboosill_common import clock as clock_lib
from bamboosill_common import errors
from bamboosill_common import logs
from bamboosill_common import peer
from bamboosill_common import wire
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import feed as feed_lib
from bamboosilld.fleet import paces as paces_lib
from bamboosilld.fleet import state as state_lib

# The leader answers within half a second when nothing changes.
_CALL_TIMEOUT_S = 1.2
_RETRY_DELAY_S = 0.1

# How a peer that does not lead words its refusal, before the leader's address.
_LEADER_PREFIX = "not_leader: "

_log = logs.get_logger("follower")


class Reports(NamedTuple):
    """What an entry instance has seen since its last question."""

    works: tuple[messages.KeyWork, ...] = ()
    paces: tuple[messages.UpstreamPace, ...] = ()
    loads: tuple[messages.UpstreamLoad, ...] = ()


class Sight(NamedTuple):
    """What all entry instances together have seen of an upstream.

    Attributes:
        requests: Requests that it has, or `suspicion.SUSPECT_LOAD`.
        pace: How slow it is, or None if unknown.
    """

    requests: int
    pace: float | None


class Follower:
    """Follows the leader and applies its commands.

    Attributes:
        state: The copy.
        entry_count: How many entry instances follow, this one included.
        synced_s: When the leader last answered, on the monotonic clock.
    """

    def __init__(
        self,
        instance: str,
        directory: peer.Directory,
        clock: clock_lib.Clock,
        list_seeds: Callable[[], tuple[str, ...]],
        take_reports: Callable[[], Reports],
        on_sights: Callable[[dict[str, Sight]], None],
    ) -> None:
        self._instance = instance
        self._directory = directory
        self._clock = clock
        self._list_seeds = list_seeds
        self._take_reports = take_reports
        self._on_sights = on_sights
        self._known: tuple[str, ...] = ()
        self._leader = ""
        self._is_following = False
        self.state = state_lib.FleetState()
        self.entry_count = 1
        self.synced_s = float("-inf")

    @property
    def is_synced(self) -> bool:
        """Whether there is a configuration to act on."""
        return self.state.configuration.version > 0

    async def run(self) -> None:
        """Follows until cancelled."""
        while True:
            for address in self._list_candidates():
                if await self._follow(address):
                    break
            if not self._is_following:
                await self._clock.sleep(_RETRY_DELAY_S)

    def _list_candidates(self) -> list[str]:
        others = list(dict.fromkeys((*self._known, *self._list_seeds())))
        random.shuffle(others)
        first = [self._leader] if self._leader else []
        return list(dict.fromkeys(first + others))

    async def _follow(self, address: str) -> bool:
        """Asks one instance; returns whether it was the leader."""
        request = messages.Follow(
            self.state.revision,
            self._instance,
            *self._take_reports(),
            takes_packed=True,
        )
        result = await self._directory.call(
            address, request, messages.FollowReply, _CALL_TIMEOUT_S
        )
        self._is_following = isinstance(result, Success)
        match result:
            case Success(reply):
                self._take(address, reply)
                return True
            case Failure(errors.PeerError(code="not_leader", detail=detail)):
                leader = detail.removeprefix(_LEADER_PREFIX)
                if leader not in ("", address):
                    self._leader = leader
                    return True
        if address == self._leader:
            _log.info("Leader lost. Address: %s.", address)
            self._leader = ""
        return False

    def _take(self, address: str, reply: messages.FollowReply) -> None:
        if self._leader != address:
            _log.info("Following %s. Revision: %d.", address, reply.revision)
        self._leader = address
        self._known = reply.control_peers or self._known
        self.entry_count = max(1, reply.entry_count)
        self.synced_s = self._clock.monotonic()
        if reply.snapshot and reply.revision > self.state.revision:
            try:
                self.state.restore(reply.snapshot)
            except wire.DecodeError as error:
                _log.error("Snapshot refused. Reason: %s.", error)
        for each in self._list_commands(reply):
            if each.revision > self.state.revision:
                self.state.apply(each.revision, each.command)
        if reply.revision == self.state.revision:
            self._take_sights(reply)

    def _list_commands(
        self, reply: messages.FollowReply
    ) -> tuple[messages.RevisedCommand, ...]:
        if not reply.packed:
            return reply.commands
        try:
            return feed_lib.unpack_commands(reply.packed)
        except wire.DecodeError as error:
            _log.error("Commands refused. Reason: %s.", error)
            return ()

    def _take_sights(self, reply: messages.FollowReply) -> None:
        upstreams = sorted(self.state.upstreams)
        if not len(upstreams) == len(reply.loads) == len(reply.paces):
            return
        self._on_sights(
            {
                upstream: Sight(requests, paces_lib.decode(step))
                for upstream, requests, step in zip(
                    upstreams, reply.loads, reply.paces, strict=True
                )
            }
        )
