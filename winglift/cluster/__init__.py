"""Connections between controller nodes."""
