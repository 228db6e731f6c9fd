"""Workflows: expressions, values, the engine, its driver at the leader, and what nodes answer."""
