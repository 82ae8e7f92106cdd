"""Messages, settings and components shared by the bamboosill programs."""
