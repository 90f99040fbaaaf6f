/*
 * Compile-time limits. Every size, period and bound that is not an operator's
 * setting stands here, with its unit in its name.
 */
#ifndef KWB_CONFIG_H
#define KWB_CONFIG_H

#define KWB_VERSION "0.1.0"
#define KWB_PROTOCOL 1

/* Text and tables */
#define KWB_NAME_MAX_BYTES 64	 /* sizes of texts are with the NUL */
#define KWB_STORE_NAME_BYTES 201 /* a key of the store, with the NUL */
#define KWB_KEY_MAX_BYTES 192	 /* a request's key, or a row's in a table */
#define KWB_URL_MAX_BYTES 256
#define KWB_PLANS_MAX 64
#define KWB_RULES_MAX 16 /* of one plan */
#define KWB_MODELS_MAX 16
#define KWB_VMS_MAX 4096
#define KWB_PEERS_MAX 512  /* agents that an entry connects to */
#define KWB_LINKS_MAX 1024 /* of one event loop */
#define KWB_SEEDS_MAX 32
#define KWB_SHARDS 16	  /* parts of a shared table, each with its own lock */
#define KWB_FAULTS_MAX 64 /* reported for one document */
#define KWB_FAULT_MAX_BYTES 240 /* one message, with its NUL */

/* Wire */
#define KWB_FRAME_MAX_BYTES (4u << 20) /* without its length prefix */
/* Unsent bytes of a link, beyond which no more frames are queued. */
#define KWB_LINK_SEND_BUFFER_MAX_BYTES (32u << 20)
#define KWB_HEARTBEAT_PERIOD_NS (1000 * KWB_MS_NS) /* shortest period */
/*
 * An entry's links up to this many don't add to its heartbeat period; each
 * further one adds KWB_HEARTBEAT_PERIOD_PER_LINK_NS, so that all heartbeats
 * together take a bounded bandwidth.
 */
#define KWB_HEARTBEAT_FULL_RATE_LINKS 8
#define KWB_HEARTBEAT_PERIOD_PER_LINK_NS (160 * KWB_MS_NS)
/* A link is closed after this many heartbeat periods without data. */
#define KWB_LINK_TIMEOUT_HEARTBEATS 3
/* The delay before a link is opened again doubles from MIN to MAX. */
#define KWB_RECONNECT_DELAY_MIN_NS (250 * KWB_MS_NS)
#define KWB_RECONNECT_DELAY_MAX_NS (2000 * KWB_MS_NS)
/* While nothing changes, one in this many heartbeats has a status. */
#define KWB_STATUS_PERIOD_HEARTBEATS 5
/* Tokens of a sample are sent in batches, at most this often. */
#define KWB_PROGRESS_PERIOD_NS (50 * KWB_MS_NS)

/* HTTP */
#define KWB_STREAM_LINE_MAX_BYTES (1u << 20) /* of an engine's stream */
#define KWB_HTTP_BODY_MAX_BYTES (8u << 20)   /* of an answer */
/* A whole exchange, unless the request has its own timeout. */
#define KWB_HTTP_TIMEOUT_MS 2000
#define KWB_CONNECT_TIMEOUT_MS 500 /* until a connection is established */

/* Connections to upstreams and store */
/* A server that names no time is taken to keep idle connections this long. */
#define KWB_IDLE_DEFAULT_MS 2000
#define KWB_IDLE_MARGIN_MS 700	/* closed this long before the server would */
#define KWB_IDLE_CONNS_MAX 512	/* idle connections of a node */
#define KWB_CONN_IDS_MAX 64	/* requests that a connection remembers */
#define KWB_CONN_PASTS_MAX 1024 /* addresses remembered; 24 KB */
/* Between checks for connections that were idle for too long. */
#define KWB_IDLE_SWEEP_NS (500 * KWB_MS_NS)
/* Body of one answer; an object of the store is smaller. */
#define KWB_ANSWER_MAX_BYTES (9u << 20)
/* Bodies of all answers being read; a node has 160 MB of memory. */
#define KWB_ANSWER_BUDGET_BYTES (16u << 20)
/* A longer text fits no page of results. */
#define KWB_ITEM_TEXT_MAX_BYTES (1u << 20)
#define KWB_ITEM_TEXT_SMALL_BYTES 65536	   /* taken when memory is short, too */
#define KWB_SSE_EVENT_MAX_BYTES (1u << 20) /* one server-sent event */
/* The deadlines of an exchange are checked at least this often. */
#define KWB_EXCHANGE_CHECK_NS (250 * KWB_MS_NS)

/* Store of the platform */
#define KWB_FEED_WAIT_MS 1500 /* a silent feed is noticed within 3 s */
#define KWB_STORE_RETRY_NS (150 * KWB_MS_NS)	/* after a failed call */
#define KWB_STORE_WATCHDOG_NS (250 * KWB_MS_NS) /* between its checks */
/* Without an answer the store counts as silent; a node calls every 500 ms. */
#define KWB_STORE_SILENT_NS (750 * KWB_MS_NS)
/* Of a probe, while other calls are answered. */
#define KWB_PROBE_TIMEOUT_NS (1000 * KWB_MS_NS)
/* After an answer to a probe, until calls older than the probe are ended. */
#define KWB_GIVE_UP_DELAY_NS (100 * KWB_MS_NS)
/* Until another copy of a call is sent. */
#define KWB_READ_RESEND_NS (500 * KWB_MS_NS)   /* a busy store takes 0.2 s */
#define KWB_WRITE_RESEND_NS (1250 * KWB_MS_NS) /* writes queue for 1 s */

/* Peers: a way round a cut path to the store */
#define KWB_PATH_CHECK_NS (125 * KWB_MS_NS) /* between checks of the path */
/* A path without an answer for this long counts as silent. */
#define KWB_PATH_SILENT_NS (400 * KWB_MS_NS)
/* Probing without an answer for this long means a cut path; usual are 4 ms. */
#define KWB_PATH_UNANSWERED_NS (150 * KWB_MS_NS)
/* A probe is replaced after this; a slow store answers sooner. */
#define KWB_PATH_PROBE_TIMEOUT_NS (400 * KWB_MS_NS)
#define KWB_PATH_PARALLEL_PROBES 2	     /* peers probed at a time */
#define KWB_PATH_SEARCH_PEERS 6		     /* peers probed in one check */
#define KWB_STORE_PEERS_MAX 16		     /* peers known to a node */
#define KWB_PEERS_RETRY_NS (500 * KWB_MS_NS) /* after a failed call */
/* Second write and read: nodes that start together had no rows before. */
#define KWB_PEERS_FIRST_REFRESH_NS (4000 * KWB_MS_NS)
/* Between later writes of the own row and reads of others. */
#define KWB_PEERS_REFRESH_NS (60000 * KWB_MS_NS)
/* The row of a node that has not written it for so long is removed. */
#define KWB_PEER_EXPIRY_MS 600000
/* A node relays only if the store has answered it within this time. */
#define KWB_RELAY_FRESH_NS (1000 * KWB_MS_NS)
#define KWB_RELAY_PAIRS_MAX 128	     /* 10 connections of each of 12 peers */
#define KWB_RELAY_BUFFER_BYTES 65536 /* of a connection, in each direction */
#define KWB_RELAY_IDLE_S 5	     /* longer than a feed waits */

/* Keys of workspaces */
/* Of revoke-ms: margin for clocks that differ. */
#define KWB_ACCESS_MARGIN_DIVISOR 20
#define KWB_ACCESS_WAIT_DIVISOR 6 /* of revoke-ms: longest wait of a feed */
/* A feed that is unanswered for so long after its wait is asked again. */
#define KWB_ACCESS_LATE_NS (600 * KWB_MS_NS)
/* A request waits so long for the store's word on its key. */
#define KWB_ACCESS_WAIT_NS (300 * KWB_MS_NS)
/* Between questions for unknown keys; bounds what callers can cause. */
#define KWB_ACCESS_ASK_NS (150 * KWB_MS_NS)

/* Upstreams of the shared platform */
/*
 * A unit of work is a plain request or one event of a generation. Its pace is
 * the time it takes, and costs are fractions of it.
 */
#define KWB_CONNECT_COST 0.15	 /* of opening a connection */
#define KWB_PACE_NOISE_RATIO 1.6 /* plain requests vary by this factor */
#define KWB_SUSPECT_FAILURES 2	 /* in a row make an upstream suspect */
#define KWB_SUSPECT_NS (1000 * KWB_MS_NS)     /* first time it is avoided */
#define KWB_SUSPECT_MAX_NS (8000 * KWB_MS_NS) /* longest, as it doubles */
/* Between probes of one upstream while fewer than this part are sound. */
#define KWB_PANIC_PROBE_NS (250 * KWB_MS_NS)
#define KWB_PANIC_SOUND_PERCENT 50
/* How long a measured pace counts, and its baseline, which changes slowly. */
#define KWB_PACE_TTL_NS (4000 * KWB_MS_NS)
#define KWB_BASELINE_PACE_TTL_NS (60000 * KWB_MS_NS)
#define KWB_PACE_MEDIAN_MAX 32 /* upstreams that the median is taken over */
#define KWB_BASELINE_PACE_DIVISOR 1024 /* a rise counts by 1/1024 at a time */
/* Shorter times are delayed events that came together, longer ones pauses. */
#define KWB_PACE_MIN_NS (1 * KWB_MS_NS)
#define KWB_PACE_MAX_NS (500 * KWB_MS_NS)
#define KWB_SLOW_PERCENT 170 /* of its baseline: the pace is slow */
/* A reported slowness counts up to this many times the usual pace. */
#define KWB_SLOWNESS_RATIO_MAX 4
#define KWB_LOAD_PERCENT 60 /* a full upstream takes so much longer */
#define KWB_REPORT_TTL_NS (400 * KWB_MS_NS) /* a reported load counts */
/* How long to avoid an upstream that refused a request. */
#define KWB_REFUSED_BACKOFF_NS (60 * KWB_MS_NS)
/* Likewise, when another upstream has answered at its address. */
#define KWB_MISDIRECTED_BACKOFF_NS (1000 * KWB_MS_NS)
#define KWB_PREFIXES_MAX 1024	    /* prompt prefixes remembered; 72 KB */
#define KWB_FORWARD_RETRY_MIN_MS 15 /* no retry with less time left */
/* Added to an exchange's deadline, so that the request's own is first. */
#define KWB_FORWARD_MARGIN_NS (50 * KWB_MS_NS)
/* Between tries to find an upstream: for a request, and for its hedge. */
#define KWB_FORWARD_RETRY_NS (15 * KWB_MS_NS)
#define KWB_HEDGE_RETRY_NS (50 * KWB_MS_NS)
/* A delayed hedge leaves a third of the slots to other first attempts. */
#define KWB_HEDGE_SPARE_DIVISOR 3

/* Memory and descriptors */
/* Kept out of the budget: the process, the store, answers being read. */
#define KWB_MEMORY_RESERVE_BYTES (40u << 20)
#define KWB_MEMORY_BUDGET_MIN_DIVISOR 4 /* at least a quarter of the limit */
#define KWB_MEMORY_GUARANTEE_DIVISOR 8	/* an eighth for each use */
#define KWB_MEMORY_SMALL_DIVISOR 16	/* large bodies leave this to small */
#define KWB_SMALL_BODY_BYTES 65536
#define KWB_MEMORY_STEP_BYTES 65536 /* that a chunked body reserves at once */
/* A submission, its document while it is parsed, and its items. */
#define KWB_SUBMISSION_FACTOR 4
#define KWB_BODY_KEEP_BYTES 65536 /* buffer that a connection keeps */
/* Larger bodies are sent from where they are, not copied. */
#define KWB_BODY_COPY_MAX_BYTES 16384
#define KWB_BODY_WAIT_NS (2000 * KWB_MS_NS)    /* for room, then refused */
#define KWB_HOLDER_STALL_NS (1000 * KWB_MS_NS) /* without progress */
#define KWB_MEMORY_CHECK_NS (100 * KWB_MS_NS)  /* while room is short */
#define KWB_HOLDER_STEP_BYTES 65536	       /* that count as progress */
#define KWB_CONN_INPUT_BYTES 16384	       /* read ahead from a caller */
#define KWB_CONN_BYTES 8192	      /* of a connection, apart from bodies */
#define KWB_ANSWER_UNREAD_BYTES 65536 /* then no further request is read */
/* While so much of a stream is unread, its upstream isn't read either. */
#define KWB_STREAM_UNREAD_BYTES (256u << 10)
#define KWB_FDS_FOR_FILES 200	     /* of the limit in the settings */
#define KWB_FDS_OWN 16		     /* of the kernel's limit */
#define KWB_RELAY_SOCKETS_DIVISOR 20 /* sockets for a pair of a relay */
#define KWB_CHECK_SOCKETS_DIVISOR 32 /* sockets for a check's connection */
#define KWB_CHECK_CALLERS_MAX 64     /* connections for checks, on each port */
/* Own interface: bodies that an entry holds; a first frame at an agent. */
#define KWB_ENTRY_BODIES_MAX_BYTES (48u << 20)
#define KWB_FIRST_FRAME_MAX_BYTES 65536
#define KWB_LOOP_RECEIVE_MAX_BYTES (64u << 20) /* frames not yet whole */
/* Room */
#define KWB_ROOM_PASS_NS (15 * KWB_MS_NS) /* between tries of the waiters */
#define KWB_ROOM_WAITERS_MAX 256	  /* requests that wait in a node */
/* A reported load beyond so many times an upstream's slots is not believed. */
#define KWB_ROOM_LOAD_SLOTS_MAX 8
/* Requests of a node at a service, in thousandths, until it is crowded. */
#define KWB_ROOM_LIMIT_MAX_MILLI 256000
#define KWB_ROOM_LIMIT_MIN_MILLI 1000
/* An answer after this part of the time that its request had is late. */
#define KWB_ROOM_LATE_DIVISOR 2
/* How long an upstream's word that others wait there counts. */
#define KWB_ROOM_CROWDED_NS (1000 * KWB_MS_NS)
#define KWB_ROOM_SERVICES_MAX 16 /* with a limit; others have none */
/* A request that has waited this part of its time goes first, */
#define KWB_ROOM_OVERDUE_DIVISOR 2
#define KWB_ROOM_OVERDUE_NS (2000 * KWB_MS_NS)	  /* or for so long */
#define KWB_ROOM_SHARE_HALF_NS (1000 * KWB_MS_NS) /* halves a recent share */
#define KWB_ROOM_SHARES_MAX 128 /* workspaces with their own */
#define KWB_ROOM_LABELS_MAX 16	/* workspaces in the metrics */
#define KWB_ROOM_RANKS_MAX 4	/* ranks in the metrics; the last is the rest */
#define KWB_ROOM_RETURN_MIN_NS                                                 \
	(50 * KWB_MS_NS) /* until a refused one returns */
/* In which a node gets its config, while the store answers. */
#define KWB_ROOM_RETURN_CONFIG_NS (500 * KWB_MS_NS)
/* Part of its time left after which a caller tries another node. */
#define KWB_ROOM_RETURN_ELSEWHERE_DIVISOR 16
/* Callers wait for at most a third of the time that they have left. */
#define KWB_ROOM_RETURN_DIVISOR 3

/* Batches */
#define KWB_ITEM_TTL_MS 30000		    /* when no route names one */
#define KWB_ITEM_RETRY_NS (100 * KWB_MS_NS) /* after an upstream's error */
/* A stream without any byte for so long has failed; 40 usual event gaps. */
#define KWB_STREAM_IDLE_NS (1500 * KWB_MS_NS)
/* A gap this long between events is a stall; a load of weights takes 900 ms. */
#define KWB_STALL_NS (600 * KWB_MS_NS)
/* Likewise for the first event, which waits until the prompt is read. */
#define KWB_STALL_FIRST_EVENT_NS (1000 * KWB_MS_NS)
/* Priority in an upstream's queue, 0 first; requests that name none have 5. */
#define KWB_PRIORITY_CALLER 1  /* an interactive request */
#define KWB_PRIORITY_STARTED 3 /* an item that has events already */
#define KWB_PRIORITY_NEW 5     /* an item without events */
#define KWB_PRIORITY_SURPLUS 7 /* of a group that the trainer can miss */
/* No first event for so long: queued; it usually comes within 100 ms. */
#define KWB_QUEUED_NS (250 * KWB_MS_NS)
#define KWB_QUEUED_PACES 4 /* so many usual event gaps, if that is longer */
#define KWB_QUEUED_BACKOFF_NS (600 * KWB_MS_NS) /* then avoided so long */
#define KWB_STALL_PACES 10 /* so many usual event gaps, if that is longer */
#define KWB_WAIT_LOG_NS (1000 * KWB_MS_NS)   /* between lines of a batch */
#define KWB_SPLIT_WAIT_NS (1000 * KWB_MS_NS) /* for one service of a split */
#define KWB_MOVE_CHECK_NS (200 * KWB_MS_NS)  /* between checks of items */
/* So late a check shows that this process stood still, not an upstream. */
#define KWB_CHECK_DELAY_NS (300 * KWB_MS_NS)
#define KWB_MOVES_MAX 4			/* of one item */
#define KWB_READ_SAMPLE_MIN_TOKENS 1000 /* shorter prompts show no speed */
#define KWB_READ_RISE_DIVISOR 64	/* a slower reading counts by 1/64 */
#define KWB_MOVE_MARGIN_DIVISOR 6 /* a move gains this part of its estimate */
#define KWB_MOVE_GAIN_MIN_NS (100 * KWB_MS_NS) /* and at least so much */
#define KWB_MOVE_START_NS (40 * KWB_MS_NS)     /* connects, reads all again */
#define KWB_OVERRUN_DIVISOR 2 /* a text beyond its hint goes on for half */
#define KWB_MOVE_MIN_NS (300 * KWB_MS_NS)   /* at an upstream before a move */
#define KWB_CHECKPOINT_NS (500 * KWB_MS_NS) /* between writes of texts */
#define KWB_CHECKPOINT_MIN_EVENTS 20	    /* a second of work */
#define KWB_CHECKPOINT_EVENTS 8	  /* new events that make a text due again */
#define KWB_SCORE_SPARE_DIVISOR 3 /* leaves a third of slots to callers */
#define KWB_SCORE_WAIT_NS (1000 * KWB_MS_NS)	/* longest wait for room */
#define KWB_SCORE_URGENT_NS (1500 * KWB_MS_NS)	/* before its batch is due */
#define KWB_SCORE_TIMEOUT_MS 1500		/* when no route names one */
#define KWB_CONFIG_REFRESH_NS (500 * KWB_MS_NS) /* while known to be old */
#define KWB_DISPATCH_NS (20 * KWB_MS_NS)     /* between checks for free slots */
#define KWB_BATCH_RETRY_NS (100 * KWB_MS_NS) /* after a failed store call */
#define KWB_TX_MAX_BYTES (400u << 10)	   /* of values; 1 MB encoded as text */
#define KWB_RESULTS_MAX 100		   /* results in one answer */
#define KWB_RESULTS_MAX_BYTES (900u << 10) /* likewise, their size */
#define KWB_READ_POLL_NS (60 * KWB_MS_NS)  /* between a reader's polls */
#define KWB_READ_RETRY_NS (120 * KWB_MS_NS)	 /* after a failed read */
#define KWB_OWNER_CHECK_NS (400 * KWB_MS_NS)	 /* between checks of owners */
#define KWB_OWNER_HEARTBEAT_NS (400 * KWB_MS_NS) /* an owner's period */
/* An owner is expired after so many reads without a change, and so long. */
#define KWB_OWNER_EXPIRED_READS 3
#define KWB_OWNER_EXPIRED_NS (1600 * KWB_MS_NS)
/*
 * No item starts when the store has not answered for so long: a batch's end
 * has to be known to its owner within 3 s.
 */
#define KWB_DISPATCH_STORE_AGE_NS (2200 * KWB_MS_NS)
#define KWB_OWNER_RECENT_NS (900 * KWB_MS_NS)	 /* age of a recent heartbeat */
#define KWB_OWNER_LINGER_NS (10000 * KWB_MS_NS)	 /* it goes on after a batch */
#define KWB_OWNER_FORGET_NS (600000 * KWB_MS_NS) /* then its row is removed */
#define KWB_SWEEP_CHECK_NS (1000 * KWB_MS_NS)	 /* between removals */
/* Claims of a whole core are spread over so long, of a tenth ten times that. */
#define KWB_CLAIM_SPREAD_NS (50 * KWB_MS_NS)
#define KWB_CLAIM_SPREAD_MAX_NS (600 * KWB_MS_NS)
#define KWB_CLAIM_SPREAD_NODES 48   /* fleet for which that spread is enough */
#define KWB_OWNER_PROCESSOR_RATIO 2 /* so much larger ones become owner */
#define KWB_CLAIMS_MAX 32	    /* claims in progress */

/* Nodes */
#define KWB_CALLER_IDLE_TIMEOUT_MS 15000 /* where the config sets none */
#define KWB_CALLER_HEAD_TIMEOUT_MS 3000	 /* where the config sets none */
#define KWB_BATCH_END_TIMEOUT_MS 3000	/* with retries while the store fails */
#define KWB_BATCH_READ_WAIT_MAX_MS 1000 /* a read may wait for a new result */
#define KWB_BATCH_READ_TIMEOUT_MS 1500	/* likewise, after that wait */
#define KWB_NODE_CHECK_NS (200 * KWB_MS_NS) /* between checks by the timer */
/* In an outage of the store this long, entries of upstreams may expire. */
#define KWB_STORE_OUTAGE_NS (1000 * KWB_MS_NS)
/* An upstream whose entry is missing this long after an outage is removed. */
#define KWB_UPSTREAM_RETURN_NS (2300 * KWB_MS_NS)
/* A node is not ready when the store has not answered for so long. */
#define KWB_READY_STORE_AGE_NS (5000 * KWB_MS_NS)
/* Shortest stop: the load balancer checks the node three times meanwhile. */
#define KWB_STOP_MIN_NS (3000 * KWB_MS_NS)
#define KWB_STOP_MARGIN_MS 1200 /* from the deadline of a stop to SIGKILL */
#define KWB_STOP_WRITE_NS (500 * KWB_MS_NS) /* for answers at the deadline */
#define KWB_LOG_FLUSH_NS (100 * KWB_MS_NS)  /* between flushes of the buffer */
#define KWB_LOG_BUFFER_BYTES 65536	    /* of lines not yet written */
/* Of warnings and errors, and of other lines; more are dropped and counted. */
#define KWB_LOG_LINES_PER_S 400

/* Platform */
#define KWB_LISTS_POLL_NS (1000 * KWB_MS_NS) /* between reads of the lists */
#define KWB_VMS_POLL_NS (2000 * KWB_MS_NS)   /* between reads of the VM list */
#define KWB_SHARE_POLL_NS (2000 * KWB_MS_NS) /* between reads of the row */
#define KWB_SHARE_HOLDERS_MIN 32     /* agents that hold a plan's units */
#define KWB_SHARE_UNITS_PER_HOLDER 8 /* more agents for more units */
/* An entry stays linked to a plan's agents this long after its last request. */
#define KWB_DEMAND_TTL_NS (60000 * KWB_MS_NS)
/* An agent that the platform has not listed for this long loses its units. */
#define KWB_SHARE_RECLAIM_NS (10000 * KWB_MS_NS)
#define KWB_CAS_TRIES 8 /* of a compare-and-set that meets another writer */

/* Requests */
#define KWB_CALL_TIMEOUT_MS 30000   /* when neither caller nor rule names one */
#define KWB_STEP_TIMEOUT_MS 540000  /* of one pull of a step's samples */
#define KWB_JOURNAL_JOBS_MAX 16384  /* jobs that an agent remembers */
#define KWB_JOB_RETENTION_MS 600000 /* a finished job is remembered */
#define KWB_JOURNAL_MAX_BYTES (48u << 20) /* of answers kept by an agent */
#define KWB_JOB_ATTACHMENTS_MAX 4	  /* requests that wait for one job */
#define KWB_JOB_ORPHAN_NS (10000 * KWB_MS_NS) /* unattached until cancelled */
#define KWB_TICKET_TTL_MS 300000	      /* a key is refused when older */
#define KWB_RETRY_PERCENT 10		      /* retries per 100 first tries */
#define KWB_RETRY_BURST 20		      /* retries on top of that */
#define KWB_QUEUE_POLL_NS (5 * KWB_MS_NS)     /* between tries to start */
#define KWB_PEER_BUSY_NS (20 * KWB_MS_NS)     /* not chosen after it was busy */
#define KWB_PEER_TRIP_NS (1000 * KWB_MS_NS)   /* not chosen after failures */
#define KWB_PEER_TRIP_FAILURES 3 /* in a row, before it is not chosen */

/* Duties */
#define KWB_USAGE_WINDOWS_MAX 16      /* rows of a node that may wait */
#define KWB_USAGE_ROW_ENTRIES_MAX 600 /* workspaces in a row */
#define KWB_USAGE_ROW_MAX_BYTES 50000 /* of their lines; a row takes 60,000 */
/* A node's counts wait at least so long, and longer in a larger fleet. */
#define KWB_USAGE_WRITE_MIN_NS (500 * KWB_MS_NS)
#define KWB_USAGE_WRITE_NS_PER_NODE (20 * KWB_MS_NS) /* 50 writes a second */
/* Of the writes after a window's end, which are over in 2 s. */
#define KWB_USAGE_FINAL_NS_PER_NODE (5 * KWB_MS_NS)
#define KWB_USAGE_FINAL_MAX_NS (2000 * KWB_MS_NS)
/* A report is decided after this part of the time until it is due. */
#define KWB_USAGE_DECIDE_PERCENT 25
/* Nodes write what they have this long after an outage of the store. */
#define KWB_USAGE_RECOVERY_MS 1000
/* An empty window that is overdue for so long is not reported. */
#define KWB_USAGE_STALE_MS 60000
#define KWB_DUTY_TIMEOUT_NS (1000 * KWB_MS_NS) /* of a call */
/* The delay before a call is made again doubles from MIN to MAX. */
#define KWB_DUTY_RETRY_MIN_NS (200 * KWB_MS_NS)
#define KWB_DUTY_RETRY_MAX_NS (1600 * KWB_MS_NS)
#define KWB_DUTY_TRIES_MAX 100	  /* then a report is given up */
#define KWB_SCALE_SUBJECTS_MAX 64 /* scaled services in failure domains */
#define KWB_SCALE_PERIOD_NS (1000 * KWB_MS_NS) /* between decisions */
/* A report of load counts for so long, and longer in a larger fleet. */
#define KWB_SCALE_REPORT_NS (5000 * KWB_MS_NS)
#define KWB_SCALE_FILL_PERCENT 70      /* of the slots, at the load as it is */
#define KWB_SCALE_LOSS_FILL_PERCENT 90 /* after a failure domain is lost */
/* No decrease for so long after the load last needed the number, and no order
 * again. Added to it is how long an upstream takes to boot. */
#define KWB_SCALE_DOWN_NS (10000 * KWB_MS_NS)
#define KWB_SCALE_REPEAT_NS (10000 * KWB_MS_NS)
#define KWB_SCALE_STEP_DIVISOR 4 /* of the number, in one decrease */

/* Weights */
#define KWB_LEASE_MS 6000 /* lost when not renewed */
#define KWB_LEASE_RENEW_NS (2000 * KWB_MS_NS)
#define KWB_WEIGHTS_POLL_NS (500 * KWB_MS_NS)	/* for the newest version */
#define KWB_SWAP_TIMEOUT_MS 15000		/* of an engine's swap */
#define KWB_UPDATER_PERIOD_NS (100 * KWB_MS_NS) /* between checks for loads */
#define KWB_UPDATER_DELAY_NS (10 * KWB_MS_NS)	/* one check for many answers */
#define KWB_ASSIGN_PERIOD_NS (1000 * KWB_MS_NS) /* models to upstreams */
#define KWB_WEIGHT_LOAD_NS (900 * KWB_MS_NS)	/* usual time while few load */
/* First status check of a load: its usual time and the delay of reports. */
#define KWB_WEIGHT_LOAD_CHECK_NS (1120 * KWB_MS_NS)
#define KWB_WEIGHT_LOAD_RECHECK_NS (150 * KWB_MS_NS) /* later checks */
#define KWB_WEIGHT_LOAD_RETRY_NS (500 * KWB_MS_NS)   /* after a refused order */
/* Of the slots that a model's largest batch fills: its trainer keeps two
 * batches open, and some replicas are loading. */
#define KWB_REPLICA_SLOTS_PERCENT 250
/* Of a model's replicas, loaded before batches need the new version. */
#define KWB_WEIGHT_LOAD_AHEAD_PERCENT 80
#define KWB_WEIGHT_LOAD_AHEAD_DIVISOR 4 /* a quarter of replicas at a time */
#define KWB_WEIGHT_LOAD_MIN_NS (700 * KWB_MS_NS)  /* no load takes less */
#define KWB_WEIGHT_LOAD_MAX_NS (3000 * KWB_MS_NS) /* then the order is lost */
#define KWB_LAG_DEFAULT_VERSIONS 1 /* until a batch shows what it allows */
#define KWB_WEIGHT_LOADS_MIN 2	   /* at once; more slow each other down */
#define KWB_WEIGHT_LOADS_DIVISOR 5 /* a fifth of the upstreams at once */
#define KWB_ORDER_TIMEOUT_MS 1000  /* of an order or a status request */

#endif
