/*
 * Shared by the files of src/node/: the connection of a caller and the request
 * in progress on it.
 */
#ifndef KWB_CALLER_H
#define KWB_CALLER_H

#include <event2/buffer.h>

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
	uint64_t received_bytes;	/* of that part */
	enum kwb_memory_use memory_use; /* of the body */
	uint64_t charged_bytes;	   /* for the body, in the node's account */
	uint64_t wanted_bytes;	   /* to be charged before it is read on */
	uint64_t progress_bytes;   /* of the body at progress_ns */
	uint64_t progress_ns;	   /* when a good part was sent or read */
	uint64_t hold_deadline_ns; /* of a body that waits for room */
	uint64_t unread_bytes;	   /* of answers, not yet with the kernel */
	bool wants_continue;	   /* sends its body after a "100 Continue" */
	bool is_held;		   /* listed in held_callers */
	bool is_draining; /* its next request waits until these are sent */
	bool is_busy;	  /* a request is in progress */
	struct kwb_request_head call; /* the request, decoded */
	char *route;		      /* name of its route, or NULL */
	char *workspace;	      /* that asks, "" for none; or NULL */
	uint64_t arrived_ns; /* boot time when the request had been read */
	bool is_waiting;     /* for the store's word on its key */
	TAILQ_ENTRY(kwb_caller) waiting_entry;
	/* The operation that serves the request: at most one is not NULL. */
	struct kwb_forward *forward;
	struct kwb_batch_accept *accept;
	struct kwb_batch_end *end;
	struct kwb_batch_read *read;
	TAILQ_ENTRY(kwb_caller) entry;
	TAILQ_ENTRY(kwb_caller) held_entry;
};

/* caller.c */
int caller_listen(struct kwb_node *node, const struct kwb_address *address,
    enum caller_port port,
    struct evconnlistener **listener); /* 0 or a negative KWB_ERR_ number */
void caller_free(struct kwb_caller *caller); /* closes it, drops its request */
/* The answer is written: reads the next request, or closes the connection. */
void caller_finish_request(struct kwb_caller *caller);

/* Answers a request that isn't whole, and closes the connection. */
void caller_refuse(
    struct kwb_caller *caller, uint16_t status, const char *reason);

/* It may send its body, if it waits to be told so. */
void caller_continue(struct kwb_caller *caller);

/* pressure.c */
/* Answers 503: the request has not run. */
void caller_refuse_for_memory(struct kwb_caller *caller, const char *why);
/* Frees answers that nobody reads, where the next check would be too late. */
void node_free_answers(struct kwb_node *node);
/* Whether the body may grow; if not, the caller is held until there is room. */
bool caller_may_grow(struct kwb_conn *conn, uint64_t body_bytes);
void caller_release_memory(struct kwb_caller *caller); /* of the body */
/* Counts what is added to the output, and what the kernel takes from it. */
void caller_on_output(struct evbuffer *output,
    const struct evbuffer_cb_info *info, void *context);
/* Whether one more connection is allowed; another may have given way to it. */
bool caller_make_place(struct kwb_node *node, enum caller_port port);
int node_init_limits(struct kwb_node *node); /* 0 or KWB_ERR_MEMORY */
/* Each KWB_NODE_CHECK_NS: gauges, and listeners that could not accept. */
void node_check_limits(struct kwb_node *node);

/* answer.c: each answer but the first parts of a stream ends the request */
void answer_error(struct kwb_caller *caller, uint16_t status,
    const char *reason); /* of the node itself: {"error":"REASON"} */
void answer_body(struct kwb_caller *caller, uint16_t status, const char *type,
    const void *body, size_t body_bytes); /* of the node itself */
void answer_from_upstream(struct kwb_caller *caller,
    struct kwb_message *answer); /* passes on a whole answer, takes its body */
void answer_stream_begin(struct kwb_caller *caller,
    const struct kwb_message *answer); /* passes on the head of an answer */
void answer_stream_data(struct kwb_caller *caller,
    struct kwb_buf *data); /* passes on a chunk and empties data */
void answer_stream_end(struct kwb_caller *caller);

/* serve.c */
/* By its head: a batch is submitted. */
bool caller_is_submission(struct kwb_caller *caller);
/* Answers the request, which is whole, now or later. */
void caller_serve_request(struct kwb_caller *caller);
/* Serves a request that waited, if its key can be decided on now. */
void caller_recheck(struct kwb_caller *caller);
/* Rechecks all that wait. */
void callers_recheck(struct kwb_node *node);

/* inspect.c */
/* Appends a JSON list of all upstreams as this node sees them. */
int inspect_upstreams(const struct kwb_node *node, struct kwb_buf *out);

/* stop.c */
/* Whether a stop is done; at its deadline answers what is left. */
bool node_check_stop(struct kwb_node *node, uint64_t now_ns);

/* node.c */
/* Its rows are read, the store answers, and it is not stopping. */
bool node_is_ready(const struct kwb_node *node);

#endif
