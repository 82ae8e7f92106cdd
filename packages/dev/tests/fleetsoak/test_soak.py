"""Short soak runs with the real programs."""

import asyncio

import pytest

from bamboosill_dev.fleetsoak import run

# Start and recovery add some seconds to each run.
_FAULTS_S = 6.0
_CUT_S = 9.0


# Seed 10 sends SIGTERM to processes that do not handle signals yet; the signal
# itself terminates these, which the check must tell from a failed shutdown.
@pytest.mark.parametrize("seed", [1, 10])
def test_the_promises_hold_while_processes_fail(tmp_path, seed):
    """Guards against violated guarantees under process and network faults.

    Checked are runs at most once, no run after a refusal, answers to the right
    request, acknowledged configurations and recovery after the faults.
    """
    result = asyncio.run(run.Soak(tmp_path, seed).run(_FAULTS_S))
    assert result.violations == ()
    assert result.answered > 0
    assert result.acknowledged > 0


@pytest.mark.parametrize("form", ["hang", "reset", "refuse"])
def test_callers_of_instances_that_reach_no_upstream_are_served(tmp_path, form):
    """Guards against an instance that has no way but its own connections.

    Two of three entry instances are cut off; other guarantees hold as well.
    """
    soak = run.Soak(tmp_path, 1, form)
    result = asyncio.run(soak.run(_CUT_S))
    assert result.violations == ()
