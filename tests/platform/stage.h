/*
 * Testbed for tests of kwb-node: nodes, a fake of the platform's store and
 * fakes of its upstream servers. All of them run in one process, on one event
 * loop, and listen on loopback. Failures of setup abort the process.
 */
#ifndef KWB_TESTS_STAGE_H
#define KWB_TESTS_STAGE_H

#include <event2/buffer.h>
#include <event2/event.h>

#include "../../platform/platform.h"
#include "kwb_node.h"
#include "proxy.h"

#define TESTBED_ROWS_MAX 4096
#define TESTBED_SERVERS_MAX 16
#define TESTBED_NODES_MAX 4
#define TESTBED_KEY_PREFIX "key-" /* of all keys of workspaces */
#define RECORDED_RUNS_MAX 16384
#define RECORDED_ORDERS_MAX 2048

/* ---- HTTP listener
 * ---------------------------------------------------------- */

/*
 * A small HTTP/1.1 server on a free loopback port, which the fake store and
 * the fake servers share.
 */

/* An accepted connection; it handles one request at a time. */
struct http_session {
	struct kwb_conn conn;
	struct http_listener *listener;
	struct event *timer; /* for an answer in pieces; NULL until then */
	void *handler_state; /* of the request in work; NULL if none */
	bool keeps_copy;     /* of its answer, once that is sent */
	struct evbuffer *late_copy; /* goes ahead of the next answer; or NULL */
	int endless_fault;	    /* enum server_fault of an endless answer */
	unsigned endless_event;	    /* the last one in its stream */
	struct evbuffer *rest;	    /* of a raw answer; or NULL */
	TAILQ_ENTRY(http_session) entry;
};

TAILQ_HEAD(http_session_list, http_session);

/* An answer that is given byte by byte instead of the listener's own ones. */
struct raw_answer {
	struct kwb_buf text; /* "@" stands for the headers of a request's id */
	char path[64];	     /* only to targets that begin so */
	unsigned remaining;
	unsigned sent;
	size_t split_bytes; /* sent first, the rest later; 0: all at once */
	bool closes;	    /* the connection, behind it */
};

struct http_listener {
	struct event_base *base;
	struct evconnlistener *ev_listener;
	struct kwb_address address; /* that it listens on */
	struct http_session_list sessions;
	struct raw_answer raw_answer;
	void (*on_request)(struct http_session *session);
	/* frees handler_state; NULL if there is none to free */
	void (*on_close)(struct http_session *session);
	void *context; /* the fake store or fake server */
};

/* Listens on a free port; returns 0 or KWB_ERR_SYSTEM. */
int http_listener_open(struct http_listener *listener, struct event_base *base,
    void (*on_request)(struct http_session *session),
    void (*on_close)(struct http_session *session), void *context);
/* Stops listening and closes all connections. */
void http_listener_close(struct http_listener *listener);
/*
 * Sends a whole answer; headers are lines that end with CRLF, or "". Then the
 * connection reads its next request.
 */
void http_session_answer(struct http_session *session, unsigned status,
    const char *headers, const void *body, size_t body_bytes);
/* Closes and frees the connection; with reset by a TCP reset. */
void http_session_close(struct http_session *session, bool reset);

/* ---- Fake store
 * ------------------------------------------------------------- */

/*
 * The platform's store: rows with revisions, transactions, change feeds and
 * objects, all in memory.
 */

enum store_fault {
	STORE_FAULT_NONE,
	STORE_FAULT_503,	 /* answers 503 to every call */
	STORE_FAULT_429,	 /* answers 429 to every call */
	STORE_FAULT_RESET,	 /* resets the connection of every call */
	STORE_FAULT_SILENT,	 /* answers no call, keeps connections open */
	STORE_FAULT_LOSE_ANSWER, /* applies a write, then resets */
	STORE_FAULT_DELAY_WRITE, /* resets, applies the write 300 ms later */
	STORE_FAULT_NO_WRITE_ANSWER /* applies a write, never answers it */
};

/* The newest revision of a row; a removed row stays, for the feeds. */
struct testbed_row {
	char *table;
	char *part;
	char *key;
	char *value; /* base64; NULL when removed */
	uint64_t revision;
};

/* A value that is too long for a row. */
struct testbed_object {
	char *name;
	struct kwb_buf data;
};

struct delayed_write; /* of STORE_FAULT_DELAY_WRITE */
TAILQ_HEAD(delayed_write_list, delayed_write);

struct testbed_store {
	struct http_listener port;
	struct event *feeds_timer; /* answers waiting feeds, each 5 ms */
	struct testbed_row rows[TESTBED_ROWS_MAX];
	unsigned rows_count;
	struct testbed_object objects[64];
	unsigned objects_count;
	uint64_t revision;		/* of the newest write */
	uint64_t history_from_revision; /* feeds that start earlier get 410 */
	enum store_fault fault;
	/*
	 * Writes that a fault of writes still affects, from
	 * STORE_FAULT_LOSE_ANSWER on; 0: all, until the fault is changed.
	 */
	unsigned fault_remaining;
	char silent_part[64]; /* calls about this part get no answer; or "" */
	uint64_t opened_ns;
	struct delayed_write_list delayed_writes;
};

/* Starts an empty store; returns 0 or KWB_ERR_SYSTEM. */
int testbed_store_open(struct testbed_store *store, struct event_base *base);
void testbed_store_close(struct testbed_store *store);
/* Writes a row without a part, as an operator or a server does. */
void testbed_store_put(struct testbed_store *store, const char *table,
    const char *key, const char *text);
/* Removes such a row. */
void testbed_store_remove(
    struct testbed_store *store, const char *table, const char *key);
/* Returns the row, or NULL if it doesn't exist. */
const struct testbed_row *testbed_store_find(const struct testbed_store *store,
    const char *table, const char *part, const char *key);

/* ---- Fake servers
 * ----------------------------------------------------------- */

/*
 * Upstream servers: plain ones that answer with the request's body, and model
 * servers that stream events and load weights when ordered to.
 */

enum server_fault {
	SERVER_FAULT_NONE,
	SERVER_FAULT_REFUSE,	   /* 503 that says "not executed" */
	SERVER_FAULT_500,	   /* answers 500 */
	SERVER_FAULT_422,	   /* answers 422 */
	SERVER_FAULT_RESET,	   /* runs the request, then resets */
	SERVER_FAULT_SILENT,	   /* runs the request, never answers */
	SERVER_FAULT_WRONG_ID,	   /* answers with another request's id */
	SERVER_FAULT_TRUNCATE,	   /* closes in the middle of the body */
	SERVER_FAULT_EXTRA_ANSWER, /* sends a second answer after the first */
	SERVER_FAULT_NO_LENGTH,	   /* body ends with the connection */
	SERVER_FAULT_NOT_HTTP,	   /* sends text that isn't HTTP */
	SERVER_FAULT_NO_RECEIPT,   /* 200 without a receipt */
	SERVER_FAULT_SKIP_EVENT,   /* leaves the third event of a stream out */
	SERVER_FAULT_MISDIRECTED,  /* 421: another server has the address */
	SERVER_FAULT_STALL,	   /* streams send nothing while it lasts */
	SERVER_FAULT_STREAM_NO_LENGTH, /* the stream ends with the connection */
	SERVER_FAULT_CUT_NO_LENGTH,    /* likewise, in the third event */
	SERVER_FAULT_ERROR_TEXT,       /* 500 with a text */
	SERVER_FAULT_ERROR_PAGE,       /* 200 with a text, no receipt, no id */
	SERVER_FAULT_RESTART_STREAM,   /* ignores Last-Event-Id */
	SERVER_FAULT_CUT_HEAD,	       /* closes in the middle of the head */
	SERVER_FAULT_CUT_STATUS,       /* closes after the status line */
	SERVER_FAULT_CUT_ANYWHERE,     /* in the head, a byte later each time */
	SERVER_FAULT_WRONG_422,	   /* answers 422 with another request's id */
	SERVER_FAULT_ENDLESS_HEAD, /* a header line that never ends */
	SERVER_FAULT_ENDLESS_BODY, /* a body that never ends */
	SERVER_FAULT_ENDLESS_CHUNK_SIZE, /* a chunk size line that never ends */
	SERVER_FAULT_ENDLESS_LINE,	 /* a stream's line that never ends */
	SERVER_FAULT_COMMENTS_ONLY,  /* a stream of comments, one each 100 ms */
	SERVER_FAULT_ENDLESS_EVENTS, /* a stream of 1000-byte events */
	SERVER_FAULT_ENDLESS_INTERIM, /* answers with status 103 only */
	SERVER_FAULT_ENDLESS_SLOW /* a body of 5 MB, then a byte each 100 ms */
};

/* An execution of a request by a fake server. */
struct recorded_run {
	char id[64];	      /* Attempt-Id */
	char server[32];      /* name */
	char prompt[64];      /* Prompt-Prefix; "" if none */
	char priority[4];     /* Priority-Class; "" if none */
	char workspace[256];  /* Tenant; "" if none */
	bool has_key;	      /* a header names or holds a key */
	unsigned first_event; /* from 1; 0: not a stream */
	unsigned last_event;  /* that was sent; 0: none */
};

/* An order to load weights, whether the server accepted it or not. */
struct recorded_order {
	const struct testbed_server *server;
	char holder[32]; /* node that sent it */
	uint64_t fence;	 /* its fencing token */
	uint64_t received_ns;
};

struct testbed_server {
	struct testbed *testbed;
	struct http_listener port;
	char name[32];
	char service[256];
	struct kwb_address advertised; /* in its row; port 0: its own */
	struct proxy path;	       /* in front of it, if has_path */
	bool has_path;
	bool is_model_server; /* else a plain one */
	bool ignores_fences;  /* accepts orders with old tokens */
	bool is_published;    /* its row was written */
	bool is_draining;
	bool is_leaving; /* its answers say so */
	uint64_t born_ms;
	unsigned slots;		   /* streams at a time that it reports */
	unsigned streams_open;	   /* now */
	uint64_t version;	   /* of the weights */
	uint64_t seq;		   /* orders accepted; an order must name it */
	uint64_t fence;		   /* highest fencing token seen */
	unsigned pace_ms;	   /* between two events of a stream */
	unsigned load_duration_ms; /* how long a load of weights takes */
	uint64_t loading_until_ns;
	enum server_fault fault;
	unsigned fault_remaining;     /* requests still affected; 0: all */
	unsigned cut_count;	      /* answers that were cut anywhere */
	enum server_fault fault_then; /* of one request after these */
	unsigned orders_accepted;     /* so far */
	unsigned copies_remaining;    /* answers that are sent again, late */
};

/* Starts a server whose fields are set and publishes it. */
void testbed_server_open(
    struct testbed_server *server, struct testbed *testbed);
/* Writes its row in the store, which is its heartbeat, too. */
void testbed_server_publish(struct testbed_server *server);

/* ---- Fake of the platform's duties
 * ----------------------------------------------------------- */

enum duty_fault {
	DUTY_FAULT_NONE,
	DUTY_FAULT_503,		/* answers 503 */
	DUTY_FAULT_429,		/* answers 429 */
	DUTY_FAULT_SILENT,	/* carries nothing out, never answers */
	DUTY_FAULT_LOSE_ANSWER, /* carries the call out, then resets */
	DUTY_FAULT_LATE		/* resets, carries it out 300 ms later */
};

#define RECORDED_REPORTS_MAX 256

/* What was said of a window for the first time. */
struct recorded_report {
	uint64_t window;
	json_t *counts;
	bool is_accepted;
};

struct late_call; /* of DUTY_FAULT_LATE */
TAILQ_HEAD(late_call_list, late_call);

struct testbed_duty {
	struct http_listener port;
	bool ignores_fences; /* carries out calls with old tokens */
	enum duty_fault fault;
	unsigned fault_remaining; /* calls still affected; 0: all */
	char deaf_to[32];	  /* holder whose calls get no answer; or "" */
	struct late_call_list late_calls;
	struct recorded_report reports[RECORDED_REPORTS_MAX];
	unsigned reports_count;
	unsigned calls_count;
	unsigned refused_count;	     /* for a token lower than one seen */
	unsigned differing_reports;  /* of a window that had another one */
	unsigned same_tokens;	     /* used by two holders */
	uint64_t fence;		     /* highest seen */
	char holder[32];	     /* of the last call carried out */
	struct kwb_buf holders;	     /* in order of their calls */
	struct kwb_buf scale_orders; /* likewise */
};

/* Starts to listen; returns 0 or KWB_ERR_SYSTEM. */
int testbed_duty_open(struct testbed_duty *duty, struct event_base *base);
void testbed_duty_close(struct testbed_duty *duty);
/* Sums the accepted reports of all windows, by workspace; the caller frees. */
json_t *testbed_duty_sum(const struct testbed_duty *duty);
/* Prints what was reported in all, by whom, and what was wrong. */
void testbed_duty_print(const struct testbed_duty *duty, struct kwb_buf *out);

/* ---- Testbed
 * ------------------------------------------------------------------------- */

struct testbed_node {
	char name[32];
	bool is_running;
	bool is_open; /* holds memory; also when it has stopped by itself */
	struct kwb_node_settings settings;
	struct platform_store store;
	struct kwb_node node;
	struct proxy store_proxy; /* between node and store */
	bool has_store_proxy;	  /* it is open; it outlives the node */
	bool has_no_peers;	  /* doesn't listen for other nodes */
	uint32_t usage_window_ms; /* 0: the node has no duties */
	uint32_t lease_ms;	  /* 0: the default */
	unsigned revoke_ms;	  /* strict revocation of keys; 0 for none */
	struct testbed *testbed;
};

/* The event loop and everything that runs on it. */
struct testbed {
	struct event_base *base;
	struct kwb_client client; /* of the test's own calls */
	struct testbed_store store;
	struct testbed_duty duty;
	struct testbed_server servers[TESTBED_SERVERS_MAX];
	unsigned servers_count;
	struct testbed_node nodes[TESTBED_NODES_MAX];
	unsigned nodes_count;
	/* What all servers got, in order of arrival. */
	struct recorded_run runs[RECORDED_RUNS_MAX];
	unsigned runs_count;
	struct recorded_order orders[RECORDED_ORDERS_MAX];
	unsigned orders_count;
};

/* Creates the event loop and opens the store. */
void testbed_init(struct testbed *testbed);
/* Closes and frees everything; nodes that run are killed. */
void testbed_finish(struct testbed *testbed);
/* Runs the event loop for this many milliseconds. */
void testbed_run_for(struct testbed *testbed, unsigned duration_ms);
/* Returns the node of this name; adds it, not started, if it is new. */
struct testbed_node *testbed_node(struct testbed *testbed, const char *name);
/* Returns the server of this name; adds it, not started, if it is new. */
struct testbed_server *testbed_server(
    struct testbed *testbed, const char *name);
/* Starts a node on free ports, with its path to the store via a proxy. */
void testbed_node_start(struct testbed_node *node);
/* Ends a node at once, without a handover. */
void testbed_node_kill(struct testbed_node *node);
/* Whether KNOWN-RED.txt has a line for the test: its name, then a colon. */
bool testbed_is_known_red(const char *test);
/* Sets a loopback address with a port that is free now. */
void testbed_pick_address(struct kwb_address *address);

#endif
