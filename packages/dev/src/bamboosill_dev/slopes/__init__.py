"""Measures how memory, encoded size and CPU time grow with the item count.

The slopes feed the capacity page: what one more shard, contract or upstream
costs, and whether the growth stays linear.
"""
