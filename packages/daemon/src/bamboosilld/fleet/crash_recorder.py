"""Commits the crashes of upstreams that entry instances report.

After one crash, many instances report at about the same time. Reports that
arrive while a command is being committed share the next one.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from bamboosill_common import clock as clock_lib
from bamboosill_common import errors
from bamboosill_common.generated import fleet as messages

# Reports of one command; others wait for the next one.
_MAX_BATCH = 256


class CrashRecorder:
    """Collects reported crashes and commits them in batches."""

    def __init__(
        self,
        commit: Callable[[object], Awaitable[None]],
        clock: clock_lib.Clock,
    ) -> None:
        self._commit = commit
        self._clock = clock
        self._waiting: list[
            tuple[messages.UpstreamCrash, asyncio.Future[None]]
        ] = []
        self._task: asyncio.Task[None] | None = None

    async def record(self, crash: messages.UpstreamCrash) -> None:
        """Returns once the crash is committed.

        Raises:
            errors.HandlerError: It was not committed in time.
        """
        future: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        crash = crash._replace(at_ms=self._clock.wall_ms())
        self._waiting.append((crash, future))
        if self._task is None:
            self._task = asyncio.create_task(self._commit_waiting())
        await future

    async def _commit_waiting(self) -> None:
        try:
            while self._waiting:
                batch = self._waiting[:_MAX_BATCH]
                del self._waiting[:_MAX_BATCH]
                await self._commit_batch(batch)
        finally:
            self._task = None

    async def _commit_batch(
        self,
        batch: list[tuple[messages.UpstreamCrash, asyncio.Future[None]]],
    ) -> None:
        error: Exception | None = None
        try:
            await self._commit(
                messages.RecordCrashes(tuple(crash for crash, _ in batch))
            )
        except errors.HandlerError as handler_error:
            error = handler_error
        for _, future in batch:
            if future.done():
                continue
            if error is None:
                future.set_result(None)
            else:
                future.set_exception(error)
