"""State machines and accounting of jobs, tasks, machines and leadership. Pure: no I/O."""
