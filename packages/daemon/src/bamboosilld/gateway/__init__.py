"""Passes requests of routed services on to their upstreams."""
