"""Until when upstreams are cold, as every control instance keeps it.

Handles upstreams that start, or become cold again, while there is traffic: for
some seconds they take only a few requests a second from all instances together.

Each control instance follows the replicated items, so that a new leader knows
what is cold; the leader also uses the heartbeats.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

from bamboosill_common import clock as clock_lib
from bamboosill_common import logs
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import state as state_lib

# Upstreams give up a heartbeat after one second, so a later one was sent after
# the upstream was marked.
_HEARTBEAT_MAX_DELAY_S = 1.0
# An item is committed again if its upstream stays cold for longer than the
# replicated item says by more than this time. Shorter differences come from
# heartbeats that were delayed.
_ANNOUNCE_LATER_S = 0.5
# Time for which instances are told that an upstream was found to be warm.
_ENDED_COLD_SENT_S = 5.0

_log = logs.get_logger("cold")


class _Cold(NamedTuple):
    """Until when one incarnation of an upstream is cold.

    Attributes:
        marked_s: When it was last found to be cold for longer than known.
        end_s: When it is warm.
        announced_end_s: When it is warm according to the replicated item.
    """

    marked_s: float
    end_s: float
    announced_end_s: float


_UNKNOWN = _Cold(float("-inf"), float("-inf"), float("-inf"))


class ColdUpstreams:
    """The cold upstreams of services that limit the rate of requests to them.

    All methods get monotonic times from the same clock.
    """

    def __init__(
        self, state: state_lib.FleetState, clock: clock_lib.Clock
    ) -> None:
        self._state = state
        self._clock = clock
        self._cold: dict[state_lib.UpstreamIncarnation, _Cold] = {}
        self._apply_change(None)
        state.add_listener(self._apply_change)

    def mark(
        self, incarnation: state_lib.UpstreamIncarnation, duration_s: float
    ) -> None:
        """Treats an upstream as cold for at least this time from now on."""
        now_s = self._clock.monotonic()
        known = self._cold.get(incarnation, _UNKNOWN)
        if now_s + duration_s > max(known.end_s, now_s):
            self._cold[incarnation] = known._replace(
                marked_s=now_s, end_s=now_s + duration_s
            )

    def observe(self, item: messages.UpstreamItem) -> bool:
        """Applies the newest heartbeat of an upstream.

        It may have been sent before the upstream was marked, and then ends
        nothing.

        Returns:
            Whether the instances are to be told that the upstream is cold, or
            cold for longer.
        """
        if not self._get_service_rate(item.service):
            return False
        now_s = self._clock.monotonic()
        incarnation = state_lib.UpstreamIncarnation(item.upstream, item.born_ms)
        known = self._cold.get(incarnation, _UNKNOWN)
        end_s = now_s + item.warmup_ms / 1000
        if end_s > known.end_s + _ANNOUNCE_LATER_S and item.warmup_ms:
            _log.info(
                "Upstream %s is cold for %d ms.",
                item.upstream,
                item.warmup_ms,
                extra={"upstream": item.upstream, "service": item.service},
            )
            known = known._replace(marked_s=now_s)
        elif now_s - known.marked_s < _HEARTBEAT_MAX_DELAY_S:
            end_s = max(end_s, known.end_s)
        elif known.end_s <= now_s and not item.warmup_ms:
            return False
        elif not item.warmup_ms:
            _log.info("Upstream %s is not cold any more.", item.upstream)
        self._cold[incarnation] = known._replace(end_s=end_s)
        is_news = end_s > known.announced_end_s + _ANNOUNCE_LATER_S
        return is_news and bool(item.warmup_ms)

    def get_rate(
        self, incarnation: state_lib.UpstreamIncarnation
    ) -> float | None:
        """Returns the requests a second that it takes, or None if not cold."""
        item = self._state.upstreams.get(incarnation.upstream)
        if item is None or not self.get_left_s(incarnation):
            return None
        return self._get_service_rate(item.service) or None

    def get_left_s(self, incarnation: state_lib.UpstreamIncarnation) -> float:
        """Returns for how many seconds an upstream stays cold."""
        known = self._cold.get(incarnation)
        if known is None:
            return 0.0
        return max(0.0, known.end_s - self._clock.monotonic())

    def get_marked_s(self, incarnation: state_lib.UpstreamIncarnation) -> float:
        """Returns since when an upstream is known to be cold."""
        return self._cold.get(incarnation, _UNKNOWN).marked_s

    def list_told(self) -> Iterator[state_lib.UpstreamIncarnation]:
        """Yields cold upstreams, and those that were cold until recently."""
        self._drop_ended()
        for incarnation in self._cold:
            item = self._state.upstreams.get(incarnation.upstream)
            if (
                item is not None
                and item.born_ms == incarnation.born_ms
                and self._get_service_rate(item.service)
            ):
                yield incarnation

    def _get_service_rate(self, service: str) -> float:
        for each in self._state.configuration.services:
            if each.name == service:
                return each.warmup_per_s
        return 0.0

    def _apply_change(self, command: Any) -> None:
        if command is None:
            self._announce(self._state.upstreams.values())
        elif isinstance(command, messages.SetUpstreams):
            self._announce(command.upstreams)

    def _drop_ended(self) -> None:
        since_s = self._clock.monotonic() - _ENDED_COLD_SENT_S
        self._cold = {
            incarnation: known
            for incarnation, known in self._cold.items()
            if max(known.end_s, known.announced_end_s) > since_s
        }

    def _announce(self, items: Iterable[messages.UpstreamItem]) -> None:
        self._drop_ended()
        now_s = self._clock.monotonic()
        for item in items:
            if not item.warmup_ms:
                continue
            incarnation = state_lib.UpstreamIncarnation(
                item.upstream, item.born_ms
            )
            duration_s = item.warmup_ms / 1000
            self.mark(incarnation, duration_s)
            known = self._cold.get(incarnation, _UNKNOWN)
            self._cold[incarnation] = known._replace(
                announced_end_s=now_s + duration_s
            )
