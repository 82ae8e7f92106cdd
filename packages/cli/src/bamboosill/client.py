"""Calls the admin ports of control instances until one answers."""

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

# An instance that hangs may use up only a part of the deadline.
_TRY_PART = 0.3
_SHORTEST_TRY_S = 0.3
_RETRY_DELAY_S = 0.1
# Statuses after which another instance, or a later try, may do better.
_RETRY_STATUSES = frozenset({421, 500, 502, 503, 504})


class Answer(NamedTuple):
    """An answer that needs no other try."""

    status: int
    document: dict[str, Any]


class CallError(Exception):
    """No instance gave a final answer before the deadline.

    Attributes:
        maybe_applied: Whether a command may have been applied all the same.
    """

    def __init__(self, detail: str, maybe_applied: bool) -> None:
        super().__init__(detail)
        self.maybe_applied = maybe_applied


class TryError(Exception):
    """One try failed; `sent` says whether the instance may have acted."""

    def __init__(self, detail: str, sent: bool, leader: str = "") -> None:
        super().__init__(detail)
        self.sent = sent
        self.leader = leader


class Client:
    """Finds the control leader and sends it requests.

    Attributes:
        command_id: The id of this invocation's command; a resend has the
            same, so that the command is applied at most once.
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
        self._end_s = clock.monotonic() + timeout_s
        self._authenticator = authenticator
        self._tls = tls
        self._leader = ""
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    async def call(
        self, method: str, path: str, body: dict[str, Any] | None = None
    ) -> Answer:
        """Returns the answer of the control leader.

        The same request goes to one instance after the other until the
        deadline of the whole invocation.

        Raises:
            CallError: No final answer came.
        """
        failures: dict[str, str] = {}
        maybe_applied = False
        turn = 0
        while self._get_left_s() > 0:
            address = self._leader or self.addresses[turn % len(self.addresses)]
            self._leader = ""
            try:
                answer = await self.call_one(address, method, path, body)
            except TryError as error:
                failures[address] = str(error)
                maybe_applied = maybe_applied or (
                    error.sent and method != "GET"
                )
                self._leader = error.leader
                turn += 1
                if not error.leader and turn % len(self.addresses) == 0:
                    delay_s = min(_RETRY_DELAY_S, max(0, self._get_left_s()))
                    await self._clock.sleep(delay_s)
                continue
            self._leader = address
            return answer
        tried = "; ".join(f"{key}: {failures[key]}" for key in failures)
        raise CallError(
            f"no answer within {self._timeout_s:g} s ({tried})", maybe_applied
        )

    async def call_one(
        self,
        address: str,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
    ) -> Answer:
        """Returns the answer of one instance."""
        left_s = self._get_left_s()
        part = max(_TRY_PART, 1 / len(self.addresses))
        try_s = min(left_s, max(_SHORTEST_TRY_S, part * self._timeout_s))
        try:
            async with asyncio.timeout(try_s):
                return await self._exchange(address, method, path, body)
        except aiohttp.ClientConnectorError as error:
            raise TryError(
                f"cannot connect: {error.strerror}", False
            ) from error
        except TimeoutError as error:
            raise TryError("does not answer", True) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            detail = f"bad answer: {str(error) or type(error).__name__}"
            raise TryError(detail, True) from error

    async def _exchange(
        self,
        address: str,
        method: str,
        path: str,
        body: dict[str, Any] | None,
    ) -> Answer:
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
        ) as answer:
            document = await answer.json()
        if not isinstance(document, dict):
            raise ValueError("no JSON object")
        if answer.status in _RETRY_STATUSES:
            detail = f"{document.get('code')}: {document.get('detail')}"
            # Only an unknown outcome leaves open whether it was applied.
            sent = answer.status not in (421, 503)
            raise TryError(detail, sent, str(document.get("leader") or ""))
        return Answer(answer.status, document)

    def _get_left_s(self) -> float:
        return self._end_s - self._clock.monotonic()


def quote(text: str) -> str:
    """Returns a text as one segment of a path."""
    return urllib.parse.quote(text, safe="")
