"""Small stand-ins for the outside systems, after their published protocols: state service, cloud, workers.

They serve the tests and a first look at the daemon. They keep everything in memory and simulate machines.
"""
