"""The admin application of every instance."""

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


def make_app(parts: ports.Parts) -> web.Application:
    """Returns the application for an instance's admin port."""
    application = web.Application(
        middlewares=[_answer_errors, _check_token],
        client_max_size=answers.MAX_BODY_BYTES,
    )
    application[ports.PARTS] = parts
    application.add_routes(_routes)
    application.add_routes(zoneparts.local_routes)
    if parts.control is not None:
        application.add_routes(contracts.routes)
        application.add_routes(registry.routes)
        application.add_routes(zoneparts.routes)
    return application


@web.middleware
async def _answer_errors(
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
async def _check_token(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    if request.path.startswith("/v1/"):
        scheme, _, token = request.headers.get("Authorization", "").partition(
            " "
        )
        if scheme.lower() != "bearer":
            token = ""
        authenticator = answers.get_parts(request).authenticator
        match authenticator.verify(token, "operator"):
            case Success(identity):
                request[answers.OPERATOR] = identity
            case Failure(detail):
                raise answers.AdminError(401, "unauthorized", detail)
    return await handler(request)


@_routes.get("/healthz")
async def _answer_health(request: web.Request) -> web.Response:
    """Says that the process answers."""
    return web.json_response({"instance": answers.get_parts(request).instance})


@_routes.get("/readyz")
async def _answer_ready(request: web.Request) -> web.Response:
    """Says whether the instance can serve, and why not."""
    reasons = answers.get_parts(request).check_readiness()
    document = {"ready": not reasons, "reasons": list(reasons)}
    return web.json_response(document, status=503 if reasons else 200)


@_routes.get("/metrics")
async def _answer_metrics(request: web.Request) -> web.Response:
    del request
    return web.Response(
        body=prometheus_client.generate_latest(),
        headers={"Content-Type": prometheus_client.CONTENT_TYPE_LATEST},
    )


@_routes.get("/v1/version")
async def _answer_version(request: web.Request) -> web.Response:
    parts = answers.get_parts(request)
    return web.json_response(
        {"instance": parts.instance, "version": version.VERSION}
    )


@_routes.get("/v1/events")
async def _answer_events(request: web.Request) -> web.Response:
    """Returns the events with stamps above `since`."""
    parts = answers.get_parts(request)
    try:
        since = int(request.query.get("since", "0"))
    except ValueError as error:
        raise answers.AdminError(
            400, "bad_request", "since is no stamp"
        ) from error
    events = parts.timeline.list_events(since)
    return web.json_response(
        {
            "instance": parts.instance,
            "events": [each.to_document() for each in events],
        }
    )
