"""Rate limit of an upstream for the requests of all instances.

An upstream that is short of capacity names in its responses how many requests a
second it takes from all entry instances together. The limit holds until a
response states another one or none. While an upstream is cold, it takes as many
as its service allows for cold upstreams, if that is less.
"""

import collections
from collections.abc import Sequence
import re

from bamboosill_common import clock as clock_lib
from bamboosill_common import logs
from bamboosill_common import metrics
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import permits

_DECIMAL_NUMBER = re.compile(rb"[0-9]{1,9}(\.[0-9]{0,9})?|\.[0-9]{1,9}")
_MAX_LOGGED_BYTES = 40
# Callers that are expected to return, at most.
_MAX_TOLD = 1024
_NEVER = float("-inf")

_log = logs.get_logger("limit")


def parse(values: Sequence[bytes]) -> float | None:
    """Returns the lowest valid rate of header values, or None without one."""
    rates = [
        float(value)
        for value in (each.strip() for each in values)
        if _DECIMAL_NUMBER.fullmatch(value)
    ]
    return min(rates, default=None)


class RateLimit:
    """The limit of one incarnation of an upstream, and permits to send to it.

    Attributes:
        stated_per_s: Requests a second that the upstream states, or None.
        observed_s: When that was observed, on the monotonic clock.
        next_permit_s: When the next permit is due that no caller was told.
    """

    def __init__(self, upstream: str, clock: clock_lib.Clock) -> None:
        self._upstream = upstream
        self._clock = clock
        self.stated_per_s: float | None = None
        self.observed_s = float("-inf")
        # Requests a second to a cold upstream, or None if that is not limited.
        self._cold_per_s: float | None = None
        self._cold_end_s = _NEVER
        self._cold_since_s = _NEVER
        self._permit_ends_s: collections.deque[float] = collections.deque()
        self._forget_permits()

    @property
    def rate_per_s(self) -> float | None:
        """Requests a second of all instances together, None without a limit."""
        if not self.is_cold:
            return self.stated_per_s
        if self.stated_per_s is None or self._cold_per_s is None:
            return self._cold_per_s
        return min(self.stated_per_s, self._cold_per_s)

    @property
    def is_cold(self) -> bool:
        """Whether the limit for cold upstreams applies now."""
        if self._cold_end_s == _NEVER:
            return False
        if self._cold_end_s <= self._clock.monotonic():
            self._cold_end_s = _NEVER
        return self._cold_per_s is not None and self._cold_end_s != _NEVER

    def set_cold_rate(self, cold_per_s: float) -> None:
        """Sets the limit of the service for cold upstreams; 0 for none."""
        if cold_per_s != (self._cold_per_s or 0.0):
            self._cold_per_s = cold_per_s or None
            self._forget_permits()

    def mark_cold(self, duration_s: float) -> None:
        """Treats the upstream as cold for at least this time from now on.

        Permits that were granted before are not used.
        """
        now_s = self._clock.monotonic()
        end_s = now_s + duration_s
        if end_s <= max(now_s, self._cold_end_s):
            return
        was_cold = self.is_cold
        self._cold_end_s, self._cold_since_s = end_s, now_s
        if self._cold_per_s is not None and not was_cold:
            _log.info(
                "Upstream is cold. Upstream: %s. Rate: %s per second. For: "
                "%.1f s.",
                self._upstream,
                f"{self._cold_per_s:g}",
                duration_s,
            )
            self._forget_permits()

    def was_cold_since(self, asked_s: float) -> bool:
        """Returns whether the upstream was marked as cold after this time."""
        return self._cold_since_s > asked_s

    def _forget_permits(self) -> None:
        self._permit_ends_s.clear()
        self._ask_again_s = float("-inf")
        self.next_permit_s = float("-inf")
        self._tellable = 0
        self._has_told_all = False
        self._interval_s = 1 / max(permits.MIN_RATE_PER_S, self.rate_per_s or 0)
        # Times at which refused callers return.
        self._told_s: collections.deque[float] = collections.deque()

    def observe(
        self, values: Sequence[bytes], is_rejection: bool, sent_s: float
    ) -> bool:
        """Applies the values of the limit's header in a response.

        A response may have been on its way when another one stated the limit,
        so the absence of a limit counts from when the request was sent.

        Args:
            values: All values of the header.
            is_rejection: Whether the upstream did not run the request. Such a
                response ends no limit: an upstream may omit headers there.
            sent_s: Monotonic time at which the request was sent.

        Returns:
            Whether the limit changed.
        """
        rate_per_s = parse(values)
        if rate_per_s is None and values:
            _log.warning(
                "Rate limit not readable. Upstream: %s. Value: %r.",
                self._upstream,
                values[0][:_MAX_LOGGED_BYTES],
            )
            return False
        if rate_per_s is None and is_rejection:
            return False
        observed_s = sent_s if rate_per_s is None else self._clock.monotonic()
        has_changed = self.update(rate_per_s, observed_s)
        self.observed_s = max(self.observed_s, observed_s)
        return has_changed

    def update(self, rate_per_s: float | None, observed_s: float) -> bool:
        """Applies an observed limit; returns whether it changed.

        Older observations than the last one are ignored.
        """
        if observed_s < self.observed_s or rate_per_s == self.stated_per_s:
            return False
        self.observed_s = observed_s
        _log.info(
            "Rate limit changed. Upstream: %s. Rate: %s per second.",
            self._upstream,
            "none" if rate_per_s is None else f"{rate_per_s:g}",
        )
        self.stated_per_s = rate_per_s
        self._forget_permits()
        return True

    def apply(
        self,
        limit: messages.UpstreamLimit,
        now_s: float,
        asked_s: float | None = None,
    ) -> None:
        """Applies what the leader knows of the upstream.

        Args:
            limit: Limit that any instance observed, and how long the upstream
                stays cold.
            now_s: Current monotonic time.
            asked_s: When the leader was asked, if not with a poll. It may have
                replied before it knew that the upstream is cold.
        """
        rate_per_s = limit.rate_per_s if limit.rate_per_s >= 0 else None
        self.update(rate_per_s, now_s - limit.age_ms / 1000)
        if asked_s is not None and self.was_cold_since(asked_s):
            return
        if limit.cold_ms and not self.is_cold:
            self.mark_cold(limit.cold_ms / 1000)
        else:
            self._cold_end_s = now_s + limit.cold_ms / 1000

    def has_permit(self) -> bool:
        """Returns whether a request may be sent now."""
        if self.rate_per_s is None:
            return True
        now_s = self._clock.monotonic()
        while self._permit_ends_s and self._permit_ends_s[0] < now_s:
            self._permit_ends_s.popleft()
        return bool(self._permit_ends_s)

    def take_permit(self) -> None:
        """Uses a permit for a request, if there is a limit."""
        if self.rate_per_s is not None and self._permit_ends_s:
            self._permit_ends_s.popleft()
        if self.is_cold:
            metrics.gateway_cold_requests.labels("sent").inc()

    def add_permits(self, count: int, end_s: float) -> None:
        """Adds permits that may be used until a monotonic time."""
        self._permit_ends_s.extend([end_s] * count)

    def set_next_permit(
        self,
        next_permit_s: float,
        ask_again_s: float,
        tellable: int,
        interval_s: float,
    ) -> None:
        """Sets when the next permits are due.

        Args:
            next_permit_s: When the next one is due that no caller was told.
            ask_again_s: Time before which the leader is not asked again.
            tellable: Permits, from that one on, that callers may be told; 0 if
                the leader has no more.
            interval_s: Time between two of them.
        """
        self.next_permit_s = next_permit_s
        self._ask_again_s = ask_again_s
        self._tellable = tellable
        self._has_told_all = False
        self._interval_s = interval_s

    @property
    def is_caller_due(self) -> bool:
        """Whether a refused caller was told to return by now."""
        return bool(self._told_s and self._told_s[0] <= self._clock.monotonic())

    @property
    def can_ask(self) -> bool:
        """Whether the leader would be asked for a permit now."""
        return (
            self.is_caller_due
            or self._has_told_all
            or self._clock.monotonic() >= self._ask_again_s
        )

    def may_ask(self) -> bool:
        """Returns whether the leader is asked for a permit now.

        It is also asked if a caller returns when it was told, and once all are
        told: together, twice for each permit at most.
        """
        now_s = self._clock.monotonic()
        has_returning = False
        while self._told_s and self._told_s[0] <= now_s:
            self._told_s.popleft()
            has_returning = True
        return has_returning or self._has_told_all or now_s >= self._ask_again_s

    def tell_retry_after(self) -> float:
        """Returns the seconds until the next permit that no caller was told.

        Callers that return together would be refused together.
        """
        now_s = self._clock.monotonic()
        if self.next_permit_s <= now_s:
            # Others have got the permits since then.
            self.next_permit_s = now_s + self._interval_s
        told_s = min(self.next_permit_s, now_s + permits.MAX_RETRY_AFTER_S)
        self.next_permit_s = told_s + self._interval_s
        if self._tellable:
            self._tellable -= 1
            self._has_told_all = not self._tellable
        if len(self._told_s) < _MAX_TOLD:
            self._told_s.append(told_s)
        return told_s - now_s
