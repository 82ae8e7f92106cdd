"""Tests of the durable storage."""

import errno
import pathlib
import random

import hypothesis
from hypothesis import strategies
import pytest

from bamboosill_common.generated import consensus as messages
from bamboosill_dev import memory_files
from bamboosilld.consensus import interfaces
from bamboosilld.storage import disk
from bamboosilld.storage import files as files_lib

FOLDER = pathlib.Path("/data")
IDENTITY = messages.StorageIdentity("g", "a", 1)
SEGMENT_BYTES = 3000


def open_storage(files, identity=IDENTITY, folder=FOLDER):
    return disk.DiskStorage(folder, identity, files, SEGMENT_BYTES, False)


def make_entry(index, term, size=100):
    data = random.Random(index * 1000 + term).randbytes(size)
    return messages.LogEntry(index, term, "command", data)


class ExpectedState:
    """The state that a storage must hold after the acknowledged steps."""

    def __init__(self):
        self.hard_state = messages.HardState()
        self.snapshot = None
        self.entries = []

    def copy(self):
        other = ExpectedState()
        other.hard_state = self.hard_state
        other.snapshot = self.snapshot
        other.entries = list(self.entries)
        return other

    def apply(self, step):
        if isinstance(step, interfaces.Snapshot):
            terms = {each.index: each.term for each in self.entries}
            matches = terms.get(step.last_index) == step.last_term
            self.snapshot = step
            self.entries = [
                each
                for each in self.entries
                if matches and each.index > step.last_index
            ]
            return
        hard_state, entries = step
        self.hard_state = hard_state or self.hard_state
        for entry in entries:
            self.entries = [
                each for each in self.entries if each.index < entry.index
            ]
            self.entries.append(entry)

    def get_content(self):
        return self.hard_state, self.snapshot, self.entries


def make_steps():
    """Returns a sequence with all kinds of steps."""
    steps = [
        (messages.HardState(1, ""), [make_entry(1, 1)]),
        (messages.HardState(2, "a/1"), []),
    ]
    for index in range(2, 26):
        steps.append((None, [make_entry(index, 2)]))
    # Replaces the end of the log, as a new leader does.
    steps.append(
        (messages.HardState(3, "b/1"), [make_entry(20, 3), make_entry(21, 3)])
    )
    members = messages.Membership((messages.Member("a", 1, "a:1", True),))
    steps.append(interfaces.Snapshot(15, 2, members, b"s" * 700))
    steps.append((None, [make_entry(22, 3, 2000), make_entry(23, 3, 2000)]))
    # A leader's snapshot beyond the end of the log.
    steps.append(interfaces.Snapshot(40, 4, members, b""))
    steps.append((messages.HardState(4, ""), [make_entry(41, 4)]))
    for index in range(42, 60):
        steps.append((None, [make_entry(index, 4)]))
    return steps


async def run_step(storage, step):
    if isinstance(step, interfaces.Snapshot):
        await storage.save_snapshot(step)
    else:
        await storage.write(*step)


async def run_steps(files, steps):
    """Returns the states that the storage may hold after the steps.

    If a step failed, these are the states before and after that step.
    """
    expected = ExpectedState()
    try:
        storage = open_storage(files)
        await storage.load()
        for step in steps:
            after = expected.copy()
            after.apply(step)
            await run_step(storage, step)
            expected = after
    except interfaces.StorageError:
        return [expected, locals().get("after", expected)]
    return [expected]


async def load_content(files):
    stored = await open_storage(files).load()
    return stored.hard_state, stored.snapshot, list(stored.entries)


async def test_content_survives_restart():
    """Guards against a step that is lost or changed by a restart."""
    files = memory_files.MemoryFiles(random.Random(1))
    [expected] = await run_steps(files, make_steps())
    assert await load_content(files) == expected.get_content()


async def test_system_files(tmp_path):
    """Guards against faults in the access to real files."""
    storage = disk.DiskStorage(tmp_path / "data", IDENTITY, None, SEGMENT_BYTES)
    await storage.load()
    expected = ExpectedState()
    for step in make_steps():
        await run_step(storage, step)
        expected.apply(step)
    other = disk.DiskStorage(tmp_path / "data", IDENTITY)
    with pytest.raises(interfaces.StorageError):
        await other.load()
    await other.close()
    await storage.close()
    storage = disk.DiskStorage(tmp_path / "data", IDENTITY)
    stored = await storage.load()
    await storage.close()
    assert (
        stored.hard_state,
        stored.snapshot,
        list(stored.entries),
    ) == expected.get_content()


@pytest.mark.parametrize("torn", [False, True])
async def test_failure_and_crash_at_each_operation(torn):
    """Guards against synced data lost by a crash or a failed write."""
    steps = make_steps()
    files = memory_files.MemoryFiles(random.Random(1))
    await run_steps(files, steps)
    total = files.operations
    assert total > 150
    for fail_at in range(total):
        files = memory_files.MemoryFiles(random.Random(fail_at))
        files.fail_at, files.fail_torn = fail_at, torn
        candidates = await run_steps(files, steps)
        files.crash()
        content = await load_content(files)
        assert content in [each.get_content() for each in candidates], fail_at
        # A second crash during recovery must not lose anything either.
        assert await load_content(files) == content


@pytest.mark.parametrize("torn", [False, True])
async def test_crash_during_recovery(torn):
    """Guards against recovery that loses data when it is interrupted."""
    steps = make_steps()
    for first_operation in range(20, 150, 7):
        for second_operation in range(8):
            files = memory_files.MemoryFiles(random.Random(first_operation))
            files.fail_at, files.fail_torn = first_operation, True
            candidates = await run_steps(files, steps)
            files.crash()
            files.fail_at, files.fail_torn = (
                files.operations + second_operation,
                torn,
            )
            try:
                await load_content(files)
            except interfaces.StorageError:
                pass
            files.crash()
            content = await load_content(files)
            assert content in [each.get_content() for each in candidates]


async def test_no_work_after_failure():
    """Guards against retrying a sync that failed."""
    files = memory_files.MemoryFiles(random.Random(1))
    storage = open_storage(files)
    await storage.load()
    files.fail_at = files.operations + 1
    for _ in range(2):
        with pytest.raises(interfaces.StorageError):
            await storage.write(None, [make_entry(1, 1)])
    assert files.operations == files.fail_at + 1


async def test_full_disk():
    """Guards against acknowledging a write that did not fit on the disk."""
    files = memory_files.MemoryFiles(random.Random(1))
    files.space_bytes = 3 * SEGMENT_BYTES
    candidates = await run_steps(files, make_steps())
    assert len(candidates) == 2
    files.crash()
    assert await load_content(files) in [
        each.get_content() for each in candidates
    ]


@pytest.mark.parametrize(
    "identity",
    [
        IDENTITY._replace(instance="b"),
        IDENTITY._replace(group="h"),
        IDENTITY._replace(incarnation=2),
    ],
)
async def test_folder_of_another_member(identity):
    """Guards against a member that uses another member's state."""
    files = memory_files.MemoryFiles(random.Random(1))
    await run_steps(files, make_steps())
    with pytest.raises(interfaces.StorageError, match="folder of"):
        await open_storage(files, identity).load()


async def test_torn_tail_does_not_return():
    """Guards against bytes of a torn record that look valid later."""
    files = memory_files.MemoryFiles(random.Random(1))
    storage = open_storage(files)
    await storage.load()
    await storage.write(None, [make_entry(1, 1)])
    path = FOLDER / "log-000000000001"
    before = files.get_data(path)
    await storage.write(None, [make_entry(2, 1)])
    after = files.get_data(path)
    changed = [
        offset
        for offset in range(len(after))
        if before[offset] != after[offset]
    ]
    # Simulates a torn write: the record's first byte and marker are missing.
    torn = bytearray(after)
    torn[changed[0]] = 0
    torn[changed[-1] - 30 :] = bytes(len(torn) - changed[-1] + 30)
    files.set_data(path, bytes(torn))
    storage = open_storage(files)
    stored = await storage.load()
    assert list(stored.entries) == [make_entry(1, 1)]
    await storage.write(None, [make_entry(2, 2, 10)])
    stored = await open_storage(files).load()
    assert list(stored.entries) == [make_entry(1, 1), make_entry(2, 2, 10)]


def list_states(steps):
    """Returns the expected state after each step."""
    expected = ExpectedState()
    contents = []
    for step in steps:
        expected.apply(step)
        contents.append(expected.get_content())
    return contents


@hypothesis.settings(max_examples=600)
@hypothesis.given(
    step_count=strategies.integers(4, len(make_steps())),
    file_number=strategies.integers(0, 100),
    position=strategies.floats(0, 1, exclude_max=True),
    flipped_bits=strategies.integers(0, 255),
)
async def test_damaged_files(step_count, file_number, position, flipped_bits):
    """Guards against damage that silently loses synced data.

    If `flipped_bits` is 0, the file is truncated at the position; otherwise
    these bits of the byte there are flipped.
    """
    files = memory_files.MemoryFiles(random.Random(1))
    [expected] = await run_steps(files, make_steps()[:step_count])
    paths = files.list_paths()
    path = paths[file_number % len(paths)]
    data = bytearray(files.get_data(path))
    offset = int(position * len(data))
    if flipped_bits:
        data[offset] ^= flipped_bits
    else:
        del data[offset:]
    files.set_data(path, bytes(data))
    try:
        content = await load_content(files)
    except interfaces.StorageError as error:
        name = path.name
        assert name in str(error) or "folder of" in str(error)
        assert "offset" in str(error) or "missing" in str(error)
        return
    assert content == expected.get_content()


class _FullFiles(files_lib.SystemFiles):
    """Real files on a disk that is full: writes end half way, or fail."""

    is_full = False
    is_torn = False

    def write_at(self, path, offset, data):
        if not _FullFiles.is_full:
            return super().write_at(path, offset, data)
        if _FullFiles.is_torn:
            super().write_at(path, offset, data[: len(data) // 2])
        raise OSError(errno.ENOSPC, "no space left on device")


@pytest.mark.parametrize("is_torn", [True, False])
@pytest.mark.parametrize("step", ["entries", "snapshot"])
@pytest.mark.parametrize("attempts", [1, 3])
async def test_a_folder_opens_again_once_its_disk_has_room(
    tmp_path, monkeypatch, is_torn, step, attempts
):
    """Guards against a member that is lost for good after its disk was full.

    To open the folder again, what was half written must be overwritten, which
    fails as long as the disk is full.
    """
    monkeypatch.setattr(_FullFiles, "is_full", False)
    monkeypatch.setattr(_FullFiles, "is_torn", is_torn)
    storage = open_storage(_FullFiles(), folder=tmp_path)
    await storage.load()
    await storage.write(messages.HardState(1, ""), [make_entry(1, 1)])
    _FullFiles.is_full = True
    with pytest.raises(interfaces.StorageError):
        if step == "entries":
            await storage.write(None, [make_entry(2, 1)])
        else:
            await storage.save_snapshot(
                interfaces.Snapshot(1, 1, messages.Membership(), b"s" * 700)
            )
    await storage.close()
    for _ in range(attempts):
        storage = open_storage(_FullFiles(), folder=tmp_path)
        try:
            await storage.load()
            await storage.close()
        except interfaces.StorageError as error:
            assert "no space left" in str(error)
    _FullFiles.is_full = False
    storage = open_storage(_FullFiles(), folder=tmp_path)
    stored = await storage.load()
    assert [each.index for each in stored.entries][:1] == [1]
    await storage.close()
