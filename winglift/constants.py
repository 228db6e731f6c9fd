"""Every constant in one place: value, unit, reason."""

# --- clocks -----------------------------------------------------------------------------------
CLOCK_DRIFT = 0.0005  # ratio; steady clocks of two machines drift apart by at most this much

# --- leadership -------------------------------------------------------------------------------
LEADER_LEASE_S = 3.0  # s; a crash is noticed within this, and a slow answer does not lose the lease
LEADER_RENEW_S = 0.75  # s; four tries fit into one lease
LEADER_MARGIN_S = 0.25  # s; the lease counts as over this much early, for timers that fire late
CAMPAIGN_POLL_S = 0.5  # s; how often a follower looks at the leader key
CAMPAIGN_JITTER_S = 0.3  # s; spread of campaigns, so that nodes rarely collide
LEADER_ISOLATED_S = 5.0  # s; a leader that hears no worker this long, while others may, resigns
RESIGN_PAUSE_S = 8.0  # s; a node that resigned lets the others try first

# --- state service ----------------------------------------------------------------------------
STATE_TIMEOUT_S = 1.5  # s; answers usually take 10 ms and at times a few hundred
LEADER_SHARE = 0.6  # ratio of the request budget that the leader may use; the others share the rest
LEADER_WRITE_SHARE = 0.7  # ratio of the changes a second that the leader may write
FOLLOWER_WRITE_BURST = 0.35  # of the changes a second; what a follower may save up for a rush of submissions
SUBMIT_WRITES_KEPT = 2  # changes that the leader's batches leave for submissions and cancellations at this node
SUBMIT_WRITES_SHARE = 0.15  # of what may be saved up: the most that is left so, where budgets are small
PROGRESS_DELAY_MAX_S = 10.0  # s; progress that has waited this long is written like a start
START_WRITES_KEPT = 0.3  # of the changes a second, kept free for starts and ends when progress is written
PROGRESS_AFTER_S = 2.0  # s; progress of several tasks of a job then shares one change
WRITE_AGAIN_S = 0.1  # s after a refused transaction until its changes are tried again
FLUSH_AGAIN_S = 0.05  # s until changes are tried again that found no token
WATCH_BLOCK_MS = 10_000  # ms; length of one watch
WATCH_PAUSE_S = 0.05  # s; between two watches, so that many changes arrive as one answer
LIST_LIMIT = 1000  # records in one listing, the protocol's most
STATE_DOWN_AFTER_S = 2.0  # s without any good answer until the state service counts as down
STATE_PROBE_S = 0.5  # s; how often a refused node tries the state service again
MAX_QUEUE_S = 0.35  # s; longest wait for a request token before a user is refused
COMMIT_PARALLEL = 3  # transactions in flight at once
RECORD_WINDOW = 2048  # tasks; a job works on this many unfinished tasks at a time (256-byte bitmap)
SMALL_RECORD_TASKS = 40  # tasks; the record of a job of so many fits into one value however they are placed
RECORD_SPARE_BYTES = 96  # bytes of a value kept free for counters that grow

# --- users ------------------------------------------------------------------------------------
MAX_BODY = 64 * 1024  # bytes; the protocol's limit of a request body
MAX_PIECES = 100_000  # tasks of one job; the protocol's limit
MAX_NAME = 128  # characters of a name in a submission, so that a record fits into one value
MAX_TYPES = 16  # machine types named by one job, for the same reason
MAX_AMOUNT = 1e9  # upper bound of any amount; beyond it a number is a mistake
STATUS_TIMEOUT_S = 1.2  # s; users wait 2 s for a status
SUBMIT_TIMEOUT_S = 1.5  # s; users wait 5 s for a submission, and after this a reading must still fit in
RETRY_AFTER_S = 1  # s; told to a user who is refused for a passing reason
RETRY_AFTER_DOWN_S = 2  # s; told to a user while the state service is down
REFRESH_SHARE = 0.5  # of a follower's requests; looks at the changes, each for all users who ask meanwhile
REFRESH_VALID_S = 1.0  # s from sending a look until its answer is too old to be told; a look takes 10 to 300 ms
READ_CACHE_RECORDS = 20_000  # records whose state a node keeps in mind; some 300 bytes each
FINAL_STATES_CACHED = 20_000  # ended jobs remembered per node; an end never changes
CANCEL_TRIES = 8  # conflicts with other writers before a cancellation is refused for now

# --- workers ----------------------------------------------------------------------------------
COMMAND_TIMEOUT_S = 2.0  # s; a direct command that takes longer is repeated by the next report
FORWARD_SWEEP_S = 0.25  # s between two looks for reports that were handed over and got no answer in time
FORWARD_TIMEOUT_S = 1.0  # s; a report handed to the leader over the back link; workers wait 4 s
REDIRECT_MEMORY_S = 12.0  # s; a worker that comes back this soon after a redirect can't reach the leader
CONTACT_MEMORY_S = 30.0  # s; what is known of a worker on the wrong node is forgotten after this
TASK_NAMES_KEPT = 20_000  # names of tasks kept in their parts, some 200 bytes each: 1,000 machines run some 8,000, and
# with one name too few kept none is found again, since all come round with the reports
CONTACTS_MAX = 2000  # workers remembered so; far above the machines of a deployment
PARTITION_MEMORY_S = 20.0  # s after a cut in which its zone's silence still counts as the cut's
SILENT_SHARE = 1.0  # of lease_s; after this much silence a lone machine is deleted
SILENT_PEER_SHARE = 3.0  # of lease_s; the same while a node that can't be heard may be renewing its lease
SILENT_ZONE_SHARE = 9.0  # of lease_s; the same while most of its zone is silent: its machines live on behind a cut,
# (and those that died are listed as failed after some 30 s)
ZONE_SILENT_PART = 0.5  # of a zone's machines silent at once speaks for a cut, not for the machines
INHERITED_TRUST_S = 5.0  # s in which a machine that runs by the list finds a new leader; later it promises no room
UNRESPONSIVE_REPORTS = 3  # reports in a row that don't show the starts sent before them: answers seldom get lost thrice
UNRESPONSIVE_LEASE_SHARE = 0.5  # of lease_s; a session that ends so soon after a report has ended for want of answers
UNRESPONSIVE_KEPT_S = 20.0  # s for which a machine that does not hear is kept, once it is empty: cuts often end sooner
ASYMMETRIC_PARTITION_SHARE = 0.5  # of a zone's machines; if more don't hear, the fault is on our side and none of
# them is given up
ISOLATED_AFTER_S = 3.0  # s without the state service and any node until a few workers are asked to look for others
PARTITION_SCOUTS = 3  # workers sent on to find out: one or two may die meanwhile, and seem to have found somebody
PARTITION_SCOUT_INTERVAL_S = 30.0  # s after one came back until others are sent: about as long as a cut lasts
REPORT_LATEST = 1.25  # of report_s; a sound worker reports at least so often
WORKER_TRY_S = 5.0  # s that a worker spends on a node that does not answer, and until it tries the next
SILENT_REPORTS = 3.0  # of report_s; after this much silence a lone machine that does not answer either is deleted, if
# parts of services or gangs are on it: a hang or a loss, since a worker on its way to another node would answer
ZONE_SILENT_REPORTS = 3.0  # of report_s; a machine not heard for longer counts as silent
ZONE_QUIET_REPORTS = 1.6  # of report_s; a sound machine reports every 0.75 to 1.25, so one that is later missed one
SUSPICION_MEMORY_S = 12.0  # s after most of a zone was quiet in which nobody there is given up early: a worker tries
# twice
# to find a node that answers
PROBE_REPORTS = 2.0  # of report_s; after this much silence a machine is asked directly
PROBE_TIMEOUT_S = 1.5  # s for its answer; a sound machine answers in milliseconds
PROBES_AT_ONCE = 32  # machines asked at a time: a zone's worth of hanging connections must not eat the sockets
LEASE_OVER_S = 0.5  # s past lease_s, for reports on their way, until the tasks of a silent machine are surely dead
FIND_NODE_S = 6.0  # s in which a worker whose node is gone has found another: 1 s, one node that does not answer, 1 s
RECLAIMED_SILENT_S = 1.5  # s of silence after a notice ran out until the machine counts as taken
CANCEL_DELETE_SHARE = 0.55  # of cancel_s; then a machine still holding a cancelled task is deleted
CANCEL_HEAR_REPORTS = 2.0  # of report_s; so long a new leader waits to hear such a machine before that
CANCEL_LAST_SHARE = 0.7  # of cancel_s; from here on nobody waits: two reports and a deletion would not fit in any more
CANCEL_OVER_SHARE = 1.3  # of cancel_s; past it, deleting a machine at once helps no more than hearing it does
CANCELLATION_SETTLE_S = 8.0  # s after a cancellation in which a start that was in flight may come: LEADER_LEASE_S in
# which a
# leader that has not heard of it may send one, 4 s in which a worker takes the answer, and 1 s
CANCELLATION_SETTLE_SHARE = 0.4  # of cancel_s; but never later than this, before machines are deleted
# (CANCEL_DELETE_SHARE)
CANCELLATION_RANK_SHARE = 0.06  # of cancel_s; so much later the next node deletes what the one before it may have
# deleted
CANCELLATION_CHECK_S = 0.25  # s between two looks at the cancellations that are to be seen to
CANCELLATION_NOTIFY_S = 1.0  # s until a node that did not take the word of a cancellation is told again
CANCELLATION_PROBE_S = 2.0  # s between two questions to one machine whether a cancelled task is off it
CANCELLATION_LIST_S = 5.0  # s between two looks at the cloud's list for where machines answer: it is some seconds late
CANCELLATION_REREAD_S = 1.0  # s between two readings of records whose cancellation has been left to a leader for long
CANCELLATION_REREAD_SHARE = 1.5  # of cancel_s; since when
CANCELLATION_KEPT_SHARE = 3.0  # of cancel_s; the ends kept are the changes that the state service takes in so long
CANCELLATION_PROOFS_MAX = 500  # proofs in one frame: some 60 bytes each
CONTACT_KEPT_S = 120.0  # s for which the address of a machine is kept after its last report here
STOP_REPEAT_S = 1.0  # s between two direct stops of the same task
STOP_GRACE_MARGIN_S = 1.0  # s on top of the saving time a task needs
FAULTY_MACHINE_FAILURES = 2  # failed tasks on one machine, not to be blamed on their jobs, until it counts as faulty
SUSPECT_JOB_MACHINES = 2  # machines on which a job failed, with no success anywhere, until the job itself is suspected
SOUND_RUN_S = 30.0  # s a task must have run to show that its job is sound: mistakes show early
AVOIDED_MACHINES_MAX = 8  # machines remembered on which a job failed, and where it is not tried again
AVOID_S = 45.0  # s that a job is short of tasks for which it is not tried where it failed; longer than its pauses
BACKOFF_FIRST_S = 0.5  # s; first pause after a failed start
BACKOFF_MAX_S = 30.0  # s; longest such pause
BACKOFF_SUSPECT_S = 40.0  # s; longest pause of a job that looks mistaken, until its user cancels it. If it is sound and
# met faulty machines, none of its tasks waits for 90 s beside room, with the run that shows it sound (SOUND_RUN_S)

# --- cloud ------------------------------------------------------------------------------------
CLOUD_TIMEOUT_S = 3.0  # s for one call
TYPES_EVERY_S = 30.0  # s between two looks at the types and their prices
LIST_EVERY_S = 3.0  # s between two machine lists of the leader
LIST_PAGE = 500  # machines in one list answer, the protocol's most
RENT_MAX = 50  # machines in one rental request, the protocol's most
DELETE_MAX = 100  # machines in one deletion, the protocol's most
NO_CAPACITY_PAUSE_S = 8.0  # s until a refused type, zone and kind is asked for again; doubled by each refusal in a row
NO_CAPACITY_PAUSE_MAX_S = 32.0  # s; the longest such pause. With 14 places full, one call each in 8 s took all of 2 a
# second
CLOUD_PAUSE_S = 1.0  # s after a failed cloud call
BOOT_DEFAULT_S = 60.0  # s; assumed while a machine's type is unknown
GANG_RENT_BOOTS = 5.0  # boot times for which a gang that found no room goes on renting
GANG_RENT_RETRY_S = 600.0  # s between two later tries of such a gang, each one boot time long
BOOT_TIMEOUT = 2.5  # of the boot time; a machine still booting then is given back
BOOT_TIMEOUT_FAILING = 5.0  # of the boot time; the same for half of them where new machines are late everywhere
BOOT_USUAL = 1.6  # of the boot time; usually a boot takes up to 1.5 times that, beyond it no room is soon to come
FAILING_POOL_MACHINES = 2  # overdue machines of one type in one zone until the zone counts as dark for it
FAILING_POOL_PROBES = 1  # machines booting at a time in a dark zone, to see whether it is better there again
FIRST_PAID_S = 60.0  # s; the least that a rented machine costs

# --- duties -----------------------------------------------------------------------------------
INTENT_LOG_RETRY_S = 0.1  # s after a refused reading or writing of the book until the next try
FAILOVER_POLL_S = 0.02  # s between two looks whether a new leader has read what it must know
INTENT_LOG_WAIT_S = 1.0  # s that a write of the book may wait for the budget: what it records can't be sent before
INTENT_LOG_POLL_S = 1.0  # s between two looks whether moments or ends are to be written
INTENT_LOG_WRITE_INTERVAL_S = 3.0  # s between two writes of the book in which nothing waits to be sent: a third of a
# change a second
INTENT_LOG_KEEP_MARGIN_S = 2.0  # s beyond twice the list's lag for which ended effects stay in the book
FAILOVER_HINTS_BYTES = 700  # bytes of the book's value left to moments: some thirty of them
FAILOVER_HINTS_MAX = 20  # moments of one sort in the book; more are seldom open at a time
GC_INTERVAL_S = 60.0  # s between two looks for what no longer means anything; it comes slowly
GC_FLOWS_INTERVAL_S = 3600.0  # s between two looks at all workflows that have ended
GC_REMOVALS_MAX = 100  # transactions found in one look, so that a long history is removed bit by bit
GC_WRITES_KEPT = 0.5  # of the changes a second that must be free before something is removed
GC_FLOW_STEPS_AGE_S = 7 * 86400.0  # s after which the step records of an ended workflow are removed: a week for --reuse
DELETE_RECORD_S = 0.25  # s that a deletion waits for its record before it is looked at anew: it may be urgent by then

# --- policy -----------------------------------------------------------------------------------
CYCLE_PAUSE = 20.0  # of a cycle's own time, the pause after it: users and workers come before a busy planner,
CYCLE_PAUSE_S = 0.5  # s; up to here: a start aim is some seconds, and what comes meanwhile is planned for at once,
CYCLE_PAUSE_MIN = 6.0  # of a cycle's own time; but never less than this, however long it took
CYCLE_REST = 60.0  # of a cycle's own time, the pause while nobody has come who is due at once, and no replica waits,
CYCLE_REST_S = 0.75  # s; up to here: batches run for a minute, and their ends are told within 3 s
CYCLE_S = 0.15  # s; the scheduling cycle: far below any start aim, cheap enough for half a core
IDLE_CYCLE_S = 1.0  # s; at least this often, even when nothing has changed
ESTIMATE_PAD = 1.25  # ratio; owners' estimates are often wrong by a third or more
FETCH_WEIGHT = 10.0  # ratio; how much worse a second of fetching is than one of repeated work, for work due now
FETCH_WORTH_S = 3.0  # s of fetching that work due now avoids by stopping lower work where its image is
RESTART_MIN_FETCH_S = 6.0  # s of fetching left that make a new start beside the image worth it: a stop, a commit, a
# report
FETCH_LATE_SHARE = 0.5  # of the time that a late fetch has taken, what it may take yet
SLACK_PAD = 1.5  # ratio; how much longer than estimated a task may run when it is decided to wait
PREEMPTION_DELAY_SHARE = 0.25  # of the time in which owed work should start: so long an array waits for what ends by
# itself
INSPECTION_KEPT_S = 2.0  # s for which what a machine's tasks would lose by a stop is not added up anew
INSPECTIONS_SPARE = 100  # machines gone that are remembered so before they are swept out
START_DEADLINE_S = 240.0  # s; the largest jobs too begin within four minutes: the users' word
RESERVATION_AFTER_SHARE = 0.4  # of that; for a job that has waited longer room is kept together: the rest is for
# others to end
RESERVATION_MAX_S = 75.0  # s at a time; nobody may wait for 90 s beside room, and a placing takes some seconds
RESERVATION_PAUSE_S = 10.0  # s after that in which others take the room: some cycles
RESERVATION_MAX_SHARE = 0.5  # of the machines that are up; more is kept together for nobody
DISPLACE_AFTER_SHARE = 0.4  # of a class's start aim; a gang that has waited for longer displaces owed work
DISPLACE_S = 10.0  # s; what an owed task loses that must find another place: a stop, a placing, perhaps a fetch
GANG_RESERVATION_S = 12.0  # s for which room being made is kept for a gang: stops with their saves take 2 to 8 s
GANG_RESERVATION_PAUSE_S = 20.0  # s after that in which nothing is kept for it again
RESTART_S = 5.0  # s; what a stop costs besides lost work: two changes of a record, a wait for a report, the placing
MIGRATION_AFTER_S = 45.0  # s a replica must have run before it is moved: a start counts only if it lasts 30 s
MIGRATION_CANDIDATES = 8  # machines looked at in one cycle for being emptied: the emptiest, the rest come no cheaper
MIGRATION_LOSS_SHARE = 0.001  # of all replica time; what moving replicas may cost, which paces the moves
MIGRATION_PAUSE_MAX_S = 3600.0  # s; the longest pause between two moves, however few replicas there are
MIGRATION_DOWNTIME_S = 0.5  # s a moved replica is away, besides the wait for a report: stop, commit, start
PRICE_RATIO_MAX = 3.0  # times the cheapest adequate price; past it work with a deadline waits: what is overdue in the
# end is
# bought elsewhere at twice its cost, and a machine without its boot and idle end is some two thirds of what is paid
PRICE_MIN = 0.01  # an hour; what divides by a price takes at least this: a price may be 0
SIMILAR_LATENESS = 1.25  # of the shortest way to a late task's end: choices within it are as late as each other, and
# the
# cheapest of them is taken: 3 s of a boot and a fetch less once cost three times the price
WARM_POOL_DEVIATIONS = 2.0  # arrivals beyond the expected ones that the reserve covers, in standard deviations
IDLE_KEEP_S = 35.0  # s; an idle machine past its first paid stretch is kept this long
RECENT_ARRIVALS = 500  # arrivals kept to size the reserve; far more than come in its window's useful part
WARM_POOL_WINDOW_S = 300.0  # s; arrivals this recent size the warm reserve
WARM_POOL_SLOT_S = 10.0  # s; stretches in which arrivals are counted
WARM_POOL_SPAN_S = 60.0  # s; arrivals over less than this say little about a rate
WARM_POOL_QUIET_GAPS = 8.0  # usual gaps without an arrival, after which no more are expected: by chance one of 3,000
WARM_POOL_QUIET_S = 60.0  # s; and at least so long: outages and restarts keep arrivals away for half a minute
NODE_PAUSE_S = 1.0  # s that a pass of the cycle begins late: then this node stood still

# --- memory and sockets -----------------------------------------------------------------------
SOCKET_SHARE = 0.8  # of the socket limit; beyond it users are refused at once
IDLE_CONNECTION_S = 75.0  # s; users poll every 5 s, so a connection silent this long is given up
POOL_PER_HOST = 8  # kept connections to one address
POOL_IDLE_S = 20.0  # s; a kept connection unused this long is closed

# --- link between controllers -----------------------------------------------------------------
PEER_CONNECT_S = 1.0  # s for one connection attempt
PEER_WRITE_S = 2.0  # s until a link that takes no more bytes is given up
PEER_RETRY_S = 0.5  # s between two attempts
PEER_REACHABLE_S = 4.0  # s a node must have been heard of before workers are sent to it
PEER_RECONNECT_S = 0.1  # s before the first new attempt after the other side closed the connection
IMAGE_CACHE_RECORDS = 16  # values that hold which machine holds which image: some 2 KB each at 650 machines of ten
# images
IMAGE_CACHE_SNAPSHOT_S = 20.0  # s between two writings of them; a machine's cache turns over in minutes
IMAGE_CACHE_WRITES_KEPT = 0.5  # of the changes a second that must be free before they are written
FLEET_INTERVAL_S = 3.0  # s between two words of the leader about its machines: their images, who is silent
PEER_STATE_INTERVAL_S = 0.5  # s between two state frames
PEER_FRESH_S = 1.8  # s; three state frames missed make a peer's word stale
FORWARD_STICKY_S = 20.0  # s; a worker that could not reach the leader is relayed this long before a new try
STARTUP_GRACE_S = 5.0  # s after its start in which a node without machine types is not up yet

# --- operator script --------------------------------------------------------------------------
SCRIPT_MEMORY = 4 * 1024 * 1024  # bytes of Lua memory; a twentieth of the smaller machine
SCRIPT_INSTRUCTIONS = 20_000  # Lua instructions of one call, below 1 ms: scheduling must not wait for a script

# --- workflows --------------------------------------------------------------------------------
EXPRESSION_S = 0.1  # s of processor time for one expression; a leader's cycle must not wait longer
EXPRESSION_MB = 16.0  # MB of memory for one JavaScript context
EXPRESSION_CONTEXTS = 8  # JavaScript contexts kept, one per library
FLOW_CYCLE_S = 0.3  # s between two looks of the driver at its workflows
FLOW_OPEN_JOBS = 100  # jobs of one workflow that are open at once: what is wide leaves the budget to others
FLOW_PAGE = 50  # tasks described in one upload, so that a task's worker fetches little more than its own
FLOW_INLINE_BYTES = 1024  # outputs up to this size lie in the step's record itself
FLOW_FAILED_ON = 2  # machines on which a command must have failed until the step has: one may be the machine's fault
FLOW_ERRORS_BYTES = 1000  # bytes of a tool's standard error, and of a cause, that a record keeps
FLOW_PATH_BYTES = 300  # bytes of a step's path in its record; longer ones are refused
FLOW_STEPS_AT_ONCE = 50  # steps that are followed before the leader's other work goes on: some 5 ms
FLOW_DEPTH = 30  # workflows inside one another
FLOW_STEPS_MAX = 20_000  # steps of a workflow with its subworkflows laid open; 10,000 take a leader 19 MB
FLOW_ESTIMATE_S = 60.0  # s; run time of a step that names none
FLOW_STEPS_SHOWN = 50  # steps in one answer: with their paths and jobs they stay below the protocol's 64 KiB
FLOW_LISTED = 20  # workflows in one answer, with causes and errors below 64 KiB
FLOW_WRITES_KEPT = 0.15  # of the changes a second that the driver leaves for starts, ends and users
FILES_TIMEOUT_S = 10.0  # s for one transfer from or to the store of uploads
LOAD_CONTENTS_BYTES = 64 * 1024  # CWL's bound of loadContents

# --- command line -----------------------------------------------------------------------------
CLIENT_TIMEOUT_S = 5.0  # s for one answer, as users of the protocol wait
CLIENT_AGAIN_S = 1.0  # s until a request is repeated, unless the answer asks for more
CLIENT_RETRY_S = 60.0  # s; a request is repeated for so long
CLIENT_POLL_S = 0.5  # s between two looks at a workflow that is watched
CLIENT_STEPS_SHARE = 0.01  # s per step between two looks at the steps of one: many steps are many records
TRY_TIMEOUT_S = 60.0  # s until `try` gives up waiting for its controllers or its demonstration
