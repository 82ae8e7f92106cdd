"""Soak of the platform's processes on loopback, with faults from outside."""
