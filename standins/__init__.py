"""Small stand-ins for the outside systems, which follow their published protocols: state service, cloud, workers.

They serve the tests and demonstrations of the daemon. They simulate machines, and keep everything in memory.
"""
