"""All constants of the program, each with its unit and the reason for its value."""

# --- clocks -----------------------------------------------------------------------------------
CLOCK_DRIFT = 0.0005  # ratio; maximum drift between the monotonic clocks of two machines

# --- leadership -------------------------------------------------------------------------------
LEADER_LEASE_S = 3.0  # s; detects a leader's crash within this time; one slow response does not lose the lease
LEADER_RENEWAL_INTERVAL_S = 0.75  # s; four attempts fit into one lease
LEADER_LEASE_MARGIN_S = 0.25  # s; the leader treats its lease as expired this much earlier, for timers that fire late
CAMPAIGN_POLL_INTERVAL_S = 0.5  # s; interval at which a follower reads the leader key
CAMPAIGN_JITTER_MAX_S = 0.3  # s; random delay of a campaign, so that nodes rarely collide
LEADER_ISOLATION_TIMEOUT_S = 5.0  # s; a leader without reports for this long, while other nodes may get some, resigns
RESIGNATION_BACKOFF_S = 8.0  # s until a node that resigned campaigns again, so that other nodes go first

# --- state service ----------------------------------------------------------------------------
STATE_TIMEOUT_S = 1.5  # s for one request; responses usually take 10 ms and at times a few hundred
LEADER_REQUEST_SHARE = 0.6  # ratio of the request budget for the leader; the other nodes share the rest
LEADER_WRITE_SHARE = 0.7  # ratio of the changes per second for the leader
FOLLOWER_WRITE_BURST_SHARE = 0.35  # ratio of the changes per second; a follower's burst for a surge of submissions
# The leader's batches leave this many changes for submissions and cancellations at its node, at most this share of
# the burst where the budget is small.
SUBMISSION_RESERVED_WRITES_MAX = 2  # changes
SUBMISSION_RESERVED_WRITES_SHARE = 0.15  # ratio of the burst
PROGRESS_WRITE_DELAY_MAX_S = 10.0  # s; progress that has waited this long is written with the priority of a start
PROGRESS_SPARE_WRITES_SHARE = 0.3  # ratio of the changes per second that progress leaves for starts and completions
PROGRESS_WRITE_DELAY_S = 2.0  # s for which progress is held back, so that several tasks of a job share one change
WRITE_RETRY_DELAY_S = 0.1  # s until the changes of a refused transaction are retried
FLUSH_RETRY_DELAY_S = 0.05  # s until changes that found no token in the budget are retried
LONG_POLL_TIMEOUT_MS = 10_000  # ms; duration of one long poll for changes
LONG_POLL_PAUSE_S = 0.05  # s between two long polls, so that many changes arrive in one response
LIST_RECORDS_MAX = 1000  # records in one listing, the protocol's maximum
STATE_DOWN_TIMEOUT_S = 2.0  # s without a successful response until the state service counts as down
STATE_PROBE_INTERVAL_S = 0.5  # s; interval at which a node that was refused retries the state service
REQUEST_TOKEN_TIMEOUT_S = 0.35  # s for which a user's request waits for a token of the budget before it is refused
CONCURRENT_TRANSACTIONS_MAX = 3  # transactions in flight
RECORD_WINDOW_TASKS = 2048  # unfinished tasks that a job has open at a time: a bitmap of 256 bytes
SMALL_RECORD_TASKS_MAX = 40  # tasks; the record of a job of this size fits into one value for any placement
NEW_RECORD_SIZE_SHARE = 0.6  # ratio of a value that a new job's record may fill, since assignments are added later
RECORD_HEADROOM_BYTES = 96  # bytes of a value kept free for counters that grow

# --- users ------------------------------------------------------------------------------------
REQUEST_BODY_MAX_BYTES = 64 * 1024  # bytes; the protocol's limit of a request body
TASKS_PER_JOB_MAX = 100_000  # tasks; the protocol's limit
NAME_LENGTH_MAX = 128  # characters of a name in a submission, so that a record fits into one value
MACHINE_TYPES_PER_JOB_MAX = 16  # machine types named by one job, so that a record fits into one value
AMOUNT_MAX = 1e9  # upper bound of any amount; a larger number is a mistake
STATUS_TIMEOUT_S = 1.2  # s; users wait 2 s for a status
SUBMIT_TIMEOUT_S = 1.5  # s; users wait 5 s for a submission, and a read must still fit in after this
RETRY_AFTER_S = 1  # s; Retry-After for a user who is refused for a temporary reason
RETRY_AFTER_STATE_DOWN_S = 2  # s; Retry-After while the state service is down
REFRESH_REQUEST_SHARE = 0.5  # ratio of a follower's requests for reading changes, one read for all waiting users
REFRESH_MAX_AGE_S = 1.0  # s since a read was sent until its response is too old to report; a read takes 10 to 300 ms
READ_CACHE_RECORDS_MAX = 20_000  # records whose state a node caches, some 300 bytes each
FINAL_STATE_CACHE_MAX = 20_000  # finished jobs cached per node; a final state never changes
# For a cancellation to be known to all nodes; then the user is asked to retry. Reads and commits take the rest of the
# 2 s and 5 s for which users wait.
CANCELLED_STATUS_WAIT_S = 0.6  # s
CANCELLATION_WAIT_S = 2.0  # s
CANCELLATION_ATTEMPTS_MAX = 8  # conflicts with other writers until a cancellation is refused temporarily

# --- workers ----------------------------------------------------------------------------------
COMMAND_TIMEOUT_S = 2.0  # s; a direct command that takes longer is repeated in the answer to the next report
START_ARRIVAL_MAX_S = 5.0  # s until a start that was sent can no longer arrive: workers drop answers after 4 s
FORWARD_CHECK_INTERVAL_S = 0.25  # s between two checks for forwarded reports that timed out
FORWARD_TIMEOUT_S = 1.0  # s; timeout of a report forwarded to the leader; workers wait 4 s
REDIRECT_RETURN_WINDOW_S = 12.0  # s; a worker that returns this soon after a redirect can't reach the leader
WORKER_CONTACT_TTL_S = 30.0  # s after a worker's last report to the wrong node until that node drops its contact
# 1,000 machines run some 8,000 tasks. A cache smaller by one would never hit, since all names recur with each round of
# reports.
TASK_NAME_CACHE_MAX = 20_000  # parsed task names, some 200 bytes each
WORKER_CONTACTS_MAX = 2000  # contacts of workers kept by the wrong node; far above the machines of a deployment
PARTITION_RECOVERY_S = 20.0  # s after a network partition in which silence of its zone is still attributed to it
SILENT_MACHINE_LEASE_RATIO = 1.0  # of lease_s; after this much silence a single silent machine is deleted
SILENT_PEER_LEASE_RATIO = 3.0  # of lease_s; the same while an unreachable node may still renew the machine's lease
# Machines behind a partition run on, and those that died are listed as failed after some 30 s.
SILENT_ZONE_LEASE_RATIO = 9.0  # of lease_s; the same while most of its zone is silent
ZONE_SILENT_MACHINES_SHARE = 0.5  # ratio of a zone's machines; if so many are silent at once, a partition is assumed
# A machine that the cloud lists as running finds a new leader within this time. After it, its free capacity does not
# count.
INHERITED_MACHINE_TIMEOUT_S = 5.0  # s
# Successive reports that don't show the starts sent before them: three answers are rarely lost.
UNACKNOWLEDGED_REPORTS_MAX = 3  # reports
UNRESPONSIVE_LEASE_SHARE = 0.5  # of lease_s; a session that ends this soon after a report ended by lost answers
# An empty machine that receives no answers is kept this long, since partitions often end sooner.
UNRESPONSIVE_MACHINE_TIMEOUT_S = 20.0  # s
# If more receive no answers, the fault is on this side and none of them is deleted.
ASYMMETRIC_PARTITION_SHARE = 0.5  # ratio of a zone's machines
ISOLATION_TIMEOUT_S = 3.0  # s without the state service and any peer until a few workers are redirected to other nodes
# Workers redirected as probes of a partition. One or two may die meanwhile, and seem to have found a node.
PARTITION_PROBE_WORKERS_MAX = 3  # workers
# Time after such a worker has returned until others are redirected: the usual duration of a partition.
PARTITION_PROBE_INTERVAL_S = 30.0  # s
REPORT_INTERVAL_MAX_RATIO = 1.25  # of report_s; a healthy worker reports at least this often
WORKER_NODE_TIMEOUT_S = 5.0  # s for which a worker waits for a node that does not answer, before it tries the next
# After this much silence a single machine is deleted that does not answer a probe either and runs replicas or gang
# members: it hangs or is lost, since a worker changing to another node would answer.
SILENT_MACHINE_REPORT_RATIO = 3.0  # of report_s
ZONE_SILENT_REPORT_RATIO = 3.0  # of report_s; a machine without a report for longer counts as silent
# A healthy machine reports every 0.75 to 1.25 of report_s, so a later one has missed a report.
ZONE_LATE_REPORT_RATIO = 1.6  # of report_s
# After most of a zone was silent, no machine there is deleted early for this time, in which a worker makes two
# attempts to find a node that answers.
ZONE_SUSPICION_TIMEOUT_S = 12.0  # s
PROBE_REPORT_RATIO = 2.0  # of report_s; after this much silence a machine is probed directly
PROBE_TIMEOUT_S = 1.5  # s for its answer; a healthy machine answers in milliseconds
CONCURRENT_PROBES_MAX = 32  # probes; hanging connections to a whole zone must not use up the sockets
# Time beyond lease_s, for reports in flight, until the tasks of a silent machine have certainly stopped.
LEASE_EXPIRY_MARGIN_S = 0.5  # s
WORKER_FAILOVER_S = 6.0  # s until a worker whose node is gone finds another: 1 s, one node that does not answer, 1 s
RECLAIMED_SILENCE_TIMEOUT_S = 1.5  # s of silence after a reclaim notice expired until the machine counts as reclaimed
CANCELLATION_DELETE_SHARE = 0.55  # of cancel_s; a machine still running a cancelled task is deleted then
# A new leader waits this long for a report of such a machine before it deletes the machine.
CANCELLATION_REPORT_WAIT_RATIO = 2.0  # of report_s
# From this age on there is no wait: two reports and a deletion would not fit in any more.
CANCELLATION_URGENT_SHARE = 0.7  # of cancel_s
# From this age on, deleting a machine at once is no better than waiting for its report.
CANCELLATION_OVERDUE_RATIO = 1.3  # of cancel_s
# A start in flight may still arrive this long after a cancellation: `LEADER_LEASE_S` in which a leader that does not
# know of it may send one, 4 s in which a worker accepts the answer, and 1 s.
CANCELLATION_SETTLE_S = 8.0  # s
CANCELLATION_SETTLE_SHARE = 0.4  # of cancel_s; upper bound of that, less than `CANCELLATION_DELETE_SHARE`
# Delay after which the next node in rank deletes what the node before it may have deleted.
CANCELLATION_RANK_DELAY_SHARE = 0.06  # of cancel_s
CANCELLATION_CHECK_INTERVAL_S = 0.25  # s between two checks of the cancellations to be enforced
CANCELLATION_CHECK_LATE_RATIO = 2.0  # of that interval; a check that comes later shows that the process was paused
CANCELLATION_NOTIFY_INTERVAL_S = 1.0  # s until a cancellation is sent again to a node that did not acknowledge it
CANCELLATION_PROBE_INTERVAL_S = 2.0  # s between two probes of a machine for whether a cancelled task has left it
# A cancellation that not all nodes acknowledge within this time is told to its user only once its tasks are proven off.
CANCELLATION_ACKNOWLEDGEMENT_TIMEOUT_S = 0.25  # s
# Meanwhile, a machine is deleted if it does not answer a stop within the first time, or if its address, for which the
# cloud's list is read, is unknown for longer than the second.
CANCELLATION_ANSWER_TIMEOUT_S = 0.8  # s
CANCELLATION_ADDRESS_TIMEOUT_S = 3.0  # s
CANCELLATION_LIST_INTERVAL_S = 5.0  # s between two reads of the cloud's list for machine addresses; it lags by seconds
# Records whose cancellation has been left to a leader for longer than this ratio are read again at this interval.
CANCELLATION_REREAD_INTERVAL_S = 1.0  # s
CANCELLATION_REREAD_AGE_RATIO = 1.5  # of cancel_s
# A node keeps as many cancellations as the state service accepts changes in this time.
CANCELLATION_HISTORY_RATIO = 3.0  # of cancel_s
CANCELLATION_PROOFS_PER_FRAME_MAX = 500  # proofs, some 60 bytes each
# Time for a cancellation to reach every node that vouches for its answers: `PEER_STATE_MAX_AGE_S` and some processing.
PROVISIONAL_RENEWAL_MARGIN_S = 2.5  # s
MACHINE_ADDRESS_TTL_S = 120.0  # s after a machine's last report until a node drops its address
STOP_RETRY_DELAY_S = 1.0  # s between two direct stops of the same task
STOP_GRACE_MARGIN_S = 1.0  # s added to the time in which a task saves its state
FAULTY_MACHINE_FAILURES = 2  # failed tasks on one machine, not attributed to their jobs, until it counts as faulty
SUSPECT_JOB_MACHINES = 2  # machines on which a job failed, without any success, until the job itself is suspected
SOUND_JOB_RUN_MIN_S = 30.0  # s a task must run to prove that its job works: mistakes show early
AVOIDED_MACHINES_MAX = 8  # machines remembered per job on which it failed, and which it avoids
MACHINE_AVOIDANCE_S = 45.0  # s without placement in which a job avoids machines where it failed; beyond its backoff
START_BACKOFF_INITIAL_S = 0.5  # s; first backoff after a failed start
START_BACKOFF_MAX_S = 30.0  # s; longest such backoff
# The longest backoff of a suspected job, until its user cancels it. If the job works and the machines were faulty, none
# of its tasks waits for 90 s beside free capacity, including the run that proves it (`SOUND_JOB_RUN_MIN_S`).
SUSPECT_JOB_BACKOFF_MAX_S = 40.0  # s

# --- cloud ------------------------------------------------------------------------------------
CLOUD_TIMEOUT_S = 3.0  # s for one call
MACHINE_TYPES_INTERVAL_S = 30.0  # s between two reads of the machine types and prices
MACHINE_LIST_INTERVAL_S = 3.0  # s between two reads of the machine list by the leader
MACHINE_LIST_PAGE_MAX = 500  # machines in one page of the list, the protocol's maximum
MACHINES_PER_RENTAL_MAX = 50  # machines in one rental request, the protocol's maximum
MACHINES_PER_DELETION_MAX = 100  # machines in one deletion, the protocol's maximum
# Delay until a refused type, zone and kind is requested again, doubled by each refusal in a row. With 14 pools out of
# capacity, one call to each per 8 s used up a rate of 2 a second.
CAPACITY_REFUSAL_BACKOFF_S = 8.0  # s; first delay
CAPACITY_REFUSAL_BACKOFF_MAX_S = 32.0  # s; longest delay
CLOUD_RETRY_DELAY_S = 1.0  # s after a failed cloud call
BOOT_DEFAULT_S = 60.0  # s; assumed while a machine's type is unknown
GANG_RENTAL_TIMEOUT_BOOTS = 5.0  # boot times for which machines are rented for a gang that found no capacity
GANG_RENTAL_RETRY_INTERVAL_S = 600.0  # s between two later attempts to rent for such a gang, each one boot time long
BOOT_TIMEOUT_RATIO = 2.5  # of the boot time; a machine still booting then is deleted
# The longer timeout for half of the machines in a pool where all new machines are late.
FAILING_POOL_BOOT_TIMEOUT_RATIO = 5.0  # of the boot time
# Boots usually take up to 1.5 times the boot time. A later machine's capacity is not expected soon.
BOOT_EXPECTED_RATIO = 1.6  # of the boot time
FAILING_POOL_MACHINES = 2  # overdue machines of one type in one zone until that pool counts as failing
FAILING_POOL_PROBES_MAX = 1  # machines booting at a time in a failing pool, to detect its recovery
MINIMUM_CHARGE_S = 60.0  # s; a rented machine is charged for at least this time

# --- failover and cleanup ---------------------------------------------------------------------
INTENT_LOG_RETRY_DELAY_S = 0.1  # s until a refused read or write of the intent log is retried
FAILOVER_POLL_INTERVAL_S = 0.02  # s between two checks whether a new leader has loaded its state
INTENT_LOG_TOKEN_TIMEOUT_S = 1.0  # s for which a write of the intent log waits for the budget; its effects wait for it
INTENT_LOG_POLL_INTERVAL_S = 1.0  # s between two checks whether failover hints or completed effects are to be written
# Interval between two writes of the intent log on which no effect waits: a third of a change per second.
INTENT_LOG_WRITE_INTERVAL_S = 3.0  # s
INTENT_LOG_KEEP_MARGIN_S = 2.0  # s beyond twice the list's lag for which completed effects stay in the intent log
FAILOVER_HINTS_RESERVED_BYTES = 700  # bytes of the intent log's value reserved for failover hints, some thirty of them
FAILOVER_HINTS_MAX = 20  # failover hints of one kind in the intent log; more are rarely open at a time
GC_INTERVAL_S = 60.0  # s between two runs of the garbage collection; garbage accumulates slowly
GC_FLOWS_INTERVAL_S = 3600.0  # s between two checks of all finished workflows
GC_REMOVALS_MAX = 100  # transactions of one run, so that a long history is removed in small steps
GC_SPARE_WRITES_SHARE = 0.5  # ratio of the changes per second that must be free before garbage is removed
GC_FLOW_STEP_RETENTION_S = 7 * 86400.0  # s for which a finished workflow's step records stay: a week for --reuse
DELETION_RECORD_TIMEOUT_S = 0.25  # s for which a deletion waits for its record until its urgency is evaluated again

# --- policy -----------------------------------------------------------------------------------
# The pause after a cycle, relative to its duration: users and workers come before a busy scheduler.
CYCLE_PAUSE_RATIO = 20.0  # of a cycle's duration
CYCLE_PAUSE_MAX_S = 0.5  # s; start objectives are some seconds, and new jobs are scheduled at once
CYCLE_PAUSE_MIN_RATIO = 6.0  # of a cycle's duration; lower bound of the pause, however long the cycle took
# The longer pause while no new job is due at once and no replica waits.
CYCLE_LONG_PAUSE_RATIO = 60.0  # of a cycle's duration
CYCLE_LONG_PAUSE_MAX_S = 0.75  # s; batches run for a minute, and completions are reported within 3 s
CYCLE_INTERVAL_S = 0.15  # s; minimum time between planning cycles: far below start objectives, half a core suffices
IDLE_CYCLE_INTERVAL_S = 1.0  # s; a cycle runs at least this often, even when nothing has changed
ESTIMATE_PADDING_RATIO = 1.25  # ratio applied to owners' estimates, which are often wrong by a third or more
FETCH_COST_RATIO = 10.0  # ratio; cost of a second of fetching relative to one of repeated work, for work due now
LONG_FETCH_MIN_S = 3.0  # s; work due now preempts lower work where its image is cached, to avoid a longer fetch
# Remaining fetch time that justifies a restart where the image is cached: a stop, a commit, a report.
RESTART_MIN_FETCH_S = 6.0  # s
LATE_FETCH_REMAINING_RATIO = 0.5  # ratio of a late fetch's duration so far that it is expected to take still
# Factor by which a task may exceed its estimate, when the scheduler decides whether to wait for it.
SLACK_PADDING_RATIO = 1.5  # ratio
# An array waits this share for tasks to finish before it preempts any.
PREEMPTION_DELAY_SHARE = 0.25  # ratio of the start objective of guaranteed work
INSPECTION_CACHE_TTL_S = 2.0  # s for which the cost of preempting a machine's tasks is cached
INSPECTION_CACHE_STALE_MAX = 100  # deleted machines in that cache until it is cleaned up
START_DEADLINE_S = 240.0  # s; the largest jobs too start within four minutes, as users demand
# Capacity is reserved for a job that has waited longer: the rest of the deadline is for other tasks to finish.
RESERVATION_DELAY_SHARE = 0.4  # ratio of `START_DEADLINE_S`
RESERVATION_MAX_S = 75.0  # s at a time; no task may wait for 90 s beside free capacity, and placing takes some seconds
RESERVATION_PAUSE_S = 10.0  # s after that in which others may use the capacity: some cycles
RESERVATION_MAX_SHARE = 0.5  # ratio of the running machines; upper bound of all reservations
# A gang that has waited longer displaces guaranteed work.
DISPLACEMENT_DELAY_SHARE = 0.4  # ratio of a class's start objective
DISPLACEMENT_COST_S = 10.0  # s; cost to a guaranteed task that is moved: a stop, a placement, perhaps a fetch
# Capacity being freed is reserved for a gang for this time: stops with their saves take 2 to 8 s.
GANG_RESERVATION_S = 12.0  # s
GANG_RESERVATION_PAUSE_S = 20.0  # s after that until capacity is reserved for it again
# Cost of a preemption besides lost work: two changes of a record, a wait for a report, a placement.
RESTART_COST_S = 5.0  # s
MIGRATION_RUN_MIN_S = 45.0  # s a replica must have run before it is migrated: a start counts only if it lasts 30 s
MIGRATION_CANDIDATES_MAX = 8  # machines considered for draining in one cycle: the emptiest, others cost no less
# The downtime that migrations may cause, which limits their rate.
MIGRATION_DOWNTIME_SHARE = 0.001  # ratio of all replica time
MIGRATION_PAUSE_MAX_S = 3600.0  # s; longest pause between two migrations, however few replicas there are
MIGRATION_DOWNTIME_S = 0.5  # s downtime of a migrated replica, besides the wait for a report: stop, commit, start
# Work with a deadline waits while prices are above this ratio. Work that is overdue in the end is bought elsewhere at
# twice its cost, and a machine without its boot and final idle time is some two thirds of what is paid.
PRICE_RATIO_MAX = 3.0  # times the cheapest adequate price
PRICE_MIN = 0.01  # price per hour; lower bound wherever a price is a divisor: a price may be 0
# Choices for a late task that complete within this ratio count as equally late, and the cheapest of them is taken: 3 s
# less of boot and fetch once cost three times the price.
SIMILAR_LATENESS_RATIO = 1.25  # times the earliest completion
WARM_POOL_DEVIATIONS = 2.0  # standard deviations; arrivals beyond the expected ones that the warm pool covers
IDLE_KEEP_S = 35.0  # s; an idle machine is kept this long once its minimum charge (`MINIMUM_CHARGE_S`) is used up
RECENT_ARRIVALS_MAX = 500  # arrivals kept to size the warm pool; far more than the useful part of its window holds
WARM_POOL_WINDOW_S = 300.0  # s; age of the arrivals that determine the size of the warm pool
WARM_POOL_SLOT_S = 10.0  # s; length of the slots in which arrivals are counted
WARM_POOL_SPAN_MIN_S = 60.0  # s; arrivals over a shorter time say little about their rate
WARM_POOL_QUIET_GAPS = 8.0  # usual gaps without an arrival after which none is expected: one in 3,000 by chance
WARM_POOL_QUIET_MIN_S = 60.0  # s; lower bound of that: outages and restarts hold back arrivals for half a minute
PROCESS_PAUSE_MIN_S = 1.0  # s by which a cycle starts late if this node's process was paused

# --- memory and sockets -----------------------------------------------------------------------
SOCKET_SHARE = 0.8  # ratio of the socket limit; above it, users are refused at once
SERVER_CONNECTION_IDLE_TIMEOUT_S = 75.0  # s; users poll every 5 s, so a connection idle this long is closed
POOLED_CONNECTIONS_PER_ADDRESS_MAX = 8  # idle connections kept to one address
POOLED_CONNECTION_IDLE_TIMEOUT_S = 20.0  # s; an idle connection kept this long is closed

# --- connections between nodes ----------------------------------------------------------------
PEER_CONNECT_TIMEOUT_S = 1.0  # s for one connection attempt
PEER_WRITE_TIMEOUT_S = 2.0  # s until a connection that accepts no more bytes is closed
PEER_CONNECT_RETRY_DELAY_S = 0.5  # s between two attempts
PEER_REACHABLE_MIN_S = 4.0  # s for which a node must have been reachable before workers are redirected to it
PEER_RECONNECT_DELAY_S = 0.1  # s before the first new attempt after the peer closed the connection
IMAGE_CACHE_RECORDS = 16  # values that store the machines' cached images: some 2 KB each at 650 machines of ten images
IMAGE_CACHE_SNAPSHOT_INTERVAL_S = 20.0  # s between two writes of them; a machine's cache turns over in minutes
IMAGE_CACHE_SPARE_WRITES_SHARE = 0.5  # ratio of the changes per second that must be free before they are written
FLEET_SUMMARY_INTERVAL_S = 3.0  # s between two summaries of the leader: cached images and silent machines
PEER_STATE_INTERVAL_S = 0.5  # s between two state frames
PEER_STATE_MAX_AGE_S = 1.8  # s; a peer's state is stale once three state frames are missed
# Reports of a worker that could not reach the leader are forwarded for this long before a new redirect.
FORWARDING_MIN_S = 20.0  # s
STARTUP_GRACE_S = 5.0  # s after its start in which a node without machine types reports that it is not up yet

# --- operator script --------------------------------------------------------------------------
SCRIPT_MEMORY_MAX_BYTES = 4 * 1024 * 1024  # bytes of Lua memory; a twentieth of the smaller machine
# Lua instructions of one call take less than 1 ms: scheduling must not wait for a script.
SCRIPT_INSTRUCTIONS_MAX = 20_000  # instructions

# --- workflows --------------------------------------------------------------------------------
EXPRESSION_CPU_TIMEOUT_S = 0.1  # s of processor time for one expression; a leader's cycle must not wait longer
EXPRESSION_MEMORY_MAX_MB = 16.0  # MB of memory for one JavaScript context
EXPRESSION_CONTEXTS_MAX = 8  # JavaScript contexts kept, one per library
FLOW_CYCLE_INTERVAL_S = 0.3  # s between two passes of the driver over its workflows
FLOW_OPEN_JOBS_MAX = 100  # jobs of one workflow open at a time: a wide workflow leaves the budget to others
FLOW_UPLOAD_TASKS = 50  # tasks described in one upload, so that a task's worker fetches little else
FLOW_INLINE_OUTPUT_MAX_BYTES = 1024  # bytes; smaller outputs are stored in the step's record itself
# Machines on which a command must fail until its step has failed: one failure may be the machine's.
FLOW_STEP_FAILED_MACHINES = 2  # machines
FLOW_ERROR_MAX_BYTES = 1000  # bytes of a tool's standard error, and of a cause, that a record keeps
FLOW_STEP_PATH_MAX_BYTES = 300  # bytes of a step's path in its record; longer ones are refused
FLOW_STEP_BATCH_MAX = 50  # steps processed before the driver yields to the leader's other work: some 5 ms
FLOW_DEPTH_MAX = 30  # levels of nested workflows
FLOW_STEPS_MAX = 20_000  # steps of a workflow with its subworkflows expanded; 10,000 take 19 MB on the leader
FLOW_STEP_RUN_DEFAULT_S = 60.0  # s; assumed run time of a step that gives none
FLOW_STEPS_PER_PAGE_MAX = 50  # steps in one response: with their paths and jobs they stay below the protocol's 64 KiB
FLOWS_PER_PAGE_MAX = 20  # workflows in one response, with causes and errors below 64 KiB
FLOW_SPARE_WRITES_SHARE = 0.15  # of the changes per second that the driver leaves for starts, completions and users
FILES_TIMEOUT_S = 10.0  # s for one transfer from or to the upload store
LOAD_CONTENTS_MAX_BYTES = 64 * 1024  # bytes; CWL's limit of loadContents

# --- command line -----------------------------------------------------------------------------
CLIENT_TIMEOUT_S = 5.0  # s for one response, as users of the protocol wait
CLIENT_RETRY_DELAY_S = 1.0  # s until a request is retried, unless the response's Retry-After is longer
CLIENT_RETRY_TIMEOUT_S = 60.0  # s; a request is retried for this long
CLIENT_POLL_INTERVAL_S = 0.5  # s between two polls of a watched workflow
CLIENT_POLL_INTERVAL_PER_STEP_S = 0.01  # s per step between two polls of a workflow's steps: many steps, many records
TRY_TIMEOUT_S = 60.0  # s until `try` gives up waiting for its controllers or its demonstration
