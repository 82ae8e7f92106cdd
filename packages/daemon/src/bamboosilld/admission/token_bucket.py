"""Token bucket rate limiter."""


class Bucket:
    """Admits at most `rate_per_s * time + burst` requests.

    Attributes:
        rate_per_s: Tokens added per second.
        burst: Capacity in tokens.
    """

    def __init__(self, rate_per_s: float, burst: float, now_s: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = burst
        self._last_fill_s = now_s

    def set_limits(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Changes the limits without adding tokens."""
        self._refill(now_s)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = min(self._tokens, self._capacity)

    def try_take(self, now_s: float) -> bool:
        """Takes one token if there is one."""
        self._refill(now_s)
        # The tolerance absorbs rounding errors: after a wait of exactly
        # `compute_wait_s` there must be a token.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens -= 1.0
        return True

    def compute_wait_s(self, now_s: float, ahead: int = 0) -> float:
        """Returns the seconds until a request gets a token.

        Args:
            now_s: Monotonic time.
            ahead: Number of requests that get a token before it.
        """
        self._refill(now_s)
        missing = ahead + 1.0 - self._tokens
        if missing <= 0:
            return 0.0
        return missing / self.rate_per_s if self.rate_per_s > 0 else 1e9

    @property
    def _capacity(self) -> float:
        # With a burst below one, the bucket could never hold a whole token.
        return max(1.0, self.burst)

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._last_fill_s)
        self._last_fill_s = max(self._last_fill_s, now_s)
        self._tokens = min(
            self._capacity, self._tokens + elapsed_s * self.rate_per_s
        )
