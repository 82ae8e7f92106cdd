"""Rate limit that an upstream states for the requests of all instances.

An upstream that is short of capacity names in its responses how many requests a
second it takes from all entry instances together. The limit holds until a
response states another one or none.
"""

from collections.abc import Sequence
import re

from bamboosill_common import clock as clock_lib
from bamboosill_common import logs

_DECIMAL_NUMBER = re.compile(rb"[0-9]{1,9}(\.[0-9]{0,9})?|\.[0-9]{1,9}")

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
    """The limit of one incarnation of an upstream, as last observed.

    Attributes:
        rate_per_s: Requests a second, or None without a limit.
        observed_s: When the limit was observed, on the monotonic clock.
    """

    def __init__(self, upstream: str, clock: clock_lib.Clock) -> None:
        self._upstream = upstream
        self._clock = clock
        self.rate_per_s: float | None = None
        self.observed_s = float("-inf")

    def observe(self, values: Sequence[bytes], is_rejection: bool) -> None:
        """Applies the values of the limit's header in a response.

        Args:
            values: All values of the header.
            is_rejection: Whether the upstream did not run the request. Such a
                response ends no limit: an upstream may omit headers there.
        """
        rate_per_s = parse(values)
        if rate_per_s is None and values:
            _log.warning(
                "Rate limit not readable. Upstream: %s. Value: %r.",
                self._upstream,
                values[0][:40],
            )
            return
        if rate_per_s is None and is_rejection:
            return
        self._set(rate_per_s, self._clock.monotonic())

    def _set(self, rate_per_s: float | None, observed_s: float) -> None:
        if rate_per_s != self.rate_per_s:
            _log.info(
                "Rate limit changed. Upstream: %s. Rate: %s per second.",
                self._upstream,
                "none" if rate_per_s is None else f"{rate_per_s:g}",
            )
        self.rate_per_s = rate_per_s
        self.observed_s = observed_s
