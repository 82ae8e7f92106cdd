"""Storage of a consensus group member's log, vote and snapshots."""
