"""Replicated fleet state, and the control group that decides on it.

The fleet is the set of upstreams of all routed services. The leader of the
control group registers upstreams and grants them keys; entry instances keep a
copy of the state.
"""
