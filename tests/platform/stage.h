/*
 * A testbed for tests of the node: nodes, a stand-in of the platform's store
 * and stand-ins of its servers, all on one event loop and on loopback.
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
#define RECORDED_RUNS_MAX 16384
#define RECORDED_ORDERS_MAX 2048

/* ---- A small HTTP server --------------------------------------------------
 */

struct http_session {
	struct kwb_conn conn;
	struct http_listener *listener;
	struct event *timer; /* of an answer in pieces, or one held back */
	void *handler_state; /* of the handler */
	TAILQ_ENTRY(http_session) entry;
};

TAILQ_HEAD(http_session_list, http_session);

struct http_listener {
	struct event_base *base;
	struct evconnlistener *ev_listener;
	struct kwb_address address;
	struct http_session_list sessions;
	void (*on_request)(struct http_session *session);
	void (*on_close)(struct http_session *session); /* frees its work */
	void *context;
};

int http_listener_open(struct http_listener *listener, struct event_base *base,
    void (*on_request)(struct http_session *session),
    void (*on_close)(struct http_session *session), void *context);
void http_listener_close(struct http_listener *listener);
void http_session_answer(struct http_session *session, unsigned status,
    const char *headers, const void *body, size_t body_bytes);
void http_session_close(struct http_session *session, bool reset);

/* ---- The store --------------------------------------------------------------
 */

enum store_fault {
	STORE_FAULT_NONE,
	STORE_FAULT_503,	    /* 503 */
	STORE_FAULT_429,	    /* 429 */
	STORE_FAULT_RESET,	    /* closes */
	STORE_FAULT_SILENT,	    /* answers nothing */
	STORE_FAULT_LOSE_ANSWER,    /* writes are done and not answered */
	STORE_FAULT_DELAY_WRITE,    /* writes are done 300 ms later and not
				       answered */
	STORE_FAULT_NO_WRITE_ANSWER /* writes are done, their connections say no
				       more */
};

struct testbed_row {
	char *table;
	char *part;
	char *key;
	char *value; /* base64; NULL when removed */
	uint64_t revision;
};

struct testbed_object {
	char *name;
	struct kwb_buf data;
};

struct delayed_write; /* done later, without an answer */
TAILQ_HEAD(delayed_write_list, delayed_write);

struct testbed_store {
	struct http_listener port;
	struct event *feeds_timer;
	struct testbed_row rows[TESTBED_ROWS_MAX];
	unsigned rows_count;
	struct testbed_object objects[64];
	unsigned objects_count;
	uint64_t revision;
	uint64_t history_from_revision; /* feeds from before this get 410 */
	enum store_fault fault;
	unsigned fault_remaining; /* writes that it hits; 0 for all */
	char silent_part[64]; /* calls about it are not answered; "" for none */
	uint64_t begin_ns;
	struct delayed_write_list delayed_writes;
};

int testbed_store_open(struct testbed_store *store, struct event_base *base);
void testbed_store_close(struct testbed_store *store);
void testbed_store_put(struct testbed_store *store, const char *table,
    const char *key, const char *text); /* as the operator or a server */
void testbed_store_remove(
    struct testbed_store *store, const char *table, const char *key);
const struct testbed_row *testbed_store_find(const struct testbed_store *store,
    const char *table, const char *part, const char *key);

/* ---- A server: a plain service, or a model server
 * ----------------------------- */

enum server_fault {
	SERVER_FAULT_NONE,
	SERVER_FAULT_REFUSE,	   /* 503, not run */
	SERVER_FAULT_500,	   /* 500 */
	SERVER_FAULT_422,	   /* 422 */
	SERVER_FAULT_RESET,	   /* runs it and closes without an answer */
	SERVER_FAULT_SILENT,	   /* runs it and says nothing */
	SERVER_FAULT_WRONG_ID,	   /* the answer of another request */
	SERVER_FAULT_TRUNCATE,	   /* ends in the middle of the body */
	SERVER_FAULT_EXTRA_ANSWER, /* a second answer behind the first */
	SERVER_FAULT_NO_LENGTH,	   /* no length, ends with the connection */
	SERVER_FAULT_NOT_HTTP,	   /* no HTTP */
	SERVER_FAULT_NO_RECEIPT,   /* 200 without receipt */
	SERVER_FAULT_SKIP_EVENT,   /* a stream lacks an event */
	SERVER_FAULT_MISDIRECTED,  /* 421: another server has the address */
	SERVER_FAULT_STALL,	   /* sends nothing more on what is open */
	SERVER_FAULT_ENDLESS_HEAD, /* a header line without end */
	SERVER_FAULT_ENDLESS_BODY, /* a body without end */
	SERVER_FAULT_ENDLESS_CHUNK_SIZE, /* a chunk's length without end */
	SERVER_FAULT_ENDLESS_LINE,	 /* a stream's line without end */
	SERVER_FAULT_COMMENTS_ONLY /* a stream's comment each 100 ms, no event
				    */
};

struct recorded_run {
	char id[64];
	char server[32];
	char prompt[64]; /* its parts */
	char priority[4];
	unsigned from; /* first event */
	unsigned sent; /* last event */
};

/* An order as it arrived, taken or not. */
struct recorded_order {
	const struct testbed_server *server;
	char holder[32];
	uint64_t fence;
	uint64_t at_ns;
};

struct testbed_server {
	struct testbed *testbed;
	struct http_listener port;
	char name[32];
	char service[32];
	struct kwb_address advertised; /* in its row; port 0: its own */
	bool engine;
	bool ignores_fences;
	bool listed;
	bool draining;
	unsigned slots;
	unsigned running;
	uint64_t version;
	uint64_t seq;
	uint64_t fence;
	unsigned pace_ms;
	unsigned load_ms;
	uint64_t loading_until_ns;
	enum server_fault fault;
	unsigned fault_remaining; /* requests that it hits; 0 for all */
	unsigned orders;
};

void testbed_server_open(
    struct testbed_server *server, struct testbed *testbed);
void testbed_server_publish(struct testbed_server *server); /* writes its row */

/* ---- The testbed
 * --------------------------------------------------------------------- */

struct testbed_node {
	char name[32];
	bool is_running;
	struct kwb_node_settings settings;
	struct platform_store store;
	struct kwb_node node;
	struct proxy store_proxy; /* to the store; open while has_path */
	bool has_store_proxy;
	bool has_no_peers; /* has no peers */
	struct testbed *testbed;
};

struct testbed {
	struct event_base *base;
	struct kwb_client client;
	struct testbed_store store;
	struct testbed_server servers[TESTBED_SERVERS_MAX];
	unsigned servers_count;
	struct testbed_node nodes[TESTBED_NODES_MAX];
	unsigned nodes_count;
	struct recorded_run runs[RECORDED_RUNS_MAX];
	unsigned runs_count;
	struct recorded_order orders[RECORDED_ORDERS_MAX];
	unsigned orders_count;
};

void testbed_init(struct testbed *testbed);
void testbed_finish(struct testbed *testbed);
void testbed_run_for(struct testbed *testbed, unsigned length_ms);
struct testbed_node *testbed_node(struct testbed *testbed, const char *name);
struct testbed_server *testbed_server(
    struct testbed *testbed, const char *name);
void testbed_node_start(struct testbed_node *node);
void testbed_node_kill(struct testbed_node *node);
void testbed_pick_address(struct kwb_address *address); /* a free port */

#endif
