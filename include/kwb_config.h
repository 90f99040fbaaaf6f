/*
 * Compile-time limits. Every size, period and bound that is not an operator's
 * setting stands here, with its unit in its name.
 */
#ifndef KWB_CONFIG_H
#define KWB_CONFIG_H

#define KWB_VERSION "0.1.0"
#define KWB_PROTOCOL 1

/* Text and tables */
#define KWB_NAME_MAX_BYTES 64
#define KWB_KEY_MAX_BYTES 192
#define KWB_URL_MAX_BYTES 256
#define KWB_PLANS_MAX 64
#define KWB_RULES_MAX 16
#define KWB_MODELS_MAX 16
#define KWB_VMS_MAX 4096
#define KWB_PEERS_MAX 512
#define KWB_LINKS_MAX 1024
#define KWB_SEEDS_MAX 32
#define KWB_SHARDS 16
#define KWB_FAULTS_MAX 64
#define KWB_FAULT_MAX_BYTES 240

/* Wire */
#define KWB_FRAME_MAX_BYTES (4u << 20)
#define KWB_LINK_OUT_MAX_BYTES (32u << 20)
#define KWB_HEARTBEAT_NS (1000 * KWB_MS_NS)
#define KWB_HEARTBEAT_LINKS 8 /* beyond these, beats come less often */
#define KWB_HEARTBEAT_LINK_NS (160 * KWB_MS_NS)
#define KWB_LINK_SILENT_BEATS 3
#define KWB_RECONNECT_NS (250 * KWB_MS_NS)
#define KWB_RECONNECT_MAX_NS (2000 * KWB_MS_NS)
#define KWB_STATUS_BEATS 5
#define KWB_PROGRESS_NS (50 * KWB_MS_NS)

/* HTTP */
#define KWB_BODY_MAX_BYTES (8u << 20)
#define KWB_HTTP_TIMEOUT_MS 2000
#define KWB_CONNECT_TIMEOUT_MS 500

/* Connections to upstreams and store */
/* A server that names no time is taken to keep idle connections this long. */
#define KWB_IDLE_DEFAULT_MS 2000
#define KWB_IDLE_MARGIN_MS 700 /* closed this long before the server would */
#define KWB_IDLE_CONNS_MAX 512 /* idle connections of a node */
/* Between checks for connections that were idle for too long. */
#define KWB_IDLE_SWEEP_NS (500 * KWB_MS_NS)
/* Body of one answer; an object of the store is smaller. */
#define KWB_ANSWER_MAX_BYTES (9u << 20)
/* Bodies of all answers being read; a node has 160 MB of memory. */
#define KWB_ANSWER_BUDGET_BYTES (16u << 20)
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

/* Upstreams of the shared platform */
#define KWB_CONNECT_COST 0.15  /* of a new connection, in pieces of work */
#define KWB_PACE_NOISE 1.6     /* plain work varies by so much */
#define KWB_SUSPECT_FAILURES 2 /* in a row, before an upstream is avoided */
#define KWB_SUSPECT_NS (1000 * KWB_MS_NS)     /* first time it is avoided */
#define KWB_SUSPECT_MAX_NS (8000 * KWB_MS_NS) /* longest, as it doubles */
#define KWB_PACE_KEEP_NS (4000 * KWB_MS_NS)   /* a measured pace counts */
#define KWB_PACE_USUAL_NS (60000 * KWB_MS_NS) /* likewise, while not slow */
#define KWB_PACE_USUAL_MAX 32	/* upstreams looked at for the usual pace */
#define KWB_PACE_CALM_PART 1024 /* of a change: slow to follow */
#define KWB_PACE_MIN_NS (1 * KWB_MS_NS)	      /* shorter: held up on the way */
#define KWB_PACE_MAX_NS (500 * KWB_MS_NS)     /* longer is a pause */
#define KWB_REPORT_KEEP_NS (400 * KWB_MS_NS)  /* a reported load counts */
#define KWB_REFUSED_NS (60 * KWB_MS_NS)	      /* left alone after it was full */
#define KWB_MISDIRECTED_NS (1000 * KWB_MS_NS) /* address of another one */
#define KWB_PARTS_MAX 1024	/* parts of prompts known; 72 KB */
#define KWB_FORWARD_LEAST_MS 15 /* no new try with less time left */
#define KWB_FORWARD_MARGIN_NS (50 * KWB_MS_NS) /* its own deadline is first */
#define KWB_FORWARD_RETRY_NS (15 * KWB_MS_NS)  /* between looks for a place */
#define KWB_HEDGE_RETRY_NS (50 * KWB_MS_NS)    /* likewise, for a second try */
#define KWB_HEDGE_SPARE_PART 3 /* a third of the slots is left to others */

/* Batches */
#define KWB_ITEM_TTL_MS 30000		       /* when no route names one */
#define KWB_ITEM_RETRY_NS (100 * KWB_MS_NS)    /* after an upstream's error */
#define KWB_ITEM_SILENCE_NS (1500 * KWB_MS_NS) /* 40 times a usual pause */
#define KWB_EVENT_SILENCE_NS (600 * KWB_MS_NS) /* below a load's 900 */
#define KWB_FIRST_EVENT_NS (1000 * KWB_MS_NS)  /* with the prompt's read */
/* Order in an upstream's queue, 0 first; requests that name none have 5. */
#define KWB_PRIORITY_CALLER 1
#define KWB_PRIORITY_BEGUN 3
#define KWB_PRIORITY_NEW 5
#define KWB_PRIORITY_SPARE 7
#define KWB_QUEUED_NS (250 * KWB_MS_NS) /* a first event comes in 100 */
#define KWB_QUEUED_PACES 4 /* so many usual pauses, where that is more */
#define KWB_QUEUED_KEEP_NS (600 * KWB_MS_NS) /* left alone after that */
#define KWB_SILENCE_PACES 10 /* so many usual pauses, where that is more */
#define KWB_MOVE_LOOK_NS (200 * KWB_MS_NS)  /* between looks for slow items */
#define KWB_MOVES_MAX 4			    /* of one item */
#define KWB_MOVE_LEAST_NS (300 * KWB_MS_NS) /* before it is moved again */
#define KWB_CHECKPOINT_NS (500 * KWB_MS_NS) /* between writes of texts */
#define KWB_CHECKPOINT_LEAST 20		    /* events, a second of work */
#define KWB_CHECKPOINT_EVENTS 8 /* a text that has grown by so many */
#define KWB_REWARD_SPARE_PART 3 /* a third of the slots is left to callers */
#define KWB_REWARD_WAIT_NS (1000 * KWB_MS_NS)	/* for room, at most */
#define KWB_REWARD_URGENT_NS (1500 * KWB_MS_NS) /* before its batch is due */
#define KWB_SCORE_TIMEOUT_MS 1500		/* when no route names one */
#define KWB_PUMP_NS (20 * KWB_MS_NS)	     /* between looks for free places */
#define KWB_BATCH_RETRY_NS (100 * KWB_MS_NS) /* after a failed store call */
#define KWB_TX_MAX_BYTES (400u << 10) /* of values; 1 MB as text at most */
#define KWB_RESULTS_MAX 100	      /* results in one answer */
#define KWB_RESULTS_MAX_BYTES (900u << 10)
#define KWB_READ_POLL_NS (60 * KWB_MS_NS)   /* a reader's look for results */
#define KWB_READ_RETRY_NS (120 * KWB_MS_NS) /* likewise, after a failure */
#define KWB_MINDER_NS (400 * KWB_MS_NS)	    /* between looks at owners */
#define KWB_BEAT_NS (400 * KWB_MS_NS)	    /* between beats of an owner */
#define KWB_BEAT_READS 3 /* reads without a beat before a take-over */
#define KWB_OWNER_SILENT_NS (1600 * KWB_MS_NS)	/* likewise, time */
#define KWB_START_STORE_NS (2200 * KWB_MS_NS)	/* ends are known in 3 s */
#define KWB_OWNER_ALIVE_NS (900 * KWB_MS_NS)	/* its last beat is so new */
#define KWB_OWNER_STAY_NS (10000 * KWB_MS_NS)	/* beats on without batches */
#define KWB_BEAT_FORGET_NS (600000 * KWB_MS_NS) /* a node gone for good */
#define KWB_SWEEP_NS (1000 * KWB_MS_NS) /* between looks for old batches */
/* Claims of a whole core are spread over so long, of a tenth ten times that. */
#define KWB_CLAIM_SPREAD_NS (50 * KWB_MS_NS)
#define KWB_CLAIM_SPREAD_MAX_NS (600 * KWB_MS_NS)
#define KWB_CLAIM_NODES 48	    /* nodes for which that spread is enough */
#define KWB_OWNER_PROCESSOR_TIMES 2 /* so much larger nodes get the batches */
#define KWB_CLAIMS_MAX 32 /* conditional writes of heads in progress */

/* Nodes */
#define KWB_CALLER_IDLE_MS 15000  /* before a config names one */
#define KWB_CALLER_HEAD_MS 3000	  /* likewise */
#define KWB_END_TRY_MS 3000	  /* a batch's end is tried for this long */
#define KWB_READ_WAIT_MAX_MS 1000 /* a reader waits for a result */
#define KWB_READ_TRY_MS 1500	  /* a read without store is tried */
#define KWB_NODE_TICK_NS (200 * KWB_MS_NS)
#define KWB_STORE_AWAY_NS (1000 * KWB_MS_NS)  /* entries may have lapsed */
#define KWB_ENTRY_BACK_NS (2300 * KWB_MS_NS)  /* after its return, or gone */
#define KWB_READY_STORE_NS (5000 * KWB_MS_NS) /* ready without the store */
#define KWB_STOP_LEAST_NS (3000 * KWB_MS_NS)  /* the balancer looks thrice */
#define KWB_STOP_MARGIN_MS 1200		      /* ended before the kill */
#define KWB_LOG_FLUSH_NS (100 * KWB_MS_NS)
#define KWB_LOG_BUFFER_BYTES 65536
#define KWB_LOG_LINES_PER_S 400 /* further lines are counted, not written */

/* Platform */
#define KWB_LISTS_POLL_NS (1000 * KWB_MS_NS)
#define KWB_VMS_POLL_NS (2000 * KWB_MS_NS)
#define KWB_SHARE_POLL_NS (2000 * KWB_MS_NS)
#define KWB_HOME_AGENTS_MIN 32
#define KWB_HOME_UNITS 8
#define KWB_DEMAND_NS (60000 * KWB_MS_NS)
#define KWB_SHARE_GONE_NS (10000 * KWB_MS_NS)
#define KWB_CAS_TRIES 8

/* Requests */
#define KWB_CALL_TIMEOUT_MS 30000
#define KWB_STEP_TIMEOUT_MS 540000
#define KWB_JOBS_MAX 16384
#define KWB_JOB_KEEP_MS 600000
#define KWB_SAMPLE_KEEP_BYTES (48u << 20)
#define KWB_ATTACH_MAX 4
#define KWB_ORPHAN_NS (10000 * KWB_MS_NS)
#define KWB_TICKET_MS 300000
#define KWB_RETRY_PERCENT 10
#define KWB_RETRY_BURST 20
#define KWB_QUEUE_POLL_NS (5 * KWB_MS_NS)
#define KWB_BUSY_NS (20 * KWB_MS_NS)
#define KWB_TRIP_NS (1000 * KWB_MS_NS)
#define KWB_TRIP_FAILURES 3

/* Weights */
#define KWB_LEASE_MS 6000
#define KWB_LEASE_RENEW_NS (2000 * KWB_MS_NS)
#define KWB_WEIGHTS_POLL_NS (500 * KWB_MS_NS)
#define KWB_SWAP_TIMEOUT_MS 15000
#define KWB_MOVER_NS (100 * KWB_MS_NS)	    /* between looks at what to order */
#define KWB_MOVER_SOON_NS (10 * KWB_MS_NS)  /* answers come together */
#define KWB_PLAN_NS (1000 * KWB_MS_NS)	    /* between plans of homes */
#define KWB_LOAD_NS (900 * KWB_MS_NS)	    /* a load takes, while few load */
#define KWB_LOAD_SEEN_NS (1120 * KWB_MS_NS) /* and is in reports, which lag */
#define KWB_LOAD_LOOK_NS (150 * KWB_MS_NS)  /* between questions after that */
#define KWB_LOAD_RETRY_NS (500 * KWB_MS_NS) /* after a refused order */
#define KWB_HOMES_PERCENT 250 /* two batches are open, and some homes load */
#define KWB_LOAD_AHEAD_PERCENT 80 /* homes loaded before they must be */
#define KWB_LOAD_HOMES_PART 4	  /* a quarter of a model's homes at a time */
#define KWB_LOAD_LEAST_NS (700 * KWB_MS_NS) /* no load is done before */
#define KWB_LOAD_MOST_NS (3000 * KWB_MS_NS) /* an order may be lost */
#define KWB_LAG_USUAL 1	 /* versions, before a batch has said it */
#define KWB_LOADS_MIN 2	 /* loads at once; more slow each other down */
#define KWB_LOADS_PART 5 /* one in so many upstreams of a service */
#define KWB_ORDER_TIMEOUT_MS 1000

#endif
