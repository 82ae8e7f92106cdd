"""Lease durations, timeouts and intervals of a zone group, in seconds."""

SERVE_LEASE_S = 1.0
SERVE_RENEWAL_INTERVAL_S = 0.25
GRANT_LEASE_S = 1.5
# Safety margin for clock drift during a lease and for scheduling delay between
# a lease check and the action that it allows.
MARGIN_S = 0.2
ZONE_HEARTBEAT_INTERVAL_S = 0.25
# Three heartbeat intervals of an upstream.
UPSTREAM_LOST_AFTER_S = 1.5
# A voter is removed after this long without a message from it.
VOTER_LOST_AFTER_S = 1.0
LEARNER_LOST_AFTER_S = 10.0
# A leader that was not scheduled for this long may have missed heartbeats.
LEADER_PAUSE_S = 0.5
TICK_S = 0.05
PLAN_INTERVAL_S = 0.5
# A share of limits expires this long after its allocation.
SHARE_LIFETIME_S = 3.0
# For a service whose longest deadline no contract states.
DEFAULT_LONGEST_DEADLINE_S = 30.0


def to_ms(seconds: float) -> int:
    """Returns whole milliseconds, rounded down and at least 0."""
    return max(0, int(seconds * 1000))
