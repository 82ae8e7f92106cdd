"""One load process: sends requests to one address for a bounded time.

It reads its `Plan` as JSON from its argument and writes a `Sample` as JSON.
"""

import asyncio
from collections.abc import Sequence
import json
import re
import sys
import time
from typing import NamedTuple

from bamboosill_common import settings

_LENGTH = re.compile(rb"\r\ncontent-length: (\d+)", re.IGNORECASE)
_OK = b"HTTP/1.1 200"
_HANG_GUARD_S = 10.0


class Plan(NamedTuple):
    """What a load process does.

    Attributes:
        address: Where it sends to.
        head: Header lines of each request, each with its line end.
        connections: Requests at a time.
        rate_per_s: Requests begun per second and connection, 0 for a closed
            loop.
        seconds: Time after which no request is begun.
        most: Most requests of each connection.
        key_base: First key; each request takes the next one.
        keys: Number of keys.
    """

    address: str
    head: str
    connections: int
    rate_per_s: float
    seconds: float
    most: int
    key_base: int = 0
    keys: int = 1000


class Sample(NamedTuple):
    """What a load process saw.

    Attributes:
        answered: Answers with status 200.
        others: Other answers.
        seconds: Time from the first request to the last answer.
        latencies_ms: Time of each answer with status 200.
    """

    answered: int
    others: int
    seconds: float
    latencies_ms: Sequence[float]


class _Load:
    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._latencies_ms: list[float] = []
        self._others = 0
        self._sent = 0

    async def run(self) -> Sample:
        begun_s = time.monotonic()
        await asyncio.gather(
            *(self._send(begun_s) for _ in range(self._plan.connections))
        )
        return Sample(
            len(self._latencies_ms),
            self._others,
            time.monotonic() - begun_s,
            self._latencies_ms,
        )

    async def _send(self, begun_s: float) -> None:
        plan = self._plan
        host, port = settings.split_address(plan.address)
        reader, writer = await asyncio.open_connection(host, port)
        until = begun_s + plan.seconds
        for number in range(plan.most):
            if plan.rate_per_s:
                due_s = begun_s + number / plan.rate_per_s
                await asyncio.sleep(due_s - time.monotonic())
            sent_s = time.monotonic()
            if sent_s >= until:
                break
            async with asyncio.timeout(_HANG_GUARD_S):
                good = await self._exchange(reader, writer)
            if good:
                elapsed_s = time.monotonic() - sent_s
                self._latencies_ms.append(elapsed_s * 1000)
            else:
                self._others += 1
        writer.close()

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        plan = self._plan
        self._sent += 1
        key = plan.key_base + self._sent % plan.keys
        writer.write(
            f"GET /shopfront/items HTTP/1.1\r\nHost: {plan.address}\r\n"
            f"{plan.head}Bamboosill-Key: key-{key}\r\n\r\n".encode()
        )
        head = await reader.readuntil(b"\r\n\r\n")
        found = _LENGTH.search(head)
        if found is None:
            raise ValueError(f"answer without length: {head!r}")
        await reader.readexactly(int(found[1]))
        return head.startswith(_OK)


def main() -> None:
    """Entry point of `python -m bamboosill_dev.load.worker PLAN`."""
    plan = Plan(**json.loads(sys.argv[1]))
    sample = asyncio.run(_Load(plan).run())
    json.dump(sample._asdict(), sys.stdout)


if __name__ == "__main__":
    main()
