"""Measures how memory, bytes and processor time grow with size."""
