"""Fixtures: control instances with scripted responses, and a CLI runner."""

import asyncio
from typing import Any

from aiohttp import test_utils
from aiohttp import web
import pytest

from bamboosill import main as main_lib
from bamboosill_common import settings as settings_lib
from bamboosill_common.generated import settings as generated


class ScriptedInstance:
    """An admin port that returns scripted responses and records requests.

    Attributes:
        responses: A list of (status, document) by method and path. The last
            one is repeated. Status 0 closes the connection without a
            response; -1 gives no response before the client's deadline.
        requests: The requests received, as (method, path, body).
    """

    def __init__(self) -> None:
        self.responses: dict[tuple[str, str], list[tuple[int, Any]]] = {}
        self.requests: list[tuple[str, str, Any]] = []

    async def start(self) -> None:
        """Starts to listen on a free port."""
        application = web.Application()
        application.router.add_route("*", "/{path:.*}", self._handle_request)
        self.server = test_utils.TestServer(application)
        await self.server.start_server()
        self.address = f"127.0.0.1:{self.server.port}"

    def set_responses(self, request: str, *responses: tuple[int, Any]) -> None:
        """Sets the responses to a request such as `GET /v1/status`."""
        method, path = request.split()
        self.responses[(method, path)] = list(responses)

    async def _handle_request(self, request: web.Request) -> web.StreamResponse:
        body = await request.json() if request.can_read_body else None
        self.requests.append((request.method, request.path_qs, body))
        responses = self.responses.get((request.method, request.path), [])
        if not responses:
            return web.json_response({"code": "http"}, status=404)
        status, document = (
            responses.pop(0) if len(responses) > 1 else responses[0]
        )
        if status == -1:
            await asyncio.sleep(60)
        if status <= 0:
            assert request.transport is not None
            request.transport.close()
            return web.Response()
        return web.json_response(document, status=status)


@pytest.fixture
async def instances():
    scripted_instances = [ScriptedInstance(), ScriptedInstance()]
    for each in scripted_instances:
        await each.start()
    yield scripted_instances
    for each in scripted_instances:
        await each.server.close()


@pytest.fixture
def run(instances, capsys):
    """Returns a function that runs a subcommand against the instances."""

    async def run_command(
        *words: str, timeout_s: float = 2, addresses: str = ""
    ):
        addresses = addresses or ",".join(e.address for e in instances)
        arguments = [*words, f"--instances={addresses}"]
        flags = main_lib.make_parser().parse_args(
            [*arguments, f"--timeout-s={timeout_s}"]
        )
        loaded = settings_lib.load_settings(
            generated.CLI_SETTINGS, vars(flags), {}
        )
        settings = generated.CliSettings(**loaded.values)
        code = await main_lib.run(flags, settings)
        output = capsys.readouterr()
        return code, output.out, output.err

    return run_command
