"""Answers of the admin port, and reading of its requests."""

from collections.abc import Iterable
import json
from typing import Any

from aiohttp import web
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bamboosill_common import auth
from bamboosill_common import findings as findings_lib
from bamboosill_common.generated import control as messages
from bamboosilld.admin import ports
from bamboosilld.control import service as service_lib
from bamboosilld.control import timing

MAX_BODY_BYTES = 256 * 1024
_MAX_COMMAND_ID_CHARACTERS = 64
OPERATOR = web.RequestKey("operator", auth.Identity)

# HTTP status of refusals by code; others are 409.
_STATUS_BY_CODE = {
    "bad_contract": 422,
    "bad_command": 400,
    "unknown_customer": 404,
    "unknown_zone": 404,
    "unknown_upstream": 404,
}


class AdminError(Exception):
    """Ends a request with an error answer."""

    def __init__(
        self,
        status: int,
        code: str,
        detail: str,
        findings: Iterable[findings_lib.Finding] = (),
        **fields: Any,
    ) -> None:
        super().__init__(detail)
        self.status = status
        self.document = {
            "code": code,
            "detail": detail,
            "findings": [
                {
                    "source": each.place.source,
                    "line": each.place.line,
                    "path": each.place.path,
                    "message": each.message,
                }
                for each in findings
            ],
            **fields,
        }


def get_parts(request: web.Request) -> ports.Parts:
    """Returns what the application is made of."""
    return request.app[ports.PARTS]


async def read_body(request: web.Request) -> dict[str, Any]:
    """Returns the JSON object in a request's body."""
    try:
        value = json.loads(await request.text())
    except (ValueError, RecursionError) as error:
        raise AdminError(
            400, "bad_request", f"the body is not JSON: {error}"
        ) from error
    if not isinstance(value, dict):
        raise AdminError(400, "bad_request", "the body is no JSON object")
    return value


def get_field(body: dict[str, Any], name: str, kind: type[Any]) -> Any:
    """Returns a field of a body, which must have the given type."""
    value = body.get(name)
    if not isinstance(value, kind) or isinstance(value, bool) != (kind is bool):
        detail = f"field {name!r} must be a {kind.__name__}"
        raise AdminError(400, "bad_request", detail)
    return value


def get_command_id(body: dict[str, Any]) -> str:
    """Returns the command id of a body."""
    command_id: str = get_field(body, "command_id", str)
    if not 0 < len(command_id) <= _MAX_COMMAND_ID_CHARACTERS:
        raise AdminError(400, "bad_request", "command_id has a bad length")
    return command_id


async def lead(request: web.Request) -> service_lib.ControlService:
    """Returns the control service if this instance leads, and is current.

    With `?stale=1` a read is answered from this instance's copy.
    """
    control = get_parts(request).control
    if control is None:
        detail = "this instance has no control role"
        raise AdminError(404, "no_control_role", detail)
    if request.method == "GET" and request.query.get("stale") == "1":
        return control
    if not control.leads():
        raise make_redirect(control)
    if request.method == "GET":
        barrier = await control.node.read_barrier(timing.PROPOSE_DEADLINE_S)
        match barrier:
            case Failure(error):
                raise AdminError(503, error.code, error.detail)
    return control


def make_redirect(control: service_lib.ControlService) -> AdminError:
    """Returns the answer that names the leader's admin address."""
    leader = control.node.leader
    item = (
        control.state.tables.instances.get(leader.instance) if leader else None
    )
    return AdminError(
        421,
        "not_leader",
        "this instance does not lead the control group",
        leader=item.admin_address if item else "",
        leader_instance=leader.instance if leader else "",
    )


async def submit(request: web.Request, command: Any) -> web.Response:
    """Submits a command and answers with its result."""
    control = await lead(request)
    match await control.submit(command):
        case Success(result):
            return answer_result(result)
        case Failure(error):
            raise make_propose_error(control, error)
    raise AssertionError


def make_propose_error(
    control: service_lib.ControlService, error: Any
) -> AdminError:
    """Returns the answer for a command without a known result."""
    if error.code == "not_leader" and not error.applied_unknown:
        return make_redirect(control)
    if error.applied_unknown:
        # The same command id may be sent again, to any control instance.
        return AdminError(504, "unknown", f"{error.code}: {error.detail}")
    return AdminError(503, error.code, error.detail)


def answer_result(result: messages.CommandResult) -> web.Response:
    """Returns the answer for a command's result."""
    if not result.ok:
        raise AdminError(
            _STATUS_BY_CODE.get(result.code, 409),
            result.code,
            result.detail,
            revision=result.revision,
        )
    return web.json_response({"revision": result.revision})


def unwrap(result: Result[Any, Any]) -> Any:
    """Returns a result's value, or ends the request."""
    match result:
        case Success(value):
            return value
        case Failure(error):
            if getattr(error, "applied_unknown", False):
                raise AdminError(504, "unknown", error.detail)
            raise AdminError(503, error.code, error.detail)
    raise AssertionError
