"""Serves the metrics of a process in the Prometheus text format."""

from collections.abc import Callable

import prometheus_client

from bamboosill_common import metrics
from bamboosilld.fleet import state as state_lib
from bamboosilld.gateway import http_messages

PATH = "/metrics"


def register_fleet_gauges(
    get_state: Callable[[], state_lib.FleetState],
) -> None:
    """Connects the fleet gauges to the current fleet state."""
    metrics.fleet_revision.set_function(lambda: get_state().revision)
    metrics.fleet_configuration_version.set_function(
        lambda: get_state().configuration.version
    )
    metrics.fleet_evacuated_zones.set_function(
        lambda: len(get_state().evacuated_zones)
    )


async def handle(
    request: http_messages.Request,
) -> http_messages.Response:
    """Returns the response to a metrics request."""
    if request.target != PATH:
        return http_messages.Response(404, [], b"")
    content_type = prometheus_client.CONTENT_TYPE_LATEST.encode("ascii")
    return http_messages.Response(
        200,
        [(b"Content-Type", content_type)],
        prometheus_client.generate_latest(),
    )
