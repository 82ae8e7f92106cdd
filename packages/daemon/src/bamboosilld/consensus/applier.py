"""Applies committed entries to the state machine and takes snapshots."""

from bamboosilld.consensus import core as core_lib
from bamboosilld.consensus import interfaces

# Largest number of entries applied before control returns to the event loop.
_MAX_BATCH_ENTRIES = 256


class Applier:
    """The task that applies a member's committed entries."""

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
                self._apply_batch()
            except Exception as error:
                # Skipping or repeating a command would make this member's state
                # diverge from the others, so the member stops.
                core_lib.log.exception("State machine failed.")
                core.fail(f"state machine failed: {error!r}")
                return
            self._take_snapshot_if_due()
            core.changed.notify()
            await core.context.clock.sleep(0)

    def _apply_batch(self) -> None:
        core = self._core
        end = min(core.commit_index, core.applied_index + _MAX_BATCH_ENTRIES)
        while core.applied_index < end:
            entry = core.log.get_entry(core.applied_index + 1)
            value: object = None
            if entry.kind == "command":
                value = core.context.machine.apply(entry.index, entry.data)
            core.applied_index = entry.index
            core.resolve_proposal(entry.index, entry.term, value)

    def _take_snapshot_if_due(self) -> None:
        core = self._core
        snapshot_index = (
            core.log.snapshot.last_index if core.log.snapshot else 0
        )
        if core.applied_index - snapshot_index < core.config.snapshot_entries:
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
