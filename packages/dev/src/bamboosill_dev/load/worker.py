"""Load generator process: sends requests to one address for a bounded time.

It takes its `Plan` as a JSON argument and writes its `Sample` as JSON to the
standard output.
"""

import asyncio
from collections.abc import Sequence
import json
import re
import sys
import time
from typing import NamedTuple

from bamboosill_common import settings

_CONTENT_LENGTH = re.compile(rb"\r\ncontent-length: (\d+)", re.IGNORECASE)
_OK_STATUS_LINE = b"HTTP/1.1 200"
_EXCHANGE_TIMEOUT_S = 10.0


class Plan(NamedTuple):
    """Parameters of a load process.

    Attributes:
        address: Host and port that it sends requests to.
        head: Header lines of each request, each ending in CRLF.
        connections: Number of connections, each with one request at a time.
        rate_per_s: Requests per second on each connection; 0 sends the next
            request as soon as the response has arrived (closed loop).
        seconds: Time after which no further request is sent.
        most: Maximum number of requests on each connection.
        key_base: Number of the first key; each request takes the next one.
        keys: Number of keys, after which the first one is used again.
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
    """Results of a load process.

    Attributes:
        answered: Responses with status 200.
        others: Responses with another status.
        seconds: Time from the first request to the last response.
        latencies_ms: Latency of each response with status 200.
    """

    answered: int
    others: int
    seconds: float
    latencies_ms: Sequence[float]


class _LoadGenerator:
    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._latencies_ms: list[float] = []
        self._other_count = 0
        self._sent_count = 0

    async def run(self) -> Sample:
        started_s = time.monotonic()
        await asyncio.gather(
            *(
                self._send_requests(started_s)
                for _ in range(self._plan.connections)
            )
        )
        return Sample(
            len(self._latencies_ms),
            self._other_count,
            time.monotonic() - started_s,
            self._latencies_ms,
        )

    async def _send_requests(self, started_s: float) -> None:
        plan = self._plan
        host, port = settings.split_address(plan.address)
        reader, writer = await asyncio.open_connection(host, port)
        end_s = started_s + plan.seconds
        for request_index in range(plan.most):
            if plan.rate_per_s:
                due_s = started_s + request_index / plan.rate_per_s
                await asyncio.sleep(due_s - time.monotonic())
            sent_s = time.monotonic()
            if sent_s >= end_s:
                break
            async with asyncio.timeout(_EXCHANGE_TIMEOUT_S):
                is_ok = await self._exchange(reader, writer)
            if is_ok:
                elapsed_s = time.monotonic() - sent_s
                self._latencies_ms.append(elapsed_s * 1000)
            else:
                self._other_count += 1
        writer.close()

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        plan = self._plan
        self._sent_count += 1
        key = plan.key_base + self._sent_count % plan.keys
        writer.write(
            f"GET /shopfront/items HTTP/1.1\r\nHost: {plan.address}\r\n"
            f"{plan.head}Bamboosill-Key: key-{key}\r\n\r\n".encode()
        )
        response_head = await reader.readuntil(b"\r\n\r\n")
        length_match = _CONTENT_LENGTH.search(response_head)
        if length_match is None:
            raise ValueError(
                f"response has no Content-Length header: {response_head!r}"
            )
        await reader.readexactly(int(length_match[1]))
        return response_head.startswith(_OK_STATUS_LINE)


def main() -> None:
    """Entry point of `python -m bamboosill_dev.load.worker PLAN`."""
    plan = Plan(**json.loads(sys.argv[1]))
    sample = asyncio.run(_LoadGenerator(plan).run())
    json.dump(sample._asdict(), sys.stdout)


if __name__ == "__main__":
    main()
