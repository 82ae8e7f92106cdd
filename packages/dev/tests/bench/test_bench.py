"""Tests of the bench and of its page."""

import numpy as np
import pytest

from bamboosill_dev import report
from bamboosill_dev.bench import deployments
from bamboosill_dev.bench import runs
from bamboosill_dev.bench import text
from bamboosill_dev.bench import trace


@pytest.fixture
def short(monkeypatch):
    """Shortens the trace, so that a run takes a second."""
    monkeypatch.setattr(trace, "EVENT_S", 4.0)
    monkeypatch.setattr(trace, "END_S", 10.0)


def test_same_seed_gives_the_same_figures(short):
    """Guards against figures that change without a change of the code."""
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
    """Guards against comparing policies or scenarios on unequal traces."""
    deployment = deployments.ATELIER
    steady = trace.make_trace(deployment, "steady", 1)
    sale = trace.make_trace(deployment, "sale", 1)
    early = int(np.searchsorted(steady.times, trace.EVENT_S))
    assert steady.times[:early] == sale.times[:early]
    assert steady.work[:early] == sale.work[:early]
    assert set(steady.times) <= set(sale.times)
