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
from bamboosilld.admin import answers
from bamboosilld.admin import contracts
from bamboosilld.admin import ports
from bamboosilld.admin import registry
from bamboosilld.admin import zoneparts

_log = logs.get_logger("admin")

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
_routes = web.RouteTableDef()


def make_app(dependencies: ports.AdminDependencies) -> web.Application:
    """Returns the application for an instance's admin port.

    Routes that need the control group exist only on control instances.
    """
    application = web.Application(
        middlewares=[_convert_errors, _authenticate],
        client_max_size=answers.MAX_BODY_BYTES,
    )
    application[ports.DEPENDENCIES] = dependencies
    application.add_routes(_routes)
    application.add_routes(zoneparts.local_routes)
    if dependencies.control is not None:
        application.add_routes(contracts.routes)
        application.add_routes(registry.routes)
        application.add_routes(zoneparts.routes)
    return application


@web.middleware
async def _convert_errors(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    try:
        return await handler(request)
    except answers.AdminError as error:
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
        authenticator = answers.get_dependencies(request).authenticator
        match authenticator.verify(token, "operator"):
            case Success(identity):
                request[answers.OPERATOR_IDENTITY] = identity
            case Failure(detail):
                raise answers.AdminError(401, "unauthorized", detail)
    return await handler(request)


@_routes.get("/healthz")
async def _handle_healthz(request: web.Request) -> web.Response:
    """Reports liveness: the process serves requests."""
    return web.json_response(
        {"instance": answers.get_dependencies(request).instance}
    )


@_routes.get("/readyz")
async def _handle_readyz(request: web.Request) -> web.Response:
    """Reports readiness, with the reasons if the instance is not ready."""
    reasons = answers.get_dependencies(request).check_readiness()
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
    dependencies = answers.get_dependencies(request)
    return web.json_response(
        {"instance": dependencies.instance, "version": version.VERSION}
    )


@_routes.get("/v1/events")
async def _handle_events(request: web.Request) -> web.Response:
    """Returns the recorded events whose stamp is greater than `since`."""
    dependencies = answers.get_dependencies(request)
    try:
        since = int(request.query.get("since", "0"))
    except ValueError as error:
        raise answers.AdminError(
            400, "bad_request", "since is no stamp"
        ) from error
    events = dependencies.timeline.list_events(since)
    return web.json_response(
        {
            "instance": dependencies.instance,
            "events": [each.to_document() for each in events],
        }
    )
