"""The operator command line of bamboosill."""
