"""Command `python -m bamboosill_dev.slopes`: slopes for docs/CAPACITY.md."""

import argparse
import gc
import json
import statistics
import sys
import time
import tracemalloc
from typing import Any
from typing import NamedTuple

import tabulate

from bamboosill_common import wire
from bamboosill_dev.slopes import fleet as _fleet  # noqa: F401
from bamboosill_dev.slopes import subjects

# The last slope over the first; above it growth is worse than linear.
_LINEAR_RATIO = 1.3
_REPEATS = 5


class Slope(NamedTuple):
    """Growth of one quantity with the number of things.

    Attributes:
        name: Thing that is counted.
        quantity: What grows, with its unit.
        per_thing: Slope over the whole range.
        ratio: Slope of the upper half over that of the lower half.
    """

    name: str
    quantity: str
    per_thing: float
    ratio: float

    @property
    def is_linear(self) -> bool:
        """Whether growth is at most linear within the noise."""
        return self.ratio <= _LINEAR_RATIO


def compute_slope(
    name: str, quantity: str, sizes: tuple[int, ...], values: list[float]
) -> Slope:
    """Returns the slope through three measured points."""
    lower = (values[1] - values[0]) / (sizes[1] - sizes[0])
    upper = (values[2] - values[1]) / (sizes[2] - sizes[1])
    whole = (values[2] - values[0]) / (sizes[2] - sizes[0])
    return Slope(name, quantity, whole, upper / lower if lower > 0 else 1.0)


def _apply(machine: Any, commands: list[bytes], first: int) -> None:
    for index, command in enumerate(commands, first):
        machine.apply(index, command)


def _measure_memory(subject: subjects.StateSubject, size: int) -> float:
    machine = subject.machine()
    prepared = subject.prepare(size)
    _apply(machine, prepared, 1)
    commands = subject.commands(size)
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    _apply(machine, commands, len(prepared) + 1)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return float(after - before)


def _measure_times(
    subject: subjects.StateSubject, size: int
) -> dict[str, float]:
    runs: dict[str, list[float]] = {}
    for _ in range(_REPEATS):
        machine = subject.machine()
        prepared = subject.prepare(size)
        _apply(machine, prepared, 1)
        commands = subject.commands(size)
        begun_s = time.process_time()
        _apply(machine, commands, len(prepared) + 1)
        applied_s = time.process_time()
        snapshot = machine.snapshot()
        taken_s = time.process_time()
        subject.machine().restore(snapshot)
        restored_s = time.process_time()
        figures = {
            "apply us": (applied_s - begun_s) * 1e6,
            "snapshot us": (taken_s - applied_s) * 1e6,
            "restore us": (restored_s - taken_s) * 1e6,
            "snapshot bytes": float(len(snapshot)),
        }
        for quantity, value in figures.items():
            runs.setdefault(quantity, []).append(value)
    return {name: statistics.median(values) for name, values in runs.items()}


def measure_state(subject: subjects.StateSubject) -> list[Slope]:
    """Returns the slopes of a state machine."""
    memory = [_measure_memory(subject, size) for size in subject.sizes]
    times = [_measure_times(subject, size) for size in subject.sizes]
    columns = {"memory bytes": memory}
    for quantity in times[0]:
        columns[quantity] = [each[quantity] for each in times]
    return [
        compute_slope(subject.name, quantity, subject.sizes, values)
        for quantity, values in columns.items()
    ]


def measure_message(subject: subjects.MessageSubject) -> list[Slope]:
    """Returns the slopes of a message's bytes and processor time."""
    sizes, lengths, times = subject.sizes, [], []
    for size in sizes:
        message = subject.make(size)
        data = wire.encode(message)
        lengths.append(float(len(data)))
        runs = []
        for _ in range(_REPEATS):
            begun_s = time.process_time()
            for _ in range(50):
                wire.decode(type(message), wire.encode(message))
            runs.append((time.process_time() - begun_s) / 50 * 1e6)
        times.append(statistics.median(runs))
    return [
        compute_slope(subject.name, "bytes", sizes, lengths),
        compute_slope(subject.name, "encode and decode us", sizes, times),
    ]


def main() -> int:
    """Measures and prints all slopes."""
    parser = argparse.ArgumentParser(prog="bamboosill_dev.slopes")
    parser.add_argument("--only", default="", help="Part of a subject's name.")
    options = parser.parse_args()
    slopes: list[Slope] = []
    for subject in subjects.STATES:
        if options.only in subject.name:
            slopes += measure_state(subject)
    for message in subjects.MESSAGES:
        if options.only in message.name:
            slopes += measure_message(message)
    rows = [
        (
            each.name,
            each.quantity,
            f"{each.per_thing:.3g}",
            f"{each.ratio:.2f}",
            "" if each.is_linear else "worse than linear",
        )
        for each in slopes
    ]
    titles = ("for each", "quantity", "slope", "upper/lower", "")
    print(tabulate.tabulate(rows, titles))
    print(json.dumps([each._asdict() for each in slopes]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
