"""Runs one job of the benchmark and summarizes its figures."""

import gc
from typing import Any
from typing import NamedTuple

from bamboosill_dev.bench import deployments
from bamboosill_dev.bench import engine
from bamboosill_dev.bench import measures
from bamboosill_dev.bench import scenarios
from bamboosill_dev.bench import trace


class Job(NamedTuple):
    """Parameters of one run.

    Attributes:
        deployment: Name of the deployment.
        scenario: Name of the scenario.
        policy: Name of the placement policy.
        seed: Seed of the trace and of the entry instances.
        placement_only: Whether to run no requests.
    """

    deployment: str
    scenario: str
    policy: str
    seed: int
    placement_only: bool


def run(job: Job) -> dict[str, Any]:
    """Runs one job and returns its figures."""
    # Garbage collection costs time and frees little: a run creates many
    # short-lived objects but few reference cycles.
    gc.disable()
    deployment = deployments.DEPLOYMENTS[job.deployment]
    request_trace = trace.make_trace(deployment, job.scenario, job.seed)
    simulation = engine.Simulation(
        deployment, request_trace, job.policy, job.seed, job.placement_only
    )
    event_end_times: list[float] = []

    def start_event() -> None:
        for item in simulation.placements:
            item.reset_counters()
        event_end_times.append(
            scenarios.SCENARIOS[job.scenario].start(simulation)
        )

    simulation.scheduler.call_later(trace.EVENT_S, start_event)
    simulation.run(trace.END_S)
    summary = _summarize(job, simulation, event_end_times[0])
    gc.enable()
    return summary


def _summarize(
    job: Job, simulation: engine.Simulation, event_end_s: float
) -> dict[str, Any]:
    services = {}
    total_keys = moved = least = 0
    down_key_s = 0.0
    worst_imbalance_p99 = 1.0
    for index, service in enumerate(simulation.deployment.services):
        placement = simulation.placements[index]
        key_count = len(placement.keyspace.hot_key_names)
        for unit in placement.list_units():
            if unit.down_since_s is not None:
                placement.finish_move(unit, trace.END_S)
        imbalance = simulation.measurements.summarize_imbalance(
            service.name, event_end_s, trace.END_S
        )
        services[service.name] = {
            "imbalance": imbalance,
            "moved_keys": placement.moved_keys,
            "moves": placement.moves,
            "least_keys": placement.least_keys,
            "churn": round(placement.moved_keys / key_count, 5),
            "down_key_s": round(placement.down_key_s, 1),
            "longest_down_s": round(placement.longest_down_s, 2),
        }
        total_keys += key_count
        moved += placement.moved_keys
        least += placement.least_keys
        down_key_s += placement.down_key_s
        worst_imbalance_p99 = max(worst_imbalance_p99, imbalance["p99"])
    churn = moved / total_keys
    churn_ratio = moved / least if least else (None if moved else 1.0)
    return {
        **job._asdict(),
        "services": services,
        "churn": round(churn, 5),
        "churn_ratio": None if churn_ratio is None else round(churn_ratio, 3),
        "moved_keys": moved,
        "least_keys": least,
        "down_key_s": round(down_key_s, 1),
        "imbalance_p99": worst_imbalance_p99,
        "latency_s": simulation.measurements.summarize_latency(),
        "refusals": simulation.measurements.summarize_refusals(),
        "score": measures.compute_score(
            simulation.deployment.weights,
            down_key_s / total_keys,
            churn,
            worst_imbalance_p99,
        ),
    }
