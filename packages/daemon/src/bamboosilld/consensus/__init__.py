"""Raft consensus: elections, replication and membership of a group."""
