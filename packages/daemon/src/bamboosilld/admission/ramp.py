"""Slow start: ramps up a new customer's rate unless others are affected."""

INITIAL_FRACTION = 0.1
MIN_DURATION_S = 60.0
# The ramp pauses while the longest wait of existing customers exceeds this. A
# buyer waits for the response to a `counter` request and does not notice 50 ms.
MAX_WAIT_S = 0.05


class Ramp:
    """Fraction of its contract that a new customer may use; grows linearly."""

    def __init__(self, now_s: float, max_wait_s: float = MAX_WAIT_S):
        self._fraction = INITIAL_FRACTION
        self._last_step_s = now_s
        self._max_wait_s = max_wait_s

    @property
    def fraction(self) -> float:
        """The usable fraction of the contract, from `INITIAL_FRACTION` to 1."""
        return self._fraction

    def is_done(self) -> bool:
        """Returns whether the whole contract is usable."""
        return self._fraction >= 1.0

    def step(self, now_s: float, others_wait_s: float) -> float:
        """Grows the fraction unless existing customers wait too long."""
        elapsed_s = max(0.0, now_s - self._last_step_s)
        self._last_step_s = now_s
        if others_wait_s <= self._max_wait_s:
            growth = (1.0 - INITIAL_FRACTION) * elapsed_s / MIN_DURATION_S
            self._fraction = min(1.0, self._fraction + growth)
        return self._fraction
