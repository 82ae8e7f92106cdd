"""Builds the response to a caller, and streams it if it is long."""

import asyncio

from aiohttp import web

from bamboosilld.entry import connection as connection_lib
from bamboosilld.entry import exchange
from bamboosilld.entry import headers
from bamboosilld.entry import idempotency
from bamboosilld.entry import rejections

REASON_OK = "ok"
REASON_REPLAYED = "replayed"


class Responder:
    """Responds to one request of a caller.

    Attributes:
        response: The response to send or already streamed; None until then.
    """

    def __init__(
        self, request: web.BaseRequest, request_id: str, deadline_s: float
    ) -> None:
        self._request = request
        self._request_id = request_id
        self._until = asyncio.get_running_loop().time() + deadline_s
        self.response: web.StreamResponse | None = None

    def refuse(self, rejection: rejections.Rejection) -> None:
        """Responds with a rejection."""
        self.response = rejections.make_response(rejection, self._request_id)

    def replay(self, replay: idempotency.Replay) -> None:
        """Responds with the stored response of an earlier run."""
        response = web.Response(status=replay.status, body=replay.body)
        if replay.content_type:
            response.headers["Content-Type"] = replay.content_type
        self._set_outcome_headers(
            response, headers.OUTCOME_ANSWER, REASON_REPLAYED
        )
        response.headers[headers.REPLAYED] = "1"
        self.response = response

    async def deliver(self, http_response: exchange.HttpResponse) -> bool:
        """Responds with the response of an upstream.

        Returns:
            Whether the response was read completely. If not, the caller's
            connection was aborted.
        """
        return await self._send(
            http_response, headers.OUTCOME_ANSWER, REASON_OK, False
        )

    async def deliver_forwarded(
        self, http_response: exchange.HttpResponse
    ) -> bool:
        """Responds with the response of another entry instance."""
        protocol_headers = http_response.protocol_headers
        return await self._send(
            http_response,
            protocol_headers[headers.OUTCOME.lower()],
            protocol_headers.get(headers.REASON.lower(), REASON_OK),
            headers.REPLAYED.lower() in protocol_headers,
        )

    async def _send(
        self,
        http_response: exchange.HttpResponse,
        outcome: str,
        reason: str,
        replayed: bool,
    ) -> bool:
        response: web.StreamResponse
        if http_response.body_stream is None:
            response = web.Response(
                status=http_response.status, body=http_response.body
            )
        else:
            response = web.StreamResponse(status=http_response.status)
        for name, value in http_response.headers:
            response.headers.add(name, value)
        self._set_outcome_headers(response, outcome, reason)
        if replayed:
            response.headers[headers.REPLAYED] = "1"
        self.response = response
        if http_response.body_stream is None:
            if self._request.method == "HEAD" and http_response.length >= 0:
                response.headers["Content-Length"] = str(http_response.length)
            return True
        return await self._stream(
            response, http_response, http_response.body_stream
        )

    async def _stream(
        self,
        response: web.StreamResponse,
        http_response: exchange.HttpResponse,
        body_stream: exchange.BodyStream,
    ) -> bool:
        if http_response.length >= 0:
            response.content_length = http_response.length
        else:
            response.enable_chunked_encoding()
        try:
            # Without a timeout, a caller that stops reading would occupy a
            # slot and a connection of the upstream indefinitely.
            async with asyncio.timeout_at(self._until):
                caller_disconnected = not await self._write(
                    response, http_response.body, True
                )
                while chunk := await body_stream.read():
                    # Reading continues after the caller disconnects, because
                    # the end of the response must be recorded. Where no
                    # record is kept, the task is cancelled instead.
                    caller_disconnected = (
                        caller_disconnected
                        or not await self._write(response, chunk)
                    )
        except (connection_lib.ConnectionFaultError, TimeoutError):
            self._abort()
            return False
        return True

    async def _write(
        self, response: web.StreamResponse, data: bytes, first: bool = False
    ) -> bool:
        try:
            if first:
                await response.prepare(self._request)
            await response.write(data)
        except ConnectionError:
            return False
        return True

    def _abort(self) -> None:
        # A truncated response must not look complete to the caller.
        if self._request.transport is not None:
            self._request.transport.abort()

    def _set_outcome_headers(
        self, response: web.StreamResponse, outcome: str, reason: str
    ) -> None:
        response.headers[headers.OUTCOME] = outcome
        response.headers[headers.REASON] = reason
        response.headers[headers.REQUEST_ID] = self._request_id
