"""Stand-ins, load tool and experiments for developing bamboosill."""
