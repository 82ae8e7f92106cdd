"""Scripted control instances for tests of the command line."""

import asyncio
from typing import Any

from aiohttp import test_utils
from aiohttp import web
import pytest

from bamboosill import main as main_lib
from bamboosill_common import settings as settings_lib
from bamboosill_common.generated import settings as generated


class Instance:
    """An admin port that answers from a script and records its requests.

    Attributes:
        answers: By method and path, a list of (status, document). The last
            is repeated. Status 0 closes the connection without an answer
            and -1 never answers.
    """

    def __init__(self) -> None:
        self.answers: dict[tuple[str, str], list[tuple[int, Any]]] = {}
        self.requests: list[tuple[str, str, Any]] = []

    async def start(self) -> None:
        """Listens."""
        application = web.Application()
        application.router.add_route("*", "/{path:.*}", self._answer)
        self.server = test_utils.TestServer(application)
        await self.server.start_server()
        self.address = f"127.0.0.1:{self.server.port}"

    def script(self, request: str, *answers: tuple[int, Any]) -> None:
        """Sets the answers to a request such as `GET /v1/status`."""
        method, path = request.split()
        self.answers[(method, path)] = list(answers)

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        body = await request.json() if request.can_read_body else None
        self.requests.append((request.method, request.path_qs, body))
        answers = self.answers.get((request.method, request.path), [])
        if not answers:
            return web.json_response({"code": "http"}, status=404)
        status, document = answers.pop(0) if len(answers) > 1 else answers[0]
        if status == -1:
            await asyncio.sleep(60)
        if status <= 0:
            assert request.transport is not None
            request.transport.close()
            return web.Response()
        return web.json_response(document, status=status)


@pytest.fixture
async def instances():
    started = [Instance(), Instance()]
    for each in started:
        await each.start()
    yield started
    for each in started:
        await each.server.close()


@pytest.fixture
def run(instances, capsys):
    """Returns a function that runs a subcommand against the instances."""

    async def start(*words: str, timeout_s: float = 2, addresses: str = ""):
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

    return start
