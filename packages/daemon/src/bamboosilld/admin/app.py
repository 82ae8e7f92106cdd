"""HTTP application on the admin port of every instance.

Serves health, readiness, metrics, version and events, and mounts the operator
API. Requests below /v1/ need an operator token.
"""

from collections.abc import Awaitable
from collections.abc import Callable

from aiohttp import web
import prometheus_client
from returns.result import Failure
from returns.result import Success

from bamboosill_common import logs
from bamboosilld import version
from bamboosilld.admin import contracts
from bamboosilld.admin import dependencies as dependencies_lib
from bamboosilld.admin import instances
from bamboosilld.admin import request_helpers
from bamboosilld.admin import zone_requests

_log = logs.get_logger("admin")

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
_routes = web.RouteTableDef()


def make_app(
    dependencies: dependencies_lib.AdminDependencies,
) -> web.Application:
    """Returns the application for an instance's admin port.

    Routes that need the control group exist only on control instances.
    """
    application = web.Application(
        middlewares=[_convert_errors, _authenticate],
        client_max_size=request_helpers.MAX_BODY_BYTES,
    )
    application[dependencies_lib.DEPENDENCIES] = dependencies
    application.add_routes(_routes)
    application.add_routes(zone_requests.local_routes)
    if dependencies.control is not None:
        application.add_routes(contracts.routes)
        application.add_routes(instances.routes)
        application.add_routes(zone_requests.routes)
    return application


@web.middleware
async def _convert_errors(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    try:
        return await handler(request)
    except request_helpers.AdminError as error:
        return web.json_response(error.document, status=error.status)
    except web.HTTPException as error:
        document = {"code": "http", "detail": error.reason, "findings": []}
        return web.json_response(document, status=error.status)
    except Exception:
        _log.exception("Request failed. Path: %s.", request.path)
        document = {"code": "internal", "detail": "failed", "findings": []}
        return web.json_response(document, status=500)


@web.middleware
async def _authenticate(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    if request.path.startswith("/v1/"):
        scheme, _, token = request.headers.get("Authorization", "").partition(
            " "
        )
        if scheme.lower() != "bearer":
            token = ""
        authenticator = request_helpers.get_dependencies(request).authenticator
        match authenticator.verify(token, "operator"):
            case Success(identity):
                request[request_helpers.OPERATOR_IDENTITY] = identity
            case Failure(detail):
                raise request_helpers.AdminError(401, "unauthorized", detail)
    return await handler(request)


@_routes.get("/healthz")
async def _handle_healthz(request: web.Request) -> web.Response:
    """Reports liveness: the process serves requests."""
    return web.json_response(
        {"instance": request_helpers.get_dependencies(request).instance}
    )


@_routes.get("/readyz")
async def _handle_readyz(request: web.Request) -> web.Response:
    """Reports readiness, with the reasons if the instance is not ready."""
    reasons = request_helpers.get_dependencies(request).check_readiness()
    document = {"ready": not reasons, "reasons": list(reasons)}
    return web.json_response(document, status=503 if reasons else 200)


@_routes.get("/metrics")
async def _handle_metrics(request: web.Request) -> web.Response:
    del request
    return web.Response(
        body=prometheus_client.generate_latest(),
        headers={"Content-Type": prometheus_client.CONTENT_TYPE_LATEST},
    )


@_routes.get("/v1/version")
async def _handle_version(request: web.Request) -> web.Response:
    dependencies = request_helpers.get_dependencies(request)
    return web.json_response(
        {"instance": dependencies.instance, "version": version.VERSION}
    )


@_routes.get("/v1/events")
async def _handle_events(request: web.Request) -> web.Response:
    """Returns the recorded events whose stamp is greater than `since`."""
    dependencies = request_helpers.get_dependencies(request)
    try:
        since = int(request.query.get("since", "0"))
    except ValueError as error:
        raise request_helpers.AdminError(
            400, "bad_request", "since is no stamp"
        ) from error
    events = dependencies.timeline.list_events(since)
    return web.json_response(
        {
            "instance": dependencies.instance,
            "events": [each.to_document() for each in events],
        }
    )
