"""Measurements of one run: imbalance, latency, refusals and score."""

from collections.abc import Sequence
from typing import Any
from typing import NamedTuple
from typing import Protocol

import numpy as np

from bamboosill_dev.bench import places
from bamboosill_dev.bench import trace

# Quantities that add 1 to the score at weight 1: a second without service per
# key, a move of every key, and a maximum load of twice the mean.
DOWN_S_PER_KEY_UNIT = 1.0
CHURN_UNIT = 1.0
EXCESS_IMBALANCE_UNIT = 1.0


class Request(Protocol):
    """Fields of a request that are recorded.

    Attributes:
        arrived_s: Arrival time.
        customer: Name of the customer.
        class_: Traffic class.
        conforming: Whether it is within the contract of the customer.
    """

    arrived_s: float
    customer: str
    class_: str
    conforming: bool


class _Answer(NamedTuple):
    arrival_s: float
    customer: str
    class_: str
    latency_s: float


def _percentile(values: Sequence[float], percent: float) -> float:
    return round(float(np.percentile(values, percent)), 5) if values else 0.0


class RunMeasurements:
    """Load samples and request outcomes of one run from `trace.EVENT_S` on.

    At that time the scenario makes its change, the event.
    """

    def __init__(self) -> None:
        self._samples: dict[str, list[tuple[float, float]]] = {}
        self._answers: list[_Answer] = []
        self._refusals: dict[str, dict[str, int]] = {}
        self._refusals_within_contract: dict[str, int] = {}
        self._offered: dict[str, int] = {}

    def add_sample(self, service: str, at_s: float, loads: np.ndarray) -> None:
        """Records the imbalance of a service at one time.

        Args:
            service: Name of the service.
            at_s: Time of the sample.
            loads: Load per slot of each target.
        """
        mean = float(loads.mean()) if len(loads) else 0.0
        sample_imbalance = float(loads.max()) / mean if mean > 0 else 1.0
        self._samples.setdefault(service, []).append((at_s, sample_imbalance))

    def add_answer(self, request: Request, now_s: float) -> None:
        """Records a request that succeeded."""
        if request.arrived_s >= trace.EVENT_S:
            self._answers.append(
                _Answer(
                    request.arrived_s,
                    request.customer,
                    request.class_,
                    now_s - request.arrived_s,
                )
            )

    def add_refusal(self, request: Request, reason: str) -> None:
        """Records a request that was refused or failed.

        A request within its contract that was not lost to a missing owner or
        a failed upstream also counts as refused above contract, that is, as
        a refusal beyond those that the contract allows.
        """
        if request.arrived_s < trace.EVENT_S:
            return
        customer = request.customer
        reasons = self._refusals.setdefault(customer, {})
        reasons[reason] = reasons.get(reason, 0) + 1
        if request.conforming and reason not in ("no_owner", "failure"):
            self._refusals_within_contract[customer] = (
                self._refusals_within_contract.get(customer, 0) + 1
            )

    def summarize_latency(self) -> dict[str, dict[str, list[float]]]:
        """Returns the p50 and p99 latency in seconds by class and customer."""
        result: dict[str, dict[str, list[float]]] = {}
        for name, field in (("class", "class_"), ("customer", "customer")):
            latencies_by_group: dict[str, list[float]] = {}
            for item in self._answers:
                latencies_by_group.setdefault(getattr(item, field), []).append(
                    item.latency_s
                )
            result[name] = {
                group: [_percentile(values, 50), _percentile(values, 99)]
                for group, values in sorted(latencies_by_group.items())
            }
        return result

    def summarize_refusals(self) -> dict[str, Any]:
        """Returns the refusals by customer and reason.

        `above_contract` counts, by customer, the refused requests that were
        within their contract, as defined in `add_refusal`.
        """
        return {
            "by_reason": {
                key: dict(sorted(value.items()))
                for key, value in sorted(self._refusals.items())
            },
            "above_contract": dict(
                sorted(self._refusals_within_contract.items())
            ),
        }

    def summarize_imbalance(
        self, service: str, event_end_s: float, end_s: float
    ) -> dict[str, Any]:
        """Returns the imbalance of a service over time and its recovery time.

        The recovery time `back_s` runs from the end of the event until the
        imbalance stays within the bound; it is None if that is not reached.

        Args:
            service: Name of the service.
            event_end_s: Time of the last part of the event.
            end_s: End of the run.
        """
        samples = [
            item for item in self._samples[service] if item[0] >= trace.EVENT_S
        ]
        imbalances = [sample_imbalance for _, sample_imbalance in samples]
        times_over_bound = [
            at_s
            for at_s, sample_imbalance in samples
            if at_s >= event_end_s and sample_imbalance > places.MAX_IMBALANCE
        ]
        rebalance_s = (
            times_over_bound[-1] - event_end_s + 0.5
            if times_over_bound
            else 0.0
        )
        reported_s = (
            None
            if times_over_bound and times_over_bound[-1] >= end_s - 0.5
            else round(rebalance_s, 1)
        )
        return {
            "p50": _percentile(imbalances, 50),
            "p99": _percentile(imbalances, 99),
            "back_s": reported_s,
        }


def compute_score(
    weights: Sequence[float], down_s: float, churn: float, imbalance: float
) -> float:
    """Returns the weighted score; lower is better.

    Args:
        weights: Weights of unavailability, churn and imbalance.
        down_s: Seconds without service, averaged over all keys.
        churn: Moved keys divided by all keys.
        imbalance: p99 over time of the maximum load per slot divided by the
            mean.
    """
    return round(
        weights[0] * down_s / DOWN_S_PER_KEY_UNIT
        + weights[1] * churn / CHURN_UNIT
        + weights[2] * (imbalance - 1.0) / EXCESS_IMBALANCE_UNIT,
        5,
    )
