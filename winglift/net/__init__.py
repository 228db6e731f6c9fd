"""Network access: the runtime (clocks, randomness, sockets), a pooling HTTP client and rate budgets."""
