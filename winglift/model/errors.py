"""Errors of the model."""

from __future__ import annotations


class ModelError(Exception):
    """Parent of the model's errors."""


class InvalidTransition(ModelError):
    """An event that the state does not allow."""


class InvalidRecord(ModelError, ValueError):
    """A record that this program did not write."""


class FinalStateViolation(ModelError):
    """A change that would replace a recorded final state."""
