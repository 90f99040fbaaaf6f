/*
 * Duties: calls to the platform that one node at a time makes. They are reports
 * of usage and orders of how many upstreams a service has. A part of
 * kwb_node.h, which includes it.
 */
#ifndef KWB_DUTY_H
#define KWB_DUTY_H

#ifndef KWB_NODE_H
#error "include kwb_node.h"
#endif

struct kwb_node;

/* ---- Usage: counts of requests by workspace --------------------------------
 */

struct kwb_usage_count {
	char *workspace;
	uint64_t requests;
};

/* Requests of each workspace in one window of time. */
struct kwb_usage_counts {
	struct kwb_usage_count **entries;
	uint32_t count;
	uint32_t capacity;
	size_t text_bytes;	/* of the encoded text, at the most */
	struct kwb_index index; /* of entries by workspace */
};

void kwb_usage_counts_init(struct kwb_usage_counts *counts); /* empty */
void kwb_usage_counts_finish(struct kwb_usage_counts *counts);
/* Adds requests of a workspace; KWB_ERR_MEMORY on failure. */
int kwb_usage_counts_add(
    struct kwb_usage_counts *counts, const char *workspace, uint64_t requests);
/* Appends lines "REQUESTS WORKSPACE" to out; KWB_ERR_MEMORY on failure. */
int kwb_usage_counts_encode(
    const struct kwb_usage_counts *counts, struct kwb_buf *out);
/*
 * Adds what such lines say. Returns KWB_ERR_STORE_UNREADABLE for other text,
 * of which nothing is added then, or KWB_ERR_MEMORY.
 */
int kwb_usage_counts_decode(
    struct kwb_usage_counts *counts, const char *text, size_t text_bytes);

/*
 * Rows of usage in the store, all in one partition:
 *   WINDOW/NODE/INCARNATION/ROW   what a node has counted in a window, its part
 *   report/WINDOW                 a report that was decided
 *   reported                      the newest window decided
 */
#define KWB_USAGE_TABLE "usage"
#define KWB_DUTY_PARTITION "duties"
#define KWB_USAGE_REPORT_PREFIX "report/"
#define KWB_USAGE_FLOOR_KEY "reported"
#define KWB_USAGE_WINDOW_FORMAT "%014llu"

/*
 * How long counts wait at a node until they are written, so that the writes of
 * all nodes together have a bounded rate; a pure function.
 */
uint64_t kwb_usage_write_delay_ns(uint32_t nodes, uint32_t window_ms);
/* Likewise, the spread of the writes that follow a window's end. */
uint64_t kwb_usage_final_spread_ns(uint32_t nodes);

/*
 * A row of the store with what this node has counted in a window. A window has
 * another row for each KWB_USAGE_ROW_ENTRIES_MAX workspaces.
 */
struct kwb_usage_window {
	uint64_t number;		/* of the window; 0: not in use */
	struct kwb_usage_counts counts; /* in all */
	uint32_t row_index;		/* of the rows of this process */
	uint64_t row_revision;		/* 0: not written yet */
	uint64_t write_ns;		/* when to write; 0: nothing unsaved */
};

/* Counts the requests of this node's callers and writes them to the store. */
struct kwb_usage_meter {
	struct kwb_store *store;
	const struct kwb_node_settings *settings;
	uint64_t incarnation;
	uint32_t fleet_nodes; /* estimate */
	bool is_stopping;     /* writes at once */
	struct kwb_usage_window windows[KWB_USAGE_WINDOWS_MAX];
	uint32_t rows_count; /* begun so far */
	struct kwb_store_call call;
	/* The row being written, or NULL. It is sent with the same value until
	 * the outcome is known. */
	struct kwb_usage_window *writing;
	struct kwb_buf written; /* that value */
	uint64_t retry_ns;	/* no call before, after a failed one */
};

void kwb_usage_meter_init(struct kwb_usage_meter *meter,
    struct kwb_store *store, const struct kwb_node_settings *settings,
    uint64_t incarnation);
void kwb_usage_meter_finish(struct kwb_usage_meter *meter);
/* Counts a request that an upstream began at that time of the wall clock. */
void kwb_usage_meter_count(
    struct kwb_usage_meter *meter, const char *workspace, uint64_t began_ms);
/* Writes what is due; called often. */
void kwb_usage_meter_check(struct kwb_usage_meter *meter);

/* What decides which window is reported next, and when. */
struct kwb_usage_plan_input {
	uint64_t now_ms; /* wall clock, as all times here */
	uint32_t window_ms;
	uint32_t late_ms;      /* after a window's end, its report is due */
	bool has_floor;	       /* a window was reported before */
	uint64_t floor;	       /* the newest one decided */
	uint64_t oldest_part;  /* window of the oldest part; 0 for none */
	uint64_t recovered_ms; /* when the store came back; 0 for never */
};

struct kwb_usage_plan {
	uint64_t window;    /* to decide next */
	uint64_t decide_ms; /* not before */
	bool is_first;	    /* to mark as the first one, with no report yet */
};

void kwb_usage_plan(const struct kwb_usage_plan_input *input,
    struct kwb_usage_plan *plan); /* pure */

/* ---- Duty calls ------------------------------------------------------------
 */

enum kwb_duty_outcome {
	KWB_DUTY_DONE,
	KWB_DUTY_RETRY,	  /* with the same body; it may have taken effect */
	KWB_DUTY_FENCED,  /* the platform has seen a higher token */
	KWB_DUTY_REJECTED /* the platform never takes this call */
};

/* What an answer, or the error instead of one, means; a pure function. */
enum kwb_duty_outcome kwb_duty_outcome(int error, uint16_t status);
/* Until the next try, after so many that failed in a row; a pure function. */
uint64_t kwb_duty_backoff_ns(uint32_t failures);

/* Who calls, which the platform checks. */
struct kwb_duty_stamp {
	const struct kwb_address *address; /* of the platform */
	const char *holder;		   /* name of this node */
	uint64_t fence;			   /* token of its lease */
};

/* An order of how many upstreams a service has in a failure domain. */
struct kwb_scale_order {
	const char *service;
	const char *failure_domain;
	uint32_t upstreams;
};

/* Writes duty calls as the platform takes them. */
struct kwb_duty_codec {
	/* KWB_ERR_MEMORY on failure; nothing is written then. */
	int (*write_usage)(const struct kwb_duty_stamp *stamp, uint64_t window,
	    const struct kwb_usage_counts *counts, struct evbuffer *out);
	int (*write_scale)(const struct kwb_duty_stamp *stamp,
	    const struct kwb_scale_order *order, struct evbuffer *out);
};

/* Makes one duty call at a time, only while the lease is held. */
struct kwb_duty_caller {
	struct kwb_client *client;
	const struct kwb_node_settings *settings;
	struct kwb_store_lease *lease; /* of the weight updater */
	struct kwb_exchange exchange;
	bool is_pending;
	uint64_t next_call_ns; /* the platform's rate allows none before */
	void (*on_done)(void *context, enum kwb_duty_outcome outcome);
	void *context; /* of the call in progress */
};

/* Whether a call can start now: the lease is held, and none is in progress. */
bool kwb_duty_caller_is_free(const struct kwb_duty_caller *caller);
/* The stamp of a call that starts now; false when the lease is not held. */
bool kwb_duty_caller_stamp(
    const struct kwb_duty_caller *caller, struct kwb_duty_stamp *stamp);
/* Sends request and empties it; on_done follows. 0 or an error. */
int kwb_duty_caller_start(struct kwb_duty_caller *caller,
    struct evbuffer *request,
    void (*on_done)(void *context, enum kwb_duty_outcome outcome),
    void *context);
/* Ends the call in progress without on_done. */
void kwb_duty_caller_cancel(struct kwb_duty_caller *caller);

/* ---- Usage reports ---------------------------------------------------------
 */

/* A report that is decided: sent as it is, by whichever node holds the lease.
 */
struct kwb_usage_report {
	uint64_t window;
	struct kwb_usage_counts counts;
	uint32_t failures; /* tries in a row */
	uint64_t retry_ns; /* not sent before */
	TAILQ_ENTRY(kwb_usage_report) entry;
};

TAILQ_HEAD(kwb_usage_report_list, kwb_usage_report);

/* A row of the usage table, as read. */
struct kwb_usage_row {
	char key[KWB_KEY_MAX_BYTES];
	uint64_t window;
	bool is_report; /* else a node's part */
	char *text;	/* its counts */
	size_t text_bytes;
};

/* Decides and sends the reports while this node holds the lease. */
struct kwb_usage_reporter {
	struct kwb_store *store;
	const struct kwb_node_settings *settings;
	const struct kwb_duty_codec *codec;
	struct kwb_duty_caller *caller;
	uint64_t fence; /* of the tenure that the rest is of; 0 for none */
	struct kwb_store_call call;
	uint64_t read_ns;	  /* when to read the table */
	uint64_t deciding_window; /* by the write in progress; 0 for none */
	struct kwb_usage_report_list reports; /* not sent yet, by window */
	struct kwb_usage_report *sending;     /* the first of them, or NULL */
	uint64_t sent_window;		      /* newest one sent; 0 for none */
	/* The table, as read. */
	char next_key[KWB_KEY_MAX_BYTES + 1]; /* of the next page; "": first */
	bool has_floor;
	uint64_t floor; /* newest window decided */
	uint64_t floor_revision;
	struct kwb_usage_row *rows;
	uint32_t rows_count;
	uint32_t rows_capacity;
};

void kwb_usage_reporter_init(struct kwb_usage_reporter *reporter,
    struct kwb_store *store, const struct kwb_node_settings *settings,
    const struct kwb_duty_codec *codec, struct kwb_duty_caller *caller);
void kwb_usage_reporter_finish(struct kwb_usage_reporter *reporter);
/* Starts what is due; called often. */
void kwb_usage_reporter_check(struct kwb_usage_reporter *reporter);

/* ---- Scale: numbers of upstreams -------------------------------------------
 */

/* Load of a service in one failure domain. */
struct kwb_scale_load {
	uint32_t upstreams; /* that take requests */
	uint32_t known;	    /* of these, with a recent report */
	uint64_t requests;  /* running and waiting there, of the known */
	uint64_t slots;	    /* requests that the known run at a time */
};

struct kwb_scale_input {
	uint32_t min;
	uint32_t max;
	const struct kwb_scale_load *load; /* by failure domain */
	uint32_t domains;
	uint32_t domain; /* the one to decide on */
};

/*
 * Upstreams that a failure domain needs: for its load, and to take the load of
 * another one that is lost. 0 when too few reports are known. A pure function.
 */
uint32_t kwb_scale_need(const struct kwb_scale_input *input);

/* The number ordered in a failure domain. */
struct kwb_scale_state {
	uint32_t target;    /* 0: not decided yet */
	uint32_t peak_need; /* since the last decrease was put off */
	uint64_t down_ns;   /* no decrease before */
};

/* Up at once, down slowly and in steps; a pure function. */
void kwb_scale_decide(struct kwb_scale_state *state, uint32_t need,
    uint32_t upstreams, uint32_t boot_ms, uint64_t now_ns);

/* An order's state: a service in a failure domain. */
struct kwb_scale_subject {
	char *service;
	char *failure_domain;
	struct kwb_scale_state state;
	uint32_t ordered;   /* by the last order that succeeded; 0 for none */
	uint32_t sent;	    /* by the order in progress */
	uint32_t failures;  /* of orders, in a row */
	uint64_t retry_ns;  /* no order before */
	uint64_t repeat_ns; /* ordered again if it has no effect until then */
};

/*
 * Each node writes what upstreams of scaled services reported to it; the holder
 * of the lease reads these rows and orders numbers of upstreams.
 */
struct kwb_scaler {
	struct kwb_store *store;
	const struct kwb_node_settings *settings;
	const struct kwb_duty_codec *codec;
	struct kwb_duty_caller *caller;
	struct kwb_registry *registry;
	const struct kwb_node_config *const *config;
	uint32_t fleet_nodes;		      /* estimate */
	struct kwb_store_call write;	      /* of the own row */
	uint64_t write_ns;		      /* when to write it next */
	uint64_t fence;			      /* of this tenure; 0 for none */
	struct kwb_store_call read;	      /* of the rows of all nodes */
	uint64_t read_ns;		      /* when to read them next */
	char next_key[KWB_KEY_MAX_BYTES + 1]; /* of the next page; "": first */
	struct kwb_scale_subject subjects[KWB_SCALE_SUBJECTS_MAX];
	uint32_t subjects_count;
	struct kwb_scale_subject *sending; /* NULL for none */
};

void kwb_scaler_init(struct kwb_scaler *scaler, struct kwb_node *node,
    struct kwb_duty_caller *caller);
void kwb_scaler_finish(struct kwb_scaler *scaler);
/* Starts what is due; called often. */
void kwb_scaler_check(struct kwb_scaler *scaler);

/* ---- Duties of a node ------------------------------------------------------
 */

struct kwb_duties {
	bool reports_usage; /* by the settings, as the next one */
	bool scales_services;
	struct kwb_duty_caller caller;
	struct kwb_usage_meter meter;
	struct kwb_usage_reporter reporter;
	struct kwb_scaler scaler;
};

/* Does nothing where the settings name no duty. */
void kwb_duties_init(struct kwb_duties *duties, struct kwb_node *node);
void kwb_duties_finish(struct kwb_duties *duties);
/* Called by the node's timer. */
void kwb_duties_check(struct kwb_duties *duties, uint32_t fleet_nodes);
/* The node stops: counts are written at once. */
void kwb_duties_stop(struct kwb_duties *duties);

#endif
