"""The cluster state: state machines and accounting of jobs, tasks, machines and leadership. Does no I/O."""
