"""Traces of requests: one per seed and scenario, replayed for each policy.

All policies are compared on the same requests.
"""

from typing import Any
from typing import NamedTuple

import numpy as np

from bamboosill_common import sharding
from bamboosill_dev.bench import deployments

# Time of the event of a scenario. Until then the placement settles and nothing
# is measured.
EVENT_S = 35.0
END_S = 115.0
_KEYS_PER_CUSTOMER = 1500
_ZIPF_EXPONENT = 0.9
# Shape of the gamma distribution of service times; gives moderate variation,
# a standard deviation of half the mean.
_SERVICE_TIME_SHAPE = 4.0
_SALE_KEY_COUNT = 30
_SALE_RATE_FACTOR = 50.0
_SATURDAY_RATE_FACTOR = 2.8


class Keyspace(NamedTuple):
    """All keys of one service, one row per key.

    Attributes:
        customers: Customer of each key.
        hot_key_names: Name of each key in hot-key assignments.
        shards: Shard of each key.
        base_rates_per_s: Requests per second before the event.
        event_rates_per_s: Additional requests per second after the event.
    """

    customers: list[str]
    hot_key_names: list[str]
    shards: np.ndarray
    base_rates_per_s: np.ndarray
    event_rates_per_s: np.ndarray


class Trace(NamedTuple):
    """Requests in order of arrival, one row per request.

    Attributes:
        arrival_times_s: Arrival time.
        services: Index of the service.
        keys: Row of the key in the keyspace of the service.
        instances: Index of the entry instance that receives the request.
        classes: Traffic class.
        service_times_s: Service time in a warm slot.
        idempotent: Whether the request may be repeated after it ran.
        keyspaces: Keyspace of each service.
    """

    arrival_times_s: list[float]
    services: list[int]
    keys: list[int]
    instances: list[int]
    classes: list[str]
    service_times_s: list[float]
    idempotent: list[bool]
    keyspaces: list[Keyspace]


def _make_keyspace(
    newcomer: bool, scenario: str, rng: np.random.Generator
) -> Keyspace:
    customers = list(deployments.CUSTOMERS)
    if newcomer:
        customers.append(deployments.NEW_CUSTOMER)
    key_customers: list[str] = []
    hot_key_names: list[str] = []
    shards: list[int] = []
    base_rates, event_rates = [], []
    popularity = np.arange(1, _KEYS_PER_CUSTOMER + 1) ** -_ZIPF_EXPONENT
    popularity /= popularity.sum()
    for customer in customers:
        base_rate = (
            deployments.BASE_RATE_PER_S * customer.traffic_share * popularity
        )
        event_rate = np.zeros(_KEYS_PER_CUSTOMER)
        if customer is deployments.NEW_CUSTOMER:
            base_rate, event_rate = event_rate, base_rate
        elif customer.name == deployments.EVENT_CUSTOMER:
            if scenario == "sale":
                sale_keys = rng.choice(
                    _KEYS_PER_CUSTOMER, _SALE_KEY_COUNT, replace=False
                )
                event_rate[sale_keys] = (_SALE_RATE_FACTOR - 1) * base_rate[
                    sale_keys
                ]
            elif scenario == "saturday":
                event_rate = (_SATURDAY_RATE_FACTOR - 1) * rng.permutation(
                    base_rate
                )
        for index in range(_KEYS_PER_CUSTOMER):
            key_customers.append(customer.name)
            key = f"k{index}"
            hot_key_names.append(sharding.format_hot_key(customer.name, key))
            shards.append(
                sharding.compute_shard(
                    customer.name, key, deployments.SHARDS_PER_SERVICE
                )
            )
        base_rates.append(base_rate)
        event_rates.append(event_rate)
    return Keyspace(
        key_customers,
        hot_key_names,
        np.array(shards),
        np.concatenate(base_rates),
        np.concatenate(event_rates),
    )


def _draw_requests(
    deployment: deployments.Deployment,
    service: int,
    rates: np.ndarray,
    span_s: tuple[float, float],
    rng: np.random.Generator,
) -> list[tuple]:
    """Returns requests that arrive as a Poisson process in a time span."""
    total_rate = rates.sum()
    if total_rate <= 0:
        return []
    count = rng.poisson(total_rate * (span_s[1] - span_s[0]))
    times = rng.uniform(*span_s, count)
    keys = rng.choice(len(rates), count, p=rates / total_rate)
    instances = rng.integers(deployment.instance_count, size=count)
    class_names = [item[0] for item in deployment.services[service].classes]
    class_shares = [item[1] for item in deployment.services[service].classes]
    classes = rng.choice(len(class_names), count, p=class_shares)
    mean_service_time_s = deployment.services[service].service_time_s
    service_times = rng.gamma(
        _SERVICE_TIME_SHAPE, mean_service_time_s / _SERVICE_TIME_SHAPE, count
    )
    idempotent = rng.uniform(size=count) < 0.9
    return list(
        zip(
            times.tolist(),
            [service] * count,
            keys.tolist(),
            instances.tolist(),
            [class_names[item] for item in classes],
            service_times.tolist(),
            idempotent.tolist(),
            strict=True,
        )
    )


def make_trace(
    deployment: deployments.Deployment, scenario: str, seed: int
) -> Trace:
    """Returns the trace of a scenario.

    The base load is the same in all scenarios: the requests that an event
    adds are drawn from a separate random stream.
    """
    rows: list[tuple] = []
    keyspaces = []
    for service in range(len(deployment.services)):
        base_rng = np.random.default_rng([seed, service, 1])
        event_rng = np.random.default_rng([seed, service, 2])
        keyspace = _make_keyspace(scenario == "newcomer", scenario, event_rng)
        keyspaces.append(keyspace)
        existing_key_count = len(deployments.CUSTOMERS) * _KEYS_PER_CUSTOMER
        rows += _draw_requests(
            deployment,
            service,
            keyspace.base_rates_per_s[:existing_key_count],
            (0.0, END_S),
            base_rng,
        )
        rows += _draw_requests(
            deployment,
            service,
            keyspace.event_rates_per_s,
            (EVENT_S, END_S),
            event_rng,
        )
    rows.sort()
    columns: list[Any] = [list(item) for item in zip(*rows, strict=True)]
    return Trace(*columns, keyspaces)  # type: ignore[call-arg]
