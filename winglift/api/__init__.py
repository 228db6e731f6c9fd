"""HTTP handlers for users and workers."""
