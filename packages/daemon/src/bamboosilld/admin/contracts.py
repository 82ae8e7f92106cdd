"""Admin API for customers' contracts: list, show, change, diff, retire."""

import asyncio
import json
from typing import Any

from aiohttp import web
from returns.result import Failure
from returns.result import Success

from bamboosill_common import contract as contract_lib
from bamboosill_common.generated import control as messages
from bamboosilld.admin import request_helpers
from bamboosilld.control import service as service_lib

routes = web.RouteTableDef()


@routes.get("/v1/contracts")
async def _list_contracts(request: web.Request) -> web.Response:
    control = await request_helpers.require_leader(request)
    items = control.state.tables.contracts.values()
    return web.json_response(
        {
            "contracts": [
                {
                    "customer": each.customer,
                    "revision": each.revision,
                    "retired": each.retired,
                    "services": _list_service_names(each),
                }
                for each in sorted(items)
            ],
            "revision": control.state.revision,
        }
    )


@routes.get("/v1/contracts/{customer}")
async def _show_contract(request: web.Request) -> web.Response:
    control = await request_helpers.require_leader(request)
    item = control.state.tables.contracts.get(request.match_info["customer"])
    if item is None:
        raise request_helpers.AdminError(
            404, "unknown_customer", "the customer has no contract"
        )
    return web.json_response(
        {
            "customer": item.customer,
            "revision": item.revision,
            "retired": item.retired,
            "document": json.loads(item.document),
        }
    )


@routes.put("/v1/contracts/{customer}")
async def _accept_contract(request: web.Request) -> web.Response:
    """Creates or changes a contract; `dry_run` validates without applying."""
    body = await request_helpers.read_body(request)
    contract = await _parse_contract(request, body)
    command = messages.AcceptContract(
        command_id=request_helpers.get_command_id(body),
        base_revision=request_helpers.get_field(body, "base_revision", int),
        customer=contract.customer,
        document=contract_lib.normalise(contract),
        operator=request[request_helpers.OPERATOR_IDENTITY].subject,
    )
    if not 0 <= command.base_revision < 1 << 63:
        raise request_helpers.AdminError(
            400, "bad_request", "base_revision is bad"
        )
    if not body.get("dry_run"):
        return await request_helpers.submit(request, command)
    control = await request_helpers.require_leader(request)
    rejection = control.validate_accept(command)
    if rejection:
        return request_helpers.make_result_response(rejection)
    return web.json_response(
        {
            "revision": command.base_revision,
            "dry_run": True,
            "changes": _list_changes(control, contract),
        }
    )


@routes.post("/v1/contracts/{customer}/diff")
async def _diff_contract(request: web.Request) -> web.Response:
    """Returns the fields that a document would change in the contract."""
    body = await request_helpers.read_body(request)
    contract = await _parse_contract(request, body)
    control = await request_helpers.require_leader(request)
    item = control.state.tables.contracts.get(contract.customer)
    return web.json_response(
        {
            "customer": contract.customer,
            "revision": item.revision if item else 0,
            "changes": _list_changes(control, contract),
        }
    )


@routes.post("/v1/contracts/{customer}/retire")
async def _retire_contract(request: web.Request) -> web.Response:
    body = await request_helpers.read_body(request)
    command = messages.RetireContract(
        command_id=request_helpers.get_command_id(body),
        base_revision=request_helpers.get_field(body, "base_revision", int),
        customer=request.match_info["customer"],
        operator=request[request_helpers.OPERATOR_IDENTITY].subject,
    )
    if not 0 <= command.base_revision < 1 << 63:
        raise request_helpers.AdminError(
            400, "bad_request", "base_revision is bad"
        )
    return await request_helpers.submit(request, command)


async def _parse_contract(
    request: web.Request, body: dict[str, Any]
) -> contract_lib.Contract:
    text = request_helpers.get_field(body, "document", str)
    source = str(body.get("source", "contract"))[:200]
    # Parsing a large document takes seconds. On the event loop it would block
    # lease renewal until the leases expire.
    result = await asyncio.to_thread(contract_lib.parse, text, source)
    match result:
        case Failure(findings):
            raise request_helpers.AdminError(
                422, "findings", f"{len(findings)} findings", findings
            )
        case Success(contract):
            if contract.customer != request.match_info["customer"]:
                detail = f"the document is about {contract.customer}"
                raise request_helpers.AdminError(400, "bad_request", detail)
            return contract
    raise AssertionError


def _list_service_names(item: messages.ContractItem) -> list[str]:
    if item.retired:
        return []
    return [
        each.name for each in contract_lib.read_stored(item.document).services
    ]


def _list_changes(
    control: service_lib.ControlService, contract: contract_lib.Contract
) -> list[dict[str, Any]]:
    item = control.state.tables.contracts.get(contract.customer)
    before = (
        _flatten(json.loads(item.document)) if item and not item.retired else {}
    )
    after = _flatten(json.loads(contract_lib.normalise(contract)))
    return [
        {"path": path, "old": before.get(path), "new": after.get(path)}
        for path in sorted(before.keys() | after.keys())
        if before.get(path) != after.get(path)
    ]


def _flatten(value: Any, path: str = "") -> dict[str, Any]:
    """Returns the leaf values of a document by path.

    List elements with a name, or a method and path, are identified by
    that rather than by their index.
    """
    if isinstance(value, dict):
        pairs = [
            (f"{path}.{key}" if path else key, value[key]) for key in value
        ]
    elif isinstance(value, list) and value:
        pairs = [
            (f"{path}[{_format_list_key(each, index)}]", each)
            for index, each in enumerate(value)
        ]
    else:
        return {path: value}
    leaves: dict[str, Any] = {}
    for inner, each in pairs:
        leaves |= _flatten(each, inner)
    return leaves


def _format_list_key(value: Any, index: int) -> str:
    if isinstance(value, dict) and "name" in value:
        return str(value["name"])
    if isinstance(value, dict) and "method" in value:
        return f"{value['method']} {value['path']}"
    return str(index)
