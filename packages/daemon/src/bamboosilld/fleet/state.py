"""Replicated state of a fleet: configuration, upstreams and holders of keys.

This is the state machine of the control group. Entry instances keep a copy, to
which they apply the same commands.
"""

import collections
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

from bamboosill_common import logs
from bamboosill_common import metrics
from bamboosill_common import wire
from bamboosill_common.generated import fleet as messages
from bamboosilld import quarantine as quarantine_lib
from bamboosilld.fleet import compression
from bamboosilld.fleet import configuration as configuration_lib
from bamboosilld.fleet import keyranges

# How many accepted configuration changes are remembered, to recognise one that
# is sent again, and how many ended incarnations of upstreams, to recognise a
# late heartbeat. Both are more than a day's worth.
_MAX_ACCEPTED_CHANGES = 10_000
_MAX_ENDED_INCARNATIONS = 10_000
# Recent commands kept for entry instances; one that is further behind gets a
# snapshot.
_MAX_RECENT_COMMANDS = 512

_log = logs.get_logger("fleet")


class UpstreamIncarnation(NamedTuple):
    """One incarnation of an upstream: one run of its process.

    An upstream keeps no state over a restart, so a new incarnation holds no
    keys.

    Attributes:
        upstream: Id of the upstream.
        born_ms: Start time of the process as the upstream announced it; a
            later incarnation has a larger one.
    """

    upstream: str
    born_ms: int


class FleetState:
    """The state machine of the control group, or a copy at an instance.

    Attributes:
        revision: Log index of the last command applied.
        configuration: The configuration in force.
        upstreams: Upstreams in service or draining, by id.
        end_reasons: How incarnations have ended, by incarnation, oldest first;
            "silent" is provisional, as the upstream may report again.
        keys: Holders of keys, by service.
        quarantine: Requests that have crashed upstreams.
        evacuated_zones: Availability zones whose upstreams get no requests.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.configuration = messages.Configuration()
        self.upstreams: dict[str, messages.UpstreamItem] = {}
        self.end_reasons: dict[UpstreamIncarnation, str] = {}
        self.keys: dict[str, keyranges.Table] = {}
        self.quarantine = quarantine_lib.QuarantineTable()
        self.evacuated_zones: set[str] = set()
        # Versions of the configuration by digest of the change that made them.
        # The field of the snapshot format is still called `orders`.
        self._accepted_changes: dict[bytes, int] = {}
        self._recent_commands: collections.deque[messages.RevisedCommand] = (
            collections.deque(maxlen=_MAX_RECENT_COMMANDS)
        )
        # Commands up to this revision may be missing from `_recent_commands`.
        self._trimmed_revision = 0
        self._listeners: list[Callable[[Any], None]] = []

    def add_listener(self, listener: Callable[[Any], None]) -> None:
        """Registers a listener for changes of the state.

        It is called as `listener(command)` after a command was applied, and as
        `listener(None)` after a snapshot was restored.
        """
        self._listeners.append(listener)

    def apply(self, index: int, command: bytes) -> object:
        """Applies a command and returns the result for its proposer."""
        self.revision = index
        if len(self._recent_commands) == _MAX_RECENT_COMMANDS:
            self._trimmed_revision = self._recent_commands[0].revision
        self._recent_commands.append(messages.RevisedCommand(index, command))
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
            case messages.RecordCrashes():
                value = self._record_crashes(message)
            case messages.SetEvacuation():
                value = self._set_evacuation(message)
            case _:
                _log.error("Command %d is not known here.", index)
                return ""
        self._notify(message)
        return value

    @metrics.fleet_snapshot_duration.time()
    def snapshot(self) -> bytes:
        """Returns the encoded and compressed state."""
        snapshot = messages.FleetSnapshot(
            revision=self.revision,
            configuration=self.configuration,
            orders=tuple(
                messages.AcceptedOrder(accepted_version, digest)
                for digest, accepted_version in self._accepted_changes.items()
            ),
            upstreams=tuple(self.upstreams.values()),
            gone=tuple(
                messages.UpstreamLife(
                    incarnation.upstream, incarnation.born_ms, reason
                )
                for incarnation, reason in self.end_reasons.items()
            ),
            keys=tuple(
                messages.ServiceKeys(service, tuple(table.ranges))
                for service, table in self.keys.items()
            ),
            crashes=tuple(
                messages.UpstreamCrash(*key, *crash)
                for key, crash in self.quarantine.list_crashes()
            ),
            evacuated_zones=tuple(sorted(self.evacuated_zones)),
        )
        return compression.pack(snapshot)

    def restore(self, data: bytes) -> None:
        """Replaces the state by that of a snapshot.

        Raises:
            wire.DecodeError: The bytes are not valid.
        """
        snapshot = compression.unpack(messages.FleetSnapshot, data)
        self.revision = self._trimmed_revision = snapshot.revision
        self.configuration = snapshot.configuration
        self._accepted_changes = {
            each.digest: each.version for each in snapshot.orders
        }
        self.upstreams = {each.upstream: each for each in snapshot.upstreams}
        self.end_reasons = {
            UpstreamIncarnation(each.upstream, each.born_ms): each.reason
            for each in snapshot.gone
        }
        self.keys = {
            each.service: keyranges.Table(each.ranges) for each in snapshot.keys
        }
        self.quarantine = quarantine_lib.QuarantineTable()
        for each in snapshot.crashes:
            self.quarantine.restore(
                (each.upstream, each.born_ms),
                quarantine_lib.Crash(each.at_ms, each.fingerprints),
            )
        self.evacuated_zones = set(snapshot.evacuated_zones)
        self._recent_commands.clear()
        self._notify(None)

    def list_commands(
        self, after: int
    ) -> Sequence[messages.RevisedCommand] | None:
        """Returns the commands after a revision; None if some are missing."""
        if after < self._trimmed_revision or after > self.revision:
            return None
        return [each for each in self._recent_commands if each.revision > after]

    def has_accepted(self, digest: bytes) -> bool:
        """Returns whether the change with this digest was accepted before."""
        return digest in self._accepted_changes

    def is_registered(self, incarnation: UpstreamIncarnation) -> bool:
        """Returns whether an incarnation is the registered one of its id."""
        item = self.upstreams.get(incarnation.upstream)
        return item is not None and item.born_ms == incarnation.born_ms

    def is_evacuated(self, upstream: str) -> bool:
        """Returns whether an upstream is in an evacuated availability zone."""
        item = self.upstreams.get(upstream)
        return item is not None and item.zone in self.evacuated_zones

    def has_ended(self, incarnation: UpstreamIncarnation) -> bool:
        """Returns whether an incarnation has ended for good.

        A silent upstream may only be unreachable and come back.
        """
        return self.end_reasons.get(incarnation, "silent") != "silent"

    def find_successor(
        self, item: messages.UpstreamItem
    ) -> messages.UpstreamItem | None:
        """Returns a later incarnation with the same id or address, or None."""
        for other in self.upstreams.values():
            if other.born_ms > item.born_ms and (
                other.upstream == item.upstream or other.address == item.address
            ):
                return other
        return None

    def _change_configuration(
        self, change: messages.ChangeConfiguration
    ) -> str:
        if change.digest in self._accepted_changes:
            return "repeated"
        if change.base != self.configuration.version:
            return "conflict"
        if configuration_lib.check_change(self.configuration, change):
            return "invalid"
        self.configuration = configuration_lib.apply_change(
            self.configuration, change
        )
        self._accepted_changes[change.digest] = change.version
        while len(self._accepted_changes) > _MAX_ACCEPTED_CHANGES:
            del self._accepted_changes[next(iter(self._accepted_changes))]
        for service in self.configuration.services:
            if service.sharded and service.name not in self.keys:
                self.keys[service.name] = keyranges.Table()
        return "accepted"

    def _set_upstreams(self, command: messages.SetUpstreams) -> str:
        for each in command.gone:
            self._end_incarnation(
                UpstreamIncarnation(each.upstream, each.born_ms), each.reason
            )
        for item in command.upstreams:
            incarnation = UpstreamIncarnation(item.upstream, item.born_ms)
            if self.has_ended(incarnation) or self.find_successor(item):
                continue
            self.end_reasons.pop(incarnation, None)
            for other in list(self.upstreams.values()):
                is_earlier = other.born_ms < item.born_ms
                is_same = other.upstream == item.upstream
                if is_earlier and (is_same or other.address == item.address):
                    # A newer process has taken over the id or the address.
                    self._end_incarnation(
                        UpstreamIncarnation(other.upstream, other.born_ms),
                        "replaced",
                    )
            self.upstreams[item.upstream] = item
        return ""

    def _end_incarnation(
        self, incarnation: UpstreamIncarnation, reason: str
    ) -> None:
        current = self.upstreams.get(incarnation.upstream)
        if current is not None and current.born_ms == incarnation.born_ms:
            del self.upstreams[incarnation.upstream]
        if reason != "silent" or incarnation not in self.end_reasons:
            self.end_reasons[incarnation] = reason
        while len(self.end_reasons) > _MAX_ENDED_INCARNATIONS:
            del self.end_reasons[next(iter(self.end_reasons))]

    def _set_keys(self, index: int, command: messages.SetKeys) -> str:
        table = self.keys.setdefault(command.service, keyranges.Table())
        for each in command.ranges:
            # The fence in a command is the one that its proposer saw: keys that
            # another command has reassigned meanwhile are left unchanged.
            for part in table.intersect(each.first, each.last):
                if part.fence == each.fence:
                    table.put(
                        each._replace(
                            first=part.first, last=part.last, fence=index
                        )
                    )
        return ""

    def _record_crashes(self, command: messages.RecordCrashes) -> str:
        # First, as the answers were reported after earlier crashes.
        cleared = [
            each.hex()
            for each in command.answered
            if self.quarantine.clear(each)
        ]
        if cleared:
            _log.info(
                "Suspected requests cleared by answers: %d.",
                len(cleared),
                extra={"fingerprints": cleared},
            )
        for crash in command.crashes:
            blocked = self.quarantine.report(
                (crash.upstream, crash.born_ms), crash.fingerprints, crash.at_ms
            )
            if blocked:
                _log.warning(
                    "Requests in quarantine after a crash of %s: %d.",
                    crash.upstream,
                    len(blocked),
                    extra={"fingerprints": [each.hex() for each in blocked]},
                )
        return ""

    def _set_evacuation(self, command: messages.SetEvacuation) -> str:
        if command.is_evacuated:
            self.evacuated_zones.add(command.zone)
        else:
            self.evacuated_zones.discard(command.zone)
        return ""

    def _notify(self, message: Any) -> None:
        for listener in self._listeners:
            listener(message)
