"""State service: client, batched writes of job records, read cache, image cache snapshots, leader election."""
