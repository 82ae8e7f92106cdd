"""Running estimates of the mean and a high quantile of a route's latency."""

# Weight of the newest latency in the moving average.
_MEAN_GAIN = 0.05
# Quantile of the latency after which a request is hedged.
_QUANTILE = 0.95
# Step of the quantile estimate, relative to the mean.
_QUANTILE_STEP = 0.1
# The quantile estimate starts at this multiple of the first latency.
_INITIAL_QUANTILE_RATIO = 2.5


class Latency:
    """Mean and quantile of the latencies of one route, in seconds.

    Attributes:
        mean_s: Moving average of unqueued requests; 0 before the first
            response.
        quantile_s: Estimate of the quantile, including waits for a slot.
    """

    def __init__(self) -> None:
        self.mean_s = 0.0
        self.quantile_s = 0.0

    def add_sample(self, latency_s: float, was_queued: bool) -> None:
        """Updates the estimates from one response.

        Args:
            latency_s: Time from the send to the complete response.
            was_queued: Whether it probably waited for a slot of the upstream.
        """
        if not self.mean_s:
            self.mean_s = latency_s
            self.quantile_s = latency_s * _INITIAL_QUANTILE_RATIO
        if not was_queued:
            self.mean_s += _MEAN_GAIN * (latency_s - self.mean_s)
        step_s = _QUANTILE_STEP * self.mean_s
        if latency_s > self.quantile_s:
            self.quantile_s += step_s * _QUANTILE
        else:
            self.quantile_s -= step_s * (1 - _QUANTILE)
