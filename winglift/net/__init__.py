"""HTTP client with kept connections, built from tornado's own parts, and rate budgets."""
