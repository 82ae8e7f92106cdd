"""A token bucket."""


class Bucket:
    """Admits at most rate * time + burst requests.

    Attributes:
        rate_per_s: Tokens added per second.
        burst: Most tokens held.
    """

    def __init__(self, rate_per_s: float, burst: float, now_s: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = burst
        self._filled_s = now_s

    def set_limits(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Changes the limits without adding tokens at once."""
        self._fill(now_s)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = min(self._tokens, burst)

    def try_take(self, now_s: float) -> bool:
        """Takes one token if there is one."""
        self._fill(now_s)
        # The tolerance absorbs rounding after a wait of the computed length.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens -= 1.0
        return True

    def compute_wait_s(self, now_s: float, ahead: int = 0) -> float:
        """Returns seconds until a request behind others gets a token."""
        self._fill(now_s)
        missing = ahead + 1.0 - self._tokens
        if missing <= 0:
            return 0.0
        return missing / self.rate_per_s if self.rate_per_s > 0 else 1e9

    def _fill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._filled_s)
        self._filled_s = max(self._filled_s, now_s)
        # A bucket with a burst below one could never hold a whole token.
        most = max(1.0, self.burst)
        self._tokens = min(most, self._tokens + elapsed_s * self.rate_per_s)
