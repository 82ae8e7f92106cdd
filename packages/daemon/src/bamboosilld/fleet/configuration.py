"""Validates and applies changes of the routing configuration."""

from collections.abc import Iterable
import hashlib

from bamboosill_common import findings as findings_lib
from bamboosill_common import wire
from bamboosill_common.generated import fleet as messages

_SOURCE = "configuration"


def compute_digest(change: messages.ChangeConfiguration) -> bytes:
    """Returns a hash that identifies a change if it is sent again."""
    data = wire.encode(change._replace(digest=b""))
    return hashlib.blake2b(data, digest_size=16).digest()


def apply_change(
    current: messages.Configuration, change: messages.ChangeConfiguration
) -> messages.Configuration:
    """Returns the configuration that results from a change."""
    if change.whole:
        routes: dict[str, messages.RouteItem] = {}
        services: dict[str, messages.ServiceItem] = {}
    else:
        routes = {route.name: route for route in current.routes}
        services = {service.name: service for service in current.services}
    for name in change.removed_routes:
        routes.pop(name, None)
    for name in change.removed_services:
        services.pop(name, None)
    routes.update((route.name, route) for route in change.routes)
    services.update((service.name, service) for service in change.services)
    return messages.Configuration(
        version=change.version,
        routes=tuple(routes.values()),
        services=tuple(services.values()),
        limits=change.limits if change.has_limits else current.limits,
    )


def check_change(
    current: messages.Configuration, change: messages.ChangeConfiguration
) -> list[findings_lib.Finding]:
    """Returns all problems found in a change; none if it is valid."""
    problems = []
    if change.version <= current.version:
        problems.append(
            _make_finding(
                "version",
                f"{change.version} is not above {current.version}",
            )
        )
    if change.whole and not change.has_limits:
        problems.append(_make_finding("limits", "missing"))
    result = apply_change(current, change)
    known = {service.name for service in result.services}
    for index, route in enumerate(result.routes):
        problems.extend(_check_route(f"routes[{index}]", route, known))
    return problems


def _check_route(
    place: str, route: messages.RouteItem, known: set[str]
) -> Iterable[findings_lib.Finding]:
    if not route.path_prefix.startswith("/"):
        yield _make_finding(
            f"{place}.path_prefix", "does not begin with a slash"
        )
    if route.timeout_ms <= 0:
        yield _make_finding(f"{place}.timeout", "must be above 0")
    if route.max_upstreams <= 0:
        yield _make_finding(f"{place}.max_upstreams", "must be above 0")
    targets = [share.service for share in route.shares] or [route.service]
    for service in targets:
        if service not in known:
            yield _make_finding(
                f"{place}.service", f"unknown service {service!r}"
            )
    if any(share.weight < 0 for share in route.shares):
        yield _make_finding(f"{place}.shares", "a weight is below 0")
    if route.shares and sum(share.weight for share in route.shares) <= 0:
        yield _make_finding(f"{place}.shares", "the weights add up to 0")


def _make_finding(path: str, message: str) -> findings_lib.Finding:
    return findings_lib.Finding(findings_lib.Location(_SOURCE, path), message)
