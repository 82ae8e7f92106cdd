"""The recorded trace: one per seed and scenario, replayed for each policy."""

from typing import Any
from typing import NamedTuple

import numpy as np

from bamboosill_common import sharding
from bamboosill_dev.bench import deployments

EVENT_S = 35.0
END_S = 115.0
_KEYS = 1500
_ZIPF = 0.9
# Shape of the gamma distribution of service times: moderate variation.
_SHAPE = 4.0
_SALE_KEYS = 30
_SALE_FACTOR = 50.0
_SATURDAY_FACTOR = 2.8


class Keys(NamedTuple):
    """All keys of one service, one row each.

    Attributes:
        customers: Customer of each key.
        names: Names for hot-key assignments.
        shards: Shard of each key.
        rates: Requests per second before the event.
        added: Further requests per second after the event.
    """

    customers: list[str]
    names: list[str]
    shards: np.ndarray
    rates: np.ndarray
    added: np.ndarray


class Trace(NamedTuple):
    """Requests in order of time, one row each."""

    times: list[float]
    services: list[int]
    keys: list[int]
    instances: list[int]
    classes: list[str]
    work: list[float]
    repeatable: list[bool]
    keyspaces: list[Keys]


def _make_keys(newcomer: bool, scenario: str, rng: np.random.Generator) -> Keys:
    customers = list(deployments.CUSTOMERS)
    if newcomer:
        customers.append(deployments.NEWCOMER)
    owners: list[str] = []
    names: list[str] = []
    shards: list[int] = []
    rates, added = [], []
    popularity = np.arange(1, _KEYS + 1) ** -_ZIPF
    popularity /= popularity.sum()
    for customer in customers:
        rate = deployments.RATE_PER_S * customer.part * popularity
        extra = np.zeros(_KEYS)
        if customer is deployments.NEWCOMER:
            rate, extra = extra, rate
        elif customer.name == deployments.EVENT_CUSTOMER:
            if scenario == "sale":
                chosen = rng.choice(_KEYS, _SALE_KEYS, replace=False)
                extra[chosen] = (_SALE_FACTOR - 1) * rate[chosen]
            elif scenario == "saturday":
                extra = (_SATURDAY_FACTOR - 1) * rng.permutation(rate)
        for index in range(_KEYS):
            owners.append(customer.name)
            key = f"k{index}"
            names.append(sharding.format_hot_key(customer.name, key))
            shards.append(
                sharding.compute_shard(customer.name, key, deployments.SHARDS)
            )
        rates.append(rate)
        added.append(extra)
    return Keys(
        owners,
        names,
        np.array(shards),
        np.concatenate(rates),
        np.concatenate(added),
    )


def _draw(
    deployment: deployments.Deployment,
    service: int,
    rates: np.ndarray,
    span_s: tuple[float, float],
    rng: np.random.Generator,
) -> list[tuple]:
    """Returns Poisson arrivals of the given rates within a time span."""
    total = rates.sum()
    if total <= 0:
        return []
    count = rng.poisson(total * (span_s[1] - span_s[0]))
    times = rng.uniform(*span_s, count)
    keys = rng.choice(len(rates), count, p=rates / total)
    instances = rng.integers(deployment.instances, size=count)
    names = [item[0] for item in deployment.services[service].classes]
    parts = [item[1] for item in deployment.services[service].classes]
    classes = rng.choice(len(names), count, p=parts)
    mean_s = deployment.services[service].service_s
    work = rng.gamma(_SHAPE, mean_s / _SHAPE, count)
    repeatable = rng.uniform(size=count) < 0.9
    return list(
        zip(
            times.tolist(),
            [service] * count,
            keys.tolist(),
            instances.tolist(),
            [names[item] for item in classes],
            work.tolist(),
            repeatable.tolist(),
            strict=True,
        )
    )


def make_trace(
    deployment: deployments.Deployment, scenario: str, seed: int
) -> Trace:
    """Returns the trace of a scenario.

    Requests from before the event on are the same in all scenarios; those
    that the event adds come from a stream of their own.
    """
    rows: list[tuple] = []
    keyspaces = []
    for service in range(len(deployment.services)):
        base = np.random.default_rng([seed, service, 1])
        extra = np.random.default_rng([seed, service, 2])
        keys = _make_keys(scenario == "newcomer", scenario, extra)
        keyspaces.append(keys)
        count = len(deployments.CUSTOMERS) * _KEYS
        rows += _draw(
            deployment, service, keys.rates[:count], (0.0, END_S), base
        )
        rows += _draw(deployment, service, keys.added, (EVENT_S, END_S), extra)
    rows.sort()
    columns: list[Any] = [list(item) for item in zip(*rows, strict=True)]
    return Trace(*columns, keyspaces)  # type: ignore[call-arg]
