"""Measures placement and admission with the product's own decision code.

Clock, targets and callers are stand-ins; the policies, load estimates, hot
keys, gates, shares and queues are those of the daemon.
"""
