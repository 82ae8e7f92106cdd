"""Splits each customer's limits among the entry instances of a zone."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import math
from typing import NamedTuple

from bamboosill_common.generated import zone

# Part of the rate and burst that is split evenly, so that an idle instance
# can admit the first requests that the balancer sends to it.
FLOOR_PART = 0.2

LimitId = tuple[str, str]


class Limits(NamedTuple):
    """What a contract allows for one service, over all split instances."""

    rate_per_s: float
    burst: float
    concurrency: float


def split(
    limits: Mapping[LimitId, Limits],
    demands: Mapping[str, Iterable[zone.Demand]],
    instances: Sequence[str],
) -> dict[str, tuple[zone.Share, ...]]:
    """Returns the shares of each instance; they never exceed the limits.

    Args:
        limits: Limits by customer and service.
        demands: Last report of each instance; one without is idle.
        instances: Instances that hold a serve lease.
    """
    if not instances:
        return {}
    wanted: dict[LimitId, dict[str, zone.Demand]] = {}
    for instance in instances:
        for demand in demands.get(instance, ()):
            place = (demand.customer, demand.service)
            wanted.setdefault(place, {})[instance] = demand
    shares: dict[str, list[zone.Share]] = {item: [] for item in instances}
    for place, limit in sorted(limits.items()):
        asked = wanted.get(place, {})
        rates = [
            asked[item].rate_per_s if item in asked else 0.0
            for item in instances
        ]
        busy = [
            asked[item].concurrency if item in asked else 0.0
            for item in instances
        ]
        parts = _compute_parts(rates, limit.rate_per_s)
        slots = _split_whole(limit.concurrency, busy)
        for index, instance in enumerate(instances):
            shares[instance].append(
                zone.Share(
                    place[0],
                    place[1],
                    limit.rate_per_s * parts[index],
                    limit.burst * parts[index],
                    float(slots[index]),
                )
            )
    return {item: tuple(values) for item, values in shares.items()}


def _compute_parts(demand: Sequence[float], limit: float) -> list[float]:
    """Returns parts of the limit that sum to 1.

    Demand below the limit is met and the rest split evenly, so that the
    randomness of a small demand refuses nothing. Beyond, an even floor
    remains and the rest follows demand.
    """
    even = 1.0 / len(demand)
    total = math.fsum(demand)
    if total <= 0:
        return [even] * len(demand)
    if total <= (1 - FLOOR_PART) * limit:
        spare = (limit - total) * even
        return [(item + spare) / limit for item in demand]
    return [
        FLOOR_PART * even + (1 - FLOOR_PART) * item / total for item in demand
    ]


def _split_whole(limit: float, demand: Sequence[float]) -> list[int]:
    """Splits whole units by largest remainder, one each while they last."""
    units = math.floor(limit)
    parts = _compute_parts(demand, limit)
    order = sorted(range(len(parts)), key=lambda item: (-parts[item], item))
    result = [0] * len(parts)
    for index in order[:units]:
        result[index] = 1
    left = units - sum(result)
    exact = [left * part for part in parts]
    for index, value in enumerate(exact):
        result[index] += math.floor(value)
    left = units - sum(result)
    order.sort(key=lambda item: (math.floor(exact[item]) - exact[item], item))
    for index in order[:left]:
        result[index] += 1
    return result
