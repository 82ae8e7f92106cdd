"""Example deployments of section 1.3 of the design, and their customers."""

from typing import NamedTuple

from bamboosilld.placement import policy

SHARDS_PER_SERVICE = 512


class Service(NamedTuple):
    """One service of a deployment.

    Attributes:
        name: Name of the service.
        target_count: Number of upstreams.
        slots: Requests that each upstream runs concurrently.
        connections: Connections that each upstream accepts.
        service_time_s: Mean service time of a request in a warm slot.
        classes: Traffic classes of its requests and their shares.
    """

    name: str
    target_count: int
    slots: int
    connections: int
    service_time_s: float
    classes: tuple[tuple[str, float], ...]


class Deployment(NamedTuple):
    """A deployment that the benchmark simulates.

    Attributes:
        name: Name of the customer that runs it.
        zones: Availability zones.
        instance_count: Number of entry instances, spread over the zones.
        zone_delay_s: One-way delay between zones.
        zone_loss: What happens to the shards of an isolated zone: `hold` leaves
            them there, `lapse` gives them to other zones.
        weights: Weights of unavailability, churn and imbalance.
        services: Its services.
    """

    name: str
    zones: tuple[str, ...]
    instance_count: int
    zone_delay_s: float
    zone_loss: str
    weights: policy.Weights
    services: tuple[Service, ...]


# Requests per second of each service before the event of a scenario. The mean
# service time follows from the utilisation, which leaves room for a customer
# that doubles the load.
BASE_RATE_PER_S = 300.0
_UTILISATION = 0.3


def _make_service(
    name: str,
    target_count: int,
    slots: int,
    connections: int,
    classes: tuple[tuple[str, float], ...],
) -> Service:
    service_time_s = _UTILISATION * target_count * slots / BASE_RATE_PER_S
    return Service(
        name, target_count, slots, connections, service_time_s, classes
    )


_MIXED_CLASSES = (("counter", 0.7), ("wait", 0.3))

ATELIER = Deployment(
    "atelier",
    ("mu-north", "mu-south", "mu-east", "mu-west"),
    8,
    0.0005,
    "lapse",
    policy.Weights(3.0, 1.0, 1.0),
    (
        _make_service("shopfront", 11, 6, 110, _MIXED_CLASSES),
        _make_service("gallery", 13, 6, 110, (("lag", 1.0),)),
    ),
)
AGENCY = Deployment(
    "agency",
    ("bilbao", "santander", "oviedo"),
    9,
    0.001,
    "hold",
    policy.Weights(1.0, 3.0, 1.0),
    (
        _make_service("taller", 17, 3, 130, _MIXED_CLASSES),
        _make_service("catalogo", 19, 3, 130, (("wait", 1.0),)),
    ),
)
DEPLOYMENTS = {item.name: item for item in (ATELIER, AGENCY)}


class Limits(NamedTuple):
    """Limits of a contract, with the fields that the gate reads.

    The order of the first three is that of `shares.Limits`.
    """

    rate_per_s: float
    burst: float
    concurrency: int
    queue: int


class ContractService(NamedTuple):
    """One service of a contract, with the field that the gate reads."""

    limits: Limits


class Contract(NamedTuple):
    """A contract, with the field that the gate reads."""

    services: dict[str, ContractService]


class Customer(NamedTuple):
    """A customer of a deployment.

    Attributes:
        name: Name of the customer.
        traffic_share: Its share of all requests before the event.
        contract_headroom: Contracted rate divided by its usual rate.
    """

    name: str
    traffic_share: float
    contract_headroom: float


CUSTOMERS = (
    Customer("c1", 0.30, 1.6),
    Customer("c2", 0.20, 1.8),
    # The customer whose keys become hot in the scenarios sale and saturday.
    Customer("c3", 0.15, 3.0),
    Customer("c4", 0.15, 1.8),
    Customer("c5", 0.12, 2.0),
    Customer("c6", 0.08, 2.0),
)
EVENT_CUSTOMER = "c3"
# Sends as many requests as all other customers together.
NEW_CUSTOMER = Customer("new", 1.0, 1.3)


def make_contract(deployment: Deployment, customer: Customer) -> Contract:
    """Returns a contract of a customer for all services."""
    services = {}
    for service in deployment.services:
        rate = (
            BASE_RATE_PER_S
            * customer.traffic_share
            * customer.contract_headroom
        )
        # Admits the contracted rate even at 100 times the mean service time.
        concurrency = int(max(32, rate * service.service_time_s * 100))
        limits = Limits(rate, rate, concurrency, 256)
        services[service.name] = ContractService(limits)
    return Contract(services)
