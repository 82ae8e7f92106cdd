"""Development tools: stand-ins for outside systems, load and fault tests."""
