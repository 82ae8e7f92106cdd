"""HTTP gateway of an entry instance: routes, balances and forwards requests."""
