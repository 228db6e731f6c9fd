"""Scheduling decisions as pure functions of a snapshot and a time. No I/O, no clock."""
