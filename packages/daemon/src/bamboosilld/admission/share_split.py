"""Splits each customer's limits by demand among a zone's entry instances."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import math
from typing import NamedTuple

from bamboosill_common.generated import zone

# Fraction of each limit that is split evenly, so that an idle instance can
# admit the first requests that the load balancer sends to it.
FLOOR_FRACTION = 0.2

LimitId = tuple[str, str]


class Limits(NamedTuple):
    """Limits of one service of a contract, over all entry instances."""

    rate_per_s: float
    burst: float
    concurrency: float


def split(
    limits: Mapping[LimitId, Limits],
    demands: Mapping[str, Iterable[zone.Demand]],
    instances: Sequence[str],
) -> dict[str, tuple[zone.Share, ...]]:
    """Returns the shares of each instance; their sums never exceed the limits.

    Args:
        limits: Limits by customer and service.
        demands: Last report of each instance; without one, it counts as idle.
        instances: Instances that hold a serve lease.
    """
    if not instances:
        return {}
    demands_by_limit: dict[LimitId, dict[str, zone.Demand]] = {}
    for instance in instances:
        for demand in demands.get(instance, ()):
            limit_id = (demand.customer, demand.service)
            demands_by_limit.setdefault(limit_id, {})[instance] = demand
    shares: dict[str, list[zone.Share]] = {item: [] for item in instances}
    for limit_id, limit in sorted(limits.items()):
        reported = demands_by_limit.get(limit_id, {})
        rates = [
            reported[item].rate_per_s if item in reported else 0.0
            for item in instances
        ]
        concurrencies = [
            reported[item].concurrency if item in reported else 0.0
            for item in instances
        ]
        fractions = _compute_fractions(rates, limit.rate_per_s)
        slots = _split_units(limit.concurrency, concurrencies)
        for index, instance in enumerate(instances):
            shares[instance].append(
                zone.Share(
                    limit_id[0],
                    limit_id[1],
                    limit.rate_per_s * fractions[index],
                    limit.burst * fractions[index],
                    float(slots[index]),
                )
            )
    return {item: tuple(values) for item, values in shares.items()}


def _compute_fractions(demand: Sequence[float], limit: float) -> list[float]:
    """Returns one fraction of the limit per instance; they sum to 1.

    If total demand leaves room for the floor, each demand is met and the
    surplus is split evenly, so that random variation of a small demand causes
    no refusals. Otherwise the floor is split evenly and the rest in
    proportion to demand.
    """
    even_fraction = 1.0 / len(demand)
    total = math.fsum(demand)
    if total <= 0:
        return [even_fraction] * len(demand)
    if total <= (1 - FLOOR_FRACTION) * limit:
        surplus_per_instance = (limit - total) * even_fraction
        return [(item + surplus_per_instance) / limit for item in demand]
    return [
        FLOOR_FRACTION * even_fraction + (1 - FLOOR_FRACTION) * item / total
        for item in demand
    ]


def _split_units(limit: float, demand: Sequence[float]) -> list[int]:
    """Splits whole units by demand.

    Each instance gets one unit while they last, the highest demand first. The
    rest is split by the largest remainder method.
    """
    units = math.floor(limit)
    fractions = _compute_fractions(demand, limit)
    order = sorted(
        range(len(fractions)), key=lambda item: (-fractions[item], item)
    )
    result = [0] * len(fractions)
    for index in order[:units]:
        result[index] = 1
    remaining = units - sum(result)
    quotas = [remaining * fraction for fraction in fractions]
    for index, value in enumerate(quotas):
        result[index] += math.floor(value)
    remaining = units - sum(result)
    order.sort(key=lambda item: (math.floor(quotas[item]) - quotas[item], item))
    for index in order[:remaining]:
        result[index] += 1
    return result
