"""Circuit breaker: stops requests to an upstream that fails repeatedly."""

import math
import random

# Consecutive failures that open the breaker.
_FAILURE_THRESHOLD = 5
_INITIAL_OPEN_S = 0.5
_MAX_OPEN_S = 10.0


class Breaker:
    """Closed, open until a time, or half-open with one probe request.

    Each reopening doubles the open time, up to a maximum.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures = 0
        self._consecutive_openings = 0
        self._open_until_s = -math.inf
        self._is_probing = False

    def reset(self) -> None:
        """Closes the breaker for a new incarnation of the upstream."""
        self._failures = 0
        self._consecutive_openings = 0
        self._open_until_s = -math.inf
        self._is_probing = False

    def allows(self, now_s: float) -> bool:
        """Returns whether a request may be sent now."""
        if self._failures < _FAILURE_THRESHOLD:
            return True
        return now_s >= self._open_until_s and not self._is_probing

    def get_retry_s(self, default_s: float) -> float:
        """Returns when an open breaker allows a probe, or else `default_s`."""
        if self._failures < _FAILURE_THRESHOLD:
            return default_s
        return self._open_until_s

    def record_dispatch(self, now_s: float) -> None:
        """Records a sent request, which is the probe if half-open."""
        del now_s
        self._is_probing = self._failures >= _FAILURE_THRESHOLD

    def record_success(self) -> None:
        """Closes the breaker."""
        self._failures = 0
        self._consecutive_openings = 0
        self._is_probing = False

    def record_failure(self, now_s: float) -> None:
        """Records a failure and opens the breaker at the threshold."""
        self._failures += 1
        self._is_probing = False
        if self._failures >= _FAILURE_THRESHOLD:
            open_s = min(
                _MAX_OPEN_S, _INITIAL_OPEN_S * 2**self._consecutive_openings
            )
            self._consecutive_openings = min(self._consecutive_openings + 1, 16)
            # Jitter keeps the instances from probing all at the same time.
            self._open_until_s = now_s + open_s * self._rng.uniform(0.5, 1.0)

    def record_cancelled(self) -> None:
        """Records a cancelled request: neither a success nor a failure."""
        self._is_probing = False
