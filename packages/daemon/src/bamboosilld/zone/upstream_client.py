"""Sends notices of new grants and revocations to upstreams.

Notices only speed up a move; heartbeats carry the same grants.
"""

from typing import NamedTuple
from typing import Protocol

import aiohttp

_TIMEOUT_S = 0.5


class ShardNotice(NamedTuple):
    """Notice that an upstream gets or loses shards of one keyspace.

    Attributes:
        id: The upstream.
        incarnation: Its incarnation; other incarnations must refuse the notice.
        keyspace: Keyspace of the shards.
        shards: The shards.
        fence: Fence of the new assignment. On a revocation, the upstream drops
            grants of the shards with lower fences and accepts none of them
            again.
        key: A hot key, or empty for whole shards.
    """

    id: str
    incarnation: int
    keyspace: str
    shards: tuple[int, ...]
    fence: int
    key: str = ""


class UpstreamClient(Protocol):
    """Sends notices to upstreams."""

    async def grant(self, address: str, notice: ShardNotice) -> bool:
        """Announces a prepared grant; returns whether it was accepted."""

    async def revoke(self, address: str, notice: ShardNotice) -> bool:
        """Returns whether the upstream confirmed the revocation."""


class HttpUpstreamClient:
    """Sends notices over HTTP."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def grant(self, address: str, notice: ShardNotice) -> bool:
        """Announces a prepared grant; returns whether it was accepted."""
        return await self._post(address, "grant", notice)

    async def revoke(self, address: str, notice: ShardNotice) -> bool:
        """Returns whether the upstream confirmed the revocation."""
        return await self._post(address, "revoke", notice)

    async def _post(self, address: str, verb: str, notice: ShardNotice) -> bool:
        try:
            async with self._session.post(
                f"http://{address}/bamboosill/{verb}",
                json=notice._asdict(),
                timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
                allow_redirects=False,
            ) as response:
                return response.status == 200
        except (TimeoutError, aiohttp.ClientError, OSError):
            return False
