"""Bounded load on loopback, and what it costs."""
