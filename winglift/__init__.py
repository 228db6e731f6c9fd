"""winglift: a deadline-aware cluster scheduler (daemon today, embeddable library tomorrow)."""

__version__ = "0.1.0"
