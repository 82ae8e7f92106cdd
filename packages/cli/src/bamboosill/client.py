"""HTTP client for the admin API of the control instances.

A request is retried, at the leader or at the next instance, until one gives a
final response or the deadline of the invocation has passed.
"""

import asyncio
from collections.abc import Sequence
import ssl
from typing import Any
from typing import NamedTuple
import urllib.parse
import uuid

import aiohttp

from bamboosill_common import auth
from bamboosill_common import clock as clock_lib

# Share of the whole timeout that one attempt may take, so that an instance that
# hangs does not use up the deadline.
_ATTEMPT_TIMEOUT_RATIO = 0.3
_MIN_ATTEMPT_TIMEOUT_S = 0.3
_RETRY_DELAY_S = 0.1
# HTTP statuses after which another instance or a later attempt may succeed.
_RETRY_STATUSES = frozenset({421, 500, 502, 503, 504})


class Response(NamedTuple):
    """A final response, which is not retried."""

    status: int
    document: dict[str, Any]


class NoResponseError(Exception):
    """No instance gave a final response before the deadline.

    Attributes:
        maybe_applied: Whether a command may have been applied nevertheless.
    """

    def __init__(self, detail: str, maybe_applied: bool) -> None:
        super().__init__(detail)
        self.maybe_applied = maybe_applied


class AttemptError(Exception):
    """A single attempt failed.

    Attributes:
        may_have_acted: Whether the instance may have executed the request.
        leader_address: Admin address of the control leader, if the response
            named it.
    """

    def __init__(
        self, detail: str, may_have_acted: bool, leader_address: str = ""
    ) -> None:
        super().__init__(detail)
        self.may_have_acted = may_have_acted
        self.leader_address = leader_address


class Client:
    """Finds the control leader and sends requests to it.

    Attributes:
        command_id: The id of this invocation's command. Retries carry the
            same id, so that the command is applied at most once.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        timeout_s: float,
        authenticator: auth.Authenticator,
        clock: clock_lib.Clock,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.addresses = tuple(addresses)
        self.command_id = str(uuid.uuid4())
        self._clock = clock
        self._timeout_s = timeout_s
        self._deadline_s = clock.monotonic() + timeout_s
        self._authenticator = authenticator
        self._tls = tls
        self._leader_address = ""
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    async def call(
        self, method: str, path: str, body: dict[str, Any] | None = None
    ) -> Response:
        """Returns the final response to a request.

        The request is sent to the leader if it is known, and otherwise to one
        instance after the other, until the deadline of the invocation.

        Raises:
            NoResponseError: No instance gave a final response in time.
        """
        failures: dict[str, str] = {}
        maybe_applied = False
        attempts = 0
        while self._get_remaining_s() > 0:
            address = (
                self._leader_address
                or self.addresses[attempts % len(self.addresses)]
            )
            self._leader_address = ""
            try:
                response = await self.call_instance(address, method, path, body)
            except AttemptError as error:
                failures[address] = str(error)
                maybe_applied = maybe_applied or (
                    error.may_have_acted and method != "GET"
                )
                self._leader_address = error.leader_address
                attempts += 1
                if (
                    not error.leader_address
                    and attempts % len(self.addresses) == 0
                ):
                    delay_s = min(
                        _RETRY_DELAY_S, max(0, self._get_remaining_s())
                    )
                    await self._clock.sleep(delay_s)
                continue
            self._leader_address = address
            return response
        attempted = "; ".join(f"{key}: {failures[key]}" for key in failures)
        raise NoResponseError(
            f"no answer within {self._timeout_s:g} s ({attempted})",
            maybe_applied,
        )

    async def call_instance(
        self,
        address: str,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
    ) -> Response:
        """Makes a single attempt at the given instance.

        Raises:
            AttemptError: The attempt failed, or its status is to be retried.
        """
        remaining_s = self._get_remaining_s()
        timeout_ratio = max(_ATTEMPT_TIMEOUT_RATIO, 1 / len(self.addresses))
        attempt_timeout_s = min(
            remaining_s,
            max(_MIN_ATTEMPT_TIMEOUT_S, timeout_ratio * self._timeout_s),
        )
        try:
            async with asyncio.timeout(attempt_timeout_s):
                return await self._send_request(address, method, path, body)
        except aiohttp.ClientConnectorError as error:
            raise AttemptError(
                f"cannot connect: {error.strerror}", False
            ) from error
        except TimeoutError as error:
            raise AttemptError("does not answer", True) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            detail = f"bad answer: {str(error) or type(error).__name__}"
            raise AttemptError(detail, True) from error

    async def _send_request(
        self,
        address: str,
        method: str,
        path: str,
        body: dict[str, Any] | None,
    ) -> Response:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        headers = {}
        token = self._authenticator.sign("operator", "operator")
        if token:
            headers["Authorization"] = f"Bearer {token}"
        scheme = "https" if self._tls else "http"
        async with self._session.request(
            method,
            f"{scheme}://{address}{path}",
            json=body,
            headers=headers,
            ssl=self._tls or True,
        ) as response:
            document = await response.json()
        if not isinstance(document, dict):
            raise ValueError("no JSON object")
        if response.status in _RETRY_STATUSES:
            detail = f"{document.get('code')}: {document.get('detail')}"
            # 421 and 503 mean that the request was not executed; after the
            # other statuses its outcome is unknown.
            may_have_acted = response.status not in (421, 503)
            raise AttemptError(
                detail, may_have_acted, str(document.get("leader") or "")
            )
        return Response(response.status, document)

    def _get_remaining_s(self) -> float:
        return self._deadline_s - self._clock.monotonic()


def quote_path_segment(text: str) -> str:
    """Percent-encodes a text as a single path segment."""
    return urllib.parse.quote(text, safe="")
