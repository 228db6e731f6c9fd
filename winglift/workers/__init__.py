"""Dealings with workers: reports and commands."""
