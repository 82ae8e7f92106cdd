"""Tests of the placement benchmark and of its report page."""

import numpy as np
import pytest

from bamboosill_dev import report
from bamboosill_dev.bench import deployments
from bamboosill_dev.bench import runs
from bamboosill_dev.bench import text
from bamboosill_dev.bench import trace


@pytest.fixture
def short_trace(monkeypatch):
    """Shortens the trace so that a run takes about a second."""
    monkeypatch.setattr(trace, "EVENT_S", 4.0)
    monkeypatch.setattr(trace, "END_S", 10.0)


def test_same_seed_gives_the_same_figures(short_trace):
    """Guards against figures that differ between runs of the same code."""
    job = runs.Job("atelier", "lost", "bounded", 3, False)
    first = runs.run(job)
    assert first == runs.run(job)
    service = first["services"]["gallery"]
    assert service["moved_keys"] >= service["least_keys"] > 0
    assert 0 < service["longest_down_s"] < 3.0
    document = {
        "seed": 3,
        "runs": [first],
        "bounds": text.check_bounds([first]),
    }
    page = report.render(document)
    assert "data:image/png;base64," in page


def test_all_scenarios_replay_the_same_requests():
    """Guards against comparing policies or scenarios on different requests.

    Drawing the requests of an event from the random stream of the base load
    would change all requests after them.
    """
    deployment = deployments.ATELIER
    steady = trace.make_trace(deployment, "steady", 1)
    sale = trace.make_trace(deployment, "sale", 1)
    event_index = int(np.searchsorted(steady.arrival_times_s, trace.EVENT_S))
    assert (
        steady.arrival_times_s[:event_index]
        == sale.arrival_times_s[:event_index]
    )
    assert (
        steady.service_times_s[:event_index]
        == sale.service_times_s[:event_index]
    )
    assert set(steady.arrival_times_s) <= set(sale.arrival_times_s)
