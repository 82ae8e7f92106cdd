"""State that a fleet of routed services shares, and its leader."""
