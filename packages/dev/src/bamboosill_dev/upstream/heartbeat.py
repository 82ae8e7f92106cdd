"""Announces an upstream to the entry instances and sends its heartbeats."""

import asyncio
from collections.abc import Callable
import time
from typing import Any

import aiohttp

from bamboosill_common import logs
from bamboosill_dev.upstream import grants as grants_lib
from bamboosill_dev.upstream import options as options_lib

HEARTBEAT_S = 0.5
TIMEOUT_S = 0.4
_RETRY_S = 0.1

_log = logs.get_logger("upstream")


class Heartbeats:
    """Keeps an upstream registered with the entry instances.

    Attributes:
        incarnation: Incarnation of the current registration; it only grows.
        draining: Whether the upstream is draining.
        warm: Whether the upstream is warmed up.
        replies: Number of successful heartbeats.
    """

    def __init__(
        self,
        options: options_lib.Options,
        grants: grants_lib.Grants,
        get_load: Callable[[], dict[str, Any]],
        get_token: Callable[[], str],
    ) -> None:
        self._options = options
        self._grants = grants
        self._get_load = get_load
        self._get_token = get_token
        self._session: aiohttp.ClientSession | None = None
        self._entry_index = 0
        self.incarnation = time.time_ns() // 1_000_000
        self.draining = False
        self.warm = False
        self.replies = 0

    async def run(self, address: str) -> None:
        """Announces the upstream and sends heartbeats until cancelled."""
        try:
            while True:
                await self._announce(address)
                await self._send_heartbeats()
                # The new incarnation must not use grants of the old one.
                self._grants.drop_all()
                self._renew()
        finally:
            await self._replace_connection()

    async def _announce(self, address: str) -> None:
        options = self._options
        while True:
            status, document = await self._post(
                "/v1/announce",
                {
                    "id": options.id,
                    "incarnation": self.incarnation,
                    "service": options.service,
                    "zone": options.zone,
                    "address": address,
                    "slots": options.slots,
                    "connections": options.connections,
                    "checks_fences": options.checks_fences,
                    "accepts_cancellation": options.accepts_cancellation,
                    "accepts_deadlines": options.accepts_deadlines,
                    "state": "warm" if self.warm else "cold",
                },
            )
            if status == 200:
                return
            _log.info(
                "Announcement refused with status %s: %s.", status, document
            )
            if status == 409:
                self._renew()
            await asyncio.sleep(_RETRY_S)

    async def _send_heartbeats(self) -> None:
        while True:
            sent_s = time.monotonic()
            status, reply = await self._post(
                "/v1/heartbeat",
                {
                    "id": self._options.id,
                    "incarnation": self.incarnation,
                    "state": self._get_state(),
                    "grants_version": self._grants.version,
                    **self._get_load(),
                },
            )
            if status == 200:
                self._grants.apply_heartbeat(sent_s, reply)
                self.replies += 1
            elif status == 409:
                _log.warning("Heartbeat refused: %s.", reply)
                return
            wait_s = HEARTBEAT_S - (time.monotonic() - sent_s)
            if status != 200:
                wait_s = min(wait_s, _RETRY_S)
            await asyncio.sleep(max(0.0, wait_s))

    def _renew(self) -> None:
        self.incarnation = max(
            self.incarnation + 1, time.time_ns() // 1_000_000
        )

    def _get_state(self) -> str:
        if self.draining:
            return "draining"
        return "warm" if self.warm else "cold"

    async def _post(
        self, path: str, document: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        """Returns status and reply; status 0 if there was none."""
        if not self._options.entries:
            await asyncio.sleep(HEARTBEAT_S)
            return 0, {}
        entries = self._options.entries
        address = entries[self._entry_index % len(entries)]
        token = self._get_token()
        try:
            async with asyncio.timeout(TIMEOUT_S):
                if self._session is None:
                    self._session = aiohttp.ClientSession()
                async with self._session.post(
                    f"http://{address}{path}",
                    json=document,
                    headers={"Authorization": f"Bearer {token}"}
                    if token
                    else {},
                ) as response:
                    status, reply = response.status, await response.json()
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            # A connection can be dead although the instance is alive, so both
            # are replaced.
            await self._replace_connection()
            self._entry_index += 1
            return 0, {}
        if status >= 500:
            self._entry_index += 1
        return status, reply

    async def _replace_connection(self) -> None:
        session, self._session = self._session, None
        if session is not None:
            await session.close()
