"""Errors of the model."""

from __future__ import annotations


class ModelError(Exception):
    """Base class of the model's errors."""


class InvalidTransition(ModelError):
    """An event that the state does not allow."""


class InvalidRecord(ModelError, ValueError):
    """A record in a format that this program does not write."""


class FinalStateViolation(ModelError):
    """A change that would replace a recorded final state."""
