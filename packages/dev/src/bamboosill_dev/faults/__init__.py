"""Fault runs over real processes on loopback."""
