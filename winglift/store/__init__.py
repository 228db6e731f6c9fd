"""State service: client, job records, write batching, election."""
