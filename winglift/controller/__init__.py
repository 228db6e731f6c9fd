"""The leader's work in one term: `leader_term` drives it, and each other module covers one part of it."""
