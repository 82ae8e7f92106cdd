"""What is measured in one run."""

from collections.abc import Sequence
from typing import Any
from typing import NamedTuple
from typing import Protocol

import numpy as np

from bamboosill_dev.bench import places
from bamboosill_dev.bench import trace

# Parts of the score: what counts as one unit of each quantity. A second
# without service per key, all keys moved once, and twice the mean load.
SECOND_PER_KEY = 1.0
ALL_KEYS = 1.0
TWICE_MEAN = 1.0


class Request(Protocol):
    """What is recorded of a request."""

    arrived_s: float
    customer: str
    class_: str
    conforming: bool


class _Outcome(NamedTuple):
    at_s: float
    customer: str
    class_: str
    latency_s: float


def _percentile(values: Sequence[float], part: float) -> float:
    return round(float(np.percentile(values, part)), 5) if values else 0.0


class Measures:
    """Samples and outcomes of one run."""

    def __init__(self) -> None:
        self._samples: dict[str, list[tuple[float, float]]] = {}
        self._answers: list[_Outcome] = []
        self._refusals: dict[str, dict[str, int]] = {}
        self._wrong: dict[str, int] = {}
        self._offered: dict[str, int] = {}

    def add_sample(self, service: str, at_s: float, loads: np.ndarray) -> None:
        """Adds the load per slot of all targets at one time."""
        mean = float(loads.mean()) if len(loads) else 0.0
        level = float(loads.max()) / mean if mean > 0 else 1.0
        self._samples.setdefault(service, []).append((at_s, level))

    def add_answer(self, request: Request, now_s: float) -> None:
        """Adds a request that was answered."""
        if request.arrived_s >= trace.EVENT_S:
            self._answers.append(
                _Outcome(
                    request.arrived_s,
                    request.customer,
                    request.class_,
                    now_s - request.arrived_s,
                )
            )

    def add_refusal(self, request: Request, reason: str) -> None:
        """Adds a request that got no answer.

        One that its contract allows and that no lost owner explains counts
        as refused above contract: more was refused than the contract says.
        """
        if request.arrived_s < trace.EVENT_S:
            return
        customer = request.customer
        reasons = self._refusals.setdefault(customer, {})
        reasons[reason] = reasons.get(reason, 0) + 1
        if request.conforming and reason not in ("no_owner", "failure"):
            self._wrong[customer] = self._wrong.get(customer, 0) + 1

    def summarize_latency(self) -> dict[str, dict[str, list[float]]]:
        """Returns p50 and p99 in seconds by class and by customer."""
        result: dict[str, dict[str, list[float]]] = {}
        for name, field in (("class", "class_"), ("customer", "customer")):
            groups: dict[str, list[float]] = {}
            for item in self._answers:
                groups.setdefault(getattr(item, field), []).append(
                    item.latency_s
                )
            result[name] = {
                key: [_percentile(values, 50), _percentile(values, 99)]
                for key, values in sorted(groups.items())
            }
        return result

    def summarize_refusals(self) -> dict[str, Any]:
        """Returns refusals by customer and reason, and those above contract."""
        return {
            "by_reason": {
                key: dict(sorted(value.items()))
                for key, value in sorted(self._refusals.items())
            },
            "above_contract": dict(sorted(self._wrong.items())),
        }

    def summarize_imbalance(
        self, service: str, event_s: float, end_s: float
    ) -> dict[str, Any]:
        """Returns p50, p99 and the time to return into the bound."""
        samples = [
            item for item in self._samples[service] if item[0] >= trace.EVENT_S
        ]
        levels = [level for _, level in samples]
        over = [
            at_s
            for at_s, level in samples
            if at_s >= event_s and level > places.BOUND
        ]
        back_s = over[-1] - event_s + 0.5 if over else 0.0
        back = None if over and over[-1] >= end_s - 0.5 else round(back_s, 1)
        return {
            "p50": _percentile(levels, 50),
            "p99": _percentile(levels, 99),
            "back_s": back,
        }


def compute_score(
    weights: Sequence[float], down_s: float, churn: float, imbalance: float
) -> float:
    """Returns the weighted score; lower is better.

    Args:
        weights: Weights of unavailability, churn and imbalance.
        down_s: Seconds without service per key.
        churn: Part of the keys that moved.
        imbalance: p99 over time of max/mean of load per slot.
    """
    return round(
        weights[0] * down_s / SECOND_PER_KEY
        + weights[1] * churn / ALL_KEYS
        + weights[2] * (imbalance - 1.0) / TWICE_MEAN,
        5,
    )
