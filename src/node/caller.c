/*
 * Connections of callers. An idle one is closed after the operator's idle
 * timeout, and a request is cancelled when its caller closes the connection.
 */
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#include "caller.h"

/* Cancels and frees the operations that serve the request. */
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
	if (caller->is_waiting)
		TAILQ_REMOVE(
		    &caller->node->waiting_callers, caller, waiting_entry);
	if (caller->is_busy)
		caller->node->busy_callers_count--;
	caller_release_memory(caller);
	kwb_memory_release(&caller->node->memory, KWB_MEMORY_ANSWERS,
	    caller->unread_bytes + KWB_CONN_BYTES);
	caller->node->callers_count[caller->port]--;
	TAILQ_REMOVE(&caller->node->callers, caller, entry);
	event_free(caller->timer);
	kwb_conn_finish(&caller->conn);
	free(caller->route);
	free(caller->workspace);
	free(caller);
}

static uint64_t
idle_timeout_ns(const struct kwb_node *node)
{
	uint32_t idle_ms = node->config ? node->config->idle_timeout_ms : 0;

	return (idle_ms ? idle_ms : KWB_CALLER_IDLE_TIMEOUT_MS) * KWB_MS_NS;
}

/* Arms it for the header timeout, or for the idle deadline if earlier. */
static void
caller_arm_timer(struct kwb_caller *caller)
{
	const struct kwb_node *node = caller->node;
	uint32_t head_ms = node->config ? node->config->header_timeout_ms : 0;
	uint64_t check_ns = kwb_clock_now_ns() +
	    (head_ms ? head_ms : KWB_CALLER_HEAD_TIMEOUT_MS) * KWB_MS_NS;

	if (caller->idle_deadline_ns < check_ns)
		check_ns = caller->idle_deadline_ns;
	kwb_timer_arm(caller->timer, check_ns);
}

static void
caller_apply_limits(struct kwb_caller *caller)
{
	const struct kwb_node_config *config = caller->node->config;

	if (config == NULL)
		return;
	caller->conn.head_max_bytes = config->max_header_bytes;
	caller->conn.body_max_bytes = config->max_body_bytes;
}

/* Reads the next request, once the last answer is with the kernel. */
static void
caller_read_next(struct kwb_caller *caller)
{
	caller->was_partial = false;
	caller_apply_limits(caller);
	caller_arm_timer(caller);
	kwb_conn_read_next(&caller->conn);
}

static void
caller_on_written(struct kwb_conn *conn)
{
	struct kwb_caller *caller = conn->context;

	if (caller->forward != NULL)
		kwb_forward_set_paused(caller->forward, false);
	if (!caller->is_draining)
		return;
	caller->is_draining = false;
	caller_read_next(caller);
}

void
caller_finish_request(struct kwb_caller *caller)
{
	caller->is_busy = false;
	caller->node->busy_callers_count--;
	request_free(caller);
	kwb_buf_finish(&caller->conn.message.body);
	caller_release_memory(caller);
	caller->idle_deadline_ns =
	    kwb_clock_now_ns() + idle_timeout_ns(caller->node);
	if (caller->node->stop_deadline_ns != 0 ||
	    !caller->conn.message.keep_alive) {
		caller_arm_timer(caller);
		kwb_conn_close_when_written(&caller->conn);
		return;
	}
	if (caller->unread_bytes > KWB_ANSWER_UNREAD_BYTES) {
		caller->is_draining = true;
		caller_arm_timer(caller);
		return;
	}
	caller_read_next(caller);
}

void
caller_refuse(struct kwb_caller *caller, uint16_t status, const char *reason)
{
	if (!caller->is_busy) {
		caller->is_busy = true;
		caller->node->busy_callers_count++;
	}
	caller->started_ns = kwb_clock_now_ns();
	caller->conn.message.keep_alive = false;
	answer_error(caller, status, reason);
}

/*
 * A head has to be is_complete within the operator's header timeout. A body may
 * take longer, as long as some of it arrives within each idle timeout. Else the
 * answer is 408. An idle connection is closed.
 */
static void
caller_check_idle(struct kwb_caller *caller)
{
	const struct kwb_conn *conn = &caller->conn;
	bool is_partial = conn->head_bytes > 0 && !conn->is_complete;
	uint64_t received_bytes =
	    conn->head_bytes + conn->message.body.used_bytes;
	uint64_t now_ns = kwb_clock_now_ns();

	if (caller->is_draining || conn->is_closing) {
		if (caller->unread_bytes != caller->received_bytes)
			caller->idle_deadline_ns =
			    now_ns + idle_timeout_ns(caller->node);
		caller->received_bytes = caller->unread_bytes;
		if (now_ns >= caller->idle_deadline_ns)
			caller_free(caller);
		else
			caller_arm_timer(caller);
		return;
	}
	if (is_partial && received_bytes != caller->received_bytes)
		caller->idle_deadline_ns =
		    now_ns + idle_timeout_ns(caller->node);
	if (is_partial &&
	    ((caller->was_partial && !conn->has_head) ||
		now_ns >= caller->idle_deadline_ns)) {
		caller_refuse(caller, 408, "request_incomplete");
		return;
	}
	if (!is_partial && now_ns >= caller->idle_deadline_ns) {
		caller_free(caller);
		return;
	}
	caller->was_partial = is_partial;
	caller->received_bytes = received_bytes;
	caller_arm_timer(caller);
}

static void
caller_on_timer(int fd, short what, void *context)
{
	struct kwb_caller *caller = context;

	(void)fd;
	(void)what;
	if (caller->is_waiting)
		caller_recheck(caller);
	else if (!caller->is_busy)
		caller_check_idle(caller);
}

/* A caller that sent "Expect: 100-continue" waits before it sends its body. */
static void
caller_on_head(struct kwb_conn *conn)
{
	const char *expect = kwb_message_header(&conn->message, "Expect");
	struct kwb_caller *caller = conn->context;

	if (expect == NULL || strcasecmp(expect, "100-continue") != 0)
		return;
	caller->wants_continue = true;
	if (caller_may_grow(conn, 0))
		caller_continue(caller);
	else
		conn->is_held = true;
}

void
caller_continue(struct kwb_caller *caller)
{
	if (caller->wants_continue)
		evbuffer_add_printf(kwb_conn_output(&caller->conn),
		    "HTTP/1.1 100 Continue\r\n\r\n");
	caller->wants_continue = false;
}

static void
caller_on_message(struct kwb_conn *conn)
{
	struct kwb_caller *caller = conn->context;

	caller->is_busy = true;
	caller->node->busy_callers_count++;
	caller->started_ns = kwb_clock_now_ns();
	caller->progress_ns = caller->started_ns;
	event_del(caller->timer);
	if (kwb_memory_is_over(&caller->node->memory) &&
	    caller->port == CALLER_PORT_REQUESTS) {
		caller_refuse_for_memory(caller, "over_budget");
		return;
	}
	caller_serve_request(caller);
}

static void
caller_on_close(struct kwb_conn *conn, int error)
{
	struct kwb_caller *caller = conn->context;

	if (error == KWB_ERR_NET_MALFORMED || error == KWB_ERR_NET_HEAD_SIZE ||
	    error == KWB_ERR_NET_BODY_SIZE) {
		caller_refuse(caller,
		    error == KWB_ERR_NET_HEAD_SIZE	 ? 431
			: error == KWB_ERR_NET_BODY_SIZE ? 413
							 : 400,
		    kwb_error_name(error));
		return;
	}
	caller_free(caller);
}

static const struct kwb_conn_ops conn_ops = {
    .on_head = caller_on_head,
    .on_message = caller_on_message,
    .may_grow = caller_may_grow,
    .on_written = caller_on_written,
    .on_close = caller_on_close,
};

/* Takes ownership of fd, and closes it on failure. */
static void
caller_new(struct kwb_node *node, int fd, enum caller_port port)
{
	struct kwb_caller *caller = NULL;

	if (caller_make_place(node, port))
		caller = calloc(1, sizeof(*caller));
	if (caller == NULL) {
		close(fd);
		return;
	}
	caller->node = node;
	caller->port = port;
	caller->timer = kwb_timer_new(node->base, caller_on_timer, caller);
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
	node->callers_count[port]++;
	kwb_memory_charge(&node->memory, KWB_MEMORY_ANSWERS, KWB_CONN_BYTES);
	caller->progress_ns = kwb_clock_now_ns();
	if (evbuffer_add_cb(kwb_conn_output(&caller->conn), caller_on_output,
		caller) == NULL)
		kwb_log(KWB_LOG_ERROR, "caller", "event=answers_not_counted");
	caller->idle_deadline_ns = kwb_clock_now_ns() + idle_timeout_ns(node);
	caller_apply_limits(caller);
	caller_arm_timer(caller);
}

static void
requests_on_accept(struct evconnlistener *listener, int fd,
    struct sockaddr *peer, int peer_bytes, void *context)
{
	(void)listener;
	(void)peer;
	(void)peer_bytes;
	caller_new(context, fd, CALLER_PORT_REQUESTS);
}

static void
ready_on_accept(struct evconnlistener *listener, int fd, struct sockaddr *peer,
    int peer_bytes, void *context)
{
	(void)listener;
	(void)peer;
	(void)peer_bytes;
	caller_new(context, fd, CALLER_PORT_READY);
}

static void
metrics_on_accept(struct evconnlistener *listener, int fd,
    struct sockaddr *peer, int peer_bytes, void *context)
{
	(void)listener;
	(void)peer;
	(void)peer_bytes;
	caller_new(context, fd, CALLER_PORT_METRICS);
}

int
caller_listen(struct kwb_node *node, const struct kwb_address *address,
    enum caller_port port, struct evconnlistener **listener)
{
	evconnlistener_cb on_accept = port == CALLER_PORT_REQUESTS
	    ? requests_on_accept
	    : port == CALLER_PORT_READY ? ready_on_accept
					: metrics_on_accept;

	return kwb_socket_listen(
	    node->base, address, on_accept, node, listener);
}
