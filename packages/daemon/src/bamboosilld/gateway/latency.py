"""Usual latencies of a route, learned from its answers."""

# Weight of the newest latency in the moving average.
_GAIN = 0.05
# Part of the requests that are answered before a second one is sent.
_QUANTILE = 0.95
# Step of the estimate of the quantile, relative to the mean.
_STEP = 0.1
# A quantile starts at this multiple of the mean.
_FIRST_RATIO = 2.5


class Latency:
    """Mean and quantile of the latencies of one route, in seconds.

    Attributes:
        mean_s: Mean without waits for a slot; 0 before the first answer.
        quantile_s: What all but a few answers take, waits included.
    """

    def __init__(self) -> None:
        self.mean_s = 0.0
        self.quantile_s = 0.0

    def take(self, latency_s: float, has_waited: bool) -> None:
        """Counts an answer.

        Args:
            latency_s: Time from the send to the whole answer.
            has_waited: Whether it probably waited for a slot.
        """
        if not self.mean_s:
            self.mean_s = latency_s
            self.quantile_s = latency_s * _FIRST_RATIO
        if not has_waited:
            self.mean_s += _GAIN * (latency_s - self.mean_s)
        step_s = _STEP * self.mean_s
        if latency_s > self.quantile_s:
            self.quantile_s += step_s * _QUANTILE
        else:
            self.quantile_s -= step_s * (1 - _QUANTILE)
