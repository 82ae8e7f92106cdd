"""Times of leases and of the control leader's duties."""

DELEGATION_LEASE_S = 1.5
SERVE_LEASE_S = 1.0
GRANT_LEASE_S = 1.5
# Drift of two clocks over one lease, and delay between check and action.
CLOCK_MARGIN_S = 0.2
# After this time nothing that an ended group granted is in force.
FOUNDING_WAIT_S = (
    DELEGATION_LEASE_S + SERVE_LEASE_S + GRANT_LEASE_S + CLOCK_MARGIN_S
)
TICK_INTERVAL_S = 0.25
PROPOSE_DEADLINE_S = 2.0
# Callers' ids may be 2 s in the future, and clocks differ by 1 s.
ID_FLOOR_AHEAD_MS = 3_000
# Lets zones that start together share the shards of a new keyspace.
FIRST_DELEGATION_DELAY_S = 1.0
# A zone with a new group keeps its shards if its upstreams announce
# themselves again within this time.
NEW_GROUP_GRACE_S = 5.0
# An upstream that restarts within this time causes no moves between zones.
# Half of the shards move in 32 s more, and balance is due after 60 s.
REBALANCE_DELAY_S = 20.0
EMPTY_ZONE_DELAY_S = 1.0
# Records of non-repeatable requests are kept for 600 s; 5 s cover the serve
# lease, the margin and ids from the future.
KEYSPACE_CHANGE_WAIT_S = 605.0
