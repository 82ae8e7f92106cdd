"""Lease lengths and intervals of a zone group, in seconds."""

SERVE_LEASE_S = 1.0
SERVE_RENEWAL_S = 0.25
GRANT_LEASE_S = 1.5
# Bound on clock drift over one lease and on scheduling delay after a check.
MARGIN_S = 0.2
ZONE_BEAT_S = 0.25
# Three heartbeats of an upstream.
UPSTREAM_LOST_S = 1.5
# Silence of a voter after which it is removed.
VOTER_LOST_S = 1.0
LEARNER_LOST_S = 10.0
# A leader that did not run for this long missed heartbeats itself.
PAUSE_S = 0.5
TICK_S = 0.05
PLAN_S = 0.5
# A share ends this long after it was given.
SHARE_S = 3.0
# Used for a service without a contract that states a longest deadline.
DEFAULT_LONGEST_DEADLINE_S = 30.0


def to_ms(seconds: float) -> int:
    """Returns whole milliseconds, rounded down and at least 0."""
    return max(0, int(seconds * 1000))
