"""Durations of leases and of the control leader's periodic tasks."""

DELEGATION_LEASE_S = 1.5
SERVE_LEASE_S = 1.0
GRANT_LEASE_S = 1.5
# Covers the drift of two clocks over one lease, and the delay between a check
# of a lease and the action that depends on it.
CLOCK_MARGIN_S = 0.2
# After this time everything that a failed group granted has expired.
FOUNDING_WAIT_S = (
    DELEGATION_LEASE_S + SERVE_LEASE_S + GRANT_LEASE_S + CLOCK_MARGIN_S
)
TICK_INTERVAL_S = 0.25
PROPOSE_DEADLINE_S = 2.0
# Request ids may be 2 s in the future, and clocks may differ by 1 s.
ID_FLOOR_AHEAD_MS = 3_000
# Lets zones that start at the same time share the shards of a new keyspace.
FIRST_DELEGATION_DELAY_S = 1.0
# A zone with a new group keeps its shards if its upstreams register again
# within this time.
NEW_GROUP_GRACE_S = 5.0
# An upstream that restarts within this time causes no moves between zones. The
# zones must be balanced within 60 s, and moving half of the shards takes 32 s.
REBALANCE_DELAY_S = 20.0
EMPTY_ZONE_DELAY_S = 1.0
# Records of non-repeatable requests are kept for 600 s. The other 5 s cover the
# serve lease, the clock margin and request ids from the future.
KEYSPACE_CHANGE_WAIT_S = 605.0
