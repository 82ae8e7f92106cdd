"""Decides who is admitted, who waits, who is refused and who is retried."""
