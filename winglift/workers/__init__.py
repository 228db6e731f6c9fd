"""Communication with workers: answering their reports, direct commands, probes, cancellation enforcement."""
