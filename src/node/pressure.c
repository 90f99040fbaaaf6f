/*
 * Memory and descriptors of callers: bodies are held until they fit, and
 * clients that make no progress give way.
 */
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <string.h>
#include <sys/resource.h>

#include "caller.h"

static struct kwb_holder
holder_of(const struct kwb_caller *caller)
{
	const struct kwb_conn *conn = &caller->conn;

	return (struct kwb_holder){
	    .bytes = caller->charged_bytes + caller->unread_bytes,
	    .progress_ns = caller->progress_ns,
	    .is_idle = !caller->is_busy && conn->head_bytes == 0 &&
		caller->unread_bytes == 0,
	    .is_protected = caller->is_busy || conn->is_held};
}

/* The caller that gives way first, NULL for none. */
static struct kwb_caller *
find_yielding(
    struct kwb_node *node, enum caller_port port, bool only_if_stalled)
{
	struct kwb_caller *caller;
	struct kwb_caller *first = NULL;
	struct kwb_holder first_holder = {0};
	uint64_t now_ns = kwb_clock_now_ns();

	TAILQ_FOREACH (caller, &node->callers, entry) {
		struct kwb_holder holder = holder_of(caller);

		if (caller->port != port || holder.is_protected ||
		    (only_if_stalled &&
			!kwb_holder_is_stalled(&holder, now_ns)))
			continue;
		if (first == NULL ||
		    kwb_holder_yields_before(&holder, &first_holder)) {
			first = caller;
			first_holder = holder;
		}
	}
	return first;
}

static void
memory_update_metrics(const struct kwb_node *node)
{
	const uint64_t *used_bytes = node->memory.used_bytes;

	kwb_metric_set(KWB_METRIC_MEMORY_CALLS, used_bytes[KWB_MEMORY_CALLS]);
	kwb_metric_set(
	    KWB_METRIC_MEMORY_BATCHES, used_bytes[KWB_MEMORY_BATCHES]);
	kwb_metric_set(
	    KWB_METRIC_MEMORY_ANSWERS, used_bytes[KWB_MEMORY_ANSWERS]);
	kwb_metric_set(
	    KWB_METRIC_CALLERS_OPEN, node->callers_count[CALLER_PORT_REQUESTS]);
}

void
caller_refuse_for_memory(struct kwb_caller *caller, const char *why)
{
	kwb_metric_add(KWB_METRIC_BODIES_REFUSED, 1);
	kwb_log(KWB_LOG_WARN, "memory",
	    "event=body_refused why=%s charged_bytes=%llu used_bytes=%llu "
	    "budget_bytes=%llu",
	    why, (unsigned long long)caller->charged_bytes,
	    (unsigned long long)kwb_memory_used_bytes(&caller->node->memory),
	    (unsigned long long)caller->node->memory.budget_bytes);
	caller_refuse(caller, 503, "memory_full");
}

/* A chunked body reserves in steps, an announced one at once. */
static uint64_t
wanted_bytes(const struct kwb_caller *caller, uint64_t body_bytes)
{
	const struct http_parser *parser = &caller->conn.parser;
	uint64_t bytes = body_bytes + KWB_MEMORY_STEP_BYTES;

	if (parser->content_length != UINT64_MAX &&
	    (parser->flags & F_CHUNKED) == 0)
		bytes = caller->conn.message.body.used_bytes +
		    parser->content_length;
	if (caller->memory_use == KWB_MEMORY_BATCHES)
		bytes *= KWB_SUBMISSION_FACTOR;
	return bytes;
}

static bool
take_wanted(struct kwb_caller *caller)
{
	uint64_t more_bytes = caller->wanted_bytes - caller->charged_bytes;

	if (!kwb_memory_take(
		&caller->node->memory, caller->memory_use, more_bytes))
		return false;
	caller->charged_bytes = caller->wanted_bytes;
	return true;
}

bool
caller_may_grow(struct kwb_conn *conn, uint64_t body_bytes)
{
	struct kwb_caller *caller = conn->context;
	struct kwb_node *node = caller->node;
	uint64_t factor;

	if (caller->charged_bytes == 0)
		caller->memory_use = caller_is_submission(caller)
		    ? KWB_MEMORY_BATCHES
		    : KWB_MEMORY_CALLS;
	factor = caller->memory_use == KWB_MEMORY_BATCHES
	    ? KWB_SUBMISSION_FACTOR
	    : 1;
	if (body_bytes >= caller->progress_bytes + KWB_HOLDER_STEP_BYTES) {
		caller->progress_bytes = body_bytes;
		caller->progress_ns = kwb_clock_now_ns();
	}
	/* The last piece may be followed by bytes of the next request. */
	if (caller->charged_bytes >= body_bytes * factor ||
	    caller->charged_bytes >= wanted_bytes(caller, body_bytes))
		return true;
	caller->wanted_bytes = wanted_bytes(caller, body_bytes);
	if (take_wanted(caller))
		return true;
	caller->hold_deadline_ns = kwb_clock_now_ns() +
	    (kwb_memory_can_ever_take(&node->memory, caller->wanted_bytes)
		    ? KWB_BODY_WAIT_NS
		    : 0);
	TAILQ_INSERT_TAIL(&node->held_callers, caller, held_entry);
	caller->is_held = true;
	kwb_timer_arm(node->memory_timer, 0);
	return false;
}

static void
caller_unhold(struct kwb_caller *caller)
{
	if (!caller->is_held)
		return;
	TAILQ_REMOVE(&caller->node->held_callers, caller, held_entry);
	caller->is_held = false;
}

void
caller_release_memory(struct kwb_caller *caller)
{
	struct kwb_node *node = caller->node;

	caller_unhold(caller);
	kwb_memory_release(
	    &node->memory, caller->memory_use, caller->charged_bytes);
	caller->charged_bytes = 0;
	caller->progress_bytes = 0;
	if (!TAILQ_EMPTY(&node->held_callers))
		kwb_timer_arm(node->memory_timer, 0);
}

void
caller_on_output(
    struct evbuffer *output, const struct evbuffer_cb_info *info, void *context)
{
	struct kwb_caller *caller = context;
	struct kwb_node *node = caller->node;

	(void)output;
	kwb_memory_charge(&node->memory, KWB_MEMORY_ANSWERS, info->n_added);
	kwb_memory_release(&node->memory, KWB_MEMORY_ANSWERS, info->n_deleted);
	caller->unread_bytes += info->n_added;
	caller->unread_bytes -= info->n_deleted;
	if (info->n_deleted > 0)
		caller->progress_ns = kwb_clock_now_ns();
	if (info->n_added > 0 && kwb_memory_is_over(&node->memory))
		kwb_timer_arm(node->memory_timer, 0);
}

/* Lets held bodies go on that fit now, and refuses those that waited. */
static void
serve_held(struct kwb_node *node, uint64_t now_ns)
{
	struct kwb_caller *caller = TAILQ_FIRST(&node->held_callers);
	struct kwb_caller *next;

	for (; caller != NULL; caller = next) {
		next = TAILQ_NEXT(caller, held_entry);
		if (take_wanted(caller)) {
			caller_unhold(caller);
			caller->progress_ns = now_ns;
			caller_continue(caller);
			kwb_conn_resume(&caller->conn);
		} else if (now_ns >= caller->hold_deadline_ns) {
			caller_unhold(caller);
			caller_refuse_for_memory(caller, "waited");
		}
	}
}

static void
close_holder(struct kwb_caller *caller)
{
	kwb_metric_add(KWB_METRIC_HOLDERS_CLOSED, 1);
	kwb_log(KWB_LOG_WARN, "memory",
	    "event=holder_closed body_bytes=%llu unread_bytes=%llu",
	    (unsigned long long)caller->charged_bytes,
	    (unsigned long long)caller->unread_bytes);
	caller_free(caller);
}

void
node_free_answers(struct kwb_node *node)
{
	struct kwb_caller *caller;

	while (kwb_memory_is_critical(&node->memory) &&
	    (caller = find_yielding(node, CALLER_PORT_REQUESTS, false)) !=
		NULL &&
	    caller->charged_bytes + caller->unread_bytes > 0)
		close_holder(caller);
}

static void
memory_on_timer(int fd, short what, void *context)
{
	struct kwb_node *node = context;
	uint64_t now_ns = kwb_clock_now_ns();
	struct kwb_caller *caller;

	(void)fd;
	(void)what;
	serve_held(node, now_ns);
	while ((!TAILQ_EMPTY(&node->held_callers) ||
		   kwb_memory_is_over(&node->memory)) &&
	    (caller = find_yielding(node, CALLER_PORT_REQUESTS, true)) !=
		NULL) {
		close_holder(caller);
		serve_held(node, now_ns);
	}
	memory_update_metrics(node);
	if (!TAILQ_EMPTY(&node->held_callers) ||
	    kwb_memory_is_over(&node->memory))
		kwb_timer_arm(node->memory_timer, now_ns + KWB_MEMORY_CHECK_NS);
}

bool
caller_make_place(struct kwb_node *node, enum caller_port port)
{
	uint32_t max = port == CALLER_PORT_REQUESTS ? node->sockets.callers
						    : node->sockets.checks;
	struct kwb_caller *yielding;

	if (node->callers_count[port] < max)
		return true;
	yielding = find_yielding(node, port, false);
	kwb_metric_add(KWB_METRIC_CALLERS_REFUSED, 1);
	kwb_log(KWB_LOG_WARN, "memory",
	    "event=callers_full port=%d open=%u closed=%s", (int)port,
	    node->callers_count[port], yielding ? "older" : "new");
	if (yielding == NULL)
		return false;
	caller_free(yielding);
	return true;
}

/* A listener stops when it can't accept; a place is made for its next one. */
static void
listener_go_on(struct kwb_node *node, struct evconnlistener *listener)
{
	if (listener == NULL || evconnlistener_enable(listener) != 0)
		kwb_log(KWB_LOG_ERROR, "memory", "event=listener_not_enabled");
}

void
node_check_limits(struct kwb_node *node)
{
	memory_update_metrics(node);
	listener_go_on(node, node->listener);
	listener_go_on(node, node->ready_listener);
	if (node->metrics_listener != NULL)
		listener_go_on(node, node->metrics_listener);
	if (node->relay.listener != NULL)
		listener_go_on(node, node->relay.listener);
}

int
node_init_limits(struct kwb_node *node)
{
	const struct kwb_node_settings *settings = node->settings;
	struct rlimit limit = {.rlim_cur = RLIM_INFINITY};

	TAILQ_INIT(&node->held_callers);
	kwb_memory_init(&node->memory, settings->memory_mb);
	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		kwb_log(KWB_LOG_WARN, "memory", "event=no_kernel_limit");
	node->sockets = kwb_socket_shares_of(settings->fds_max, limit.rlim_cur);
	node->client.conns_max = node->sockets.upstreams;
	kwb_log(KWB_LOG_INFO, "memory",
	    "event=limits budget_bytes=%llu callers=%u upstreams=%u",
	    (unsigned long long)node->memory.budget_bytes,
	    node->sockets.callers, node->sockets.upstreams);
	node->memory_timer = kwb_timer_new(node->base, memory_on_timer, node);
	return node->memory_timer != NULL ? 0 : KWB_ERR_MEMORY;
}
