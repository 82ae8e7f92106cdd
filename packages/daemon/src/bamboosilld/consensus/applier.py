"""Applies committed entries to the state machine and takes snapshots."""

from bamboosilld.consensus import core as core_lib
from bamboosilld.consensus import interfaces

# Entries applied before other tasks run again.
_MAX_RUN = 256


class Applier:
    """The task that applies the log of a member."""

    def __init__(self, core: core_lib.Core) -> None:
        self._core = core

    async def run(self) -> None:
        """Applies entries as they are committed."""
        core = self._core
        while not core.failure:
            if core.applied_index >= core.commit_index:
                await core.changed.wait()
                continue
            try:
                self._apply_some()
            except Exception as error:
                # Members that skip or repeat a command would differ from
                # the others, so the member stops instead.
                core_lib.log.exception("State machine failed.")
                core.fail(f"state machine failed: {error!r}")
                return
            self._compact()
            core.changed.notify()
            await core.context.clock.sleep(0)

    def _apply_some(self) -> None:
        core = self._core
        end = min(core.commit_index, core.applied_index + _MAX_RUN)
        while core.applied_index < end:
            entry = core.log.get_entry(core.applied_index + 1)
            value: object = None
            if entry.kind == "command":
                value = core.context.machine.apply(entry.index, entry.data)
            core.applied_index = entry.index
            core.finish_proposal(entry.index, entry.term, value)

    def _compact(self) -> None:
        core = self._core
        last = core.log.snapshot.last_index if core.log.snapshot else 0
        if core.applied_index - last < core.config.snapshot_entries:
            return
        index = core.applied_index
        term = core.log.get_term(index)
        assert term is not None
        snapshot = interfaces.Snapshot(
            index,
            term,
            core.log.get_membership(index),
            core.context.machine.snapshot(),
        )
        core.log.compact(snapshot, index - core.config.trailing_entries)
        core.journal.put([snapshot])
        core.record("compacted", index=index)
