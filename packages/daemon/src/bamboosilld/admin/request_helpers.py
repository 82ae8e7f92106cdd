"""Helpers of the admin API's request handlers.

They parse request bodies, check that this instance leads the control group,
and turn results and failures into HTTP responses.
"""

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
from bamboosilld.admin import dependencies as dependencies_lib
from bamboosilld.control import service as service_lib
from bamboosilld.control import timing

MAX_BODY_BYTES = 256 * 1024
_MAX_COMMAND_ID_CHARACTERS = 64
OPERATOR_IDENTITY = web.RequestKey("operator", auth.Identity)

# HTTP status by error code of a rejected command; all other codes give 409.
_STATUS_BY_CODE = {
    "bad_contract": 422,
    "bad_command": 400,
    "unknown_customer": 404,
    "unknown_zone": 404,
    "unknown_upstream": 404,
}


class AdminError(Exception):
    """Ends a request with an error response.

    `fields` are added to the JSON document of the response.
    """

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
                    "source": finding.place.source,
                    "line": finding.place.line,
                    "path": finding.place.path,
                    "message": finding.message,
                }
                for finding in findings
            ],
            **fields,
        }


def get_dependencies(
    request: web.Request,
) -> dependencies_lib.AdminDependencies:
    """Returns the components that the application works with."""
    return request.app[dependencies_lib.DEPENDENCIES]


async def read_body(request: web.Request) -> dict[str, Any]:
    """Parses a request body as a JSON object.

    Raises:
        AdminError: The body is not a JSON object.
    """
    try:
        value = json.loads(await request.text())
    except (ValueError, RecursionError) as error:
        raise AdminError(
            400, "bad_request", f"the body is not JSON: {error}"
        ) from error
    if not isinstance(value, dict):
        raise AdminError(400, "bad_request", "the body is no JSON object")
    return value


def get_field(body: dict[str, Any], name: str, expected_type: type[Any]) -> Any:
    """Returns a field of a request body and checks its type.

    Raises:
        AdminError: The field is missing or has another type.
    """
    value = body.get(name)
    if not isinstance(value, expected_type) or isinstance(value, bool) != (
        expected_type is bool
    ):
        detail = f"field {name!r} must be a {expected_type.__name__}"
        raise AdminError(400, "bad_request", detail)
    return value


def get_command_id(body: dict[str, Any]) -> str:
    """Returns the command id of a request body and checks its length."""
    command_id: str = get_field(body, "command_id", str)
    if not 0 < len(command_id) <= _MAX_COMMAND_ID_CHARACTERS:
        raise AdminError(400, "bad_request", "command_id has a bad length")
    return command_id


async def require_leader(request: web.Request) -> service_lib.ControlService:
    """Returns the control service if this instance is the control leader.

    A read waits for a read barrier, so that a leader that was replaced without
    noticing returns no stale data. A read with `?stale=1` skips both checks
    and is served from the local replica.

    Raises:
        AdminError: This instance has no control role, is not the leader, or
            the read barrier failed.
    """
    control = get_dependencies(request).control
    if control is None:
        detail = "this instance has no control role"
        raise AdminError(404, "no_control_role", detail)
    if request.method == "GET" and request.query.get("stale") == "1":
        return control
    if not control.is_active_leader():
        raise make_not_leader_error(control)
    if request.method == "GET":
        barrier = await control.node.read_barrier(timing.PROPOSE_DEADLINE_S)
        match barrier:
            case Failure(error):
                raise AdminError(503, error.code, error.detail)
    return control


def make_not_leader_error(control: service_lib.ControlService) -> AdminError:
    """Returns the error that refers the client to the leader's admin port."""
    leader = control.node.leader
    leader_item = (
        control.state.tables.instances.get(leader.instance) if leader else None
    )
    return AdminError(
        421,
        "not_leader",
        "this instance does not lead the control group",
        leader=leader_item.admin_address if leader_item else "",
        leader_instance=leader.instance if leader else "",
    )


async def submit(request: web.Request, command: Any) -> web.Response:
    """Submits a command to the control group and returns its result."""
    control = await require_leader(request)
    match await control.submit(command):
        case Success(result):
            return make_result_response(result)
        case Failure(error):
            raise make_propose_error(control, error)
    raise AssertionError


def make_propose_error(
    control: service_lib.ControlService, error: Any
) -> AdminError:
    """Returns the error for a command whose proposal failed.

    If the command may still be applied, the code is `unknown`.
    """
    if error.code == "not_leader" and not error.applied_unknown:
        return make_not_leader_error(control)
    if error.applied_unknown:
        # The client may retry with the same command id at any control
        # instance: a command id is applied at most once.
        return AdminError(504, "unknown", f"{error.code}: {error.detail}")
    return AdminError(503, error.code, error.detail)


def make_result_response(result: messages.CommandResult) -> web.Response:
    """Returns the response for an applied command.

    Raises:
        AdminError: The command was rejected.
    """
    if not result.ok:
        raise AdminError(
            _STATUS_BY_CODE.get(result.code, 409),
            result.code,
            result.detail,
            revision=result.revision,
        )
    return web.json_response({"revision": result.revision})


def unwrap_or_raise(result: Result[Any, Any]) -> Any:
    """Returns the value of a result.

    Raises:
        AdminError: The result is a failure.
    """
    match result:
        case Success(value):
            return value
        case Failure(error):
            if getattr(error, "applied_unknown", False):
                raise AdminError(504, "unknown", error.detail)
            raise AdminError(503, error.code, error.detail)
    raise AssertionError
