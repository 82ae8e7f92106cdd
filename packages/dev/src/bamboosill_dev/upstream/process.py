"""One stand-in upstream: its server, registration and graceful stop."""

import asyncio
import time

from aiohttp import web

from bamboosill_common import auth
from bamboosill_common import clock
from bamboosill_common import logs
from bamboosill_common import settings
from bamboosill_dev.upstream import grants as grants_lib
from bamboosill_dev.upstream import heartbeat
from bamboosill_dev.upstream import options as options_lib
from bamboosill_dev.upstream import recorder as recorder_lib
from bamboosill_dev.upstream import service as service_lib

_DRAIN_POLL_S = 0.05

_log = logs.get_logger("upstream")


class Upstream:
    """An upstream that listens, announces itself and sends heartbeats.

    Attributes:
        address: Address on which it listens.
    """

    def __init__(self, options: options_lib.Options) -> None:
        self._options = options
        self.grants = grants_lib.Grants(time.monotonic)
        self.recorder = recorder_lib.Recorder(options.record)
        self.service = service_lib.Service(options, self.grants, self.recorder)
        self._authenticator = auth.Authenticator(
            options.key_file, clock.SystemClock(), options.id
        )
        self.heartbeats = heartbeat.Heartbeats(
            options, self.grants, self.service.get_load, self._get_token
        )
        self._tasks: list[asyncio.Task[None]] = []
        self.address = ""

    async def start(self) -> None:
        """Starts to listen and to announce the upstream."""
        host, port = settings.split_address(self._options.listen)
        self._web = web.Server(self._handle, access_log=None)
        self._server = await asyncio.get_running_loop().create_server(
            self._web, host, port, backlog=1024
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        self._tasks = [
            asyncio.create_task(self._warm_up()),
            asyncio.create_task(self._register()),
        ]

    async def drain(self) -> None:
        """Waits until no request runs and no grant is held, up to a limit."""
        self.heartbeats.draining = True
        deadline_s = time.monotonic() + self._options.drain_limit_s
        replies_before = self.heartbeats.replies
        while time.monotonic() < deadline_s:
            # The second reply from here on belongs to a heartbeat that was sent
            # while draining; only its grants count.
            is_drain_known = self.heartbeats.replies >= replies_before + 2
            if (
                is_drain_known
                and not len(self.grants)
                and not self.service.running
            ):
                break
            await asyncio.sleep(_DRAIN_POLL_S)

    async def stop(self) -> None:
        """Stops at once, without draining."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._server.close()
        await self._web.shutdown(0.1)
        self.recorder.close()

    def _get_token(self) -> str:
        if self._authenticator.enabled:
            return self._authenticator.sign("upstream")
        return self._options.token

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.service.incarnation = self.heartbeats.incarnation
        return await self.service.handle(request)

    async def _warm_up(self) -> None:
        await asyncio.sleep(self._options.cold_s)
        self.service.warm = self.heartbeats.warm = True

    async def _register(self) -> None:
        if self._options.start_delay_s:
            await asyncio.sleep(self._options.start_delay_s)
        await self.heartbeats.run(self.address)
