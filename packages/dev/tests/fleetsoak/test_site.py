"""Short seeded runs on the layout of pca-pilon, with the real programs."""

import pytest

from bamboosill_dev.fleetsoak import site

_SECONDS = 12.0


# Even seeds have planned work only; odd ones also kill and pause processes.
# Seed 6 is quiet: few clients, and upstreams that break connections.
@pytest.mark.parametrize("seed", [4, 5, 6])
def test_fault_lost_and_budget_hold_on_a_site(tmp_path, seed):
    """Guards against ends of processes, lost requests and piled-up repeats.

    Seed 4 had processes that ended with -1, requests lost after SIGTERM and
    a request that went on crashing upstreams.
    """
    result = site.run_seed(tmp_path, seed, _SECONDS)
    assert result.violations == ()
    assert result.statuses[200] > 0
