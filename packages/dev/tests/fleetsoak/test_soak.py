"""A short run of the soak with the real programs."""

import asyncio

import pytest

from bamboosill_dev.fleetsoak import run

# Each one lasts some seconds longer than its faults.
_SECONDS = 6.0


# 10: processes told to stop before they handle signals end by the signal.
@pytest.mark.parametrize("seed", [1, 10])
def test_the_promises_hold_while_processes_fail(tmp_path, seed):
    """Guards against broken promises under kills, pauses and bad links."""
    result = asyncio.run(run.Soak(tmp_path, seed).run(_SECONDS))
    assert result.violations == ()
    assert result.answered > 0
    assert result.acknowledged > 0
