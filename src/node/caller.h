/*
 * Inside of the node package: the connection of a caller, and its request.
 */
#ifndef KWB_CALLER_H
#define KWB_CALLER_H

#include "kwb_node.h"

enum caller_port {
	CALLER_PORT_REQUESTS,
	CALLER_PORT_READY,
	CALLER_PORT_METRICS
};

struct kwb_caller {
	struct kwb_conn conn;
	struct kwb_node *node;
	enum caller_port port;
	struct event *timer;
	uint64_t idle_deadline_ns;
	uint64_t started_ns;	 /* of the request in progress */
	bool was_partial;	 /* part of a head lay there at the last look */
	uint64_t received_bytes; /* of a request that is not whole, then */
	bool is_busy;
	struct kwb_call_head call;
	char route[KWB_NAME_MAX_BYTES];
	/* the request in progress is one of these */
	struct kwb_forward *forward;
	struct kwb_batch_accept *accept;
	struct kwb_batch_end *end;
	struct kwb_batch_read *read;
	TAILQ_ENTRY(kwb_caller) entry;
};

/* caller.c */
int caller_listen(struct kwb_node *node, const struct kwb_address *address,
    enum caller_port port, struct evconnlistener **listener);
void caller_free(struct kwb_caller *caller);
void caller_finish_request(
    struct kwb_caller *caller); /* the answer is written */

/* answer.c */
void answer_error(struct kwb_caller *caller, uint16_t status,
    const char *reason); /* an answer of the node itself */
void answer_body(struct kwb_caller *caller, uint16_t status, const char *type,
    const void *body, size_t body_bytes);
void answer_from_upstream(
    struct kwb_caller *caller, const struct kwb_message *answer);
void answer_stream_begin(
    struct kwb_caller *caller, const struct kwb_message *answer);
void answer_stream_data(struct kwb_caller *caller, struct kwb_buf *data);
void answer_stream_end(struct kwb_caller *caller);

/* serve.c */
void caller_serve_request(struct kwb_caller *caller);

/* node.c */
bool node_is_ready(const struct kwb_node *node);

#endif
