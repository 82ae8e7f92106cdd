"""Commits crashes of upstreams, and answers that clear suspected requests.

After one crash, many instances report it at about the same time, and soon
afterwards that a popular request was answered that was in flight. Reports that
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


_Report = messages.UpstreamCrash | messages.ReportAnswered


class CrashRecorder:
    """Collects what instances report and commits it in batches."""

    def __init__(
        self,
        commit: Callable[[object], Awaitable[None]],
        clock: clock_lib.Clock,
        is_suspected: Callable[[bytes], bool],
    ) -> None:
        """Creates a recorder.

        Args:
            commit: Commits a command.
            clock: Source of the time of crashes.
            is_suspected: Returns whether an answer clears a request.
        """
        self._commit = commit
        self._clock = clock
        self._is_suspected = is_suspected
        self._waiting: list[tuple[_Report, asyncio.Future[None]]] = []
        self._task: asyncio.Task[None] | None = None

    async def record(self, crash: messages.UpstreamCrash) -> None:
        """Returns once the crash is committed.

        Raises:
            errors.HandlerError: It was not committed in time.
        """
        await self._record(crash._replace(at_ms=self._clock.wall_ms()))

    async def record_answered(self, report: messages.ReportAnswered) -> None:
        """Returns once an answered request is not suspected any more.

        Raises:
            errors.HandlerError: That was not committed in time.
        """
        if self._is_suspected(report.fingerprint):
            await self._record(report)

    async def _record(self, report: _Report) -> None:
        future: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting.append((report, future))
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
        self, batch: list[tuple[_Report, asyncio.Future[None]]]
    ) -> None:
        error: Exception | None = None
        command = self._make_command([report for report, _ in batch])
        if command.crashes or command.answered:
            try:
                await self._commit(command)
            except errors.HandlerError as handler_error:
                error = handler_error
        for _, future in batch:
            if future.done():
                continue
            if error is None:
                future.set_result(None)
            else:
                future.set_exception(error)

    def _make_command(self, reports: list[_Report]) -> messages.RecordCrashes:
        crashes = (
            each for each in reports if isinstance(each, messages.UpstreamCrash)
        )
        answered = dict.fromkeys(
            each.fingerprint
            for each in reports
            if isinstance(each, messages.ReportAnswered)
            # The command before may have cleared it.
            and self._is_suspected(each.fingerprint)
        )
        return messages.RecordCrashes(tuple(crashes), tuple(answered))
