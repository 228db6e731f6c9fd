"""Duties that only one controller may do, and what they do to the outside: held under a fence, recorded before sent."""
