"""Serves the metrics of a process as text."""

import prometheus_client

from bamboosilld.gateway import messages

PATH = "/metrics"


async def handle(request: messages.Request) -> messages.Response:
    """Returns all metrics."""
    if request.target != PATH:
        return messages.Response(404, [], b"")
    content_type = prometheus_client.CONTENT_TYPE_LATEST.encode("ascii")
    return messages.Response(
        200,
        [(b"Content-Type", content_type)],
        prometheus_client.generate_latest(),
    )
