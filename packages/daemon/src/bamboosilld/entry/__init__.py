"""The entry role: serves callers and takes announcements of upstreams."""
