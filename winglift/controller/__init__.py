"""The leader's work in one term: `leader_term` drives it, the other modules hold one concern each."""
