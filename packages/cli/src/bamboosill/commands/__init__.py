"""Subcommands; each module registers its own."""
