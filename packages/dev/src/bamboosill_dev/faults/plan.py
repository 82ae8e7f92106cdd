"""Seeded plans of faults."""

import random
from typing import NamedTuple

KINDS = (
    "kill_upstream",
    "stop_upstream",
    "pause_upstream",
    "kill_entry",
    "pause_entry",
    "kill_control",
    "pause_control",
    "cut_zone",
    "silence_connections",
    "drop_connections",
)
_GAP_S = (3.0, 5.0)
_LENGTH_S = (1.0, 4.0)
FAULTS_PER_RUN = 5
WARM_UP_S = 2.0
COOL_DOWN_S = 6.0


class Fault(NamedTuple):
    """One fault.

    Attributes:
        kind: One of KINDS.
        begin_s: Seconds after the start of the load.
        length_s: Seconds until it is repaired.
        choice: Number that picks the process or zone.
    """

    kind: str
    begin_s: float
    length_s: float
    choice: int


class Plan(NamedTuple):
    """The faults of one run, and the length of the load in seconds."""

    faults: tuple[Fault, ...]
    load_s: float


def make_plan(seed: int) -> Plan:
    """Returns the plan of a seed; the last two faults overlap."""
    rng = random.Random(seed)
    kinds = rng.sample(KINDS, FAULTS_PER_RUN)
    faults = []
    at_s = WARM_UP_S
    for index, kind in enumerate(kinds):
        length_s = round(rng.uniform(*_LENGTH_S), 3)
        faults.append(
            Fault(kind, round(at_s, 3), length_s, rng.getrandbits(16))
        )
        if index == FAULTS_PER_RUN - 2:
            at_s += length_s / 2
        else:
            at_s += length_s + rng.uniform(*_GAP_S)
    end_s = max(fault.begin_s + fault.length_s for fault in faults)
    return Plan(tuple(faults), round(end_s + COOL_DOWN_S, 3))
