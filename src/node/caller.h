/*
 * Shared by the files of src/node/: the connection of a caller and the request
 * in progress on it.
 */
#ifndef KWB_CALLER_H
#define KWB_CALLER_H

#include "kwb_node.h"

/* The port that a connection came in on. */
enum caller_port {
	CALLER_PORT_REQUESTS, /* callers and trainers */
	CALLER_PORT_READY,    /* readiness checks of the load balancer */
	CALLER_PORT_METRICS
};

/* A connection of a caller; one request at a time is in progress on it. */
struct kwb_caller {
	struct kwb_conn conn;
	struct kwb_node *node;
	enum caller_port port;
	struct event *timer;	   /* armed while no request is in progress */
	uint64_t idle_deadline_ns; /* closed then, unless bytes arrive */
	uint64_t started_ns;	   /* of the request in progress */
	bool was_partial; /* only part of a request was there at last check */
	uint64_t received_bytes;	    /* of that part */
	bool is_busy;			    /* a request is in progress */
	struct kwb_request_head call;	    /* the request, decoded */
	char route[KWB_NAME_MAX_BYTES];	    /* name of its route, "" for none */
	char workspace[KWB_NAME_MAX_BYTES]; /* that asks, "" for none */
	uint64_t arrived_ns; /* boot time when the request had been read */
	bool is_waiting;     /* for the store's word on its key */
	TAILQ_ENTRY(kwb_caller) waiting_entry;
	/* The operation that serves the request: at most one is not NULL. */
	struct kwb_forward *forward;
	struct kwb_batch_accept *accept;
	struct kwb_batch_end *end;
	struct kwb_batch_read *read;
	TAILQ_ENTRY(kwb_caller) entry;
};

/* caller.c */
int caller_listen(struct kwb_node *node, const struct kwb_address *address,
    enum caller_port port,
    struct evconnlistener **listener); /* 0 or a negative KWB_ERR_ number */
void caller_free(struct kwb_caller *caller); /* closes it, drops its request */
/* The answer is written: reads the next request, or closes the connection. */
void caller_finish_request(struct kwb_caller *caller);

/* answer.c: each answer but the first parts of a stream ends the request */
void answer_error(struct kwb_caller *caller, uint16_t status,
    const char *reason); /* of the node itself: {"error":"REASON"} */
void answer_body(struct kwb_caller *caller, uint16_t status, const char *type,
    const void *body, size_t body_bytes); /* of the node itself */
void answer_from_upstream(struct kwb_caller *caller,
    const struct kwb_message *answer); /* passes on a whole answer */
void answer_stream_begin(struct kwb_caller *caller,
    const struct kwb_message *answer); /* passes on the head of an answer */
void answer_stream_data(struct kwb_caller *caller,
    struct kwb_buf *data); /* passes on a chunk and empties data */
void answer_stream_end(struct kwb_caller *caller);

/* serve.c */
/* Answers the request, which is whole, now or later. */
void caller_serve_request(struct kwb_caller *caller);
/* Serves a request that waited, if its key can be decided on now. */
void caller_recheck(struct kwb_caller *caller);
/* Rechecks all that wait. */
void callers_recheck(struct kwb_node *node);

/* inspect.c */
/* Appends a JSON list of all upstreams as this node sees them. */
int inspect_upstreams(const struct kwb_node *node, struct kwb_buf *out);

/* node.c */
/* Its rows are read, the store answers, and it is not stopping. */
bool node_is_ready(const struct kwb_node *node);

#endif
