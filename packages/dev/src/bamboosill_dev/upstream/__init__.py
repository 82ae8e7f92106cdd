"""Stand-in for an upstream, which implements exactly docs/upstreams.md."""
