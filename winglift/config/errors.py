"""Base class of errors in operators' files."""

from __future__ import annotations


class ConfigurationError(Exception):
    """A file of the operators can't be used; the message names the place of the error."""
