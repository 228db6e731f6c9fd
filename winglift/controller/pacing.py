"""How often the leader runs a scheduling cycle, by how long its cycles take."""

from __future__ import annotations

from .. import constants


def pause_s(took: float) -> float:
    """How long after a cycle that took so long the next one may begin.

    At 970 machines a cycle each 0.15 s was half of the leader's work, and most of them found little to do.
    """
    return max(
        constants.CYCLE_S, min(took * constants.CYCLE_PAUSE, constants.CYCLE_PAUSE_S), took * constants.CYCLE_PAUSE_MIN
    )


def rest_s(took: float) -> float:
    """How long after it the next one begins unless somebody is in a hurry."""
    return max(pause_s(took), min(took * constants.CYCLE_REST, constants.CYCLE_REST_S))
