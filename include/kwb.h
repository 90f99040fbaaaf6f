/*
 * knapweedbarrow: the API of libkwb, section by section.
 *
 * Conventions: functions that can fail return 0 or a negative KWB_ERR_ number;
 * init/finish and load/unload are pairs on memory the caller owns; deadlines
 * are nanoseconds of kwb_clock_now_ns(); units stand in names.
 */
#ifndef KWB_H
#define KWB_H

#include <getopt.h>
#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#define KWB_MS_NS 1000000ull /* nanoseconds in a millisecond */

#include "kwb_config.h"

/* ---- Errors ---------------------------------------------------------- */

/*
 * Error numbers of all sections. Those of refused and failed requests are sent
 * to peers, so a number never changes its meaning.
 */
enum {
	KWB_ERR_MEMORY = -1,	    /* an allocation failed */
	KWB_ERR_ARGUMENT = -2,	    /* an invalid argument or text */
	KWB_ERR_SETTINGS = -3,	    /* a settings file with faults */
	KWB_ERR_SYSTEM = -4,	    /* a system call failed */
	KWB_ERR_WIRE_FRAME = -100,  /* a frame that can't be decoded */
	KWB_ERR_WIRE_SIZE = -101,   /* a frame, body or queue over its limit */
	KWB_ERR_WIRE_CLOSED = -102, /* the link to the peer is closed */
	KWB_ERR_NET_CONNECT = -120, /* no connection: nothing was sent */
	KWB_ERR_NET_STALE = -121,   /* a reused connection closed unanswered */
	KWB_ERR_NET_CLOSED = -122,  /* the peer closed before the end */
	KWB_ERR_NET_RESET = -123,   /* the peer reset the connection */
	KWB_ERR_NET_TIMEOUT = -124, /* no answer, or no more of it, in time */
	KWB_ERR_NET_MALFORMED = -125,	     /* not HTTP */
	KWB_ERR_NET_HEAD_SIZE = -126,	     /* head over its limit */
	KWB_ERR_NET_BODY_SIZE = -127,	     /* body over its limit */
	KWB_ERR_STORE_CONFLICT = -150,	     /* a condition did not hold */
	KWB_ERR_STORE_REFUSED = -151,	     /* nothing was done */
	KWB_ERR_STORE_NO_ANSWER = -152,	     /* may take effect, now or later */
	KWB_ERR_STORE_HISTORY_GONE = -153,   /* changes that are not kept */
	KWB_ERR_STORE_MISSING = -154,	     /* no such object */
	KWB_ERR_STORE_UNREADABLE = -155,     /* a row that can't be read */
	KWB_ERR_PLATFORM_UNREACHABLE = -200, /* no valid answer */
	KWB_ERR_PLATFORM_CONFLICT = -201,    /* the row has another revision */
	KWB_ERR_PLATFORM_MISSING = -202,     /* no such row */
	KWB_ERR_LISTS_INVALID = -300,	     /* lists with faults */
	KWB_ERR_LISTS_CONFLICT = -301,	     /* edits that can't be merged */
	KWB_ERR_LISTS_NONE = -302, /* no lists yet, or older than needed */
	KWB_ERR_ROUTE_NO_UPSTREAM = -400, /* none can serve the request */
	KWB_ERR_ROUTE_FULL = -401,	  /* all that could serve it are full */
	KWB_ERR_CALL_BUSY = -500,	  /* the agent has no capacity for it */
	KWB_ERR_CALL_LEAVING = -501,	  /* the agent is shutting down */
	KWB_ERR_CALL_STALE_LISTS = -502,  /* sent under outdated lists */
	KWB_ERR_CALL_INCARNATION = -503,  /* the agent has restarted */
	KWB_ERR_CALL_FENCED = -504,	 /* a newer attempt or token is known */
	KWB_ERR_CALL_BARRED = -505,	 /* its key was reported as not run */
	KWB_ERR_CALL_DEADLINE = -506,	 /* not started by its deadline */
	KWB_ERR_CALL_UPSTREAM = -507,	 /* the upstream failed */
	KWB_ERR_CALL_OLD_WEIGHTS = -508, /* below the version it needs */
	KWB_ERR_CALL_CANCELLED = -509,	 /* cancelled by the sender */
	KWB_ERR_CALL_FORGOTTEN = -510,	 /* key too old to know if it ran */
	KWB_ERR_WEIGHTS_FENCE_UNKNOWN = -600, /* its token can't be read */
	KWB_ERR_WEIGHTS_SWAP = -601 /* the engine did not load the weights */
};

/* Short name of an error number; "ok" for 0. */
const char *kwb_error_name(int error);

/* ---- Command line ---------------------------------------------------- */

/*
 * Prints a bash command that completes the long options and the words of a
 * program. The options end with an entry without a name, the words with NULL.
 */
void kwb_completion_print(FILE *out, const char *program,
    const struct option *options, const char *const *words);

/* ---- Clock ----------------------------------------------------------- */

/* Nanoseconds of the monotonic clock, which all deadlines use. */
uint64_t kwb_clock_now_ns(void);
/* Wall-clock milliseconds since the epoch, for times that leave the process. */
uint64_t kwb_clock_wall_ms(void);
/* Whole milliseconds until a deadline; 0 if it has passed. */
uint64_t kwb_clock_remaining_ms(uint64_t deadline_ns);
/* Suspends the thread; a signal may end it early. */
void kwb_clock_sleep_ns(uint64_t length_ns);
/* Makes a condition variable for kwb_cond_wait_until(). */
void kwb_cond_init(pthread_cond_t *cond);
/* Waits for a signal or the deadline; may also return earlier. */
void kwb_cond_wait_until(
    pthread_cond_t *cond, pthread_mutex_t *lock, uint64_t deadline_ns);

/* ---- Log ------------------------------------------------------------- */

/*
 * One line for each event: the module, then key=value fields. Lines go to
 * standard error, or through a buffer to standard output.
 */

enum kwb_log_level { KWB_LOG_DEBUG, KWB_LOG_INFO, KWB_LOG_WARN, KWB_LOG_ERROR };

/* Sets the name in each line and the lowest level that is written. */
void kwb_log_init(const char *process, enum kwb_log_level min_level);
/* Writes a line, cut at 1024 bytes; the format begins with event=. */
void kwb_log(enum kwb_log_level level, const char *module, const char *format,
    ...) __attribute__((format(printf, 3, 4)));
/*
 * Makes standard output non-blocking; lines go there through a buffer. Lines
 * over KWB_LOG_LINES_PER_S or over a full buffer are dropped and counted. For
 * processes that log in one thread only; they call kwb_log_flush() regularly.
 */
void kwb_log_enable_buffering(void);
/*
 * Writes as much of the buffer as is possible without blocking; discards it if
 * standard output fails.
 */
void kwb_log_flush(void);

/* ---- Buffers and text ------------------------------------------------ */

/* A byte buffer that grows as data is added; a NUL follows added data. */
struct kwb_buf {
	char *data; /* NULL while nothing is allocated */
	size_t used_bytes;
	size_t capacity_bytes; /* allocated */
};

/* Makes an empty buffer; allocates nothing. */
void kwb_buf_init(struct kwb_buf *buf);
/* Frees the data; the buffer is empty and can be used again. */
void kwb_buf_finish(struct kwb_buf *buf);
/* Allocates space for more_bytes and a NUL; KWB_ERR_MEMORY on failure. */
int kwb_buf_reserve(struct kwb_buf *buf, size_t more_bytes);
/* Appends bytes; KWB_ERR_MEMORY on failure. */
int kwb_buf_add(struct kwb_buf *buf, const void *data, size_t length_bytes);
/* Appends formatted text; KWB_ERR_MEMORY on failure. */
int kwb_buf_printf(struct kwb_buf *buf, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/* Removes bytes from the front; no NUL follows the rest. */
void kwb_buf_consume(struct kwb_buf *buf, size_t length_bytes);
/* The data as a C string; "" for a buffer without data, never NULL. */
const char *kwb_buf_text(const struct kwb_buf *buf);
/* Copies a string, cut to fit into capacity_bytes with its NUL. */
void kwb_text_copy(char *to, size_t capacity_bytes, const char *from);
/*
 * Makes *text a copy of from, of any length, and frees the text before; NULL is
 * no text. KWB_ERR_MEMORY on failure: *text is as before.
 */
int kwb_text_replace(char **text, const char *from);

/* ---- Metrics --------------------------------------------------------- */

/*
 * Counters, gauges and latency histograms of the process. Any thread may use
 * them.
 */

enum kwb_metric {
	KWB_METRIC_REQUESTS_RAN,     /* answered by an upstream */
	KWB_METRIC_REQUESTS_NOT_RUN, /* certainly not run */
	KWB_METRIC_REQUESTS_UNKNOWN, /* failed, but may have run */
	KWB_METRIC_RETRIES,	     /* further attempts at failed requests */
	KWB_METRIC_HEDGES,  /* further attempts while the first is slow */
	KWB_METRIC_RESUMES, /* generations continued from earlier tokens */
	KWB_METRIC_SAMPLES_DELIVERED,	/* sent to trainers */
	KWB_METRIC_SAMPLES_STALE,	/* discarded: made by weights too old */
	KWB_METRIC_TOKENS,		/* received from engines */
	KWB_METRIC_TOKENS_WASTED,	/* of discarded samples */
	KWB_METRIC_REFUSED_FENCED,	/* superseded requests and orders */
	KWB_METRIC_REFUSED_STALE_LISTS, /* sent under outdated lists */
	KWB_METRIC_WEIGHT_SWAPS, /* done by an agent, or ordered by a node */
	KWB_METRIC_WEIGHT_SWAP_FAILURES,
	KWB_METRIC_LINKS_LOST,	      /* links to peers that were closed */
	KWB_METRIC_CONTROL_BYTES,     /* sent to peers, apart from requests */
	KWB_METRIC_STORE_DETOURS,     /* switches to a path through a peer */
	KWB_METRIC_UPSTREAMS_LEAVING, /* upstreams that said that they leave */
	KWB_METRIC_CONFIGS_REFUSED,   /* configs that can't be parsed */
	KWB_METRIC_KEYS_UNKNOWN,   /* requests with no key, or no valid one */
	KWB_METRIC_KEYS_UNPROVED,  /* not admitted: config may be outdated */
	KWB_METRIC_RELAYED_BYTES,  /* between peers and the store */
	KWB_METRIC_USAGE_REQUESTS, /* counted for reports of usage */
	KWB_METRIC_USAGE_REPORTS,  /* sent */
	KWB_METRIC_USAGE_REPORTS_LATE, /* of these, later than they were due */
	KWB_METRIC_SCALE_ORDERS,       /* of numbers of upstreams, sent */
	KWB_METRIC_DUTY_CALLS_REFUSED, /* for an old token, or as invalid */
	KWB_METRIC_BODIES_REFUSED,     /* for want of memory */
	KWB_METRIC_HOLDERS_CLOSED,     /* stalled clients that gave way */
	KWB_METRIC_CALLERS_REFUSED,    /* or closed for want of descriptors */
	KWB_METRIC_MOVES,	       /* of running items to other upstreams */
	KWB_METRIC_MOVES_WON_MS,       /* by moves, as expected before them */
	KWB_METRIC_MOVES_LOST_MS,
	/* Connections to upstreams, in the order of enum kwb_conn_cause. */
	KWB_METRIC_CONNS_FIRST,
	KWB_METRIC_CONNS_BUSY,
	KWB_METRIC_CONNS_NOT_REPEATABLE,
	KWB_METRIC_CONNS_SAME_ID,
	KWB_METRIC_CONNS_CUT,
	KWB_METRIC_CONNS_CLOSED,
	KWB_METRIC_CONNS_RESET,
	KWB_METRIC_CONNS_IDLE,
	KWB_METRIC_LATE_ANSWERS,    /* dropped: to earlier requests */
	KWB_METRIC_ROOM_QUEUED,	    /* requests that had to wait for a place */
	KWB_METRIC_ROOM_REFUSED,    /* requests without a place in time */
	KWB_METRIC_MEMORY_CALLS,    /* gauge: bytes of bodies of calls */
	KWB_METRIC_MEMORY_BATCHES,  /* gauge: of submissions and batches */
	KWB_METRIC_MEMORY_ANSWERS,  /* gauge: of answers not yet read */
	KWB_METRIC_CALLERS_OPEN,    /* gauge: connections of callers */
	KWB_METRIC_LISTS_REVISION,  /* gauge: lists or config in force */
	KWB_METRIC_CONFIG_LEFT_OUT, /* gauge: parts of it that can't be used */
	KWB_METRIC_COUNT
};

/* Adds to a counter. */
void kwb_metric_add(enum kwb_metric metric, uint64_t amount);
/* Sets a gauge. */
void kwb_metric_set(enum kwb_metric metric, uint64_t value);
/* Value of a counter or gauge. */
uint64_t kwb_metric_get(enum kwb_metric metric);

enum kwb_histogram {
	KWB_HISTOGRAM_CALLER,	/* a caller's request, to its last byte */
	KWB_HISTOGRAM_UPSTREAM, /* a forwarded attempt, to its last byte */
	KWB_HISTOGRAM_ITEM,	/* an item, from its submission to its result */
	KWB_HISTOGRAM_STORE,	/* a call to the store other than a feed */
	KWB_HISTOGRAM_ROOM,	/* a request's wait for a place */
	KWB_HISTOGRAM_RETURN,	/* the time after which refused ones return */
	KWB_HISTOGRAM_COUNT
};

/* Counts a latency in its bucket. */
void kwb_histogram_observe(enum kwb_histogram histogram, uint64_t latency_ns);
/* Appends all metrics in the text format of Prometheus. */
void kwb_metrics_print(struct kwb_buf *out);

/* ---- Faults in settings and lists ------------------------------------ */

/* What is wrong in a document, one message each, to report them at once. */
struct kwb_faults {
	unsigned count;
	char text[KWB_FAULTS_MAX][KWB_FAULT_MAX_BYTES];
};

/* Appends a message, cut to its size; ignored after KWB_FAULTS_MAX. */
void kwb_faults_add(struct kwb_faults *faults, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* ---- Settings of a process ------------------------------------------- */

/*
 * Settings of kwb-entry and kwb-agent, each read from a YAML file at the start
 * of the process. The fields below are keys of the file.
 */

struct kwb_address {
	char ip[KWB_NAME_MAX_BYTES]; /* IPv4, as text */
	uint16_t port;
};

/* What an agent sends requests to. */
enum kwb_upstream_kind {
	KWB_UPSTREAM_ENGINE, /* an inference engine */
	KWB_UPSTREAM_SERVICE /* an HTTP service without a model */
};

/* An agent to start with, until the platform has listed the VMs. */
struct kwb_seed {
	char vm[KWB_NAME_MAX_BYTES];	  /* its name */
	char address[KWB_NAME_MAX_BYTES]; /* IP:PORT */
	char failure_domain[KWB_NAME_MAX_BYTES];
	char pool[KWB_NAME_MAX_BYTES];
};

struct kwb_entry_settings {
	char vm[KWB_NAME_MAX_BYTES];		 /* name of the VM */
	char failure_domain[KWB_NAME_MAX_BYTES]; /* that the VM is in */
	char listen[KWB_NAME_MAX_BYTES];	 /* IP:PORT for callers */
	char platform[KWB_URL_MAX_BYTES];	 /* URL of the platform */
	char policy[KWB_NAME_MAX_BYTES]; /* of routing; empty for the default */
	uint32_t workers;		 /* threads that serve callers */
	uint32_t subset;   /* agents of a pool that the entry connects to */
	uint32_t drain_ms; /* for requests in progress when it is stopped */
	struct kwb_seed *seeds;
	uint32_t seeds_count;
};

struct kwb_agent_settings {
	char vm[KWB_NAME_MAX_BYTES];		 /* name of the VM */
	char failure_domain[KWB_NAME_MAX_BYTES]; /* that the VM is in */
	char listen[KWB_NAME_MAX_BYTES];	 /* IP:PORT for entries */
	char platform[KWB_URL_MAX_BYTES];	 /* URL of the platform */
	char pool[KWB_NAME_MAX_BYTES];	  /* pool that the agent serves */
	char upstream[KWB_URL_MAX_BYTES]; /* URL of the engine or service */
	char metrics[KWB_NAME_MAX_BYTES]; /* IP:PORT; empty for none */
	enum kwb_upstream_kind upstream_kind;
	bool upstream_fences; /* read, but not used */
	uint32_t slots;	      /* requests that the upstream runs at a time */
	uint32_t interactive_reserve; /* slots kept for interactive requests */
	uint32_t drain_ms; /* for requests in progress when it is stopped */
};

/*
 * Reads and checks a file. Returns KWB_ERR_SETTINGS, sets *settings to NULL
 * and appends to faults if the file can't be read or holds invalid values.
 */
int kwb_entry_settings_load(struct kwb_entry_settings **settings,
    const char *path, struct kwb_faults *faults);
/* Frees settings; NULL is allowed. */
void kwb_entry_settings_unload(struct kwb_entry_settings *settings);
/* Like kwb_entry_settings_load(). */
int kwb_agent_settings_load(struct kwb_agent_settings **settings,
    const char *path, struct kwb_faults *faults);
/* Frees settings; NULL is allowed. */
void kwb_agent_settings_unload(struct kwb_agent_settings *settings);
/* Parses "IP:PORT" with an IPv4 address; KWB_ERR_ARGUMENT if it is not one. */
int kwb_address_parse(struct kwb_address *address, const char *text);

/* ---- The two lists: plans and allowances ------------------------------ */

/*
 * The configuration that operators write: plans say what customers may run,
 * allowances how many requests of each plan may run and wait. Both lists stand
 * in one YAML document, which is a row of the platform's table; the revision of
 * the lists is that of the row. The fields below are keys of the document.
 */

enum kwb_plan_kind {
	KWB_PLAN_TRAINING,    /* a trainer pulls samples, step by step */
	KWB_PLAN_INTERACTIVE, /* completions, streamed or whole */
	KWB_PLAN_SERVICE      /* HTTP calls to a service without a model */
};

/* What the scheduling of a training plan keeps low. */
enum kwb_objective {
	KWB_OBJECTIVE_IDLE,	/* idle time of servers */
	KWB_OBJECTIVE_STALENESS /* age of the weights that make samples */
};

/* How the HTTP calls of a service plan that match it are treated. */
struct kwb_rule {
	char method[16]; /* matched exactly */
	char path[128];	 /* prefix of the call's path */
	bool idempotent; /* may be run more than once */
	uint32_t timeout_ms;
};

struct kwb_plan {
	char name[KWB_NAME_MAX_BYTES];
	char customer[KWB_NAME_MAX_BYTES];
	char pool[KWB_NAME_MAX_BYTES];	/* of the agents that serve the plan */
	char model[KWB_NAME_MAX_BYTES]; /* empty for a service plan */
	enum kwb_plan_kind kind;
	enum kwb_objective objective;
	uint32_t staleness_versions; /* weights may lag the trainer's by this */
	bool mixed_versions;	/* one sample may use several weight versions */
	uint32_t max_tokens;	/* of one generation */
	struct kwb_rule *rules; /* of a service plan; the first match counts */
	uint32_t rules_count;
};

struct kwb_allowance {
	char plan[KWB_NAME_MAX_BYTES];
	uint32_t concurrent; /* requests that run at the same time */
	uint32_t queue;	     /* further requests that wait */
};

struct kwb_platform;

struct kwb_lists {
	uint64_t revision; /* 0 before the first write */
	struct kwb_plan *plans;
	uint32_t plans_count;
	struct kwb_allowance *allowances;
	uint32_t allowances_count;
};

/* A document that lists were parsed from, to name file and line in faults. */
struct kwb_lists_source {
	const char *file;
	const char *text;
};

/*
 * Parses a document. KWB_ERR_LISTS_INVALID with faults; *lists may be set even
 * then, so that kwb_lists_check() can find further faults.
 */
int kwb_lists_parse(struct kwb_lists **lists,
    const struct kwb_lists_source *source, struct kwb_faults *faults);

/* Appends the lists as a YAML document. */
int kwb_lists_print(const struct kwb_lists *lists, struct kwb_buf *out);
void kwb_lists_free(struct kwb_lists *lists); /* lists may be NULL */

/*
 * Checks names, ranges and references. KWB_ERR_LISTS_INVALID with every fault;
 * file and line are given where one of the sources has the field.
 */
int kwb_lists_check(const struct kwb_lists *lists,
    const struct kwb_lists_source *sources, unsigned sources_count,
    struct kwb_faults *faults);

/* The plan of that name; NULL for none, also without lists. */
const struct kwb_plan *kwb_lists_find_plan(
    const struct kwb_lists *lists, const char *name);

/* The allowance of a plan; NULL for none, also without lists. */
const struct kwb_allowance *kwb_lists_find_allowance(
    const struct kwb_lists *lists, const char *plan);

/* The first rule that matches a call; NULL for none. */
const struct kwb_rule *kwb_plan_match_rule(
    const struct kwb_plan *plan, const char *method, const char *path);

/* Appends differing entries, "-" old and "+" new, and returns their number. */
int kwb_lists_diff(const struct kwb_lists *from, const struct kwb_lists *to,
    struct kwb_buf *out);

/*
 * Three-way merge, entry by entry. KWB_ERR_LISTS_CONFLICT, with a description
 * appended to conflicts, where both sides changed an entry differently.
 */
int kwb_lists_merge(struct kwb_lists **merged, const struct kwb_lists *base,
    const struct kwb_lists *theirs, const struct kwb_lists *ours,
    struct kwb_buf *conflicts);

/* Reads the lists from the table; empty ones before the first write. */
int kwb_lists_fetch(
    const struct kwb_platform *platform, struct kwb_lists **lists);

/* Reads an older revision; KWB_ERR_PLATFORM_MISSING if it was not kept. */
int kwb_lists_fetch_revision(const struct kwb_platform *platform,
    uint64_t revision, struct kwb_lists **lists);

/*
 * Merges an edit, begun from ours->revision, with later ones and writes the
 * result; sets the revision then in force. KWB_ERR_LISTS_CONFLICT with
 * conflicts, KWB_ERR_LISTS_INVALID with faults, or a KWB_ERR_PLATFORM_ number
 * after repeated tries.
 */
int kwb_lists_apply(const struct kwb_platform *platform,
    const struct kwb_lists *ours, uint64_t *revision, struct kwb_buf *conflicts,
    struct kwb_faults *faults);

/*
 * The newest lists that this process knows. Readers use RCU and never wait for
 * an update; the revision never decreases.
 */
int kwb_current_lists_init(void);		/* before any thread reads */
void kwb_current_lists_finish(void);		/* after the last reader */
void kwb_current_lists_register_thread(void);	/* before a thread reads */
void kwb_current_lists_unregister_thread(void); /* before that thread ends */

/*
 * Takes a document with a higher revision: 1 if taken, 0 if it is not newer,
 * KWB_ERR_LISTS_INVALID or KWB_ERR_MEMORY.
 */
int kwb_current_lists_update(
    const char *text, size_t length_bytes, uint64_t revision);
uint64_t kwb_current_lists_revision(void); /* 0 before the first update */

/* The lists, valid until the read is unlocked; NULL before the first update. */
const struct kwb_lists *kwb_current_lists_read_lock(void);
void kwb_current_lists_read_unlock(void);

/* Appends the document as received; KWB_ERR_LISTS_NONE before the first. */
int kwb_current_lists_text(struct kwb_buf *out, uint64_t *revision);

/* ---- HTTP client ------------------------------------------------------
 *
 * Blocking HTTP requests to the platform and to upstreams. Each thread has its
 * own connection, which is kept open between its requests.
 */

struct kwb_http_request {
	const char *method;
	const char *url;
	const char *content_type;      /* NULL for none */
	const char *expected_revision; /* If-Match; "*" only inserts */
	const char *known_revision;    /* If-None-Match: 304 if unchanged */
	const void *body;	       /* NULL for none */
	size_t body_bytes;
	uint32_t timeout_ms; /* of the whole exchange; 0 for the default */
	/*
	 * For requests that must not run twice: libcurl resends a request by
	 * itself when a kept connection turns out to be closed.
	 */
	bool needs_new_connection;
	/* Gets the body in pieces if set; false aborts the exchange. */
	bool (*on_data)(void *context, const char *data, size_t length_bytes);
	/* Called regularly, also while no data arrives; true aborts. */
	bool (*should_stop)(void *context);
	void *context; /* passed to both callbacks */
};

struct kwb_http_answer {
	long status;	   /* 0 unless the whole answer was received */
	bool sent;	   /* false only if certainly nothing was sent */
	uint64_t revision; /* from the ETag; 0 for none */
	char content_type[KWB_NAME_MAX_BYTES];
	struct kwb_buf body; /* empty if on_data is set */
};

/* Initializes the client; once per process, before threads start. */
void kwb_http_init(void);

/* Frees what the process and the calling thread hold; once, at the end. */
void kwb_http_finish(void);

/*
 * Sends a request and waits for the answer, which must be finished also after
 * an error. Returns 0 for an answer of any status from 200 to 599,
 * KWB_ERR_PLATFORM_UNREACHABLE for none, a malformed one, one cut off in its
 * head or by its length, a timeout, an abort or a body over
 * KWB_HTTP_BODY_MAX_BYTES, or KWB_ERR_MEMORY.
 */
int kwb_http_do(
    const struct kwb_http_request *request, struct kwb_http_answer *answer);

void kwb_http_answer_finish(struct kwb_http_answer *answer); /* frees it */

/* ---- Platform: table, object store, weight store, VM list -------------
 *
 * Client of the platform's services. Its functions return 0,
 * KWB_ERR_PLATFORM_MISSING if there is no such row or object,
 * KWB_ERR_PLATFORM_CONFLICT if the row is at another revision, or
 * KWB_ERR_PLATFORM_UNREACHABLE. Each change of a row raises its revision.
 */

struct kwb_platform {
	char url[KWB_URL_MAX_BYTES];
};

enum kwb_vm_state { KWB_VM_LIVE, KWB_VM_LEAVING };

/* A VM that runs an entry or an agent. */
struct kwb_vm {
	char vm[KWB_NAME_MAX_BYTES];
	char failure_domain[KWB_NAME_MAX_BYTES];
	char role[KWB_NAME_MAX_BYTES]; /* entry or agent */
	char pool[KWB_NAME_MAX_BYTES]; /* of an agent; plans name theirs */
	struct kwb_address address;    /* where its process listens */
	enum kwb_vm_state state;
};

struct kwb_vms {
	uint32_t count;	   /* VMs over KWB_VMS_MAX are left out */
	uint64_t revision; /* of the list, by the platform; 0 before a read */
	struct kwb_vm vms[KWB_VMS_MAX];
};

/* Sets the platform's base URL; sends nothing. */
void kwb_platform_init(struct kwb_platform *platform, const char *url);

/* Appends a row's value and sets its revision. */
int kwb_table_get(const struct kwb_platform *platform, const char *key,
    struct kwb_buf *value, uint64_t *revision);

/* As kwb_table_get, but returns 1 if the row is still at known_revision. */
int kwb_table_poll(const struct kwb_platform *platform, const char *key,
    uint64_t known_revision, struct kwb_buf *value, uint64_t *revision);

/*
 * Writes a row if it is at expected_revision, or inserts it if that is 0, and
 * sets its new revision. If the answer is lost, the row is read back to learn
 * whether the write took effect.
 */
int kwb_table_put(const struct kwb_platform *platform, const char *key,
    const char *value, size_t length_bytes, uint64_t expected_revision,
    uint64_t *revision);

/* Writes an object. */
int kwb_object_put(const struct kwb_platform *platform, const char *name,
    const char *data, size_t length_bytes);

/* Appends an object's content. */
int kwb_object_get(const struct kwb_platform *platform, const char *name,
    struct kwb_buf *data);

/* Reads the newest published weight version of a model. */
int kwb_weights_newest(
    const struct kwb_platform *platform, const char *model, uint64_t *version);

/*
 * Reads the list of VMs; returns 1 if it is still at vms->revision. VMs without
 * a valid address are left out.
 */
int kwb_vms_get(const struct kwb_platform *platform, struct kwb_vms *vms);

/* Reads the row of the two lists, as kwb_table_poll. */
int kwb_lists_read(const struct kwb_platform *platform, uint64_t known_revision,
    struct kwb_buf *text, uint64_t *revision);

/* ---- Wire: framed links between entries and agents --------------------
 *
 * A frame is one protobuf message with a length prefix. A link is a TCP
 * connection that carries frames both ways; a loop serves many links on one
 * thread. A link that receives nothing for KWB_LINK_TIMEOUT_HEARTBEATS
 * heartbeat periods is closed. Ids of links are never used again.
 */

struct Kwb__Wire__Frame;

/*
 * Callbacks of a loop, called on its thread with no link locked; on_close also
 * on the thread that finishes the loop.
 */
struct kwb_link_ops {
	void (*on_open)(void *context, uint64_t link_id, uint32_t tag);
	void (*on_frame)(void *context, uint64_t link_id, uint32_t tag,
	    struct Kwb__Wire__Frame *frame); /* the callee frees the frame */
	void (*on_close)(void *context, uint64_t link_id, uint32_t tag);
	/* A heartbeat is due; the callee sends it. */
	void (*on_heartbeat)(void *context, uint64_t link_id, uint32_t tag);
};

struct kwb_link {
	pthread_mutex_t lock;
	uint64_t id; /* 0 if this one is not in use */
	int fd;
	uint32_t tag; /* the caller's number of a peer; 0 if accepted */
	bool is_connecting;
	bool has_received;	   /* a whole frame */
	bool is_watching_writable; /* epoll reports when it can be written */
	uint64_t heartbeat_period_ns;
	uint64_t silence_deadline_ns; /* closed unless data arrives by then */
	uint64_t next_heartbeat_ns;   /* when the next one is due */
	struct kwb_buf receive_buffer;
	uint64_t unfinished_bytes; /* of it, in the sum of the loop */
	struct kwb_buf send_buffer;
};

/* An event loop: a thread and the links that it serves. */
struct kwb_loop {
	const struct kwb_link_ops *ops;
	void *context; /* passed to the callbacks */
	int epoll_fd;
	int listen_fd; /* -1 if it does not listen */
	uint64_t next_link_number;
	uint64_t unfinished_bytes; /* of frames that are not whole, all links */
	volatile bool is_stopping;
	pthread_t thread;
	pthread_mutex_t links_lock; /* held while a link is added */
	struct kwb_link links[KWB_LINKS_MAX];
};

/*
 * Appends a frame. Fails with KWB_ERR_WIRE_SIZE over KWB_FRAME_MAX_BYTES or
 * KWB_ERR_MEMORY.
 */
int kwb_frame_pack(const struct Kwb__Wire__Frame *frame, struct kwb_buf *out);

/*
 * Takes one frame off the front. Returns 1 with a frame, 0 if more bytes are
 * needed, or KWB_ERR_WIRE_SIZE or KWB_ERR_WIRE_FRAME, after which the stream
 * is unusable.
 */
int kwb_frame_unpack(struct kwb_buf *in, struct Kwb__Wire__Frame **frame);

void kwb_frame_free(struct Kwb__Wire__Frame *frame); /* frees one, or NULL */

/* Prepares a loop without links; KWB_ERR_SYSTEM if epoll fails. */
int kwb_loop_init(
    struct kwb_loop *loop, const struct kwb_link_ops *ops, void *context);

/*
 * Accepts links at an address. KWB_ERR_ARGUMENT if it is not an IPv4 address,
 * KWB_ERR_SYSTEM if it can't be bound.
 */
int kwb_loop_listen(struct kwb_loop *loop, const struct kwb_address *address);

int kwb_loop_start(
    struct kwb_loop *loop); /* starts the thread; 0 or KWB_ERR_SYSTEM */
void kwb_loop_finish(struct kwb_loop *loop); /* ends it, closes all links */

/*
 * Begins to connect and sets the new link's id; on_open follows once it is
 * connected, on_close if that fails. The tag is passed to all callbacks.
 * KWB_ERR_ARGUMENT if the address is not IPv4, KWB_ERR_MEMORY if there are
 * KWB_LINKS_MAX links, else KWB_ERR_SYSTEM or KWB_ERR_WIRE_CLOSED.
 */
int kwb_loop_connect(struct kwb_loop *loop, const struct kwb_address *address,
    uint32_t tag, uint64_t *link_id);

/*
 * Queues a frame and never blocks. KWB_ERR_WIRE_CLOSED if the link is closed,
 * KWB_ERR_WIRE_SIZE if more than KWB_LINK_SEND_BUFFER_MAX_BYTES are unsent or
 * the frame is too large, or KWB_ERR_MEMORY.
 */
int kwb_link_send(struct kwb_loop *loop, uint64_t link_id,
    const struct Kwb__Wire__Frame *frame);

void kwb_link_close(
    struct kwb_loop *loop, uint64_t link_id); /* on_close follows */

/*
 * Sets the time between heartbeats; the peer must set the same. Ignored below
 * KWB_HEARTBEAT_PERIOD_NS.
 */
void kwb_link_set_heartbeat_period(
    struct kwb_loop *loop, uint64_t link_id, uint64_t heartbeat_period_ns);

/* Makes heartbeats due on all links at the loop's next check. */
void kwb_loop_heartbeat_now(struct kwb_loop *loop);

/* ---- Member: subsets and leases --------------------------------------- */

/*
 * Which agents an entry connects to, and leases with fencing tokens in the
 * platform's table. Agents are chosen by rendezvous hashing: each VM's rank
 * follows from names alone, so that a VM that comes or goes moves few others.
 */

uint64_t kwb_hash(const char *text, uint64_t seed); /* XXH64 of a text */

/*
 * Chooses up to wanted agents of each pool for the entry self, spread over
 * failure domains. Writes indices into vms->vms and returns their number.
 */
unsigned kwb_subset_select(const struct kwb_vms *vms, const char *self,
    const char *failure_domain, unsigned wanted, uint32_t *chosen,
    unsigned chosen_max);

/*
 * Chooses the holders of a plan: up to wanted agents of its pool, which should
 * hold the units of its allowance; kwb_share_holders() says how many. Writes at
 * most chosen_max indices into vms->vms and returns their number.
 */
unsigned kwb_holders_select(const struct kwb_vms *vms, const char *pool,
    const char *plan, unsigned wanted, uint32_t *chosen, unsigned chosen_max);

struct kwb_lease {
	char name[KWB_KEY_MAX_BYTES];	 /* key of its row in the table */
	char holder[KWB_NAME_MAX_BYTES]; /* name that this process writes */
	uint64_t incarnation;		 /* start of this process */
	uint64_t fencing_token;		 /* valid while held */
	uint64_t renewals;		 /* writes of the row so far */
	uint64_t seen_revision;		 /* of the row while another holds it */
	uint64_t seen_deadline_ns;	 /* expired if unchanged until then */
};

/* Prepares to try for a lease; nothing is written yet. */
void kwb_lease_init(struct kwb_lease *lease, const char *name,
    const char *holder, uint64_t incarnation);

/*
 * Acquires the lease or renews it. KWB_ERR_PLATFORM_CONFLICT while another
 * holds it; after any other error it is not known whether it is held.
 */
int kwb_lease_acquire(
    struct kwb_lease *lease, const struct kwb_platform *platform);

/* Gives the lease up, if it is held; without the platform it expires. */
void kwb_lease_release(
    struct kwb_lease *lease, const struct kwb_platform *platform);

/* Reads the highest token given out for a lease; 0 if it was never held. */
int kwb_lease_read_token(const struct kwb_platform *platform, const char *name,
    uint64_t *fencing_token);

/* ---- Limit: shares of an allowance, retry budget ----------------------- */

/*
 * The agents of a pool divide a plan's allowance among them: every unit that
 * an agent holds lets one request of the plan run there.
 */

struct kwb_share_member {
	char vm[KWB_NAME_MAX_BYTES];
	uint64_t incarnation; /* not used */
	uint32_t units;	      /* that it holds, by the table's row */
};

uint32_t kwb_share_holders(uint32_t allowance,
    unsigned members); /* number of members that should hold units of a plan */
uint32_t kwb_share_fair(uint32_t allowance, const char *plan,
    const struct kwb_share_member *members, unsigned count,
    unsigned self); /* units that members[self] should hold */
uint32_t kwb_share_next(uint32_t allowance, const char *plan,
    const struct kwb_share_member *members, unsigned count, unsigned self,
    uint32_t running); /* units that members[self] may write to the row now */

/* Bounds a plan's retries to KWB_RETRY_PERCENT and a burst; thread-safe. */
struct kwb_retry_budget {
	pthread_mutex_t lock;
	uint64_t first_tries; /* recent ones; older ones fade out */
	uint64_t retries;     /* likewise */
};

void kwb_retry_budget_init(
    struct kwb_retry_budget *budget); /* nothing counted yet */
void kwb_retry_budget_finish(
    struct kwb_retry_budget *budget); /* destroys its lock */
void kwb_retry_budget_add_try(
    struct kwb_retry_budget *budget); /* counts a request */
bool kwb_retry_budget_take(
    struct kwb_retry_budget *budget); /* counts a retry; false when spent */

/* ---- Route: which upstream takes a request ----------------------------- */

/*
 * An entry chooses among the agents of a plan's pool, each beside one upstream.
 * The default policy is the one to run; the others are simple baselines to
 * compare with, without hedging and without slack for weight swaps.
 */

enum kwb_policy {
	KWB_POLICY_DEFAULT,	/* two random choices, and two by the prompt */
	KWB_POLICY_ROUND_ROBIN, /* a random one with capacity */
	KWB_POLICY_LEAST_LOAD
};

/* An agent that a request may be sent to. */
struct kwb_candidate {
	const char *vm;
	bool usable;	  /* connected, up, not leaving, not tripped */
	bool same_domain; /* in the entry's failure domain */
	bool swapping;	  /* changes its weights, so nothing starts there */
	uint64_t version; /* weights of the request's model */
	uint32_t units;	  /* share of the plan's allowance held there */
	uint32_t plan_in_flight; /* of the plan: own, and others as reported */
	uint32_t slots;		 /* requests that run at a time */
	uint32_t in_flight;	 /* of all plans, likewise */
};

/* What a request needs. */
struct kwb_route_query {
	const char *affinity_key; /* prompt, hashed; NULL for none */
	uint64_t min_version;	  /* oldest weights allowed */
	uint64_t random;	  /* 64 random bits */
	int exclude;		  /* index of a candidate, -1 for none */
	bool priority;		  /* may exceed slots, but not units */
	enum kwb_policy policy;
};

struct kwb_choice {
	int index; /* of the candidate; -1 for none */
	int error; /* 0, KWB_ERR_ROUTE_NO_UPSTREAM or KWB_ERR_ROUTE_FULL */
	const char *reason; /* why this one, or why none; for the log */
};

struct kwb_choice kwb_route_pick(const struct kwb_route_query *query,
    const struct kwb_candidate *candidates,
    unsigned count); /* chooses one; depends on nothing but its arguments */
int kwb_policy_parse(enum kwb_policy *policy,
    const char *name); /* "" is the default; KWB_ERR_ARGUMENT when unknown */

/* ---- Call: outcomes, keys, tokens --------------------------------------- */

/*
 * What a caller is told about its request, the keys under which an agent runs a
 * request at most once, and the tokens of a generation.
 */

enum kwb_outcome {
	KWB_OUTCOME_RAN = 1,	 /* it was run to its end */
	KWB_OUTCOME_NOT_RUN = 2, /* it was not run and will not be */
	KWB_OUTCOME_UNKNOWN = 3, /* it may have been run */
	KWB_OUTCOME_PARTIAL = 4	 /* generation broke off; resumable */
};

const char *kwb_outcome_name(enum kwb_outcome outcome); /* as callers see it */

/* Ties a key to the one agent process that may run it. */
struct kwb_pin {
	char vm[KWB_NAME_MAX_BYTES]; /* of the agent */
	uint64_t incarnation;	     /* start of the agent's process */
	uint64_t minted_ms;	     /* wall-clock time at which it was made */
	char key[KWB_KEY_MAX_BYTES];
};

/* An entry process; the VM tells apart two that start at the same moment. */
struct kwb_origin {
	const char *vm;
	uint64_t incarnation; /* start of the process */
};

/* Writes the key of a plain call; the number is unique in the process. */
void kwb_call_key_print(char *key, size_t capacity_bytes,
    const struct kwb_origin *origin, const char *plan, uint64_t number);

/* Writes the key of a start of a generation, after so many earlier starts. */
void kwb_generation_key_print(char *key, size_t capacity_bytes,
    const struct kwb_origin *origin, const char *name, unsigned starts);

/* Appends a pin as the ticket text that a caller sends back. */
int kwb_ticket_print(const struct kwb_pin *pin, struct kwb_buf *out);

/* Reads a ticket; KWB_ERR_ARGUMENT if it is malformed. */
int kwb_ticket_parse(struct kwb_pin *pin, const char *text);

/*
 * Stores the pin of a caller's key in the table, or reads the one that is
 * already there into pin. A KWB_ERR_ number if neither is certain.
 */
int kwb_pin_claim(
    const struct kwb_platform *platform, const char *plan, struct kwb_pin *pin);

struct kwb_tokens {
	uint32_t count;
	uint32_t capacity;
	char **text;	   /* of each token */
	uint64_t *version; /* of the weights that made each token */
};

void kwb_tokens_init(struct kwb_tokens *tokens);   /* no tokens */
void kwb_tokens_finish(struct kwb_tokens *tokens); /* frees them */

/* Appends a token; KWB_ERR_MEMORY on failure. */
int kwb_tokens_add(
    struct kwb_tokens *tokens, const char *text, uint64_t version);

/* The oldest weight version among the tokens; UINT64_MAX for none. */
uint64_t kwb_tokens_oldest_version(const struct kwb_tokens *tokens);

/* ---- Rollout: hedging of stalled samples, staleness of samples ---------
 * Decisions while an entry serves a trainer's step: whether a sample whose
 * stream stalls is resumed on another agent, and whether a finished sample is
 * recent enough to be delivered.
 */

struct kwb_hedge_input {
	uint32_t unstarted;	   /* samples still to start */
	uint32_t idle_units;	   /* free slots at other agents */
	uint64_t silent_ns;	   /* since the sample's last token */
	uint64_t token_ns;	   /* usual time between tokens, 0 unknown */
	uint64_t wasted_tokens;	   /* of the step, discarded so far */
	uint64_t generated_tokens; /* of the step, so far */
	enum kwb_objective objective;
};

/* Whether to move a stalled sample to another agent; pure. */
bool kwb_hedge_is_due(const struct kwb_hedge_input *input);

struct kwb_sample_age {
	uint64_t trainer_version; /* newest that the trainer announced */
	uint64_t oldest_version;  /* that made one of the sample's tokens */
	uint32_t bound_versions;  /* versions that a token may be behind */
};

bool kwb_sample_is_fresh(
    const struct kwb_sample_age *age); /* within the bound; pure */

/* ---- Weights: order of swaps -------------------------------------------
 * Which server of a failure domain swaps to new weights next.
 */

struct kwb_swap_server {
	bool usable;	    /* up and not leaving */
	bool swapping;	    /* now, or ordered to */
	uint64_t version;   /* of its weights */
	uint32_t in_flight; /* requests */
};

struct kwb_swap {
	uint64_t target;	 /* version to swap to */
	uint32_t slack_versions; /* a busy server may be this far behind */
	enum kwb_objective objective;
};

int kwb_swap_pick(const struct kwb_swap *swap,
    const struct kwb_swap_server *servers,
    unsigned count); /* index of the next server to order, or -1; pure */

/* ---- Daemons ------------------------------------------------------------
 *
 * The two server processes. An entry takes callers' requests and sends them to
 * agents; an agent runs them on its upstream.
 */

struct kwb_entry;
struct kwb_agent;

/* Starts an entry, which serves until it is stopped; 0 or an error. */
int kwb_entry_start(
    struct kwb_entry **entry, const struct kwb_entry_settings *settings);

void kwb_entry_stop(struct kwb_entry *entry); /* stops gracefully, frees it */

/* Starts an agent, which serves until it is stopped; 0 or an error. */
int kwb_agent_start(
    struct kwb_agent **agent, const struct kwb_agent_settings *settings);

void kwb_agent_stop(struct kwb_agent *agent); /* stops gracefully, frees it */

#endif
