"""Stops requests to an upstream that fails again and again."""

import math
import random

# Consecutive failures that open the breaker.
_FAILURES = 5
_FIRST_PAUSE_S = 0.5
_LONGEST_PAUSE_S = 10.0


class Breaker:
    """Closed, open until a time, or half open with one request to try."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures = 0
        self._openings = 0
        self._open_until_s = -math.inf
        self._probing = False

    def reset(self) -> None:
        """Closes the breaker, for a new incarnation."""
        self._failures = 0
        self._openings = 0
        self._open_until_s = -math.inf
        self._probing = False

    def allows(self, now_s: float) -> bool:
        """Returns whether a request may be sent now."""
        if self._failures < _FAILURES:
            return True
        return now_s >= self._open_until_s and not self._probing

    def get_retry_s(self, otherwise_s: float) -> float:
        """Returns when an open breaker lets a request through."""
        if self._failures < _FAILURES:
            return otherwise_s
        return self._open_until_s

    def note_dispatch(self, now_s: float) -> None:
        """Notes that a request is sent; the first one after a pause tries."""
        del now_s
        self._probing = self._failures >= _FAILURES

    def note_success(self) -> None:
        """Closes the breaker."""
        self._failures = 0
        self._openings = 0
        self._probing = False

    def note_failure(self, now_s: float) -> None:
        """Counts a failure and opens the breaker after several."""
        self._failures += 1
        self._probing = False
        if self._failures >= _FAILURES:
            pause_s = min(_LONGEST_PAUSE_S, _FIRST_PAUSE_S * 2**self._openings)
            self._openings = min(self._openings + 1, 16)
            # Jitter keeps the instances from trying all at the same time.
            self._open_until_s = now_s + pause_s * self._rng.uniform(0.5, 1.0)

    def note_nothing(self) -> None:
        """Notes a cancelled request, which says nothing of the upstream."""
        self._probing = False
