"""Wire formats: typed messages of every protocol. No I/O here, so clients can use it too."""
