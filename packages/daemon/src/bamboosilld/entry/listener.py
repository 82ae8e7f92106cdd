"""HTTP listener whose error responses follow the caller protocol."""

import asyncio
import ssl
from typing import Any

from aiohttp import web
from aiohttp import web_protocol

from bamboosill_common import settings
from bamboosilld.entry import headers
from bamboosilld.entry import rejections

# Parser limit. The limit on the complete head is in the contract.
_MAX_LINE_BYTES = 64 * 1024
# Idle connections of callers are closed after this time.
_KEEPALIVE_S = 75.0
# Time for reading and discarding the rest of a rejected body, so that the
# caller gets the response instead of a connection reset.
_LINGER_S = 2.0
_BACKLOG = 1024


class _Handler(web_protocol.RequestHandler):
    """Responds to malformed requests and internal errors with JSON."""

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Returns the response to a request that could not be handled."""
        if status == 400:
            # Raised by the parser before any handler was called.
            too_long = "LineTooLong" in type(exc).__name__
            rejection = (
                rejections.refuse(
                    431, "head-too-large", "the head is too large"
                )
                if too_long
                else rejections.refuse(
                    400, "bad-request", "no valid HTTP request"
                )
            )
        else:
            self.log_exception("Error handling a request", exc_info=exc)
            rejection = rejections.Rejection(
                500, headers.OUTCOME_UNKNOWN, "internal", "internal error"
            )
        if request.writer.output_size > 0:
            raise ConnectionError("response headers were already sent")
        response = rejections.make_response(rejection, "")
        response.force_close()
        return response


class Server(web.Server):
    """Creates an error-handling protocol handler for each connection."""

    def __call__(self) -> web_protocol.RequestHandler:
        """Returns the handler of a new connection."""
        return _Handler(self, loop=self._loop, **self._kwargs)


class Listener:
    """Accepts connections on one address."""

    def __init__(self, handler: Any, tls: ssl.SSLContext | None) -> None:
        self._handler = handler
        self._tls = tls
        self._http_server: Server | None = None
        self._tcp_server: asyncio.Server | None = None

    async def start(self, address: str) -> str:
        """Listens on an address; returns it with the port that was bound."""
        host, port = settings.split_address(address)
        self._http_server = Server(
            self._handler,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=_KEEPALIVE_S,
            max_line_size=_MAX_LINE_BYTES,
            max_field_size=_MAX_LINE_BYTES,
            lingering_time=_LINGER_S,
            auto_decompress=False,
        )
        self._tcp_server = await asyncio.get_running_loop().create_server(
            self._http_server, host, port, ssl=self._tls, backlog=_BACKLOG
        )
        bound_host, bound_port = self._tcp_server.sockets[0].getsockname()[:2]
        if ":" in bound_host:
            bound_host = f"[{bound_host}]"
        return f"{bound_host}:{bound_port}"

    def stop_accepting(self) -> None:
        """Stops accepting connections; existing ones stay open."""
        if self._tcp_server is not None:
            self._tcp_server.close()

    async def close(self, flush_s: float) -> None:
        """Closes all connections.

        Args:
            flush_s: Time for responses in progress to be written; connections
                are aborted after it.
        """
        self.stop_accepting()
        if self._http_server is not None:
            await self._http_server.shutdown(flush_s)
