"""Prints the slopes for docs/CAPACITY.md: `python -m bamboosill_dev.slopes`.

Each subject is measured at three sizes. The ratio of the upper slope to the
lower one shows whether a quantity grows faster than linearly.
"""

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

# Registers the subjects of a fleet when it is imported.
from bamboosill_dev.slopes import fleet as _fleet  # noqa: F401
from bamboosill_dev.slopes import subjects

# Upper slope over lower slope, above which growth counts as worse than linear;
# the margin over 1 allows for noise.
_MAX_LINEAR_RATIO = 1.3
_RUNS_PER_SIZE = 5


class Slope(NamedTuple):
    """Growth of one quantity with the number of items.

    Attributes:
        name: Item that is counted.
        quantity: Quantity that grows, with its unit.
        per_thing: Growth per item, over the whole range.
        ratio: Slope of the upper half over that of the lower half.
    """

    name: str
    quantity: str
    per_thing: float
    ratio: float

    @property
    def is_linear(self) -> bool:
        """Whether growth is at most linear, within the noise."""
        return self.ratio <= _MAX_LINEAR_RATIO


def compute_slope(
    name: str, quantity: str, sizes: tuple[int, ...], values: list[float]
) -> Slope:
    """Returns the slope of the values at three sizes."""
    lower = (values[1] - values[0]) / (sizes[1] - sizes[0])
    upper = (values[2] - values[1]) / (sizes[2] - sizes[1])
    overall = (values[2] - values[0]) / (sizes[2] - sizes[0])
    return Slope(name, quantity, overall, upper / lower if lower > 0 else 1.0)


def _apply_commands(
    machine: Any, commands: list[bytes], first_index: int
) -> None:
    for index, command in enumerate(commands, first_index):
        machine.apply(index, command)


def _measure_memory(subject: subjects.StateSubject, size: int) -> float:
    machine = subject.make_machine()
    setup = subject.make_setup(size)
    _apply_commands(machine, setup, 1)
    commands = subject.make_commands(size)
    gc.collect()
    tracemalloc.start()
    before_bytes, _ = tracemalloc.get_traced_memory()
    _apply_commands(machine, commands, len(setup) + 1)
    gc.collect()
    after_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return float(after_bytes - before_bytes)


def _measure_times(
    subject: subjects.StateSubject, size: int
) -> dict[str, float]:
    values_by_quantity: dict[str, list[float]] = {}
    for _ in range(_RUNS_PER_SIZE):
        machine = subject.make_machine()
        setup = subject.make_setup(size)
        _apply_commands(machine, setup, 1)
        commands = subject.make_commands(size)
        started_s = time.process_time()
        _apply_commands(machine, commands, len(setup) + 1)
        applied_s = time.process_time()
        snapshot = machine.snapshot()
        snapshot_taken_s = time.process_time()
        subject.make_machine().restore(snapshot)
        restored_s = time.process_time()
        run_values = {
            "apply us": (applied_s - started_s) * 1e6,
            "snapshot us": (snapshot_taken_s - applied_s) * 1e6,
            "restore us": (restored_s - snapshot_taken_s) * 1e6,
            "snapshot bytes": float(len(snapshot)),
        }
        for quantity, value in run_values.items():
            values_by_quantity.setdefault(quantity, []).append(value)
    return {
        name: statistics.median(values)
        for name, values in values_by_quantity.items()
    }


def measure_state(subject: subjects.StateSubject) -> list[Slope]:
    """Returns the slopes of the memory, time and snapshot size of a state."""
    memory_bytes = [_measure_memory(subject, size) for size in subject.sizes]
    medians = [_measure_times(subject, size) for size in subject.sizes]
    series_by_quantity = {"memory bytes": memory_bytes}
    for quantity in medians[0]:
        series_by_quantity[quantity] = [
            size_medians[quantity] for size_medians in medians
        ]
    return [
        compute_slope(subject.name, quantity, subject.sizes, values)
        for quantity, values in series_by_quantity.items()
    ]


def measure_message(subject: subjects.MessageSubject) -> list[Slope]:
    """Returns the slopes of the encoded size and CPU time of a message."""
    sizes, lengths_bytes, medians_us = subject.sizes, [], []
    for size in sizes:
        message = subject.make_message(size)
        encoded = wire.encode(message)
        lengths_bytes.append(float(len(encoded)))
        runs_us = []
        for _ in range(_RUNS_PER_SIZE):
            started_s = time.process_time()
            for _ in range(50):
                wire.decode(type(message), wire.encode(message))
            runs_us.append((time.process_time() - started_s) / 50 * 1e6)
        medians_us.append(statistics.median(runs_us))
    return [
        compute_slope(subject.name, "bytes", sizes, lengths_bytes),
        compute_slope(subject.name, "encode and decode us", sizes, medians_us),
    ]


def main() -> int:
    """Measures the selected subjects and prints a table and a JSON line."""
    parser = argparse.ArgumentParser(prog="bamboosill_dev.slopes")
    parser.add_argument(
        "--only",
        default="",
        help="measure only subjects whose name contains this text",
    )
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
            slope.name,
            slope.quantity,
            f"{slope.per_thing:.3g}",
            f"{slope.ratio:.2f}",
            "" if slope.is_linear else "worse than linear",
        )
        for slope in slopes
    ]
    titles = ("for each", "quantity", "slope", "upper/lower", "")
    print(tabulate.tabulate(rows, titles))
    print(json.dumps([slope._asdict() for slope in slopes]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
