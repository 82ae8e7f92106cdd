"""Raft consensus: leader election, log replication, membership changes."""
