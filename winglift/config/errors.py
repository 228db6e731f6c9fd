"""The common parent of the errors in operators' files."""

from __future__ import annotations


class ConfigurationError(Exception):
    """A file of the operators can't be used; the text says where the fault is."""
