"""Schedules of faults, derived from a seed."""

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
_INTERVAL_RANGE_S = (3.0, 5.0)
_DURATION_RANGE_S = (1.0, 4.0)
FAULTS_PER_RUN = 5
WARM_UP_S = 2.0
COOL_DOWN_S = 6.0


class Fault(NamedTuple):
    """One fault.

    Attributes:
        kind: One of KINDS.
        begin_s: Seconds after the start of the load.
        duration_s: Seconds from its injection to its repair.
        selector: Number that selects the process or zone.
    """

    kind: str
    begin_s: float
    duration_s: float
    selector: int


class Plan(NamedTuple):
    """The faults of one run, and the duration of the load in seconds."""

    faults: tuple[Fault, ...]
    load_s: float


def make_plan(seed: int) -> Plan:
    """Returns the plan of a seed; the last two faults overlap."""
    rng = random.Random(seed)
    kinds = rng.sample(KINDS, FAULTS_PER_RUN)
    faults = []
    begin_s = WARM_UP_S
    for index, kind in enumerate(kinds):
        duration_s = round(rng.uniform(*_DURATION_RANGE_S), 3)
        faults.append(
            Fault(kind, round(begin_s, 3), duration_s, rng.getrandbits(16))
        )
        if index == FAULTS_PER_RUN - 2:
            begin_s += duration_s / 2
        else:
            begin_s += duration_s + rng.uniform(*_INTERVAL_RANGE_S)
    end_s = max(fault.begin_s + fault.duration_s for fault in faults)
    return Plan(tuple(faults), round(end_s + COOL_DOWN_S, 3))
