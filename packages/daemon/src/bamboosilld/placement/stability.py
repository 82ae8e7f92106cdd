"""Which targets may receive shards, and how much of their slots is usable."""

from collections.abc import Sequence

from bamboosilld.placement import policy

# A cold target starts with this part of its slots and reaches all of them
# after the ramp; filling caches at full load would slow every key on it.
COLD_PART = 0.1
COLD_RAMP_S = 30.0
# Returns within the window that make a target count as flapping.
_FLAP_RETURNS = 2
_FLAP_WINDOW_S = 120.0
# A flapping target must have run this long, doubled for each further return.
_FLAP_HOLD_S = 15.0
_LONGEST_HOLD_S = 120.0


class Stability:
    """Remembers the restarts of targets."""

    def __init__(self) -> None:
        self._incarnations: dict[str, int] = {}
        self._returns: dict[str, list[float]] = {}

    def observe(
        self, now_s: float, targets: Sequence[policy.TargetView]
    ) -> dict[str, float]:
        """Returns usable slots of the targets that may receive shards."""
        for target in targets:
            known = self._incarnations.get(target.id)
            if known is not None and known != target.incarnation:
                self._returns.setdefault(target.id, []).append(now_s)
            self._incarnations[target.id] = target.incarnation
        for name in list(self._returns):
            recent = [
                item
                for item in self._returns[name]
                if now_s - item < _FLAP_WINDOW_S
            ]
            if recent:
                self._returns[name] = recent
            else:
                del self._returns[name]
        able = [item for item in targets if item.state != policy.DRAINING]
        calm = [item for item in able if not self._is_flapping(item)]
        return {
            item.id: max(1, item.slots) * _compute_part(item)
            for item in calm or able
        }

    def _is_flapping(self, target: policy.TargetView) -> bool:
        count = len(self._returns.get(target.id, ()))
        if count < _FLAP_RETURNS:
            return False
        hold_s = _FLAP_HOLD_S * 2 ** (count - _FLAP_RETURNS)
        return target.alive_for_s < min(hold_s, _LONGEST_HOLD_S)


def _compute_part(target: policy.TargetView) -> float:
    """Returns the usable part of a target's slots, from 0 to 1."""
    if target.state != policy.COLD:
        return 1.0
    grown = target.alive_for_s / COLD_RAMP_S
    return min(1.0, COLD_PART + (1 - COLD_PART) * grown)
