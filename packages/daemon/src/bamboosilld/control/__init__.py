"""The control role: contracts, instance registry and delegation."""
