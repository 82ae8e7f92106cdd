"""Benchmark of placement and admission by discrete-event simulation.

The clock, the upstreams and the callers are simulated. The decisions are made
by the code of the daemon: placement policies, load estimates, choice of hot
keys, admission gates, limit shares and queues.
"""
