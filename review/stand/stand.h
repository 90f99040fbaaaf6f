/*
 * Stand-ins for the cases under review/: the platform's store, servers, clients
 * and trainers, and the nodes under test as processes of their own. Everything
 * runs on loopback addresses; threads and blocking sockets keep it short.
 */
#ifndef REVIEW_STAND_H
#define REVIEW_STAND_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stddef.h>
#include <sys/types.h>

/* ---- Set-up, record, end --------------------------------------------------
 */

/* True unless TROUBLE=0 is set: the case plays its disruption. */
extern bool trouble;
/* First three bytes of this run's loopback addresses, "127.A.B". */
extern char net_prefix[32];

/* Opens record.txt in that folder and makes the temporary folder. */
void stand_begin(const char *case_folder);
/* Kills all nodes, removes the temporary folder and exits with that code. */
void stand_end(int code) __attribute__((noreturn));
/* Exits with 2: the case could not run. */
void stand_fail(const char *format, ...) __attribute__((noreturn));
/* Adds a line to record.txt, with the time in ms since the start. */
void record(const char *format, ...);
uint64_t now_ms(void); /* since the start */
void sleep_ms(unsigned ms);

/* ---- HTTP/1.1 --------------------------------------------------------------
 */

struct conn {
	int fd;
	char *buf;
	size_t used;
	size_t capacity;
};

#define HEADERS_MAX 64

struct msg {
	char *text; /* start line and headers, cut into strings */
	char *method;
	char *target;
	int status;
	char *names[HEADERS_MAX];
	char *values[HEADERS_MAX];
	unsigned headers_count;
	char *body;
	size_t body_bytes;
};

/* Reads a message: 1 whole, 0 closed before it, -1 cut off or malformed. */
int msg_read(struct conn *conn, struct msg *msg, bool is_answer);
void msg_free(struct msg *msg);
const char *msg_header(const struct msg *msg, const char *name); /* or NULL */
void conn_close(struct conn *conn);
/* Resets the connection; its thread sees that at its next use. */
void conn_reset(const struct conn *conn);
/* True once all bytes are sent. */
bool conn_send(struct conn *conn, const void *data, size_t bytes);
bool conn_printf(struct conn *conn, const char *format, ...);
/* Whether the peer has closed the connection. */
bool conn_is_closed(const struct conn *conn);

/* Serves each connection in a thread; returns the port. handle returns false
 * to close the connection. */
int http_listen(const char *ip, int port,
    bool (*handle)(struct conn *conn, struct msg *msg, void *context),
    void *context);

/* Calls on_accept for each connection, in a thread; returns the port. */
int tcp_listen(
    const char *ip, void (*on_accept)(int fd, void *context), void *context);

/* ---- The platform's store ---------------------------------------------------
 */

void store_start(void);
/*
 * A way of one node to the store, on a port of its own. Calls about that table
 * that wait on it at silent_ms or before are never answered, as on a channel
 * that has gone silent; later ones are.
 */
struct gate {
	const char *silent_table;
	uint64_t silent_ms; /* 0: never */
};

int store_open_gate(struct gate *gate); /* returns the port */
/* As the operator, a trainer or a server writes it. */
void store_put(const char *table, const char *key, const char *json);
void store_remove(const char *table, const char *key);
/* True if a row of that table and part exists; copies its value. */
bool store_get(const char *table, const char *part, const char *key,
    char *value, size_t capacity);

/* ---- Servers
 * ------------------------------------------------------------------ */

struct server;

/* A request that a server runs. */
struct run {
	struct server *server;
	struct conn *conn;
	const struct msg *msg;
	char id[96];
	unsigned events; /* of the whole text, from the body: "events=N" */
	unsigned pace_ms;
	unsigned first;	 /* event to begin with */
	bool is_dead;	 /* the body says "dead": it can never be done */
	unsigned number; /* of the run at its server */
};

struct server {
	char id[64];
	char service[64];
	char ip[48];
	int port;
	int advertised_port; /* in its row; 0: its own */
	bool is_model;
	unsigned slots;
	unsigned queue;	   /* requests that may wait for a slot */
	const char *model; /* name of its model; NULL for a plain server */
	const char
	    *other_model; /* a second one, at the same version; or NULL */
	unsigned version;
	unsigned load_ms; /* how long a change of version takes */
	unsigned seq;
	uint64_t fence;
	bool busy;
	unsigned running;
	unsigned begun;		/* runs so far */
	struct waiter *waiters; /* for a slot */
	unsigned waiting;
	uint64_t arrivals;
	bool gone; /* closes everything and takes no connections */
	/* For hooks: the connection whose last answer may come again. */
	struct conn *marked_conn;
	char marked_id[96];
	uint64_t born;
	pthread_mutex_t lock;
	/* Called before a read of the state is answered; as hook below. */
	int (*report_hook)(struct server *server, struct conn *conn);
	/*
	 * Called first for each request that would run; returns 0 to go on, 1
	 * when it has answered, -1 to close the connection.
	 */
	int (*hook)(struct run *run);
	/* Called when a request leaves the queue; may be NULL. */
	void (*queue_hook)(const struct run *run);
	/* Called before each event of a stream; may be NULL. */
	void (*event_hook)(const struct run *run);
};

/* Starts to listen and writes the row in the store. */
void server_start(struct server *server);
void server_publish(struct server *server);
/*
 * Like server_start(), in a process of its own, which can be killed; to be
 * called before any thread exists, and before store_start(). server_publish()
 * is left to the caller. Returns the process.
 */
pid_t server_fork(struct server *server);
/* Sends the stream of a run from event run->first; false when cut off. */
bool run_stream(struct run *run, unsigned last_event);
/* Answers a read of the server's state. */
bool serve_report(struct server *server, struct conn *conn);
/* Head of a stream; framed: in chunks, else it ends with the connection. */
void run_stream_head(struct run *run, bool framed);
/* Data of event n of the item with that id. */
void event_data(char *to, size_t capacity, const char *id, unsigned event);
/* Whole text of an item: the data of all events, joined by line feeds. */
char *whole_text(const char *id, unsigned events);

/* ---- Nodes
 * --------------------------------------------------------------------- */

struct node {
	char name[64];
	char ip[48];
	pid_t pid;
	int store_port; /* 0: the store itself */
	bool fencing;
	bool exited;
	int exit_status;
};

/* Free ports, the same on all machines of a run; chosen by stand_begin(). */
extern int front_port;
extern int ready_port;

/* Starts target/kwb-node --metrics 9464 on 127.A.B.(10 + index). */
void node_start(struct node *node, unsigned index);
void node_signal(struct node *node, int signal_number);
/* Waits until the node answers 200 at its ready address. */
void node_wait_ready(struct node *node, unsigned timeout_ms);
/* Whether the process has ended; sets exit_status. */
bool node_has_exited(struct node *node);

/* ---- Clients
 * --------------------------------------------------------------------- */

struct answer {
	int result; /* of msg_read() */
	struct msg msg;
};

/* Connects; -1 on failure. small: small segments and buffers, as of a link. */
int client_connect(const char *ip, int port, bool small_buffers);
/* One request on a new connection; the answer is to be freed. */
struct answer client_call(const char *ip, const char *method,
    const char *target, const char *headers, const char *body,
    unsigned timeout_ms);

/* ---- The deployment of the cases -------------------------------------------
 */

#define HOST "ficu95.example"
#define MODEL "daka510000"
#define OTHER_MODEL "rada7437b5"
#define MODEL_SERVICE "huvo11a"
#define PLAIN_SERVICE "wuno96b"
#define BATCH_PATH "/pule252/"	/* of the route for batches */
#define PLAIN_PATH "/pufi791/"	/* of the idempotent route */
#define ONCE_PATH "/lohu930/"	/* of the non-idempotent route */
#define STREAM_PATH "/sumi440/" /* of the resumable streaming route */

/* Writes the config: these four routes, two services, one or two models. */
void config_put(unsigned version, bool single_version, bool has_other_model);
/* Names a version of the model, as its trainer does. */
void version_put(unsigned version);

/* ---- Batches
 * ---------------------------------------------------------------------- */

char *base64(const void *data, size_t bytes);
/* Body of an item: {"id":..,"path":..,...}. */
json_t *item_json(const char *id, const char *path, const char *group,
    const char *model, const char *body, unsigned length_hint,
    const char *score_id, const char *score_host, const char *score_path);

/* Submits under that path until it is accepted; items is consumed. */
void batch_submit(const char *ip, const char *path, const char *id,
    const char *model, unsigned step, unsigned min_version,
    unsigned target_groups, json_t *items);
/*
 * Reads the list of results from its start; NULL when that fails. The caller
 * frees the document.
 */
json_t *batch_read(const char *ip, const char *id);
/* Reads until that many results are listed or the time is over. */
json_t *batch_wait(
    const char *ip, const char *id, unsigned results, unsigned timeout_ms);
/* The result of that item in a document of batch_read(), or NULL. */
json_t *result_of(json_t *document, const char *item);
const char *json_text(const json_t *object, const char *name); /* or "" */

#endif
