"""Whether an upstream takes requests now.

This is the one place that decides it for first attempts, retries, hedges,
forwarded requests and probes: by what an upstream states in its responses, and
by orders to evacuate its availability zone. What an upstream states holds for
this instance; other instances get the same in the responses to their own
requests.
"""

from collections.abc import Sequence
import re
from typing import NamedTuple

from bamboosill_common import clock as clock_lib
from bamboosill_common import logs

_LEAVING = b"1"
# The holder of a key gets requests for the key for this fraction of the time in
# which a leaving upstream still takes some: its keys move meanwhile.
_HOLDER_FRACTION = 0.6
_BUSY_STATUS = 503
_DECIMAL_NUMBER = re.compile(rb"[0-9]{1,9}(\.[0-9]{0,9})?|\.[0-9]{1,9}")
# Longest pause that an upstream can ask for.
_MAX_PAUSE_S = 3600.0
_MAX_LOGGED_BYTES = 40

_log = logs.get_logger("gateway")


class Obstacle(NamedTuple):
    """Why an upstream gets no request now.

    Attributes:
        reason: Reason, for log lines.
        ends_in_s: Seconds until it ends; 0 if that is not known.
        is_evacuation: Whether the zone is evacuated: the keys of the upstream
            get other holders.
    """

    reason: str
    ends_in_s: float = 0.0
    is_evacuation: bool = False


EVACUATED = Obstacle("availability zone is evacuated", is_evacuation=True)


class Availability:
    """What one incarnation of an upstream has stated, and orders on its zone.

    It leaves for good: only a later incarnation takes requests again.
    """

    def __init__(
        self, upstream: str, clock: clock_lib.Clock, drain_s: float
    ) -> None:
        """Initializes the instance.

        Args:
            upstream: Id of the upstream.
            clock: Clock of this instance.
            drain_s: Time for which a leaving upstream still takes requests.
        """
        self._upstream = upstream
        self._clock = clock
        self._drain_s = drain_s
        self._leaving_since_s: float | None = None
        self._paused_until_s = float("-inf")
        # Monotonic time until which it gets requests for the keys that it
        # holds; None if its zone is not evacuated.
        self._holder_until_s: float | None = None

    @property
    def is_evacuated(self) -> bool:
        """Whether the upstream is in an evacuated availability zone."""
        return self._holder_until_s is not None

    def set_evacuation(self, holder_until_s: float | None) -> None:
        """Sets whether the upstream's availability zone is evacuated.

        Args:
            holder_until_s: Monotonic time until which the upstream still gets
                requests for the keys that it holds; None if the zone is not
                evacuated.
        """
        self._holder_until_s = holder_until_s

    def observe(
        self,
        status: int,
        leaving: Sequence[bytes],
        retry_after: Sequence[bytes],
    ) -> None:
        """Applies a response.

        Args:
            status: Its status.
            leaving: Values of the header that states that it leaves.
            retry_after: Values of the Retry-After header.
        """
        self._observe_leaving(leaving)
        if status == _BUSY_STATUS and retry_after:
            self._observe_pause(retry_after)

    def _observe_pause(self, retry_after: Sequence[bytes]) -> None:
        pauses_s = [
            min(float(value), _MAX_PAUSE_S)
            for value in (each.strip() for each in retry_after)
            if _DECIMAL_NUMBER.fullmatch(value)
        ]
        if not pauses_s:
            _log.warning(
                "Retry-After not readable. Upstream: %s. Value: %r.",
                self._upstream,
                retry_after[0][:_MAX_LOGGED_BYTES],
            )
            return
        pause_s = max(pauses_s)
        # A response that was on its way for longer shortens no pause.
        self._paused_until_s = max(
            self._paused_until_s, self._clock.monotonic() + pause_s
        )
        _log.info(
            "Upstream asks for a pause. Upstream: %s. Seconds: %g.",
            self._upstream,
            pause_s,
        )

    def _observe_leaving(self, leaving: Sequence[bytes]) -> None:
        values = [each.strip() for each in leaving]
        if _LEAVING in values:
            if self._leaving_since_s is None:
                self._leaving_since_s = self._clock.monotonic()
                _log.info("Upstream %s states that it leaves.", self._upstream)
        elif values:
            _log.warning(
                "Statement of leaving not readable. Upstream: %s. Value: %r.",
                self._upstream,
                values[0][:_MAX_LOGGED_BYTES],
            )

    def find_obstacle(self, is_holder: bool = False) -> Obstacle | None:
        """Returns why it gets no request now, or None if it may get one.

        Args:
            is_holder: Whether no other upstream can serve the request.
        """
        now_s = self._clock.monotonic()
        if self._holder_until_s is not None and (
            not is_holder or now_s >= self._holder_until_s
        ):
            return EVACUATED
        if self._leaving_since_s is not None:
            leaving_s = now_s - self._leaving_since_s
            if not is_holder or leaving_s >= self._drain_s * _HOLDER_FRACTION:
                return Obstacle("upstream leaves")
        pause_s = self._paused_until_s - now_s
        if pause_s > 0:
            return Obstacle("upstream asks for a pause", pause_s)
        return None
