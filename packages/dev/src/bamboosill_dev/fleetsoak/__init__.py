"""Soak test: runs the platform's programs locally and injects faults."""
