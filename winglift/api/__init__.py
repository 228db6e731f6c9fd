"""The HTTP interface of a node: users' requests, the health check and the fast path for workers' reports."""
