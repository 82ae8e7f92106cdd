"""Fault injection runs against local processes of a whole system."""
