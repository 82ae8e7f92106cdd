"""Lets the rate of a new customer grow while others are not harmed."""

START_PART = 0.1
DURATION_S = 60.0
# Existing customers' longest wait above which the ramp pauses. Counter
# requests are answered while a buyer waits; 50 ms is not noticed.
LONGEST_WAIT_S = 0.05


class Ramp:
    """Part of its contract that a new customer may use."""

    def __init__(self, now_s: float, longest_wait_s: float = LONGEST_WAIT_S):
        self._part = START_PART
        self._stepped_s = now_s
        self._longest_wait_s = longest_wait_s

    @property
    def part(self) -> float:
        """The usable part of the contract, from 0.1 to 1."""
        return self._part

    def is_done(self) -> bool:
        """Returns whether the whole contract is usable."""
        return self._part >= 1.0

    def step(self, now_s: float, others_wait_s: float) -> float:
        """Grows the part unless existing customers wait too long."""
        elapsed_s = max(0.0, now_s - self._stepped_s)
        self._stepped_s = now_s
        if others_wait_s <= self._longest_wait_s:
            growth = (1.0 - START_PART) * elapsed_s / DURATION_S
            self._part = min(1.0, self._part + growth)
        return self._part
