"""The consensus group of an availability zone.

Its leader grants leases and assigns shards to upstreams; its members route
requests by the replicated assignments.
"""
