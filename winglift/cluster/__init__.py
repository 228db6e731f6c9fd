"""The link between controller nodes."""
