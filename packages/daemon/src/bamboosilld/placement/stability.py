"""Decides which targets may receive shards, and how many of their slots count.

A cold target counts with few slots that grow over time. A target that restarts
repeatedly (flaps) receives no shards until it has run for a while.
"""

from collections.abc import Sequence

from bamboosilld.placement import policy

# A cold target starts with this fraction of its slots and reaches all of them
# after the ramp, because filling caches at full load would slow all its keys.
COLD_SLOT_RATIO = 0.1
COLD_RAMP_S = 30.0
# Restarts within the window that make a target count as flapping.
_FLAP_RESTARTS = 2
_FLAP_WINDOW_S = 120.0
# How long a flapping target must have run; doubles with each further restart.
_FLAP_HOLD_S = 15.0
_MAX_HOLD_S = 120.0


class RestartTracker:
    """Tracks the restarts of targets."""

    def __init__(self) -> None:
        self._incarnations: dict[str, int] = {}
        self._restarts_s: dict[str, list[float]] = {}

    def update(
        self, now_s: float, targets: Sequence[policy.TargetView]
    ) -> dict[str, float]:
        """Records restarts; returns usable slots by target that may receive.

        If all targets are flapping, all of them may receive shards.
        """
        for target in targets:
            last_incarnation = self._incarnations.get(target.id)
            if (
                last_incarnation is not None
                and last_incarnation != target.incarnation
            ):
                self._restarts_s.setdefault(target.id, []).append(now_s)
            self._incarnations[target.id] = target.incarnation
        for name in list(self._restarts_s):
            recent = [
                item
                for item in self._restarts_s[name]
                if now_s - item < _FLAP_WINDOW_S
            ]
            if recent:
                self._restarts_s[name] = recent
            else:
                del self._restarts_s[name]
        eligible = [item for item in targets if item.state != policy.DRAINING]
        stable = [item for item in eligible if not self._is_flapping(item)]
        return {
            item.id: max(1, item.slots) * _compute_usable_ratio(item)
            for item in stable or eligible
        }

    def _is_flapping(self, target: policy.TargetView) -> bool:
        count = len(self._restarts_s.get(target.id, ()))
        if count < _FLAP_RESTARTS:
            return False
        hold_s = _FLAP_HOLD_S * 2 ** (count - _FLAP_RESTARTS)
        return target.alive_for_s < min(hold_s, _MAX_HOLD_S)


def _compute_usable_ratio(target: policy.TargetView) -> float:
    """Returns the usable fraction of a target's slots, from 0 to 1."""
    if target.state != policy.COLD:
        return 1.0
    ramp_ratio = target.alive_for_s / COLD_RAMP_S
    return min(1.0, COLD_SLOT_RATIO + (1 - COLD_SLOT_RATIO) * ramp_ratio)
