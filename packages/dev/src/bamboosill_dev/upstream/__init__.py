"""Stand-in for an upstream: implements docs/upstreams.md and nothing else."""
