"""Storage of a consensus group member."""
