"""Short soak runs with the real programs."""

import asyncio

import pytest

from bamboosill_dev.fleetsoak import run

# Start and recovery add some seconds to each run.
_FAULTS_S = 6.0
_CUT_S = 9.0
_LIMIT_S = 12.0
_EVACUATIONS_S = 12.0


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
    soak = run.Soak(tmp_path, 1, run.Scenario(cut_form=form))
    result = asyncio.run(soak.run(_CUT_S))
    assert result.violations == ()


def test_a_limit_holds_while_control_instances_fail(tmp_path):
    """Guards against permits of two leaders for the same requests."""
    soak = run.Soak(tmp_path, 3, run.Scenario(rate_limit=2.0))
    result = asyncio.run(soak.run(_LIMIT_S))
    assert result.violations == ()


@pytest.mark.parametrize("seed", [1])
def test_the_promises_hold_while_links_and_limits_change(tmp_path, seed):
    """Guards against forwarded requests that run twice or after a refusal."""
    soak = run.Soak(tmp_path, seed, run.Scenario(has_link_faults=True))
    result = asyncio.run(soak.run(_FAULTS_S))
    assert result.violations == ()


@pytest.mark.parametrize("seed", [1, 2])
def test_keys_that_are_granted_by_calls_have_one_holder(tmp_path, seed):
    """Guards against two holders when calls are late, lost or misanswered.

    Guards also against keys that no upstream is granted at all.
    """
    scenario = run.Scenario(has_link_faults=True, grants_by_call=True)
    result = asyncio.run(run.Soak(tmp_path, seed, scenario).run(_FAULTS_S))
    assert result.violations == ()
    assert result.answered > 0


@pytest.mark.parametrize("grants_by_call", [False, True])
def test_an_evacuated_zone_gets_no_requests_while_processes_fail(
    tmp_path, grants_by_call
):
    """Guards against requests into the zone after the bound.

    Guards also against orders that the programs do not serve.
    """
    scenario = run.Scenario(grants_by_call=grants_by_call, evacuates=True)
    soak = run.Soak(tmp_path, 5, scenario)
    result = asyncio.run(soak.run(_EVACUATIONS_S))
    assert result.violations == ()
    assert soak.evacuations.acknowledged > 0
