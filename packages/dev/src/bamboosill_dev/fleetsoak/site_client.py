"""Clients of a site soak: kept, pipelined and new connections.

A client goes on using a connection until a response asks for its close or it
ends, also when the instance is stopping.
"""

import asyncio
import random
import time
from typing import NamedTuple

from bamboosill_dev.fleetsoak import records

BUDGET_S = 2.0
_GIVE_UP_S = BUDGET_S + 1.0
_PIPELINED = 4
_LARGE_BODY_BYTES = 1024 * 1024


class Sending(NamedTuple):
    """One request to send."""

    attempt: str
    path: str
    is_order: bool
    body: bytes = b""


class Connection:
    """A connection to an entry instance."""

    def __init__(self, entry: str, record: records.Record) -> None:
        self._entry = entry
        self._record = record
        self._answered = 0
        self.is_open = False

    async def open(self, address: str, local_host: str = "") -> bool:
        """Opens the connection from an address of this host, if one is given.

        Returns:
            Whether the connection could be opened.
        """
        host, _, port = address.rpartition(":")
        local_address = (local_host, 0) if local_host else None
        try:
            async with asyncio.timeout(1.0):
                self._reader, self._writer = await asyncio.open_connection(
                    host, int(port), local_addr=local_address
                )
        except (OSError, TimeoutError):
            return False
        self.is_open = True
        return True

    def close(self) -> None:
        """Closes the connection."""
        if self.is_open:
            self.is_open = False
            self._writer.close()

    async def send(self, items: list[Sending]) -> None:
        """Sends requests without waiting, and records what becomes of them."""
        sent_s = []
        is_kept = self._answered > 0
        for each in items:
            self._writer.write(_format(each))
            sent_s.append(time.monotonic())
        done = 0
        status = records.CLOSED
        try:
            async with asyncio.timeout(_GIVE_UP_S):
                await self._writer.drain()
                while done < len(items) and self.is_open:
                    status, closes = await self._read_response()
                    self._add(items, done, sent_s, status, is_kept)
                    done += 1
                    self._answered += 1
                    if closes:
                        self.close()
                        status = records.CLOSED
        except TimeoutError:
            status = records.GIVEN_UP
        except (OSError, asyncio.IncompleteReadError):
            status = records.CLOSED
        if done < len(items):
            self.close()
        for number in range(done, len(items)):
            self._add(items, number, sent_s, status, is_kept)

    def _add(
        self,
        items: list[Sending],
        number: int,
        sent_s: list[float],
        status: int,
        is_kept: bool,
    ) -> None:
        each = items[number]
        self._record.requests.append(
            records.Request(
                each.attempt,
                "plain",
                each.is_order,
                self._entry,
                sent_s[number],
                time.monotonic(),
                BUDGET_S,
                status,
                is_kept or number > 0,
                number > 0,
            )
        )

    async def _read_response(self) -> tuple[int, bool]:
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first_line, *lines = head.split("\r\n")
        headers = {
            name.lower(): value
            for name, _, value in (
                line.partition(": ") for line in lines if line
            )
        }
        await self._reader.readexactly(int(headers.get("content-length", "0")))
        closes = headers.get("connection", "").lower() == "close"
        return int(first_line.split()[1]), closes


def make_items(rng: random.Random, prefix: str) -> list[Sending]:
    """Returns the next requests of a client: one, or several pipelined."""
    choice = rng.random()
    if choice < 0.25:
        return [
            Sending(f"{prefix}.{number}", "/look/x", False)
            for number in range(_PIPELINED)
        ]
    if choice < 0.27:
        return [Sending(prefix, "/look/large", False)]
    if choice < 0.29:
        return [Sending(prefix, "/order/x", True, b"a" * _LARGE_BODY_BYTES)]
    if choice < 0.5:
        return [Sending(prefix, "/order/x", True, b"{}")]
    return [Sending(prefix, f"/look/{rng.randrange(256):x}", False)]


def _format(item: Sending) -> bytes:
    method = "POST" if item.is_order else "GET"
    length = f"Content-Length: {len(item.body)}\r\n" if item.is_order else ""
    head = (
        f"{method} {item.path} HTTP/1.1\r\nHost: h\r\n"
        f"Attempt-Id: {item.attempt}\r\n"
        f"Deadline-Ms: {BUDGET_S * 1000:.0f}\r\n{length}\r\n"
    )
    return head.encode() + item.body
