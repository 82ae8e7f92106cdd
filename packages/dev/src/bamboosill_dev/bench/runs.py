"""One run of the bench and its figures."""

import gc
from typing import Any
from typing import NamedTuple

from bamboosill_dev.bench import deployments
from bamboosill_dev.bench import engine
from bamboosill_dev.bench import measures
from bamboosill_dev.bench import scenarios
from bamboosill_dev.bench import trace


class Job(NamedTuple):
    """What one run does."""

    deployment: str
    scenario: str
    policy: str
    seed: int
    placement_only: bool


def run(job: Job) -> dict[str, Any]:
    """Runs one job and returns its figures."""
    # A run creates many short-lived objects and few cycles.
    gc.disable()
    deployment = deployments.DEPLOYMENTS[job.deployment]
    recorded = trace.make_trace(deployment, job.scenario, job.seed)
    driven = engine.Engine(
        deployment, recorded, job.policy, job.seed, job.placement_only
    )
    ended: list[float] = []

    def begin() -> None:
        for item in driven.places:
            item.reset()
        ended.append(scenarios.SCENARIOS[job.scenario].start(driven))

    driven.heap.call_later(trace.EVENT_S, begin)
    driven.run(trace.END_S)
    summary = _summarize(job, driven, ended[0])
    gc.enable()
    return summary


def _summarize(
    job: Job, driven: engine.Engine, event_s: float
) -> dict[str, Any]:
    services = {}
    total_keys = moved = least = 0
    down_key_s = 0.0
    worst = 1.0
    for index, service in enumerate(driven.deployment.services):
        owned = driven.places[index]
        count = len(owned.all_keys.names)
        for place in owned.list_all():
            if place.down_since_s is not None:
                owned.finish(place, trace.END_S)
        imbalance = driven.measures.summarize_imbalance(
            service.name, event_s, trace.END_S
        )
        services[service.name] = {
            "imbalance": imbalance,
            "moved_keys": owned.moved_keys,
            "moves": owned.moves,
            "least_keys": owned.least_keys,
            "churn": round(owned.moved_keys / count, 5),
            "down_key_s": round(owned.down_key_s, 1),
            "longest_down_s": round(owned.longest_down_s, 2),
        }
        total_keys += count
        moved += owned.moved_keys
        least += owned.least_keys
        down_key_s += owned.down_key_s
        worst = max(worst, imbalance["p99"])
    churn = moved / total_keys
    ratio = moved / least if least else (None if moved else 1.0)
    return {
        **job._asdict(),
        "services": services,
        "churn": round(churn, 5),
        "churn_ratio": None if ratio is None else round(ratio, 3),
        "moved_keys": moved,
        "least_keys": least,
        "down_key_s": round(down_key_s, 1),
        "imbalance_p99": worst,
        "latency_s": driven.measures.summarize_latency(),
        "refusals": driven.measures.summarize_refusals(),
        "score": measures.compute_score(
            driven.deployment.weights,
            down_key_s / total_keys,
            churn,
            worst,
        ),
    }
