"""The entry role: routes callers' requests and registers upstreams."""
