"""Messages, settings and parts shared by the bamboosill programs."""
