"""Wire formats: typed messages of all protocols. The package does no I/O, so that clients can use it too."""
