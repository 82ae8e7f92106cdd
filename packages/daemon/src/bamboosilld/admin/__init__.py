"""HTTP on the admin port: health, metrics, events and operators' commands."""
