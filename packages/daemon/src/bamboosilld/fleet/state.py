"""Replicated state of a fleet: configuration, upstreams and holders of keys.

The members of the control group apply the commands of their log to it. Entry
instances keep a copy, fed with the same commands.
"""

import collections
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple
import zlib

from bamboosill_common import logs
from bamboosill_common import wire
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import configuration as configuration_lib
from bamboosilld.fleet import keyranges

# Orders of operators and lives of upstreams remembered, to recognise an order
# or a heartbeat that arrives again: more than a day's worth of each.
_MAX_ORDERS = 10_000
_MAX_GONE = 10_000
# Commands kept for entry instances; one further behind gets a snapshot.
_MAX_RECENT = 512

_log = logs.get_logger("fleet")


class Life(NamedTuple):
    """One life of an upstream: it forgets everything when it starts again."""

    upstream: str
    born_ms: int


class FleetState:
    """The state machine of the control group, or a copy at an instance.

    Attributes:
        revision: Log index of the last command applied.
        configuration: The configuration in force.
        upstreams: Upstreams in service or draining, by id.
        gone: Lives that have ended, oldest first, and how each one ended.
        keys: Holders of keys, by service.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.configuration = messages.Configuration()
        self.upstreams: dict[str, messages.UpstreamItem] = {}
        self.gone: dict[Life, str] = {}
        self.keys: dict[str, keyranges.Table] = {}
        self._orders: dict[bytes, int] = {}
        self._recent: collections.deque[messages.RevisedCommand] = (
            collections.deque(maxlen=_MAX_RECENT)
        )
        # Commands up to this revision may be missing from `_recent`.
        self._forgotten = 0
        self._listeners: list[Callable[[Any], None]] = []

    def add_listener(self, listener: Callable[[Any], None]) -> None:
        """Calls `listener(command)` after each change, None for a restore."""
        self._listeners.append(listener)

    def apply(self, index: int, command: bytes) -> object:
        """Applies a command and returns what its proposer is told."""
        self.revision = index
        if len(self._recent) == _MAX_RECENT:
            self._forgotten = self._recent[0].revision
        self._recent.append(messages.RevisedCommand(index, command))
        try:
            message = wire.unpack(command)
        except wire.DecodeError as error:
            _log.error("Command %d cannot be read: %s.", index, error)
            return ""
        match message:
            case messages.ChangeConfiguration():
                value: object = self._change_configuration(message)
            case messages.SetUpstreams():
                value = self._set_upstreams(message)
            case messages.SetKeys():
                value = self._set_keys(index, message)
            case _:
                _log.error("Command %d is not known here.", index)
                return ""
        self._notify(message)
        return value

    def snapshot(self) -> bytes:
        """Returns the whole state, compressed."""
        snapshot = messages.FleetSnapshot(
            revision=self.revision,
            configuration=self.configuration,
            orders=tuple(
                messages.AcceptedOrder(version, digest)
                for digest, version in self._orders.items()
            ),
            upstreams=tuple(self.upstreams.values()),
            gone=tuple(
                messages.UpstreamLife(life.upstream, life.born_ms, reason)
                for life, reason in self.gone.items()
            ),
            keys=tuple(
                messages.ServiceKeys(service, tuple(table.ranges))
                for service, table in self.keys.items()
            ),
        )
        return zlib.compress(wire.encode(snapshot), 1)

    def restore(self, data: bytes) -> None:
        """Replaces the whole state."""
        snapshot = wire.decode(messages.FleetSnapshot, zlib.decompress(data))
        self.revision = self._forgotten = snapshot.revision
        self.configuration = snapshot.configuration
        self._orders = {each.digest: each.version for each in snapshot.orders}
        self.upstreams = {each.upstream: each for each in snapshot.upstreams}
        self.gone = {
            Life(each.upstream, each.born_ms): each.reason
            for each in snapshot.gone
        }
        self.keys = {
            each.service: keyranges.Table(each.ranges) for each in snapshot.keys
        }
        self._recent.clear()
        self._notify(None)

    def list_commands(
        self, after: int
    ) -> Sequence[messages.RevisedCommand] | None:
        """Returns the commands after a revision, or None if some are lost."""
        if after < self._forgotten or after > self.revision:
            return None
        return [each for each in self._recent if each.revision > after]

    def find_order(self, digest: bytes) -> bool:
        """Returns whether exactly this order was accepted before."""
        return digest in self._orders

    def has_ended(self, life: Life) -> bool:
        """Returns whether a life is over for certain."""
        return self.gone.get(life, "silent") != "silent"

    def find_successor(
        self, item: messages.UpstreamItem
    ) -> messages.UpstreamItem | None:
        """Returns a later life at the same id or address, or None."""
        for other in self.upstreams.values():
            if other.born_ms > item.born_ms and (
                other.upstream == item.upstream or other.address == item.address
            ):
                return other
        return None

    def _change_configuration(
        self, change: messages.ChangeConfiguration
    ) -> str:
        if change.digest in self._orders:
            return "repeated"
        if change.base != self.configuration.version:
            return "conflict"
        if configuration_lib.check_change(self.configuration, change):
            return "invalid"
        self.configuration = configuration_lib.apply_change(
            self.configuration, change
        )
        self._orders[change.digest] = change.version
        while len(self._orders) > _MAX_ORDERS:
            del self._orders[next(iter(self._orders))]
        for service in self.configuration.services:
            if service.sharded and service.name not in self.keys:
                self.keys[service.name] = keyranges.Table()
        return "accepted"

    def _set_upstreams(self, command: messages.SetUpstreams) -> str:
        for each in command.gone:
            self._end_life(Life(each.upstream, each.born_ms), each.reason)
        for item in command.upstreams:
            life = Life(item.upstream, item.born_ms)
            if self.has_ended(life) or self.find_successor(item):
                continue
            self.gone.pop(life, None)
            for other in list(self.upstreams.values()):
                is_earlier = other.born_ms < item.born_ms
                is_same = other.upstream == item.upstream
                if is_earlier and (is_same or other.address == item.address):
                    # The process that now answers there is a later one.
                    self._end_life(
                        Life(other.upstream, other.born_ms), "replaced"
                    )
            self.upstreams[item.upstream] = item
        return ""

    def _end_life(self, life: Life, reason: str) -> None:
        current = self.upstreams.get(life.upstream)
        if current is not None and current.born_ms == life.born_ms:
            del self.upstreams[life.upstream]
        if reason != "silent" or life not in self.gone:
            self.gone[life] = reason
        while len(self.gone) > _MAX_GONE:
            del self.gone[next(iter(self.gone))]

    def _set_keys(self, index: int, command: messages.SetKeys) -> str:
        table = self.keys.setdefault(command.service, keyranges.Table())
        for each in command.ranges:
            # The fence of a command is the one that its proposer saw: keys
            # that another command has given away meanwhile stay as they are.
            for part in table.cut(each.first, each.last):
                if part.fence == each.fence:
                    table.put(
                        each._replace(
                            first=part.first, last=part.last, fence=index
                        )
                    )
        return ""

    def _notify(self, message: Any) -> None:
        for listener in self._listeners:
            listener(message)
