"""The bamboosill daemon."""
