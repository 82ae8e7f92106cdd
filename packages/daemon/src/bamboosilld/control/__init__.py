"""The control group: contracts, the instance registry and shard delegation.

Its members replicate this data with a consensus log. The leader delegates the
shards of each keyspace to availability zones.
"""
