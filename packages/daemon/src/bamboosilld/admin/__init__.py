"""HTTP API of the admin port: health, metrics, events, operator commands."""
