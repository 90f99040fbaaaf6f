/*
 * A stage for tests of the node: nodes, a stand-in of the platform's store and
 * stand-ins of its servers, all on one event loop and on loopback.
 */
#ifndef KWB_TESTS_STAGE_H
#define KWB_TESTS_STAGE_H

#include <event2/buffer.h>
#include <event2/event.h>

#include "../../platform/platform.h"
#include "kwb_node.h"
#include "proxy.h"

#define STAGE_ROWS_MAX 4096
#define STAGE_SERVERS_MAX 16
#define STAGE_NODES_MAX 4
#define STAGE_RUNS_MAX 16384
#define STAGE_ORDERS_MAX 2048

/* ---- A small HTTP server --------------------------------------------------
 */

struct stage_peer {
	struct kwb_conn conn;
	struct stage_port *port;
	struct event *timer; /* of an answer in pieces, or one held back */
	void *work;	     /* of the handler */
	TAILQ_ENTRY(stage_peer) entry;
};

TAILQ_HEAD(stage_peer_list, stage_peer);

struct stage_port {
	struct event_base *base;
	struct evconnlistener *listener;
	struct kwb_address address;
	struct stage_peer_list peers;
	void (*on_request)(struct stage_peer *peer);
	void (*on_gone)(struct stage_peer *peer); /* frees its work */
	void *context;
};

int port_open(struct stage_port *port, struct event_base *base,
    void (*on_request)(struct stage_peer *peer),
    void (*on_gone)(struct stage_peer *peer), void *context);
void port_close(struct stage_port *port);
void peer_answer(struct stage_peer *peer, unsigned status, const char *headers,
    const void *body, size_t body_bytes);
void peer_close(struct stage_peer *peer, bool reset);

/* ---- The store --------------------------------------------------------------
 */

enum store_fault {
	STORE_OK,
	STORE_BUSY,   /* 503 */
	STORE_MANY,   /* 429 */
	STORE_RESET,  /* closes */
	STORE_SILENT, /* answers nothing */
	STORE_LOST,   /* writes are done and not answered */
	STORE_LATE,   /* writes are done 300 ms later and not answered */
	STORE_MUTE    /* writes are done, their connections say no more */
};

struct stage_row {
	char *table;
	char *part;
	char *key;
	char *value; /* base64; NULL when removed */
	uint64_t revision;
};

struct stage_object {
	char *name;
	struct kwb_buf data;
};

struct late_write; /* done later, without an answer */
TAILQ_HEAD(late_write_list, late_write);

struct stage_store {
	struct stage_port port;
	struct event *tick;
	struct stage_row rows[STAGE_ROWS_MAX];
	unsigned rows_count;
	struct stage_object objects[64];
	unsigned objects_count;
	uint64_t revision;
	uint64_t history_from; /* feeds from before this get 410 */
	enum store_fault fault;
	unsigned fault_left;  /* writes that it hits; 0 for all */
	char silent_part[64]; /* calls about it are not answered; "" for none */
	uint64_t begin_ns;
	struct late_write_list late;
};

int stage_store_open(struct stage_store *store, struct event_base *base);
void stage_store_close(struct stage_store *store);
void stage_store_put(struct stage_store *store, const char *table,
    const char *key, const char *text); /* as the operator or a server */
void stage_store_remove(
    struct stage_store *store, const char *table, const char *key);
const struct stage_row *stage_store_row(const struct stage_store *store,
    const char *table, const char *part, const char *key);

/* ---- A server: a plain service, or a model server
 * ----------------------------- */

enum server_fault {
	SERVER_OK,
	SERVER_REFUSE,	    /* 503, not run */
	SERVER_ERROR,	    /* 500 */
	SERVER_NEVER,	    /* 422 */
	SERVER_RESET,	    /* runs it and closes without an answer */
	SERVER_SILENT,	    /* runs it and says nothing */
	SERVER_OTHER_ID,    /* the answer of another request */
	SERVER_CUT,	    /* ends in the middle of the body */
	SERVER_EXTRA,	    /* a second answer behind the first */
	SERVER_UNFRAMED,    /* no length, ends with the connection */
	SERVER_GARBAGE,	    /* no HTTP */
	SERVER_NO_RECEIPT,  /* 200 without receipt */
	SERVER_SKIP,	    /* a stream lacks an event */
	SERVER_MISDIRECTED, /* 421: another server has the address */
	SERVER_STALL,	    /* sends nothing more on what is open */
	SERVER_POUR_HEAD,   /* a header line without end */
	SERVER_POUR_BODY,   /* a body without end */
	SERVER_POUR_CHUNK,  /* a chunk's length without end */
	SERVER_POUR_LINE,   /* a stream's line without end */
	SERVER_TRICKLE	    /* a stream's comment each 100 ms, no event */
};

struct stage_run {
	char id[64];
	char server[32];
	char prompt[64]; /* its parts */
	char priority[4];
	unsigned from; /* first event */
	unsigned sent; /* last event */
};

/* An order as it arrived, taken or not. */
struct stage_order {
	const struct stage_server *server;
	char holder[32];
	uint64_t fence;
	uint64_t at_ns;
};

struct stage_server {
	struct stage *stage;
	struct stage_port port;
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
	unsigned fault_left; /* requests that it hits; 0 for all */
	unsigned orders;
};

void server_open(struct stage_server *server, struct stage *stage);
void server_beat(struct stage_server *server); /* writes its row */

/* ---- The stage
 * --------------------------------------------------------------------- */

struct stage_node {
	char name[32];
	bool running;
	struct kwb_node_settings settings;
	struct platform_store store;
	struct kwb_node node;
	struct proxy path; /* to the store; open while has_path */
	bool has_path;
	bool alone; /* has no peers */
	struct stage *stage;
};

struct stage {
	struct event_base *base;
	struct kwb_client client;
	struct stage_store store;
	struct stage_server servers[STAGE_SERVERS_MAX];
	unsigned servers_count;
	struct stage_node nodes[STAGE_NODES_MAX];
	unsigned nodes_count;
	struct stage_run runs[STAGE_RUNS_MAX];
	unsigned runs_count;
	struct stage_order orders[STAGE_ORDERS_MAX];
	unsigned orders_count;
};

void stage_init(struct stage *stage);
void stage_finish(struct stage *stage);
void stage_wait(struct stage *stage, unsigned length_ms);
struct stage_node *stage_node(struct stage *stage, const char *name);
struct stage_server *stage_server(struct stage *stage, const char *name);
void stage_node_start(struct stage_node *node);
void stage_node_kill(struct stage_node *node);
void stage_free_address(struct kwb_address *address); /* a free port */

#endif
