"""The two deployments of section 1.3 of the design, and their customers."""

from typing import NamedTuple

from bamboosilld.placement import policy

SHARDS = 512


class Service(NamedTuple):
    """One service of a deployment.

    Attributes:
        name: Name of the service.
        targets: Number of upstreams.
        slots: Requests that each runs at a time.
        connections: Connections that each accepts.
        service_s: Mean time of one request in a warm slot.
        classes: Classes of its requests and their parts.
    """

    name: str
    targets: int
    slots: int
    connections: int
    service_s: float
    classes: tuple[tuple[str, float], ...]


class Deployment(NamedTuple):
    """A deployment as the bench drives it.

    Attributes:
        name: Name of the customer that runs it.
        zones: Availability zones.
        instances: Entry instances, spread over the zones.
        zone_delay_s: One-way delay between zones.
        zone_loss: What happens to shards of a zone that is cut off.
        weights: How much unavailability, churn and imbalance matter.
        services: Its services.
    """

    name: str
    zones: tuple[str, ...]
    instances: int
    zone_delay_s: float
    zone_loss: str
    weights: policy.Weights
    services: tuple[Service, ...]


# Requests per second of each service before any event. Service times follow
# from a utilisation of 0.3, which leaves room for a customer that doubles it.
RATE_PER_S = 300.0
_UTILISATION = 0.3


def _make_service(
    name: str,
    targets: int,
    slots: int,
    connections: int,
    classes: tuple[tuple[str, float], ...],
) -> Service:
    service_s = _UTILISATION * targets * slots / RATE_PER_S
    return Service(name, targets, slots, connections, service_s, classes)


_COUNTER = (("counter", 0.7), ("wait", 0.3))

ATELIER = Deployment(
    "atelier",
    ("mu-north", "mu-south", "mu-east", "mu-west"),
    8,
    0.0005,
    "lapse",
    policy.Weights(3.0, 1.0, 1.0),
    (
        _make_service("shopfront", 11, 6, 110, _COUNTER),
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
        _make_service("taller", 17, 3, 130, _COUNTER),
        _make_service("catalogo", 19, 3, 130, (("wait", 1.0),)),
    ),
)
DEPLOYMENTS = {item.name: item for item in (ATELIER, AGENCY)}


class Limits(NamedTuple):
    """Limits of a contract, as the gate reads them."""

    rate_per_s: float
    burst: float
    concurrency: int
    queue: int


class ContractService(NamedTuple):
    """One service of a contract."""

    limits: Limits


class Contract(NamedTuple):
    """A contract, as the gate reads it."""

    services: dict[str, ContractService]


class Customer(NamedTuple):
    """A customer of a deployment.

    Attributes:
        name: Name of the customer.
        part: Its part of the requests before any event.
        allowance: Contracted rate over its usual rate.
    """

    name: str
    part: float
    allowance: float


CUSTOMERS = (
    Customer("c1", 0.30, 1.6),
    Customer("c2", 0.20, 1.8),
    # The customer whose keys the sale and the Saturday make hot.
    Customer("c3", 0.15, 3.0),
    Customer("c4", 0.15, 1.8),
    Customer("c5", 0.12, 2.0),
    Customer("c6", 0.08, 2.0),
)
EVENT_CUSTOMER = "c3"
# As large as all others together.
NEWCOMER = Customer("new", 1.0, 1.3)


def make_contract(deployment: Deployment, customer: Customer) -> Contract:
    """Returns the contract of a customer for all services."""
    services = {}
    for service in deployment.services:
        rate = RATE_PER_S * customer.part * customer.allowance
        # Enough for a hundred times the mean time in the service.
        concurrency = int(max(32, rate * service.service_s * 100))
        limits = Limits(rate, rate, concurrency, 256)
        services[service.name] = ContractService(limits)
    return Contract(services)
