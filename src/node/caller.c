/*
 * Connections of callers: they are kept as long as the operator's idle time
 * says, and a caller that leaves ends its request.
 */
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#include "caller.h"

static void
request_free(struct kwb_caller *caller)
{
	if (caller->forward != NULL)
		kwb_forward_finish(caller->forward);
	if (caller->accept != NULL)
		kwb_batch_accept_finish(caller->accept);
	if (caller->end != NULL)
		kwb_batch_end_finish(caller->end);
	if (caller->read != NULL)
		kwb_batch_read_finish(caller->read);
	free(caller->forward);
	free(caller->accept);
	free(caller->end);
	free(caller->read);
	caller->forward = NULL;
	caller->accept = NULL;
	caller->end = NULL;
	caller->read = NULL;
}

void
caller_free(struct kwb_caller *caller)
{
	request_free(caller);
	if (caller->busy)
		caller->node->callers_busy--;
	TAILQ_REMOVE(&caller->node->callers, caller, entry);
	event_free(caller->timer);
	kwb_conn_finish(&caller->conn);
	free(caller);
}

static uint64_t
idle_ns(const struct kwb_node *node)
{
	uint32_t idle_ms = node->config ? node->config->idle_timeout_ms : 0;

	return (idle_ms ? idle_ms : KWB_CALLER_IDLE_MS) * KWB_MS_NS;
}

static void
caller_arm(struct kwb_caller *caller)
{
	const struct kwb_node *node = caller->node;
	uint32_t head_ms = node->config ? node->config->header_timeout_ms : 0;
	uint64_t next_ns = kwb_clock_now_ns() +
	    (head_ms ? head_ms : KWB_CALLER_HEAD_MS) * KWB_MS_NS;

	if (caller->idle_deadline_ns < next_ns)
		next_ns = caller->idle_deadline_ns;
	kwb_timer_arm(caller->timer, next_ns);
}

static void
caller_limits(struct kwb_caller *caller)
{
	const struct kwb_node_config *config = caller->node->config;

	if (config == NULL)
		return;
	caller->conn.head_max_bytes = config->max_header_bytes;
	caller->conn.body_max_bytes = config->max_body_bytes;
}

void
caller_done(struct kwb_caller *caller)
{
	caller->busy = false;
	caller->node->callers_busy--;
	request_free(caller);
	if (caller->node->stop_deadline_ns != 0 ||
	    !caller->conn.message.keep_alive) {
		kwb_conn_close_when_written(&caller->conn);
		return;
	}
	caller->idle_deadline_ns = kwb_clock_now_ns() + idle_ns(caller->node);
	caller->was_partial = false;
	caller_limits(caller);
	caller_arm(caller);
	kwb_conn_read_next(&caller->conn);
}

/*
 * A head has to come whole in the operator's time for heads; a body may take
 * longer, as long as something comes within the time for idle connections.
 */
static void
caller_time(int fd, short what, void *context)
{
	struct kwb_caller *caller = context;
	const struct kwb_conn *conn = &caller->conn;
	bool partial = conn->head_bytes > 0 && !conn->is_complete;
	uint64_t seen_bytes = conn->head_bytes + conn->message.body.used_bytes;
	uint64_t now_ns = kwb_clock_now_ns();

	(void)fd;
	(void)what;
	if (caller->busy)
		return;
	if (partial && seen_bytes != caller->seen_bytes)
		caller->idle_deadline_ns = now_ns + idle_ns(caller->node);
	if (partial &&
	    ((caller->was_partial && !conn->has_head) ||
		now_ns >= caller->idle_deadline_ns)) {
		caller->busy = true;
		caller->node->callers_busy++;
		caller->conn.message.keep_alive = false;
		answer_own(caller, 408, "request_incomplete");
		return;
	}
	if (!partial && now_ns >= caller->idle_deadline_ns) {
		caller_free(caller);
		return;
	}
	caller->was_partial = partial;
	caller->seen_bytes = seen_bytes;
	caller_arm(caller);
}

/* A caller may wait for a sign before it sends its body. */
static void
on_head(struct kwb_conn *conn)
{
	const char *expect = kwb_message_header(&conn->message, "Expect");

	if (expect != NULL && strcasecmp(expect, "100-continue") == 0)
		evbuffer_add_printf(
		    kwb_conn_output(conn), "HTTP/1.1 100 Continue\r\n\r\n");
}

static void
on_message(struct kwb_conn *conn)
{
	struct kwb_caller *caller = conn->context;

	caller->busy = true;
	caller->node->callers_busy++;
	caller->begin_ns = kwb_clock_now_ns();
	event_del(caller->timer);
	serve_message(caller);
}

static void
on_close(struct kwb_conn *conn, int error)
{
	struct kwb_caller *caller = conn->context;

	if (error == KWB_ERR_NET_MALFORMED || error == KWB_ERR_NET_HEAD_SIZE ||
	    error == KWB_ERR_NET_BODY_SIZE) {
		if (!caller->busy) {
			caller->busy = true;
			caller->node->callers_busy++;
		}
		caller->begin_ns = kwb_clock_now_ns();
		conn->message.keep_alive = false;
		answer_own(caller,
		    error == KWB_ERR_NET_HEAD_SIZE	 ? 431
			: error == KWB_ERR_NET_BODY_SIZE ? 413
							 : 400,
		    kwb_error_name(error));
		return;
	}
	caller_free(caller);
}

static const struct kwb_conn_ops conn_ops = {
    .on_head = on_head,
    .on_message = on_message,
    .on_close = on_close,
};

static void
caller_new(struct kwb_node *node, int fd, enum caller_port port)
{
	struct kwb_caller *caller = calloc(1, sizeof(*caller));

	if (caller == NULL) {
		close(fd);
		return;
	}
	caller->node = node;
	caller->port = port;
	caller->timer = kwb_timer_new(node->base, caller_time, caller);
	if (caller->timer == NULL ||
	    kwb_conn_accept(&caller->conn, node->base, fd, &conn_ops, caller) !=
		0) {
		kwb_log(KWB_LOG_ERROR, "caller",
		    "event=not_accepted error=out_of_memory");
		if (caller->timer != NULL)
			event_free(caller->timer);
		free(caller);
		close(fd);
		return;
	}
	TAILQ_INSERT_TAIL(&node->callers, caller, entry);
	caller->idle_deadline_ns = kwb_clock_now_ns() + idle_ns(node);
	caller_limits(caller);
	caller_arm(caller);
}

static void
on_front(struct evconnlistener *listener, int fd, struct sockaddr *from,
    int from_bytes, void *context)
{
	(void)listener;
	(void)from;
	(void)from_bytes;
	caller_new(context, fd, CALLER_FRONT);
}

static void
on_ready(struct evconnlistener *listener, int fd, struct sockaddr *from,
    int from_bytes, void *context)
{
	(void)listener;
	(void)from;
	(void)from_bytes;
	caller_new(context, fd, CALLER_READY);
}

static void
on_metrics(struct evconnlistener *listener, int fd, struct sockaddr *from,
    int from_bytes, void *context)
{
	(void)listener;
	(void)from;
	(void)from_bytes;
	caller_new(context, fd, CALLER_METRICS);
}

int
caller_listen(struct kwb_node *node, const struct kwb_address *address,
    enum caller_port port, struct evconnlistener **listener)
{
	evconnlistener_cb on_accept = port == CALLER_FRONT ? on_front
	    : port == CALLER_READY			   ? on_ready
							   : on_metrics;

	return kwb_socket_listen(
	    node->base, address, on_accept, node, listener);
}
