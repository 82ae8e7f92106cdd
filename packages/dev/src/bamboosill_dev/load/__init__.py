"""Benchmarks of the request path under bounded load on loopback."""
