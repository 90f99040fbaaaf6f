/*
 * knapweedbarrow: the API of a node on a shared platform, section by section.
 *
 * A node runs on one event loop. No function blocks: operations that take time
 * end with a callback on the loop. The conventions of kwb.h hold: functions
 * return 0 or a negative KWB_ERR_ number, init/finish are pairs on memory that
 * the caller owns, deadlines are nanoseconds of kwb_clock_now_ns(), and units
 * stand in names.
 */
#ifndef KWB_NODE_H
#define KWB_NODE_H

#include <http_parser.h>
#include <sys/queue.h>

#include "kwb.h"
#include "kwb_access.h"
#include "kwb_http_syntax.h"
#include "kwb_memory.h"
#include "kwb_placement.h"
#include "kwb_room.h"

struct bufferevent;
struct evbuffer;
struct evconnlistener;
struct event;
struct event_base;
struct sockaddr;

/* ---- Net: sockets ----------------------------------------------------- */

/*
 * TCP sockets over IPv4. Functions return KWB_ERR_ARGUMENT if address->ip is
 * not an IPv4 address.
 */

/* Sends small writes at once (TCP_NODELAY); logs a failure. */
void kwb_socket_set_no_delay(int fd);
/*
 * Makes the close a TCP reset: the kernel sends none of the bytes that it still
 * holds. Does nothing for an fd below 0; logs a failure.
 */
void kwb_socket_set_reset_on_close(int fd);
/*
 * Starts to accept connections. Logs and returns KWB_ERR_SYSTEM if the address
 * can't be bound. The caller frees *listener with evconnlistener_free().
 */
int kwb_socket_listen(struct event_base *base,
    const struct kwb_address *address,
    void (*on_accept)(struct evconnlistener *listener, int fd,
	struct sockaddr *from, int from_bytes, void *context),
    void *context, struct evconnlistener **listener);
/* Starts to connect, with TCP_NODELAY; KWB_ERR_NET_CONNECT on failure. */
int kwb_socket_connect(
    struct bufferevent *socket, const struct kwb_address *address);

/* ---- Net: HTTP/1.1 messages ------------------------------------------- */

/* A header of a message. */
struct kwb_header {
	uint32_t name_offset;  /* into kwb_message.text */
	uint32_t value_offset; /* into kwb_message.text */
};

/* A request or an answer: start line, headers and body. */
struct kwb_message {
	char method[16];	/* of a request */
	uint16_t status;	/* of an answer */
	uint32_t target_offset; /* into text; of a request */
	struct kwb_buf text; /* target, names and values, each ended by NUL */
	struct kwb_header *headers;
	uint32_t headers_count;
	uint32_t headers_capacity;
	struct kwb_buf body;
	bool keep_alive; /* the connection can carry another message */
};

/* Makes an empty message. */
void kwb_message_init(struct kwb_message *message);
/* Frees the contents; the message is empty then. */
void kwb_message_finish(struct kwb_message *message);
/* Empties the message and keeps its allocated memory. */
void kwb_message_clear(struct kwb_message *message);
/* Path and query of a request. */
const char *kwb_message_target(const struct kwb_message *message);
/* Value of the first header of that name, ignoring case; NULL: none. */
const char *kwb_message_header(
    const struct kwb_message *message, const char *name);
/* Name of a header by its index, which is below headers_count. */
const char *kwb_message_header_name(
    const struct kwb_message *message, uint32_t index);
/* Value of a header by its index, which is below headers_count. */
const char *kwb_message_header_value(
    const struct kwb_message *message, uint32_t index);
/* Appends a header; KWB_ERR_MEMORY on failure. */
int kwb_message_add_header(
    struct kwb_message *message, const char *name, const char *value);
/*
 * Whether a text can stand in a message as the name of a header, as the value
 * of one, or as a request's target. Any other could end the line it stands in.
 */
bool kwb_text_is_token(const char *text);
bool kwb_text_is_field_value(const char *text);
bool kwb_text_is_target(const char *text);
/* Copies head and body into an empty message; KWB_ERR_MEMORY on failure. */
int kwb_message_copy(struct kwb_message *to, const struct kwb_message *from);

/* ---- Net: connections --------------------------------------------------- */

/*
 * A connection that carries HTTP/1.1 messages, as a server or a client. It
 * reads one message at a time: after on_message, parsing pauses until
 * kwb_conn_read_next().
 */
struct kwb_conn;

TAILQ_HEAD(kwb_budgeted_conns, kwb_conn);

/*
 * Limit on the bytes of bodies that several connections buffer together. At
 * the limit the longest body is dropped, and its connection is closed with
 * KWB_ERR_NET_BODY_SIZE: one that never ends takes no room from others.
 */
struct kwb_body_budget {
	uint64_t bytes; /* buffered now */
	uint64_t max_bytes;
	struct kwb_budgeted_conns conns; /* those that buffer any */
};

void kwb_body_budget_init(struct kwb_body_budget *budget, uint64_t max_bytes);

/* Each callback may call kwb_conn_finish(). */
struct kwb_conn_ops {
	/* The head is parsed; may set conn->is_streaming. May be NULL. */
	void (*on_head)(struct kwb_conn *conn);
	/* Streaming only: takes all bytes out of message.body. */
	void (*on_data)(struct kwb_conn *conn);
	/* The message is whole. */
	void (*on_message)(struct kwb_conn *conn);
	/*
	 * Whether a body may grow to so many bytes. If not, the connection is
	 * held: it reads no more until kwb_conn_resume(). May be NULL.
	 */
	bool (*may_grow)(struct kwb_conn *conn, uint64_t body_bytes);
	/* All output is with the kernel. May be NULL. */
	void (*on_written)(struct kwb_conn *conn);
	/*
	 * No more messages follow. error: KWB_ERR_NET_ number, or 0 after
	 * kwb_conn_close_when_written().
	 */
	void (*on_close)(struct kwb_conn *conn, int error);
};

struct kwb_conn {
	const struct kwb_conn_ops *ops;
	void *context;		 /* of the owner */
	struct bufferevent *bev; /* the socket, with buffers */
	struct http_parser parser;
	struct kwb_http_syntax syntax;	     /* checked ahead of the parser */
	struct kwb_message message;	     /* the one being read */
	uint32_t head_bytes;		     /* of target and headers so far */
	uint32_t head_max_bytes;	     /* 0: no limit */
	uint64_t body_max_bytes;	     /* 0: no limit */
	struct kwb_body_budget *body_budget; /* shared; NULL: no limit */
	uint64_t budgeted_bytes; /* share of this connection in the budget */
	TAILQ_ENTRY(kwb_conn) budget_entry; /* while it has a share */
	bool is_server;			    /* parses requests */
	bool is_streaming;	 /* body bytes are reported as they arrive */
	bool has_no_body;	 /* set before an answer to HEAD is read */
	bool is_in_header_value; /* a header value is being collected */
	bool has_head; /* head parsed, message not yet reported as whole */
	bool is_body_too_large; /* by its Content-Length or the budget */
	bool is_evicted;	/* its body was dropped for the budget */
	bool is_head_reported;	/* on_head was called for this message */
	bool is_complete;	/* message is whole; parsing is paused */
	bool is_connected;
	bool is_held;	 /* reads no more until kwb_conn_resume() */
	bool is_closing; /* closes once all output is written */
	/* During callbacks a flag that kwb_conn_finish() sets, else NULL. */
	bool *is_finished;
};

/*
 * Serves an accepted socket and takes it over; KWB_ERR_MEMORY on failure, fd is
 * the caller's then.
 */
int kwb_conn_accept(struct kwb_conn *conn, struct event_base *base, int fd,
    const struct kwb_conn_ops *ops, void *context);
/*
 * Starts to connect; output may be written at once. Returns KWB_ERR_MEMORY,
 * KWB_ERR_ARGUMENT or KWB_ERR_NET_CONNECT on failure.
 */
int kwb_conn_connect(struct kwb_conn *conn, struct event_base *base,
    const struct kwb_address *address, const struct kwb_conn_ops *ops,
    void *context);
/* Closes at once; no callback follows. */
void kwb_conn_finish(struct kwb_conn *conn);
/* Like kwb_conn_finish(), with a TCP reset that drops what is not sent yet. */
void kwb_conn_reset(struct kwb_conn *conn);
/* Drops the whole message and reads the next one. */
void kwb_conn_read_next(struct kwb_conn *conn);
/* Goes on reading a body that was held. */
void kwb_conn_resume(struct kwb_conn *conn);
/* Reads no more; calls on_close with 0 once all output is written. */
void kwb_conn_close_when_written(struct kwb_conn *conn);
/* Why what was read is malformed, after KWB_ERR_NET_MALFORMED; for the log. */
const char *kwb_conn_fault(const struct kwb_conn *conn);
/* Buffer of the bytes to send. */
struct evbuffer *kwb_conn_output(struct kwb_conn *conn);

/* ---- Net: exchanges over kept connections ------------------------------- */

/*
 * An HTTP client that keeps connections open and uses them again. An exchange
 * is one request and its answer.
 */
struct kwb_pooled_conn; /* a connection of the client to one address */
TAILQ_HEAD(kwb_pooled_conns, kwb_pooled_conn);

struct kwb_client {
	struct event_base *base;
	struct kwb_pooled_conns idle_conns;
	struct event *sweep_timer; /* closes connections idle for too long */
	uint32_t idle_count;
	uint64_t opened_count;		    /* connections opened so far */
	uint32_t conns_count;		    /* open now */
	uint32_t conns_max;		    /* 0: no limit */
	struct kwb_conn_history *history;   /* of those to upstreams, or NULL */
	uint64_t answer_max_bytes;	    /* a longer body is an error */
	struct kwb_body_budget body_budget; /* of all answers being read */
	const char *id_header; /* in which an answer repeats a request's id */
};

struct kwb_exchange;

struct kwb_exchange_ops {
	/*
	 * The answer's head is parsed; may set is_streaming, but must not
	 * finish the exchange. May be NULL.
	 */
	void (*on_head)(struct kwb_exchange *exchange);
	/*
	 * Streaming only: takes all bytes out of the answer's body. May be NULL
	 * if is_streaming is never set.
	 */
	void (*on_data)(struct kwb_exchange *exchange);
	/* The answer is whole (error 0), or failed with a KWB_ERR_NET_. */
	void (*on_done)(struct kwb_exchange *exchange, int error);
};

/*
 * One request and its answer; its memory is the caller's. Zero it and set ops,
 * context, request_id, deadline_ns, max_silence_ns, is_streaming,
 * wants_new_conn and has_no_body before the start.
 */
struct kwb_exchange {
	const struct kwb_exchange_ops *ops;
	void *context;
	struct kwb_client *client;
	struct kwb_pooled_conn *pooled; /* in use; NULL once done */
	struct event *timer;
	uint64_t deadline_ns;	      /* of the whole answer; 0: none */
	uint64_t silence_deadline_ns; /* of the next bytes; 0: none */
	uint64_t max_silence_ns;      /* between bytes; 0: no limit */
	uint64_t connect_deadline_ns;
	/*
	 * Binds the answer to this sending: it goes to a connection that has
	 * not carried this id, and answers to ids that the connection carried
	 * earlier are dropped. "" for a request without an id; NULL: the server
	 * answers each request once. Must stay valid until on_done.
	 */
	const char *request_id;
	bool is_streaming;	   /* calls on_data as body bytes arrive */
	bool wants_new_conn;	   /* takes no kept connection */
	bool is_conn_reused;	   /* was sent on a kept connection */
	bool has_no_body;	   /* of the answer; the request is a HEAD */
	bool is_paused;		   /* the answer isn't read */
	struct kwb_message answer; /* once it is whole */
};

/* Makes a client without connections; KWB_ERR_MEMORY on failure. */
int kwb_client_init(struct kwb_client *client, struct event_base *base);
/* Closes the idle connections. All exchanges must have been finished. */
void kwb_client_finish(struct kwb_client *client);
/* Whether an idle connection to that address can be used. */
bool kwb_client_has_idle(
    const struct kwb_client *client, const struct kwb_address *address);
/* Closes the idle connections to an address. */
void kwb_client_close_idle(
    struct kwb_client *client, const struct kwb_address *address);
/*
 * Sends the bytes of request and empties it. After a return of 0, on_done is
 * called once, on a later turn of the loop, unless the exchange is finished
 * before: also when no connection can be opened, so that an owner that starts
 * the next exchange then leaves the loop its turns. Returns KWB_ERR_MEMORY on
 * failure, without a callback.
 */
int kwb_exchange_start(struct kwb_exchange *exchange, struct kwb_client *client,
    const struct kwb_address *address, struct evbuffer *request);
/* Whether the exchange is in progress on an established connection. */
bool kwb_exchange_is_connected(const struct kwb_exchange *exchange);
/*
 * Cancels the exchange if it is in progress, with a TCP reset, so that bytes of
 * the request that a cut path holds up are not delivered later. Frees the
 * answer.
 */
void kwb_exchange_finish(struct kwb_exchange *exchange);
/* Stops to read the answer, or goes on; a paused one has no silence limit. */
void kwb_exchange_set_paused(struct kwb_exchange *exchange, bool is_paused);
/* The answer, as far as it has been read. */
struct kwb_message *kwb_exchange_answer(struct kwb_exchange *exchange);

/* ---- Net: server-sent events ------------------------------------------- */

/* Events in answers of type text/event-stream. */
struct kwb_sse_event {
	uint64_t id;
	bool has_id;
	uint64_t version;    /* of the weights; 0 when not named */
	struct kwb_buf data; /* its data lines, joined by newlines */
};

struct kwb_sse_parser {
	const char *version_field; /* name of the field with the version */
	struct kwb_buf line;	   /* the one being read */
	struct kwb_sse_event event;
	bool has_field; /* a field of the current event has been read */
};

/* Whether an answer's head says that events follow, or nothing of its type. */
bool kwb_sse_may_be_events(const struct kwb_message *head);
/* Makes a parser for a new stream; version_field must outlive it. */
void kwb_sse_parser_init(
    struct kwb_sse_parser *parser, const char *version_field);
/* Frees what is buffered. */
void kwb_sse_parser_finish(struct kwb_sse_parser *parser);
/* Whether a stream that ends here ends whole, not inside an event or a line. */
bool kwb_sse_parser_is_between_events(const struct kwb_sse_parser *parser);
/*
 * Length of the whole events at the front of bytes. *last_id becomes the id of
 * the last of them that has one; it stays if none has.
 */
size_t kwb_sse_whole_bytes(const struct kwb_buf *bytes, uint64_t *last_id);
/*
 * Consumes all bytes and calls on_event for each event that is whole. Returns
 * KWB_ERR_MEMORY, or KWB_ERR_NET_BODY_SIZE for an event of more than
 * KWB_SSE_EVENT_MAX_BYTES.
 */
int kwb_sse_parser_feed(struct kwb_sse_parser *parser, struct kwb_buf *bytes,
    void (*on_event)(void *context, const struct kwb_sse_event *event),
    void *context);

/* ---- Index: pointers by name --------------------------------------------- */

/* A hash table with open addressing and linear probing. */
struct kwb_index_slot {
	const char *name; /* NULL: never used; a mark if removed */
	void *value;
};

struct kwb_index {
	struct kwb_index_slot *slots;
	uint32_t capacity;   /* number of slots; 0 or a power of two */
	uint32_t used_slots; /* includes removed entries */
};

/* 64-bit FNV-1a; previous_hash: of the text in front of this, 0 for none. */
uint64_t kwb_text_hash(const char *text, uint64_t previous_hash);
/* Makes an empty index. */
void kwb_index_init(struct kwb_index *index);
/* Frees the table, but not the values. */
void kwb_index_finish(struct kwb_index *index);
/* The value of that name; NULL for none. */
void *kwb_index_get(const struct kwb_index *index, const char *name);
/*
 * Adds or replaces a value. The index keeps the pointer to name, which must
 * stay valid until the entry is removed. KWB_ERR_MEMORY on failure.
 */
int kwb_index_put(struct kwb_index *index, const char *name, void *value);
/* Removes an entry; does nothing when there is none. */
void kwb_index_remove(struct kwb_index *index, const char *name);

/* ---- Text --------------------------------------------------------------- */

/* Appends data as Base64 text to out; KWB_ERR_MEMORY on failure. */
int kwb_base64_encode(
    struct kwb_buf *out, const void *data, size_t length_bytes);
/*
 * Appends the bytes of a Base64 text to out; KWB_ERR_ARGUMENT when it is not
 * valid, KWB_ERR_MEMORY on failure.
 */
int kwb_base64_decode(
    struct kwb_buf *out, const char *text, size_t length_bytes);

/* ---- Timers ------------------------------------------------------------- */

/* Makes a timer, not armed; NULL on failure. Freed with event_free(). */
struct event *kwb_timer_new(struct event_base *base,
    void (*on_timer)(int fd, short what, void *context), void *context);
/* Arms or moves it; fires once, on the loop, even when already past. */
void kwb_timer_arm(struct event *timer, uint64_t deadline_ns);
/* Time since the machine's boot; counts while it is suspended, too. */
uint64_t kwb_boot_now_ns(void);

/* ---- Store: rows, transactions, feeds, objects --------------------------- */

/*
 * The shared store in which nodes keep what must outlive them: tables of rows,
 * changed by transactions with conditions, and objects (named blobs). A feed
 * reports the changes of a table. Calls are asynchronous: each function of
 * kwb_store_ops returns 0 or a negative KWB_ERR_ number, and after a 0
 * call->on_done is called once, unless the call is cancelled before.
 */
struct kwb_row {
	char *table;
	char *part; /* partition of the table; "" for the default one */
	char *key;
	char *value;
	size_t value_bytes;
	uint64_t revision; /* of the last change; 0: the row does not exist */
	bool deleted;	   /* the row has been removed */
};

struct kwb_store_answer {
	int error; /* 0 or KWB_ERR_STORE_... */
	struct kwb_row *rows;
	uint32_t rows_count;
	bool more;	       /* the range has more rows than these */
	uint64_t revision;     /* newest of the store */
	uint64_t now_ms;       /* the store's steady clock; 0 when not given */
	struct kwb_buf object; /* content, for object_get */
};

/* A call of the store; its memory is the caller's. */
struct kwb_store_call {
	void (*on_done)(
	    struct kwb_store_call *call, const struct kwb_store_answer *answer);
	void *context;
	void *pending; /* the implementation's request; NULL when none runs */
};

#define KWB_TX_ROWS_MAX 100 /* of each kind in one transaction */

struct kwb_tx_row {
	const char *table;
	const char *part;
	const char *key;
	const char *value;
	size_t value_bytes;
	uint64_t revision; /* expected; 0: the row must not exist */
};

/* Writes and removes rows, all or none, if all expected revisions hold. */
struct kwb_tx {
	struct kwb_tx_row expect[KWB_TX_ROWS_MAX];
	uint32_t expect_count;
	struct kwb_tx_row put[KWB_TX_ROWS_MAX];
	uint32_t put_count;
	struct kwb_tx_row remove[KWB_TX_ROWS_MAX];
	uint32_t remove_count;
};

/* Rows of one partition, in byte order of their keys. */
struct kwb_range {
	const char *table;
	const char *part;
	const char *from; /* NULL for the first key */
	const char *to;	  /* exclusive; NULL for no end */
	uint32_t limit;	  /* 0 for as many as the store gives */
};

struct kwb_store;

/* What an implementation of the store provides. */
struct kwb_store_ops {
	/* Answers KWB_ERR_STORE_CONFLICT when a revision is not as expected. */
	int (*transact)(struct kwb_store *store, const struct kwb_tx *tx,
	    struct kwb_store_call *call);
	/* Reads rows; answer->more tells when a page does not hold all. */
	int (*range)(struct kwb_store *store, const struct kwb_range *range,
	    struct kwb_store_call *call);
	/*
	 * Waits up to wait_ms for changes of a table after a revision. Answers
	 * KWB_ERR_STORE_HISTORY_GONE when the store does not keep that history.
	 */
	int (*feed)(struct kwb_store *store, const char *table, uint64_t after,
	    uint32_t wait_ms, struct kwb_store_call *call);
	/* Writes an object under a new name; an existing one stays as it is. */
	int (*object_put)(struct kwb_store *store, const char *name,
	    const void *data, size_t length_bytes, struct kwb_store_call *call);
	int (*object_get)(struct kwb_store *store, const char *name,
	    struct kwb_store_call *call);
	int (*object_drop)(struct kwb_store *store, const char *name,
	    struct kwb_store_call *call);
	/* Ends a call in progress without calling on_done. */
	void (*cancel)(struct kwb_store *store, struct kwb_store_call *call);
	/*
	 * Ends calls begun before then with KWB_ERR_STORE_NO_ANSWER; returns
	 * their number.
	 */
	uint32_t (*give_up)(struct kwb_store *store, uint64_t before_ns);
	/* Sends a second copy of each call that kwb_resend_is_due() names. */
	void (*resend_overdue)(struct kwb_store *store);
};

/* A node's client of the store. Times are of kwb_clock_now_ns(), 0: never. */
struct kwb_store {
	const struct kwb_store_ops *ops;
	/* Relay of a peer that calls go through; NULL: the direct path. */
	const struct kwb_address *relay;
	uint64_t last_answer_ns;   /* last answer, on any path */
	uint64_t direct_answer_ns; /* last answer without a peer */
	uint64_t relay_answer_ns;  /* last answer through a peer */
	uint64_t last_failure_ns;  /* last call refused or unanswered */
	uint64_t recovered_ns;	   /* first answer after an outage */
	int64_t clock_offset_ms;   /* store's clock minus kwb_boot_now_ns() */
	uint64_t calls_count;	   /* ended calls, answered or not */
};

#define KWB_STORE_VALUE_MAX_BYTES 60000 /* of a row's value */

/* Ends a call without its callback; does nothing when none is in progress. */
void kwb_store_cancel(struct kwb_store *store, struct kwb_store_call *call);
/* Starts a small read that shows whether the store answers. */
int kwb_store_probe(struct kwb_store *store, struct kwb_store_call *call);
/* False when the call was refused or its outcome is unknown. */
bool kwb_store_has_answered(const struct kwb_store_answer *answer);
/* Ends calls begun before before_ns with KWB_ERR_STORE_NO_ANSWER. */
void kwb_store_give_up(struct kwb_store *store, uint64_t before_ns);
/*
 * Notes an ended call: when the store answered, on which path, and its clock.
 * For implementations of the store.
 */
void kwb_store_record_answer(struct kwb_store *store,
    const struct kwb_store_answer *answer, bool is_relayed);
/* The store's clock in milliseconds; 0 before the first answer. */
uint64_t kwb_store_now_ms(const struct kwb_store *store);
/* Adds a condition: the row is at this revision, or missing for 0. */
void kwb_tx_expect(struct kwb_tx *tx, const char *table, const char *part,
    const char *key, uint64_t revision);
/* Adds a row to write; the strings must live until the call is started. */
void kwb_tx_put(struct kwb_tx *tx, const char *table, const char *part,
    const char *key, const char *value, size_t value_bytes);
/* Adds a row to remove. */
void kwb_tx_remove(
    struct kwb_tx *tx, const char *table, const char *part, const char *key);

/*
 * Second copies of calls that stay unanswered while others are answered, as
 * happens when a connection or a partition of the store is silent.
 */
enum kwb_resend_policy {
	KWB_RESEND_NEVER, /* a copy could take effect, too, or is of no use */
	KWB_RESEND_READ,  /* changes nothing */
	KWB_RESEND_WRITE  /* takes effect at most once */
};

/*
 * KWB_RESEND_WRITE if the transaction changes the row of its first condition,
 * so that a second copy conflicts, else KWB_RESEND_NEVER.
 */
enum kwb_resend_policy kwb_tx_resend_policy(const struct kwb_tx *tx);
/* Whether to send another copy; sent_ns: when the last one was sent. */
bool kwb_resend_is_due(
    enum kwb_resend_policy policy, uint64_t sent_ns, uint64_t now_ns);

/*
 * Whether the answer to one copy ends the call. error: in, 0 or KWB_ERR_STORE_*
 * of that copy; out, what the caller is told. open_copies: others, unanswered.
 */
bool kwb_resend_ends_call(enum kwb_resend_policy policy, uint32_t copies,
    uint32_t open_copies, int *error);

/*
 * Watchdog for a store that is silent: notices when it answers again, and ends
 * calls from before that it will not answer.
 */
struct kwb_store_watchdog {
	struct kwb_store *store;
	struct kwb_store_call probe;
	struct event *timer;
	uint64_t probe_sent_ns;
	/* Calls begun before it are to be given up; 0 for none. */
	uint64_t give_up_before_ns;
	bool silent; /* no answer for KWB_STORE_SILENT_NS */
};

/* Starts periodic checks on the loop; returns KWB_ERR_MEMORY on failure. */
int kwb_store_watchdog_init(struct kwb_store_watchdog *watchdog,
    struct event_base *base, struct kwb_store *store);
/* Stops the checks. */
void kwb_store_watchdog_finish(struct kwb_store_watchdog *watchdog);

/* A row that a follower has reported and that still exists. */
struct kwb_follower_row {
	char *key;
	uint32_t row_index; /* in the follower's rows */
	uint64_t revision;
	bool seen; /* by the whole read in progress */
};

/*
 * Follows the default partition of a table: reads all rows, then waits for
 * changes, and reports each new, changed or deleted row.
 */
struct kwb_follower {
	void (*on_row)(void *context, const struct kwb_row *row);
	void (*on_synced)(void *context); /* after each whole read, or NULL */
	void *context;
	struct kwb_store *store;
	const char *table;
	struct kwb_store_call call;
	struct event *timer;
	struct kwb_follower_row **rows;
	struct kwb_index index; /* of rows by key */
	uint32_t rows_count;
	uint32_t rows_capacity;
	char *next_key;	   /* first of the next page; NULL for the first page */
	uint64_t revision; /* up to which changes are known */
	uint64_t read_revision;	  /* at the first page of a whole read */
	uint64_t last_success_ns; /* end of the last successful call */
	uint64_t started_ns;	  /* start of the last call */
	uint32_t failures;	  /* in a row */
	bool synced;		  /* a whole read has been completed */
	bool reading;		  /* a whole read is in progress */
	/* Boot times: of the call in progress, or its whole read; of proof. */
	uint64_t sent_ns;
	uint64_t proof_ns;  /* up to then all changes were reported; or 0 */
	uint32_t asked_ms;  /* wait of the feed in progress; 0 for none */
	uint32_t wait_ms;   /* longest wait of a feed */
	bool is_proof_kept; /* after a failure a feed does not wait */
	void (*on_proof)(void *context); /* after a rise of proof_ns, or NULL */
};

/* Starts to read the table; returns KWB_ERR_MEMORY on failure. */
int kwb_follower_init(struct kwb_follower *follower, struct event_base *base,
    struct kwb_store *store, const char *table,
    void (*on_row)(void *context, const struct kwb_row *row),
    void (*on_synced)(void *context), void *context);
/* Stops following and frees the rows. */
void kwb_follower_finish(struct kwb_follower *follower);
/* Whether a whole read is done and a call was answered in the last age_ns. */
bool kwb_follower_is_current(
    const struct kwb_follower *follower, uint64_t age_ns);

/*
 * From now on feeds wait for wait_ms at most, and not at all after a failure,
 * so that proof_ns stays recent while the store answers.
 */
void kwb_follower_keep_proof(struct kwb_follower *follower, uint32_t wait_ms);
/* Reads the whole table now, unless that or a pause is under way. */
void kwb_follower_ask(struct kwb_follower *follower);

/*
 * Asks again if the call in progress has waited for min_wait_ns, for an owner
 * that knows of changes it was not told of: a connection may have gone silent.
 */
void kwb_follower_refresh(struct kwb_follower *follower, uint64_t min_wait_ns);

/*
 * A lease for a job that one node at a time does. Each time it changes hands
 * its fencing token grows, so that receivers can refuse late orders of an
 * earlier holder.
 */
struct kwb_store_lease {
	struct kwb_store *store;
	struct kwb_store_call call;
	struct event *timer;
	const char *name;		  /* of the lease; key of its row */
	const char *holder;		  /* this node's name */
	void (*on_change)(void *context); /* acquired or lost */
	void *context;
	uint64_t lease_ns;     /* length of one term */
	bool fenced;	       /* receivers of orders check the token */
	uint64_t row_revision; /* as last read or written */
	uint64_t row_seen_ns;  /* boot time when that revision was first read */
	uint64_t read_ns;      /* unused */
	uint64_t fence;	       /* the own token; 0 when not held */
	uint64_t row_fence;    /* token in the row */
	uint64_t held_until_ns; /* boot time; no orders from then on */
	uint64_t started_ns;	/* boot time of the call in progress */
	bool writing;		/* the call in progress is a write */
	bool released;		/* given up for good */
};

/* Starts to try for the lease; returns KWB_ERR_MEMORY on failure. */
int kwb_store_lease_init(struct kwb_store_lease *lease, struct event_base *base,
    struct kwb_store *store, const char *name, const char *holder,
    uint64_t lease_ns, bool fenced, void (*on_change)(void *context),
    void *context);
/* Stops trying, without releasing the lease. */
void kwb_store_lease_finish(struct kwb_store_lease *lease);
/* The fencing token while the lease is held, else 0. */
uint64_t kwb_store_lease_fence(const struct kwb_store_lease *lease);
/* The lease is lost: a receiver of orders has seen a higher token. */
void kwb_store_lease_mark_lost(struct kwb_store_lease *lease);
/* Releases the lease and does not try for it again. */
void kwb_store_lease_step_down(struct kwb_store_lease *lease);

/* ---- Settings of a node ---------------------------------------------------
 */

/*
 * What the platform tells a node about itself: its name, its addresses, and the
 * limits and times that it has to keep.
 */
struct kwb_node_settings {
	char node[KWB_NAME_MAX_BYTES]; /* name of this node */
	char failure_domain[KWB_NAME_MAX_BYTES];
	struct kwb_address listen;  /* for requests of callers and trainers */
	struct kwb_address ready;   /* for the load balancer's checks */
	struct kwb_address store;   /* of the platform's store */
	struct kwb_address metrics; /* for reads of metrics; port 0 for none */
	struct kwb_address peers;   /* for nodes to relay; port 0 for none */
	uint32_t memory_mb;	    /* limit of the process */
	uint32_t processor_milli;   /* share of the CPU, 1000 for a core */
	uint32_t fds_max;	    /* limit of open files */
	uint32_t grace_ms;	    /* from SIGTERM to SIGKILL */
	/* Least time between the orders of two successive lease holders. */
	uint32_t lease_ms;
	uint32_t batch_keep_ms; /* results are readable for this long */
	uint32_t row_max_bytes; /* largest value of a row of the store */
	/* Upstreams refuse orders with an outdated fencing token. */
	bool is_fencing_enforced;
	/* A key that was taken away admits nothing after revoke_ms. */
	bool is_revocation_strict;
	uint32_t revoke_ms;
	/* Duties: calls to the platform that one node at a time makes. */
	struct kwb_address duty_address; /* that takes them; port 0 for none */
	bool reports_usage;		 /* usage of workspaces, by window */
	bool scales_services;		 /* numbers of upstreams */
	uint32_t duty_calls_per_s;	 /* of all nodes; 0 for no limit */
	uint32_t usage_window_ms;	 /* length of a window of usage */
	uint32_t usage_late_ms;		 /* after a window, its report is due */
};

void kwb_node_settings_init(
    struct kwb_node_settings *settings); /* defaults; no name, no addresses */

/* ---- Peers: a way round a cut path to the store -------------------------- */

/*
 * When a node cannot reach the store and another node, a peer, can, its calls
 * take a detour: the peer relays its connections. Each node runs a relay, knows
 * a few peers from rows of the store, and probes the paths.
 */
enum kwb_path {
	KWB_PATH_DIRECT, /* calls go straight to the store */
	KWB_PATH_PROBE,	 /* likewise; it is silent, so a probe is sent */
	KWB_PATH_RELAY,	 /* calls go through the peer in use */
	KWB_PATH_SEARCH	 /* no path answers: probe the store through peers */
};

/* Input of kwb_path_choose(). */
struct kwb_path_input {
	uint64_t direct_silence_ns; /* since the last answer without a peer */
	/* Since probing the direct path began, unanswered; 0: not probing. */
	uint64_t probe_unanswered_ns;
	uint64_t relay_silence_ns; /* since the last answer through a peer */
	bool is_relayed;	   /* a peer is in use */
};

/* Chooses the path of calls to the store; a pure function. */
enum kwb_path kwb_path_choose(const struct kwb_path_input *input);

/* Input of kwb_relay_can_accept(). */
struct kwb_relay_input {
	/* Since the store last answered this node without a peer. */
	uint64_t direct_silence_ns;
	bool is_relayed;    /* this node's own calls go through a peer */
	bool is_stopping;   /* the node ends */
	uint32_t pairs;	    /* relayed connections open now */
	uint32_t pairs_max; /* at most */
};

/* Whether to relay one more connection of a peer; a pure function. */
bool kwb_relay_can_accept(const struct kwb_relay_input *input);

struct kwb_relay_pair;
TAILQ_HEAD(kwb_relay_pair_list, kwb_relay_pair);

/* Relays connections of peers to the store. */
struct kwb_relay {
	struct event_base *base;
	const struct kwb_node_settings *settings;
	const struct kwb_store *store;
	struct evconnlistener *listener;
	struct kwb_relay_pair_list pairs;
	uint32_t pairs_count;
	uint32_t pairs_max;
	bool is_stopping;
};

/* Listens for peers, if the settings name a port; 0 or a KWB_ERR_ number. */
int kwb_relay_init(struct kwb_relay *relay, struct event_base *base,
    const struct kwb_node_settings *settings, const struct kwb_store *store);
/* Refuses new connections; open ones go on. */
void kwb_relay_stop(struct kwb_relay *relay);
/* Closes all connections and stops listening. */
void kwb_relay_finish(struct kwb_relay *relay);

struct kwb_peer {
	char node[KWB_NAME_MAX_BYTES];
	struct kwb_address address; /* of its relay */
};

/*
 * A bounded number of other nodes, read from rows that each node writes in the
 * store: those that follow this node on a ring ordered by hashes of names.
 */
struct kwb_peers {
	const struct kwb_node_settings *settings;
	struct kwb_store *store;
	struct kwb_store_call write; /* of the own row */
	struct kwb_store_call read;
	struct kwb_store_call removal; /* of the row of a node that is gone */
	struct event *timer;
	struct kwb_peer known[KWB_STORE_PEERS_MAX];
	uint32_t known_count;
	uint32_t next_index; /* of the peer that kwb_peers_next() returns */
	/* By the read in progress. */
	struct kwb_peer found[KWB_STORE_PEERS_MAX];
	uint32_t found_count;
	bool is_wrapped; /* the read has continued at the ring's start */
	bool is_written; /* the own row has been written */
};

/*
 * Starts to write the own row and to read others, if the settings name a port;
 * returns KWB_ERR_MEMORY on failure.
 */
int kwb_peers_init(struct kwb_peers *peers, struct event_base *base,
    const struct kwb_node_settings *settings, struct kwb_store *store);
/* Stops writing and reading. */
void kwb_peers_finish(struct kwb_peers *peers);
/* The next peer, round robin; NULL when none is known. */
const struct kwb_peer *kwb_peers_next(struct kwb_peers *peers);
/* A node's position on the ring: a hash of its name. */
uint64_t kwb_peer_ring_position(const char *node);
/* Estimates the number of nodes from how densely peers lie on the ring. */
uint32_t kwb_peers_estimate_nodes(const struct kwb_peers *peers);

struct kwb_detour;

/* A read of the store that shows whether a path works. */
struct kwb_detour_probe {
	struct kwb_store_call call;
	struct kwb_detour *detour;
	struct kwb_peer peer; /* that it goes through, in a search */
	uint64_t sent_ns;
};

/* Switches calls to the store between the direct path and a peer's relay. */
struct kwb_detour {
	struct kwb_store *store;
	struct kwb_peers *peers;
	struct event *timer;
	void (*on_change)(void *context); /* calls now go through a peer */
	void *context;
	struct kwb_peer peer; /* in use while store->relay is set */
	struct kwb_detour_probe direct_probe; /* of the direct path */
	struct kwb_detour_probe relay_probe;  /* through the peer in use */
	struct kwb_detour_probe search_probes[KWB_PATH_PARALLEL_PROBES];
	uint32_t probes_left; /* of this check, in a search */
	/* Since when an answer to a direct probe is awaited; 0 for none. */
	uint64_t probing_since_ns;
};

/* Starts periodic checks on the loop; returns KWB_ERR_MEMORY on failure. */
int kwb_detour_init(struct kwb_detour *detour, struct event_base *base,
    struct kwb_store *store, struct kwb_peers *peers,
    void (*on_change)(void *context), void *context);
/* Stops the checks and probes. */
void kwb_detour_finish(struct kwb_detour *detour);

/* ---- Config: routes and services ----------------------------------------- */

/*
 * The part of the platform's configuration that a node serves by: a route names
 * the service that takes requests for a host and path, a service is a group of
 * upstreams that can stand in for each other.
 */

enum kwb_route_kind {
	KWB_ROUTE_IDEMPOTENT,	  /* may run more than once */
	KWB_ROUTE_NON_IDEMPOTENT, /* must not run twice */
	KWB_ROUTE_STREAMING,	  /* answered by a stream of events */
	KWB_ROUTE_ROLLOUT	  /* submissions and items of batches */
};

/*
 * The texts of a config are as long as the operator made them, and belong to
 * it. What outlives the config, as a request under way, has its own copies.
 */

/* One of the services that share a route's requests. */
struct kwb_route_split {
	char *service;
	uint32_t weight; /* part of the requests, relative to the others' */
};

struct kwb_route_entry {
	char *name;   /* "" when not told */
	char *host;   /* without a port */
	char *prefix; /* of the request's path */
	enum kwb_route_kind kind;
	bool resumable;	     /* a stream may go on at another upstream */
	bool single_version; /* an item's text comes from one weight version */
	bool sticky;	/* prefer upstreams that read the same prompt prefix */
	bool is_public; /* needs no key, also where there are workspaces */
	uint32_t timeout_ms;	    /* 0 when not set */
	uint32_t target_latency_ms; /* 0 when not set */
	uint32_t run_deadline_ms;   /* time for a whole batch */
	uint32_t item_ttl_ms;	    /* after which an item may be given up */
	uint32_t max_attempts;	    /* of one request, the first included */
	uint32_t priority;	    /* 0 is the highest */
	struct kwb_route_split *splits; /* at least one */
	uint32_t splits_count;
};

struct kwb_service {
	char *name;
	uint32_t max_conns; /* not used */
	uint32_t slots;	    /* of an upstream; 0 when not an engine */
	char **models;	    /* their names */
	uint32_t models_count;
	/* Bounds of the number of upstreams in a failure domain. */
	bool is_scaled; /* the number is to be ordered, within these */
	uint32_t scale_min;
	uint32_t scale_max;
	uint32_t boot_ms; /* until a new upstream serves */
};

/* A customer of the operator, who holds keys. */
struct kwb_workspace {
	char *name;
	uint32_t priority; /* 0 is the highest; goes before the route's */
	bool has_priority;
};

struct kwb_node_config {
	uint64_t version; /* a newer document has a higher one */
	struct kwb_route_entry *routes;
	uint32_t routes_count;
	struct kwb_service *services;
	uint32_t services_count;
	struct kwb_workspace *workspaces;
	uint32_t workspaces_count;
	bool has_workspaces; /* requests need a key, except on public routes */
	struct kwb_access_keys keys; /* of the workspaces */
	uint32_t max_header_bytes;   /* of a request's head */
	uint64_t max_body_bytes;     /* of a request's body */
	uint32_t header_timeout_ms;  /* for a request's head to arrive */
	uint32_t idle_timeout_ms;    /* of a connection between requests */
	uint32_t left_out_count; /* routes, services... that can't be used */
};

void kwb_node_config_finish(struct kwb_node_config *config); /* frees it */
void kwb_route_entry_finish(struct kwb_route_entry *route);  /* empties it */
const struct kwb_route_entry *kwb_node_config_find_route(
    const struct kwb_node_config *config, const char *host,
    const char *target); /* longest prefix of that host; NULL for none */
const struct kwb_service *kwb_node_config_find_service(
    const struct kwb_node_config *config,
    const char *name); /* by name; NULL for none */
const struct kwb_workspace *kwb_node_config_find_workspace(
    const struct kwb_node_config *config,
    const char *name); /* by name; NULL for none */
const char *kwb_route_entry_pick_service(const struct kwb_route_entry *route,
    uint64_t random); /* one of its services by weight; "" for none */
/* Sets of splits: bit I stands for split I, later ones are always in them. */
#define KWB_SPLIT_BITS 64
bool kwb_splits_contain(uint64_t splits, uint32_t index);
/* Likewise, from a set of splits; from all where that has no weight. */
const char *kwb_route_entry_pick_among(
    const struct kwb_route_entry *route, uint64_t splits, uint64_t random);

/* ---- Upstreams: registry and choice -------------------------------------- */

/*
 * The registry holds every upstream on the platform's list, with what it
 * reports and what this node has measured. kwb_upstream_pick() chooses one for
 * a request.
 *
 * Pace is the time that a unit of work takes: a plain request, or one event of
 * a generation. An upstream is suspect after some failures in a row: it is
 * avoided for a while, then probed by one request. Each probe that fails
 * doubles that while; what was sent before the last failure was known doesn't,
 * as one incident ends many requests.
 */

struct kwb_upstream_model {
	char *name;
	uint64_t version; /* of the weights */
};

struct kwb_upstream_models {
	struct kwb_upstream_model *list;
	uint32_t count;
};

/* Appends a model; KWB_ERR_MEMORY on failure. */
int kwb_upstream_models_add(
    struct kwb_upstream_models *models, const char *name, uint64_t version);
void kwb_upstream_models_finish(struct kwb_upstream_models *models);

/* What an upstream says of itself in its heartbeat. */
struct kwb_upstream_status {
	char *id;
	char *service;
	struct kwb_address address;
	char *failure_domain;
	uint32_t slots;		 /* requests that it runs at a time */
	bool draining;		 /* takes no new requests */
	uint64_t incarnation_ms; /* wall-clock start, 0 when not told */
	uint64_t order_seq;	 /* orders accepted since its start */
	struct kwb_upstream_models models;
};

void kwb_upstream_status_finish(struct kwb_upstream_status *status);

struct kwb_upstream {
	struct kwb_upstream_status status;
	bool listed;		      /* still on the platform's list */
	bool is_leaving;	      /* said so in an answer of this life */
	uint64_t stored_ns;	      /* when the store last reported it */
	uint64_t removal_ns;	      /* when it is or was removed; 0 for not */
	uint32_t in_flight;	      /* requests of this node there */
	uint32_t ref_count;	      /* requests that refer to this memory */
	uint32_t reported_load;	      /* running and waiting there, in all */
	uint32_t in_flight_at_report; /* in_flight when that was reported */
	uint64_t reported_ns;	      /* when it was reported; 0 for never */
	uint32_t shared_load;	      /* as any node has last reported it */
	uint64_t shared_ms;	      /* store's clock then; 0 for never */
	uint32_t slowness_percent;    /* reported then, 100 usual; 0 none */
	uint32_t usual_percent;	      /* lowest reported in this life */
	uint32_t failures;	      /* in a row */
	uint64_t failed_ns;	      /* when the last of them was known */
	bool has_failed_in_panic;     /* the last of them; see the registry */
	uint64_t suspect_until_ns;    /* avoided until then, after failures */
	const void *prober;	   /* request that probes it; NULL for none */
	uint64_t pace_ns;	   /* smoothed; 0 when not measured */
	uint64_t pace_updated_ns;  /* when it was last measured */
	uint64_t baseline_pace_ns; /* pace without slow phases; 0 likewise */
	uint64_t unread_tokens; /* of prompts of this node there, to be read */
	uint64_t read_ns_per_token; /* of a prompt; 0 when not measured */
	uint64_t slow_since_ns; /* when pace left its baseline; 0 if near it */
	uint64_t backoff_until_ns;  /* avoided until then, after a refusal */
	char *assigned_model;	    /* its weights are kept current; or NULL */
	uint64_t expected_version;  /* of that model, by the last order */
	uint64_t expected_since_ns; /* when that order was first seen */
};

struct kwb_registry {
	struct kwb_index index; /* listed upstreams by id */
	/* All in memory: listed ones, and those still referred to. */
	struct kwb_upstream **upstreams;
	uint32_t count;
	uint32_t capacity;
};

void kwb_registry_init(struct kwb_registry *registry);	 /* empty */
void kwb_registry_finish(struct kwb_registry *registry); /* frees all */
/* Adds or updates an upstream, by copy; NULL when out of memory. */
struct kwb_upstream *kwb_registry_put(
    struct kwb_registry *registry, const struct kwb_upstream_status *status);
void kwb_registry_remove(struct kwb_registry *registry,
    const char *id); /* takes it off the list; freed when not referred to */
struct kwb_upstream *kwb_registry_find(const struct kwb_registry *registry,
    const char *id); /* a listed one, NULL for none */
/*
 * Counts a request that starts there, and refers to the upstream. While the
 * upstream is suspect, the request is its probe: no other one starts there
 * until this one has succeeded, failed or ended. request identifies it.
 */
void kwb_upstream_begin(struct kwb_upstream *upstream, const void *request);
/* The request has ended, for whatever reason. */
void kwb_upstream_end(struct kwb_registry *registry,
    struct kwb_upstream *upstream, const void *request);
/* Whether new requests may start there: neither store nor answers say no. */
bool kwb_upstream_takes_requests(const struct kwb_upstream *upstream);
struct kwb_upstream_answer;
/*
 * Whether an answer is the one to the request of that id, "" for a request
 * without one, and not a late copy of an earlier answer.
 */
bool kwb_answer_is_to_request(
    const struct kwb_upstream_answer *answer, const char *request_id);
/*
 * Notes from the head of an answer that the upstream is leaving. Only an answer
 * that is proved to be its own counts: by the id of the request, or by its own
 * id where the answer has no other or the request was refused as misdirected.
 * incarnation_ms: that of the upstream when the request was sent.
 */
void kwb_upstream_note_answer(struct kwb_upstream *upstream,
    uint64_t incarnation_ms, const char *request_id,
    const struct kwb_upstream_answer *answer);
/* Whether the weights of that model are kept current there. */
bool kwb_upstream_is_assigned(
    const struct kwb_upstream *upstream, const char *model);
uint64_t kwb_upstream_version(const struct kwb_upstream *upstream,
    const char *model); /* of its weights, 0 when it lacks the model */
void kwb_upstream_set_version(struct kwb_upstream *upstream, const char *model,
    uint64_t version); /* which an answer named */
void kwb_upstream_assign(struct kwb_upstream *upstream, const char *model,
    uint64_t version); /* model to keep current there, and version ordered */
bool kwb_upstream_is_loading(const struct kwb_upstream *upstream,
    const char *model, uint64_t now_ns); /* changes that model's weights */
void kwb_upstream_record_success(
    struct kwb_upstream *upstream); /* an answer came: no longer suspect */
/*
 * A request that was sent at sent_ns has failed; may make the upstream suspect.
 * A suspect one is avoided for longer only if the request was sent after the
 * last failure was known. The registry tells whether it failed in a panic, that
 * is, together with most upstreams of its service.
 */
void kwb_upstream_record_failure(const struct kwb_registry *registry,
    struct kwb_upstream *upstream, uint64_t sent_ns, uint64_t now_ns);
/* Whether most upstreams of the service are suspect. */
bool kwb_registry_is_in_panic(
    const struct kwb_registry *registry, const char *service);
void kwb_upstream_record_pace(struct kwb_upstream *upstream,
    uint64_t taken_ns); /* time that a unit of work took */
uint32_t kwb_upstream_load(const struct kwb_upstream *upstream,
    uint64_t now_ns); /* requests there, of all nodes, as far as known */
void kwb_upstream_record_report(struct kwb_upstream *upstream,
    const struct kwb_upstream_answer *answer); /* load and slowness, if told */
/* Whether it has told in this life how long work takes there at the moment. */
bool kwb_upstream_reports_slowness(const struct kwb_upstream *upstream);
bool kwb_registry_reports_slowness(const struct kwb_registry *registry,
    const char *service); /* whether any upstream of the service does */
/* A prompt was read in that time, with what was read before it. */
void kwb_upstream_record_read(
    struct kwb_upstream *upstream, uint64_t tokens, uint64_t taken_ns);
/* What is known of its pace; service_ns: median pace of its service. */
void kwb_upstream_view_pace(const struct kwb_upstream *upstream,
    uint64_t service_ns, uint64_t now_ns, struct kwb_pace_view *view);
bool kwb_registry_has_version(const struct kwb_registry *registry,
    const char *service, const char *model,
    uint64_t version); /* at an upstream that takes requests */
uint64_t kwb_registry_median_pace(const struct kwb_registry *registry,
    const char *service,
    uint64_t now_ns); /* median of baselines, in ns; 0 when none is known */

/* What kwb_upstream_pick() chooses by. */
struct kwb_pick_criteria {
	const char *service;
	const char *failure_domain; /* preferred, NULL for none */
	const char *model;	    /* NULL for plain requests */
	uint64_t min_version;	    /* oldest weights allowed */
	uint64_t version;	    /* the only weights allowed, 0 for any */
	const struct kwb_upstream *const *exclude; /* never picked */
	uint32_t exclude_count;
	const char *affinity_id; /* upstream that read the prompt, or NULL */
	bool needs_free_slot;	 /* only upstreams with a free slot */
	/*
	 * With needs_free_slot, when nothing else is found: a suspect upstream
	 * ahead of its time, after the first incident or in a panic.
	 */
	bool may_probe_early;
	uint32_t spare_divisor; /* slots / this must stay free; 0 for none */
	const struct kwb_client *client; /* prefers open connections, or NULL */
	/* Units of work it has; chosen by its expected end. 0: by cost. */
	uint64_t units;
	uint64_t prompt_tokens; /* to be read where they aren't cached */
	uint64_t now_ns;
	uint64_t random; /* 64 random bits */
};

struct kwb_upstream *kwb_upstream_pick(const struct kwb_registry *registry,
    const struct kwb_pick_criteria *criteria); /* cheapest; NULL for none */
/* Whether any upstream that takes requests is suspect. */
bool kwb_registry_has_suspect(const struct kwb_registry *registry);
/*
 * Splits whose service has an upstream that takes requests and is not suspect,
 * or is due to be probed. Its other slots may all be in use.
 */
uint64_t kwb_registry_usable_splits(const struct kwb_registry *registry,
    const struct kwb_route_entry *route, uint64_t now_ns);
/* One of the usable services of a route, by weight. */
const char *kwb_registry_pick_service(const struct kwb_registry *registry,
    const struct kwb_route_entry *route, uint64_t random);

/* The upstream that last read a prompt prefix. */
struct kwb_prefix_entry {
	uint64_t hash; /* of the service and the prefix; 0 when unused */
	char *upstream_id;
};

/*
 * Upstreams by the prompt prefixes that they have read, so that a request goes
 * where its prompt is cached. A prompt is "PART:TOKENS,...", and a prefix is
 * its first part or parts. A hash table in which a newer entry replaces an
 * older.
 */
struct kwb_prefix_map {
	struct kwb_prefix_entry entries[KWB_PREFIXES_MAX];
};

void kwb_prefix_map_finish(struct kwb_prefix_map *map); /* empties it */
void kwb_prefix_map_set(struct kwb_prefix_map *map, const char *service,
    const char *prompt,
    const char *upstream_id); /* it has read every prefix of the prompt */
const char *kwb_prefix_map_find(struct kwb_prefix_map *map, const char *service,
    const char *prompt); /* id for its longest known prefix, NULL for none */

/* ---- Codec: the platform's messages and documents --------------------------
 */

/*
 * What the platform's clients, upstreams and store exchange, in types that do
 * not depend on its formats. The adapter in platform/ translates: a
 * kwb_message_codec parses and writes HTTP messages, a kwb_document_schema
 * parses the documents in the store.
 */

enum kwb_request_kind {
	KWB_REQUEST_FORWARD,	  /* for a route, to be passed to an upstream */
	KWB_REQUEST_READ_RESULTS, /* reads results of a batch */
	KWB_REQUEST_READ_ITEM,	  /* reads the body that an item came with */
	KWB_REQUEST_END_BATCH	  /* ends a batch */
};

/* Head of a client's request; its strings live as long as the message. */
struct kwb_request_head {
	enum kwb_request_kind kind;
	const char *id;	      /* chosen by the client, "" when absent */
	const char *host;     /* "" when absent */
	const char *prompt;   /* "PART:TOKENS,...", "" when absent */
	const char *key;      /* of a workspace, "" when absent */
	uint64_t deadline_ns; /* 0 for none */
	char batch[KWB_KEY_MAX_BYTES]; /* id; "" for KWB_REQUEST_FORWARD */
	char item[KWB_KEY_MAX_BYTES];  /* id, "" for none */
	uint32_t after;		       /* position of the first result wanted */
	uint32_t wait_ms; /* how long a read may wait for a result */
};

/* A request to an upstream. */
struct kwb_upstream_request {
	const char *method;
	const char *target; /* path and query */
	const char *host;
	const char *id;	       /* "" for none */
	const char *workspace; /* that asks; NULL for none */
	/* Passed on, except the hop-by-hop ones; NULL for none. */
	const struct kwb_message *headers;
	const void *body;
	size_t body_bytes;
	const char *expect_upstream_id; /* any other upstream refuses it */
	uint64_t deadline_ns;		/* 0 for none */
	uint64_t resume_after;	 /* id of the last event received; 0: start */
	uint64_t expect_version; /* weights that it must run on; 0 for any */
	int32_t priority;	 /* 0 is the highest; -1 for none */
};

/* Head of an upstream's answer; its strings live as long as the message. */
struct kwb_upstream_answer {
	uint16_t status;
	const char *id;	     /* of the request it answers, NULL when absent */
	const char *receipt; /* proves that the request ran, NULL when absent */
	const char *upstream_id; /* of the one that answers, NULL when absent */
	bool not_run;		 /* the upstream says that it did not run it */
	bool leaving;		 /* the upstream says that it will stop soon */
	bool has_load;		 /* the next three are known */
	uint32_t running;	 /* requests there */
	uint32_t waiting;	 /* requests there */
	uint32_t slots;		 /* requests that it runs at a time */
	uint32_t
	    slowness_percent;	/* of the time work usually takes; 0 absent */
	uint64_t version;	/* of the weights, 0 when absent */
	uint64_t keep_alive_ms; /* unused */
};

enum kwb_item_state { KWB_ITEM_COMPLETED, KWB_ITEM_ERRORED };

/* Result of a batch's item, as the trainer reads it. */
struct kwb_item_result {
	const char *id;
	enum kwb_item_state state;
	const char *output; /* generated text */
	size_t output_bytes;
	const uint64_t *versions; /* of the weights that generated it */
	uint32_t versions_count;
	const char *score; /* receipt of the scoring request, NULL for none */
};

/* An order to an upstream to load a version of a model's weights. */
struct kwb_weight_order {
	const char *model;
	uint64_t version;
	const char *holder;	   /* node that holds the lease for orders */
	uint64_t fence;		   /* fencing token of that lease */
	uint64_t expect_order_seq; /* refused when other than its own */
	const char *expect_upstream_id; /* any other upstream refuses it */
};

/* What an upstream reports when asked about its weights. */
struct kwb_upstream_report {
	uint64_t order_seq; /* orders accepted since its start */
	bool busy;	    /* carries out an order */
	struct kwb_upstream_models models;
};

struct kwb_batch_spec;
struct kwb_duty_codec;

/*
 * Translates the platform's HTTP messages. Functions named write_ append to
 * out. Results are 0, KWB_ERR_ARGUMENT or KWB_ERR_MEMORY.
 */
struct kwb_message_codec {
	const char *version_field; /* of events: version of the weights */
	const char *id_header; /* in which an answer repeats a request's id */
	/* Parses the head of a client's request; never fails. */
	void (*parse_request)(
	    const struct kwb_message *message, struct kwb_request_head *head);
	/* Writes a whole request, head and body. */
	void (*write_request)(
	    const struct kwb_upstream_request *request, struct evbuffer *out);
	/* Writes a request with that order; nothing when out of memory. */
	void (*write_weight_order)(const struct kwb_weight_order *order,
	    const struct kwb_address *address, struct evbuffer *out);
	/* Writes a request that asks an upstream for its report. */
	void (*write_report_request)(
	    const struct kwb_address *address, struct evbuffer *out);
	/*
	 * Parses the answer to that; KWB_ERR_ARGUMENT if it is no report, else
	 * the caller finishes report->models.
	 */
	int (*parse_report)(const struct kwb_message *message,
	    struct kwb_upstream_report *report);
	/* Parses the head of an upstream's answer; never fails. */
	void (*parse_answer)(const struct kwb_message *message,
	    struct kwb_upstream_answer *answer);
	/* Writes one result, as write_results_page() takes it. */
	int (*write_item_result)(
	    const struct kwb_item_result *result, struct kwb_buf *out);
	/*
	 * Writes the body that answers a read of results: total is the number
	 * of the batch's items, next the position to read from next.
	 */
	int (*write_results_page)(const char *const *results, uint32_t count,
	    uint32_t total, uint32_t next, struct kwb_buf *out);
	/* Parses a submission; kwb_batch_spec_finish() frees the result. */
	int (*parse_batch)(
	    const char *body, size_t body_bytes, struct kwb_batch_spec *spec);
	const struct kwb_duty_codec *duty;
};

/*
 * Documents in the store that a node follows: in which tables and under which
 * keys they are, and how to parse them. The functions return 0 or a negative
 * KWB_ERR_ number.
 */
struct kwb_document_schema {
	const char *operator_table; /* has the config and the versions */
	const char *config_key;
	const char *version_prefix; /* of keys that name a model's version */
	const char *upstream_table; /* has the upstreams' heartbeats */
	/*
	 * Parses routes and services; adds what is wrong to faults.
	 * kwb_node_config_finish() frees the result.
	 */
	int (*parse_config)(struct kwb_node_config *config, const char *value,
	    size_t value_bytes, struct kwb_faults *faults);
	/*
	 * Parses the heartbeat of the upstream of that id.
	 * kwb_upstream_status_finish() frees the result.
	 */
	int (*parse_upstream)(struct kwb_upstream_status *status,
	    const char *id, const char *value, size_t value_bytes);
	/*
	 * Parses which version of a model the operator has published; the
	 * caller frees *model.
	 */
	int (*parse_version)(const char *value, size_t value_bytes,
	    char **model, uint64_t *version);
};

/* ---- Forward: one request to upstreams -------------------------------------
 */

/*
 * Sends a request to an upstream of its service. It is retried at others as far
 * as it may be, and may be hedged: a second attempt runs beside a late first
 * one, and the first answer counts.
 */

enum kwb_forward_outcome {
	KWB_FORWARD_ANSWERED, /* an upstream's answer, whole */
	KWB_FORWARD_NOT_RUN,  /* has not run, and will not */
	KWB_FORWARD_UNKNOWN,  /* may have run; no answer came */
	KWB_FORWARD_TIMEOUT   /* may have run; its deadline passed */
};

struct kwb_forward;
struct kwb_usage_meter;

/* What all forwards of a node share. */
struct kwb_forward_env {
	struct event_base *base;
	struct kwb_client *client;
	struct kwb_registry *registry;
	const struct kwb_message_codec *codec;
	const char *failure_domain; /* of this node */
	struct kwb_prefix_map *prefixes;
	struct kwb_usage_meter *usage; /* NULL: requests are not counted */
	struct kwb_room *room;	       /* where requests wait; NULL for none */
};

/* The request at one upstream. */
struct kwb_forward_attempt {
	struct kwb_exchange exchange;
	struct kwb_forward *forward;
	struct kwb_upstream *upstream; /* NULL when not in use */
	uint64_t incarnation_ms;       /* of the upstream, at the start */
	uint64_t started_ns;
};

#define KWB_FORWARD_ATTEMPTS_MAX 8

/* A request on its way; memory of the caller, zeroed before use. */
struct kwb_forward {
	/* Set by the caller before the start. */
	void (*on_done)(struct kwb_forward *forward);
	/* A streamed answer's head and pieces; NULL to take answers whole. */
	void (*on_head)(struct kwb_forward *forward);
	void (*on_data)(struct kwb_forward *forward, struct kwb_buf *data);
	void *context; /* of the caller */
	const struct kwb_forward_env *env;
	struct kwb_upstream_request request;
	char *service;	    /* freed by kwb_forward_finish(), as the next one */
	char *workspace;    /* that asks, "" for none */
	const char *prompt; /* its parts, where the route is sticky, or NULL */
	bool idempotent;    /* may run more than once */
	bool returns_errors; /* a 5xx answer is returned, not retried */
	bool resumes;	     /* a broken stream goes on at another upstream */
	/* Whose share of a service's places it takes; NULL: of workspace. */
	const char *share_workspace;
	uint32_t rank; /* among requests that wait; 0 goes first */
	uint32_t max_attempts;
	uint64_t deadline_ns;
	uint64_t hedge_ns; /* when to try a second upstream; 0 for never */
	/* State. */
	bool is_hedge_delayed; /* no upstream was free when it was due */
	struct event *timer;
	struct kwb_forward_attempt attempts[2]; /* first and hedge */
	const struct kwb_upstream *tried[KWB_FORWARD_ATTEMPTS_MAX];
	uint32_t tried_count;
	uint32_t sent_count; /* attempts that may have run */
	uint64_t retry_ns;   /* when to pick an upstream again; 0 for never */
	struct kwb_room_waiter waiter; /* in the room of the node */
	bool is_refused;	       /* the last upstream was full */
	bool has_others; /* by the last answer, others wait there */
	bool done;
	bool is_counted; /* in the usage of its workspace */
	bool streaming;	 /* not used */
	bool head_sent;	 /* the caller has the head of a streamed answer */
	struct kwb_sse_parser events; /* of the streamed answer */
	bool is_event_stream;	      /* the parser reads it */
	bool is_out_of_order;	      /* an event's id does not rise */
	uint64_t newest_event;	      /* id of the last event parsed */
	struct kwb_buf partial_event; /* bytes of an event that is not whole */
	uint64_t last_event; /* id of the last event passed to the caller */
	/* Outcome. */
	enum kwb_forward_outcome outcome;
	const char *reason; /* for the log, and for the caller */
	uint64_t return_ns; /* a refused one may return after it; 0 unknown */
	struct kwb_message answer; /* or its head, when streamed */
	char *upstream_id;	   /* of the one that answered; or NULL */
};

/*
 * A request that was sent to the upstream at sent_ns has failed. error: a
 * KWB_ERR_ number; KWB_ERR_NET_TIMEOUT for one that went silent.
 */
void kwb_forward_note_failure(const struct kwb_forward_env *env,
    struct kwb_upstream *upstream, uint64_t sent_ns, int error);
void kwb_forward_start(
    struct kwb_forward *forward); /* on_done may be called before it returns */
void kwb_forward_cancel(
    struct kwb_forward *forward); /* ends it without on_done */
void kwb_forward_finish(
    struct kwb_forward *forward); /* cancels it and frees what it holds */
/* Stops to read the answer while its caller does not, or goes on. */
void kwb_forward_set_paused(struct kwb_forward *forward, bool is_paused);

/* ---- Batch: submissions of trainers
 * ------------------------------------------ */

/*
 * A trainer submits a batch: items, each a request for one generation, in
 * groups of samples of the same prompt. The node that accepts it stores the
 * submission; one node, the owner, runs the items at upstreams and writes
 * their results to the store, where any node can read them. When the owner
 * stops or dies, another node claims the batch and resumes its items.
 *
 * An item is listed once its result has a position in the batch's list of
 * results. Functions are called on the event loop's thread only.
 */

struct kwb_batch_item {
	char *id;
	char *target;		    /* path of its request */
	char *group;		    /* name of its group */
	struct kwb_message headers; /* of its request; no body */
	char *body;
	size_t body_bytes;
	uint64_t tokens;	/* of work, as the submission states */
	uint64_t prompt_tokens; /* 0 unknown */
	uint64_t length_hint;	/* expected output tokens; 0 unknown */
	char *score_id;		/* of the reward call; NULL when not scored */
	char *score_host;
	char *score_target;
	char *score_body;
	size_t score_body_bytes;
};

/* A submission, parsed. */
struct kwb_batch_spec {
	uint64_t step; /* training step */
	char *model;
	uint64_t min_version;	/* oldest weights allowed */
	uint32_t target_groups; /* groups the trainer waits for; 0 for all */
	struct kwb_batch_item *items;
	uint32_t items_count;
};

void kwb_batch_spec_finish(struct kwb_batch_spec *spec); /* frees it */

/*
 * Stored row of a batch: who owns it and whether it is done. The last two
 * fields are not part of its value.
 */
struct kwb_batch_record {
	char id[KWB_KEY_MAX_BYTES];
	char owner[KWB_NAME_MAX_BYTES]; /* node; "" when released */
	uint64_t owner_incarnation;	/* process of that node */
	char *host;			/* of the submission */
	char *target;			/* path of the submission */
	char *workspace;		/* that submitted it, "" for none */
	char *model;
	uint64_t min_version;	 /* oldest weights allowed */
	uint64_t config_version; /* under which it was accepted; 0 unknown */
	uint64_t accepted_ms;	 /* the store's clock */
	uint64_t step;		 /* training step */
	uint32_t target_groups;	 /* groups the trainer waits for; 0 for all */
	uint64_t tokens;	 /* sum over its items */
	uint32_t total;		 /* items */
	bool ended;		 /* the trainer wants no more of it */
	bool listed;		 /* all items have a result */
	bool fresh;		 /* nobody has run it yet */
	uint64_t revision;	 /* of the row */
	uint64_t claim_ns;	 /* this node may claim it then; 0 undecided */
};

/*
 * Parses a row; KWB_ERR_STORE_UNREADABLE or KWB_ERR_MEMORY on failure, id and
 * revision are set even then. kwb_batch_record_finish() frees the result.
 */
int kwb_batch_record_parse(
    struct kwb_batch_record *record, const struct kwb_row *row);
/* Copies with all texts; KWB_ERR_MEMORY on failure: there is no copy then. */
int kwb_batch_record_copy(
    struct kwb_batch_record *to, const struct kwb_batch_record *from);
void kwb_batch_record_finish(
    struct kwb_batch_record *record); /* frees its texts */
int kwb_batch_record_serialize(const struct kwb_batch_record *record,
    struct kwb_buf *out); /* appends the row's value; 0 or an error */

/* What decides the order of items; see kwb_item_rank_compare(). */
struct kwb_item_rank {
	uint32_t group_index;  /* order of its group in the batch */
	bool wanted;	       /* the trainer likely waits for its group */
	uint64_t length_hint;  /* expected output tokens; 0 unknown */
	uint64_t events_count; /* received so far */
};

int kwb_item_rank_compare(const struct kwb_item_rank *a,
    const struct kwb_item_rank *b); /* below 0 when a starts first; pure */

int32_t kwb_item_priority(const struct kwb_item_rank *rank); /* of its request
    in an upstream's queue, a KWB_PRIORITY_ constant; pure */

/* What decides whether a generation moves to another upstream. */
struct kwb_move_input {
	uint64_t pace_ns;      /* time between events where it runs */
	uint64_t best_pace_ns; /* likewise at the candidate; 0 unknown */
	uint32_t moves;	       /* of this item so far */
	uint64_t elapsed_ns;   /* since it started where it runs */
};

bool kwb_move_is_worthwhile(const struct kwb_move_input *input); /* pure */

/* What decides whether a generation has stalled or waits in a queue. */
struct kwb_stall_input {
	uint64_t elapsed_ns; /* since its last event, or since its start */
	uint64_t pace_ns;    /* usual time between events there; 0 unknown */
	bool has_begun;	     /* an event has come from there */
	bool is_loading;     /* its upstream loads weights */
};

bool kwb_item_is_stalled(
    const struct kwb_stall_input *input); /* its upstream has stopped; pure */
/* Whether a check is so late that silence shows nothing; pure. */
bool kwb_check_was_delayed(uint64_t due_ns, uint64_t now_ns);
bool kwb_item_is_queued(
    const struct kwb_stall_input *input); /* it waits for a slot; pure */

/* What decides whether an item's reward is requested now. */
struct kwb_score_input {
	bool has_spare_slot; /* an upstream has one not kept for callers */
	uint64_t waited_ns;  /* since its text was complete */
	uint64_t left_ns;    /* until its batch is due */
};

bool kwb_score_can_start(const struct kwb_score_input *input); /* pure */

/*
 * A part of an item's text, as checkpointed in the store. Each owner that
 * generates gives its text an id of its own; a resumed text continues the
 * text of an earlier owner, its parent.
 */
struct kwb_text_chunk {
	uint64_t text_id;	    /* of the text it belongs to, never 0 */
	uint64_t parent_text_id;    /* of the text that was resumed; 0 none */
	uint64_t parent_last_event; /* last event taken from that one */
	uint64_t first_event;	    /* number of its first event, from 1 */
	uint64_t last_event;	    /* number of its last event */
};

bool kwb_text_chunk_follows(const struct kwb_text_chunk *chunk,
    const struct kwb_text_chunk *previous); /* continues that one; pure */

/* What batches use of the node. */
struct kwb_batch_env {
	struct event_base *base;
	struct kwb_store *store;
	const struct kwb_forward_env *forward;
	const struct kwb_node_config *const *config; /* newest, may be NULL */
	struct kwb_follower *config_follower;	     /* that reads it */
	const struct kwb_node_settings *settings;
	struct kwb_memory *memory; /* of the process; NULL: not counted */
	uint64_t incarnation;	   /* of this process */
};

struct kwb_batch;
struct kwb_batch_read;
TAILQ_HEAD(kwb_batch_list, kwb_batch);
TAILQ_HEAD(kwb_batch_read_list, kwb_batch_read);

/* What this node has seen of another node's heartbeat row. */
struct kwb_node_heartbeat {
	char node[KWB_NAME_MAX_BYTES];
	uint64_t revision;	  /* of its row, 0 before the first */
	uint64_t seen_ns;	  /* boot time from which its silence counts */
	uint64_t changed_ns;	  /* boot time when the revision last changed */
	bool changed;		  /* a heartbeat was seen, not only its row */
	uint32_t reads;		  /* successful reads since seen_ns */
	uint32_t processor_milli; /* thousandths of a core; 0 unknown */
};

/*
 * Who owns a batch. Times are boot times. All are pure but
 * kwb_heartbeat_note_assignment().
 */
bool kwb_heartbeat_is_recent(const struct kwb_node_heartbeat *heartbeat,
    uint64_t now_ns); /* new enough to be given a batch */
bool kwb_heartbeat_is_expired(const struct kwb_node_heartbeat *heartbeat,
    uint64_t now_ns); /* missing for so long that its batches are claimed */
void kwb_heartbeat_note_assignment(struct kwb_node_heartbeat *heartbeat,
    uint64_t now_ns); /* the node became an owner: gives an idle one time */
uint64_t kwb_claim_delay_ns(uint32_t processor_milli, uint32_t nodes,
    uint64_t random); /* before a node claims a batch without owner */
bool kwb_owner_is_kept(uint32_t owner_milli,
    uint32_t other_milli); /* the last batch's owner gets the next one, too */

/* What the removal of an expired batch does next, in this order. */
enum kwb_sweep_step {
	KWB_SWEEP_NONE,	   /* no removal in progress */
	KWB_SWEEP_DONE,	   /* rows of listed items, and long results */
	KWB_SWEEP_PARTIAL, /* checkpointed texts */
	KWB_SWEEP_RESULTS,
	KWB_SWEEP_OBJECT, /* the submission */
	KWB_SWEEP_RECORD
};

/*
 * All batches that this node knows of, and those it runs. Times without a
 * note are kwb_clock_now_ns().
 */
struct kwb_batches {
	const struct kwb_batch_env *env;
	struct kwb_follower follower; /* of the records */
	struct kwb_batch_record **records;
	uint32_t records_count;
	uint32_t records_capacity;
	uint64_t config_version; /* newest that a record names */
	struct kwb_batch_list running;
	struct kwb_batch_read_list reads; /* waiting for results */
	struct event *dispatch_timer;	  /* starts items */
	struct event *owner_timer; /* claims batches without living owner */
	bool dispatch_armed;
	uint64_t hint_per_unit;	  /* of the texts so far, smoothed; 0 unknown */
	uint64_t move_checked_ns; /* last check of the running items */
	uint64_t dispatch_due_ns; /* when dispatch_timer is to fire */
	bool handing_over;	  /* starts and claims nothing more */
	struct kwb_store_call heartbeat;       /* writes the own one */
	struct kwb_store_call heartbeats_read; /* those of all nodes */
	struct kwb_node_heartbeat *heartbeats;
	uint32_t heartbeats_count;
	uint64_t heartbeat_ns;	/* last write of the own one */
	uint64_t last_owned_ns; /* when this node last ran a batch; 0 never */
	uint64_t changed_ns;	/* when a record last changed */
	uint32_t fleet_nodes;	/* estimate; 0 unknown */
	struct kwb_store_call sweep; /* removes one expired batch at a time */
	enum kwb_sweep_step sweep_step;
	struct kwb_batch_record sweep_record; /* the batch being removed */
	uint32_t sweep_position;	      /* next result to remove */
	char sweep_dropped_object[2 * KWB_KEY_MAX_BYTES +
	    32]; /* long result removed last */
	uint64_t sweep_checked_ns;
	struct kwb_store_call heartbeat_remove; /* row of a node long gone */
};

int kwb_batches_init(struct kwb_batches *batches,
    const struct kwb_batch_env *env); /* begins to follow the records; 0 or an
					 error */
void kwb_batches_finish(
    struct kwb_batches *batches); /* frees everything, stores nothing */
void kwb_batches_dispatch(
    struct kwb_batches *batches); /* starts items on the loop's next turn */
void kwb_batches_send_heartbeat(
    struct kwb_batches *batches); /* without waiting for its period */
void kwb_batches_rebalance(struct kwb_batches *batches); /* dispatches, and
    checks whether running items should move */
void kwb_batches_hand_over(
    struct kwb_batches *batches); /* releases all to other nodes, for good */
bool kwb_batches_is_idle(
    const struct kwb_batches *batches); /* no batch is left in memory */
bool kwb_batches_is_config_behind(
    const struct kwb_batches *batches); /* another node has a newer one */
struct kwb_batch_record *kwb_batches_find_record(
    const struct kwb_batches *batches, const char *id); /* or NULL */
const struct kwb_batch_record *kwb_batches_newest_record(
    const struct kwb_batches *batches,
    const char *model); /* accepted last for that model, or NULL */

enum kwb_batch_accept_outcome {
	KWB_ACCEPT_TAKEN,   /* durable, now or before */
	KWB_ACCEPT_REFUSED, /* nothing is stored and nothing runs */
	KWB_ACCEPT_UNKNOWN, /* may be stored */
	KWB_ACCEPT_INVALID  /* the submission can't be parsed */
};

/* Accepts a submission: durable before it is answered, and only once. */
struct kwb_batch_accept {
	void (*on_done)(struct kwb_batch_accept *accept);
	void *context;
	struct kwb_batches *batches;
	struct kwb_store_call call;
	struct kwb_batch_record record; /* caller sets id, host, target,
					   workspace */
	struct kwb_batch_spec spec;
	const char *body; /* as submitted; must outlive the operation */
	size_t body_bytes;
	bool reading_back; /* unused */
	enum kwb_batch_accept_outcome outcome;
	const char *reason; /* why that outcome; a static string */
};

void kwb_batch_accept_start(
    struct kwb_batch_accept *accept); /* on_done follows, maybe at once */
void kwb_batch_accept_finish(
    struct kwb_batch_accept *accept); /* frees; no callback after */

/* Ends a batch: its owner runs none of its items any more. */
struct kwb_batch_end {
	void (*on_done)(struct kwb_batch_end *end);
	void *context;
	struct kwb_batches *batches;
	struct kwb_store_call call;
	struct event *timer;		/* retries */
	struct kwb_batch_record record; /* caller sets id */
	char *workspace;		/* that asks, "" for none */
	uint64_t deadline_ns;		/* no retry after it */
	bool reading;			/* a retry was scheduled */
	int error; /* 0, KWB_ERR_STORE_MISSING, or why it isn't certain */
};

void kwb_batch_end_start(
    struct kwb_batch_end *end); /* on_done follows, maybe at once */
void kwb_batch_end_finish(
    struct kwb_batch_end *end); /* frees; no callback after */

/* Reads results of a batch, or the body of one item. */
struct kwb_batch_read {
	void (*on_done)(struct kwb_batch_read *read);
	void *context;
	struct kwb_batches *batches;
	struct kwb_store_call call;
	struct event *timer; /* polls and retries */
	char batch[KWB_KEY_MAX_BYTES];
	char item[KWB_KEY_MAX_BYTES]; /* "" for results */
	char *workspace;	      /* that asks, "" for none */
	char *owner;		      /* workspace of the batch, once known */
	uint32_t after;		      /* first position wanted */
	uint64_t wait_deadline_ns; /* an empty list is held back until then */
	uint64_t deadline_ns;	   /* no retry after it */
	uint32_t total;		   /* items of the batch */
	uint32_t next;		   /* position to read from next time */
	bool record_known;	   /* the batch exists; total is set */
	bool in_list;		   /* among batches->reads */
	TAILQ_ENTRY(kwb_batch_read) entry;
	/* outcome */
	int error; /* 0, KWB_ERR_STORE_MISSING, or why it isn't certain */
	struct kwb_buf answer; /* encoded results, or the item's body */
};

void kwb_batch_read_start(
    struct kwb_batch_read *read); /* on_done follows, maybe at once */
void kwb_batch_read_finish(
    struct kwb_batch_read *read); /* frees; no callback after */

/* ---- Weights: assignment of models to upstreams, orders to load versions ----
 * Every upstream can hold all models, but only its assigned model is kept
 * current there: the upstream is a replica of that model. The weight updater
 * plans the assignments and orders replicas to load the versions that trainers
 * announce.
 */

struct kwb_replica_assignment {
	const char *id;	   /* of the upstream */
	const char *model; /* assigned model, "" or NULL for none */
};

struct kwb_model_demand {
	const char *name;
	uint64_t demand_tokens; /* tokens of its newest batch, 0 unknown */
	uint32_t replicas_max;	/* that its batches can fill, 0 unknown */
};

/*
 * Assigns by demand, with few reassignments. A new assignment points to the
 * name in models. KWB_ERR_MEMORY on failure, which changes nothing.
 */
int kwb_replicas_assign(struct kwb_replica_assignment *upstreams,
    uint32_t upstreams_count, const struct kwb_model_demand *models,
    uint32_t models_count);

/* What decides whether a replica loads the newest weights now. */
struct kwb_weight_load_input {
	uint64_t version;	   /* that the replica has */
	uint64_t newest;	   /* newest version announced */
	uint64_t lag;		   /* versions that weights may be behind it */
	uint64_t needed;	   /* highest minimum of open batches, or 0 */
	uint32_t replicas;	   /* of the model */
	uint32_t replicas_newest;  /* that have or load the newest version */
	uint32_t replicas_needed;  /* that have or load the needed version */
	uint32_t replicas_loading; /* of the model */
	uint32_t serving;     /* replicas not loading, at most `lag` behind */
	uint32_t loading;     /* upstreams that load, of all models */
	uint32_t loading_max; /* upstreams that may load at once */
};

enum kwb_weight_load_urgency {
	KWB_WEIGHT_LOAD_NONE,
	KWB_WEIGHT_LOAD_AHEAD, /* early, so that loads are spread over time */
	KWB_WEIGHT_LOAD_NOW    /* batches can't use the version it has */
};

enum kwb_weight_load_urgency kwb_weight_load_urgency(
    const struct kwb_weight_load_input *input); /* how urgent a load is; pure */

/* An upstream as the weight updater manages it. */
struct kwb_replica {
	char *id;		 /* of the upstream */
	char *model;		 /* assigned model, "" for none */
	uint64_t target_version; /* last ordered, or read from its row */
	uint64_t revision;	 /* of its row */
	uint64_t order_seq;	 /* orders that the upstream has accepted */
	bool order_seq_known;
	uint64_t busy_until_ns;	    /* no new order before */
	uint64_t order_accepted_ns; /* when the last order was accepted */
	uint64_t check_ns;	    /* when to read the upstream's state */
	bool load_pending; /* an accepted order, not yet seen to be done */
	bool row_changed;  /* its row has to be written */
	struct kwb_exchange exchange;
	uint64_t incarnation_ms; /* of the upstream, at the exchange's start */
	bool report_pending;	 /* the exchange reads the upstream's state */
	bool order_pending;	 /* the exchange carries an order */
	struct kwb_weight_updater *updater;
	TAILQ_ENTRY(kwb_replica) entry;
};

TAILQ_HEAD(kwb_replica_list, kwb_replica);

/*
 * Parses the value of a replica's row, "MODEL VERSION"; the caller frees the
 * model. NULL if it is another text, or without memory.
 */
char *kwb_replica_row_parse(const char *value, uint64_t *version);

struct kwb_model_version {
	char *model;
	uint64_t version;
};

struct kwb_weight_updater {
	const struct kwb_batch_env *env;
	struct kwb_batches *batches;
	struct kwb_store_lease lease; /* only its holder assigns and orders */
	struct kwb_follower rows;     /* assignments, as the store has them */
	struct kwb_store_call write;  /* of changed rows */
	struct event *timer;
	struct kwb_replica_list replicas;
	struct kwb_index index;		    /* of replicas by id */
	struct kwb_model_version *versions; /* announced */
	uint32_t versions_count;
	uint64_t assign_ns; /* when models are assigned again */
	bool check_armed;   /* the timer is set for an early check */
	bool write_pending;
};

int kwb_weight_updater_init(struct kwb_weight_updater *updater,
    const struct kwb_batch_env *env,
    struct kwb_batches *batches); /* tries for the lease; 0 or an error */
void kwb_weight_updater_finish(struct kwb_weight_updater *updater);
void kwb_weight_updater_announce(struct kwb_weight_updater *updater,
    const char *model, uint64_t version); /* a trainer published a version */
void kwb_weight_updater_step_down(
    struct kwb_weight_updater *updater); /* releases the lease */
void kwb_weight_updater_on_upstream(struct kwb_weight_updater *updater,
    struct kwb_upstream *upstream); /* it was listed or its status changed */
uint64_t kwb_weight_updater_announced(const struct kwb_weight_updater *updater,
    const char *model); /* newest version announced, 0 for none */

#include "kwb_duty.h"

/* ---- Node -----------------------------------------------------------------
 */

/*
 * A node takes requests of callers and submissions of trainers. It forwards a
 * request to upstreams, runs the items of a batch there, and reads results from
 * the store. The store also gives it the operator's config and the list of
 * upstreams.
 */

struct kwb_caller; /* a connection of a caller, and its request */
TAILQ_HEAD(kwb_caller_list, kwb_caller);

/* Not used. */
struct kwb_gone_upstream {
	char id[KWB_NAME_MAX_BYTES];
	uint64_t deadline_ns; /* when it is removed */
};

struct kwb_node {
	struct event_base *base;
	const struct kwb_node_settings *settings;
	struct kwb_store *store;
	const struct kwb_message_codec *codec;
	const struct kwb_document_schema *schema;
	struct kwb_client client; /* connections to upstreams */
	struct kwb_conn_history conn_history;
	struct kwb_registry registry;	/* upstreams listed in the store */
	struct kwb_forward_env forward; /* what all forwards share */
	struct kwb_room room;		/* requests that wait for a place */
	struct kwb_prefix_map prefixes; /* of prompts read by upstreams */
	struct kwb_batch_env batch_env; /* for batches and weight_updater */
	struct kwb_batches batches;
	struct kwb_weight_updater weight_updater;
	struct kwb_duties duties; /* under the weight updater's lease */
	struct kwb_store_watchdog store_watchdog;
	struct kwb_relay relay;
	struct kwb_peers peers;
	struct kwb_detour detour;
	/* Rows of the operator: the config and the versions of models. */
	struct kwb_follower operator_follower;
	struct kwb_follower upstream_follower; /* entries of upstreams */
	struct kwb_node_config *config;	 /* newest, NULL before the first */
	struct evconnlistener *listener; /* for requests */
	struct evconnlistener *ready_listener;
	struct evconnlistener *metrics_listener; /* NULL for none */
	struct kwb_memory memory;
	struct kwb_socket_shares sockets;
	struct kwb_caller_list callers;	     /* open connections */
	uint32_t callers_count[3];	     /* of those, by enum caller_port */
	struct kwb_caller_list held_callers; /* whose bodies wait for room */
	struct event *memory_timer;	     /* armed while room is short */
	struct kwb_access access;	     /* keys of workspaces */
	struct kwb_caller_list waiting_callers; /* for the store's word */
	struct event *timer;			/* every KWB_NODE_CHECK_NS */
	uint64_t incarnation; /* start in ms of the wall clock */
	uint64_t started_ns;
	uint64_t stop_deadline_ns; /* of a stop; 0 while not stopping */
	uint64_t stop_started_ns;
	bool has_answered_all;	     /* at the deadline of the stop */
	uint32_t busy_callers_count; /* with a request in progress */
	void (*on_stopped)(void *context);
	void *context;
};

/*
 * Listens, starts to follow the store, and serves on the loop; returns 0 or a
 * negative KWB_ERR_ number. What the pointers name has to outlive the node.
 */
int kwb_node_init(struct kwb_node *node, struct event_base *base,
    const struct kwb_node_settings *settings, struct kwb_store *store,
    const struct kwb_message_codec *codec,
    const struct kwb_document_schema *schema, void (*on_stopped)(void *context),
    void *context);
/*
 * Starts a graceful stop: the node is not ready from now on, hands its batches
 * over to other nodes and still answers callers. on_stopped is called when all
 * is done, KWB_STOP_MARGIN_MS before the end of grace_ms at the latest.
 */
void kwb_node_stop(struct kwb_node *node);
/* Closes and frees everything; only after kwb_node_init() has returned 0. */
void kwb_node_finish(struct kwb_node *node);

#endif
