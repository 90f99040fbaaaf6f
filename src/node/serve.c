/*
 * Serves a caller's request. Reads of results and ends of batches are served
 * from the store. Other requests go by their route: forwarded to an upstream,
 * or accepted as the submission of a batch.
 */
#include <event2/buffer.h>
#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

#include "caller.h"

static void
forward_on_done(struct kwb_forward *forward)
{
	struct kwb_caller *caller = forward->context;

	if (forward->head_sent) {
		if (forward->outcome == KWB_FORWARD_ANSWERED)
			answer_stream_end(caller);
		else
			caller_free(caller); /* must look cut off */
		return;
	}
	switch (forward->outcome) {
	case KWB_FORWARD_ANSWERED:
		kwb_metric_add(KWB_METRIC_REQUESTS_RAN, 1);
		answer_from_upstream(caller, &forward->answer);
		return;
	case KWB_FORWARD_NOT_RUN:
		kwb_metric_add(KWB_METRIC_REQUESTS_NOT_RUN, 1);
		answer_error(caller, 503, forward->reason);
		return;
	case KWB_FORWARD_TIMEOUT:
		kwb_metric_add(KWB_METRIC_REQUESTS_UNKNOWN, 1);
		answer_error(caller, 504, forward->reason);
		return;
	case KWB_FORWARD_UNKNOWN:
		kwb_metric_add(KWB_METRIC_REQUESTS_UNKNOWN, 1);
		answer_error(caller, 502, forward->reason);
		return;
	}
}

static void
forward_on_head(struct kwb_forward *forward)
{
	answer_stream_begin(forward->context, &forward->answer);
}

static void
forward_on_data(struct kwb_forward *forward, struct kwb_buf *data)
{
	answer_stream_data(forward->context, data);
}

/* The route's timeout, or the caller's deadline if that is earlier. */
static uint64_t
request_deadline_ns(
    const struct kwb_caller *caller, const struct kwb_route_entry *route)
{
	uint64_t deadline_ns = caller->started_ns +
	    (route->timeout_ms ? route->timeout_ms : KWB_CALL_TIMEOUT_MS) *
		KWB_MS_NS;

	if (caller->call.deadline_ns != 0 &&
	    caller->call.deadline_ns < deadline_ns)
		return caller->call.deadline_ns;
	return deadline_ns;
}

static void
serve_forward(struct kwb_caller *caller, const struct kwb_route_entry *route)
{
	struct kwb_message *message = &caller->conn.message;
	struct kwb_forward *forward = calloc(1, sizeof(*forward));
	bool is_streaming = route->kind == KWB_ROUTE_STREAMING;

	if (forward == NULL ||
	    kwb_text_replace(&forward->workspace, caller->workspace) != 0 ||
	    kwb_text_replace(&forward->service,
		kwb_registry_pick_service(
		    &caller->node->registry, route, (uint64_t)random())) != 0) {
		if (forward != NULL)
			free(forward->workspace);
		free(forward);
		answer_error(caller, 503, "out_of_memory");
		return;
	}
	caller->forward = forward;
	forward->on_done = forward_on_done;
	forward->on_head = is_streaming ? forward_on_head : NULL;
	forward->on_data = is_streaming ? forward_on_data : NULL;
	forward->context = caller;
	forward->env = &caller->node->forward;
	forward->deadline_ns = request_deadline_ns(caller, route);
	forward->request = (struct kwb_upstream_request){
	    .method = message->method,
	    .target = kwb_message_target(message),
	    .host = caller->call.host,
	    .id = caller->call.id,
	    .headers = message,
	    .body = message->body.data,
	    .body_bytes = message->body.used_bytes,
	    .deadline_ns = forward->deadline_ns,
	    .priority =
		route->kind == KWB_ROUTE_STREAMING ? KWB_PRIORITY_CALLER : -1};
	forward->request.workspace = forward->workspace;
	forward->idempotent = route->kind == KWB_ROUTE_IDEMPOTENT ||
	    (is_streaming && route->resumable);
	forward->resumes = is_streaming && route->resumable;
	if (route->sticky && caller->call.prompt[0] != '\0')
		forward->prompt = caller->call.prompt;
	forward->max_attempts = route->max_attempts;
	if (forward->max_attempts > KWB_FORWARD_ATTEMPTS_MAX)
		forward->max_attempts = KWB_FORWARD_ATTEMPTS_MAX;
	if (forward->idempotent && !is_streaming &&
	    route->target_latency_ms > 0)
		forward->hedge_ns = caller->started_ns +
		    route->target_latency_ms * KWB_MS_NS / 2;
	forward->rank =
	    kwb_room_rank(caller->node->config, forward->workspace, route);
	if (caller->node->config->has_workspaces)
		forward->request.priority = kwb_room_priority(forward->rank);
	kwb_forward_start(forward);
}

static void
accept_on_done(struct kwb_batch_accept *accept)
{
	struct kwb_caller *caller = accept->context;

	switch (accept->outcome) {
	case KWB_ACCEPT_TAKEN:
		answer_body(caller, 202, "application/json", "{}", 2);
		return;
	case KWB_ACCEPT_REFUSED:
		answer_error(caller, 503, accept->reason);
		return;
	case KWB_ACCEPT_UNKNOWN:
		answer_error(caller, 504, accept->reason);
		return;
	case KWB_ACCEPT_INVALID:
		answer_error(caller, 400, accept->reason);
		return;
	}
}

static void
serve_submission(struct kwb_caller *caller)
{
	struct kwb_batch_accept *accept = calloc(1, sizeof(*accept));
	struct kwb_message *message = &caller->conn.message;

	if (accept != NULL) {
		caller->accept = accept;
		accept->batches = &caller->node->batches;
	}
	if (accept == NULL ||
	    kwb_text_replace(&accept->record.host, caller->call.host) != 0 ||
	    kwb_text_replace(
		&accept->record.target, kwb_message_target(message)) != 0 ||
	    kwb_text_replace(&accept->record.workspace, caller->workspace) !=
		0) {
		answer_error(caller, 503, "out_of_memory");
		return;
	}
	accept->on_done = accept_on_done;
	accept->context = caller;
	kwb_text_copy(
	    accept->record.id, sizeof(accept->record.id), caller->call.id);
	accept->body = kwb_buf_text(&message->body);
	accept->body_bytes = message->body.used_bytes;
	kwb_batch_accept_start(accept);
}

static void
end_on_done(struct kwb_batch_end *end)
{
	struct kwb_caller *caller = end->context;

	if (end->error == 0)
		answer_body(caller, 200, "application/json", "{}", 2);
	else if (end->error == KWB_ERR_STORE_MISSING)
		answer_error(caller, 404, "no_such_batch");
	else
		answer_error(caller, 503, kwb_error_name(end->error));
}

static void
serve_batch_end(struct kwb_caller *caller)
{
	struct kwb_batch_end *end = calloc(1, sizeof(*end));

	if (end != NULL) {
		caller->end = end;
		end->batches = &caller->node->batches;
	}
	if (end == NULL ||
	    kwb_text_replace(&end->workspace, caller->workspace) != 0) {
		answer_error(caller, 503, "out_of_memory");
		return;
	}
	end->on_done = end_on_done;
	end->context = caller;
	end->deadline_ns =
	    caller->started_ns + KWB_BATCH_END_TIMEOUT_MS * KWB_MS_NS;
	kwb_text_copy(
	    end->record.id, sizeof(end->record.id), caller->call.batch);
	kwb_batch_end_start(end);
}

static void
read_on_done(struct kwb_batch_read *read)
{
	struct kwb_caller *caller = read->context;
	bool is_item = read->item[0] != '\0';

	if (read->error == 0)
		answer_body(caller, 200,
		    is_item ? "application/octet-stream" : "application/json",
		    kwb_buf_text(&read->answer), read->answer.used_bytes);
	else if (read->error == KWB_ERR_STORE_MISSING)
		answer_error(caller, 404, "no_such_batch_or_item");
	else
		answer_error(caller, 503, kwb_error_name(read->error));
}

static void
serve_batch_read(struct kwb_caller *caller)
{
	struct kwb_batch_read *read = calloc(1, sizeof(*read));
	uint32_t wait_ms = caller->call.wait_ms;

	if (read != NULL) {
		caller->read = read;
		read->batches = &caller->node->batches;
	}
	if (read == NULL ||
	    kwb_text_replace(&read->workspace, caller->workspace) != 0) {
		answer_error(caller, 503, "out_of_memory");
		return;
	}
	if (wait_ms > KWB_BATCH_READ_WAIT_MAX_MS)
		wait_ms = KWB_BATCH_READ_WAIT_MAX_MS;
	read->on_done = read_on_done;
	read->context = caller;
	read->after = caller->call.after;
	read->wait_deadline_ns = caller->started_ns + wait_ms * KWB_MS_NS;
	read->deadline_ns =
	    read->wait_deadline_ns + KWB_BATCH_READ_TIMEOUT_MS * KWB_MS_NS;
	kwb_text_copy(read->batch, sizeof(read->batch), caller->call.batch);
	if (caller->call.kind == KWB_REQUEST_READ_ITEM)
		kwb_text_copy(
		    read->item, sizeof(read->item), caller->call.item);
	kwb_batch_read_start(read);
}

bool
caller_is_submission(struct kwb_caller *caller)
{
	const struct kwb_node_config *config = caller->node->config;
	const struct kwb_route_entry *route;

	if (config == NULL)
		return false;
	caller->node->codec->parse_request(
	    &caller->conn.message, &caller->call);
	route = kwb_node_config_find_route(config, caller->call.host,
	    kwb_message_target(&caller->conn.message));
	return route != NULL && route->kind == KWB_ROUTE_ROLLOUT;
}

/*
 * A stopping node takes requests on open connections, but none that may be cut
 * off by the end of its process.
 */
static bool
is_too_late_in_stop(
    const struct kwb_caller *caller, const struct kwb_route_entry *route)
{
	const struct kwb_node *node = caller->node;

	return node->stop_deadline_ns != 0 &&
	    request_deadline_ns(caller, route) > node->stop_deadline_ns;
}

/* Answers a request that its key does not admit; the answer says it hasn't run.
 */
static void
refuse_key(struct kwb_caller *caller, enum kwb_access_verdict verdict,
    const struct kwb_access_request *request)
{
	bool is_unknown = verdict == KWB_ACCESS_UNKNOWN;

	kwb_metric_add(
	    is_unknown ? KWB_METRIC_KEYS_UNKNOWN : KWB_METRIC_KEYS_UNPROVED, 1);
	kwb_log(KWB_LOG_INFO, "access",
	    "event=%s id=%s batch=%s has_key=%d config=%llu proof_age_ms=%llu",
	    is_unknown ? "key_unknown" : "key_unproved", caller->call.id,
	    caller->call.batch[0] ? caller->call.batch : "-",
	    caller->call.key[0] != '\0',
	    (unsigned long long)caller->node->config->version,
	    (unsigned long long)(request->proof_age_ns / KWB_MS_NS));
	if (is_unknown)
		answer_error(caller, 401, "unknown_key");
	else
		answer_error(caller, 503, "config_unproved");
}

/* Whether the request may go on; else it is answered, or waits. */
static bool
admit(struct kwb_caller *caller, bool is_public)
{
	struct kwb_node *node = caller->node;
	struct kwb_access_request request = {.key = caller->call.key,
	    .is_public = is_public,
	    .arrived_ns = caller->arrived_ns};
	enum kwb_access_verdict verdict =
	    kwb_access_check(&node->access, &request);

	switch (verdict) {
	case KWB_ACCESS_ADMIT:
		if (kwb_text_replace(&caller->workspace, request.workspace) ==
		    0)
			return true;
		answer_error(caller, 503, "out_of_memory");
		return false;
	case KWB_ACCESS_ASK:
		caller->is_waiting = true;
		TAILQ_INSERT_TAIL(
		    &node->waiting_callers, caller, waiting_entry);
		kwb_timer_arm(caller->timer,
		    kwb_clock_now_ns() + request.recheck_ns -
			kwb_boot_now_ns());
		return false;
	case KWB_ACCESS_UNKNOWN:
	case KWB_ACCESS_UNPROVED:
		refuse_key(caller, verdict, &request);
		return false;
	}
	return false;
}

/* A call without a key, for a batch that was accepted without one. */
static bool
is_public_batch(const struct kwb_caller *caller)
{
	const struct kwb_batch_record *record =
	    kwb_batches_find_record(&caller->node->batches, caller->call.batch);

	return caller->call.key[0] == '\0' && record != NULL &&
	    record->workspace[0] == '\0';
}

static void
caller_forget_route(struct kwb_caller *caller)
{
	free(caller->route);
	caller->route = NULL;
}

static void
serve_by_route(struct kwb_caller *caller)
{
	struct kwb_message *message = &caller->conn.message;
	const struct kwb_route_entry *route =
	    kwb_node_config_find_route(caller->node->config, caller->call.host,
		kwb_message_target(message));

	if (route == NULL &&
	    kwb_batches_is_config_behind(&caller->node->batches)) {
		answer_error(caller, 503, "config_behind");
		return;
	}
	if (route == NULL) {
		answer_error(caller, 404, "no_route");
		return;
	}
	/* Only the log misses a route that isn't noted. */
	if (kwb_text_replace(&caller->route, route->name) != 0)
		caller_forget_route(caller);
	if (!admit(caller, route->is_public))
		return;
	if (route->kind == KWB_ROUTE_ROLLOUT) {
		if (strcmp(message->method, "POST") == 0 &&
		    caller->call.id[0] != '\0')
			serve_submission(caller);
		else
			answer_error(caller, 400, "no_submission");
		return;
	}
	if (is_too_late_in_stop(caller, route)) {
		answer_error(caller, 503, "stopping");
		return;
	}
	serve_forward(caller, route);
}

static void
serve_parsed(struct kwb_caller *caller)
{
	switch (caller->call.kind) {
	case KWB_REQUEST_READ_RESULTS:
	case KWB_REQUEST_READ_ITEM:
		if (admit(caller, is_public_batch(caller)))
			serve_batch_read(caller);
		return;
	case KWB_REQUEST_END_BATCH:
		if (admit(caller, is_public_batch(caller)))
			serve_batch_end(caller);
		return;
	case KWB_REQUEST_FORWARD:
		serve_by_route(caller);
		return;
	}
}

static void
serve_call(struct kwb_caller *caller)
{
	caller->node->codec->parse_request(
	    &caller->conn.message, &caller->call);
	caller_forget_route(caller);
	free(caller->workspace);
	caller->workspace = NULL;
	caller->arrived_ns = kwb_boot_now_ns();
	if (caller->node->has_answered_all) {
		answer_error(caller, 503, "stopping");
		return;
	}
	if (caller->node->config == NULL) {
		answer_error(caller, 503, "no_config_yet");
		return;
	}
	serve_parsed(caller);
}

void
caller_recheck(struct kwb_caller *caller)
{
	caller->is_waiting = false;
	TAILQ_REMOVE(&caller->node->waiting_callers, caller, waiting_entry);
	event_del(caller->timer);
	serve_parsed(caller);
}

/* One that has to wait on is put at the end of the list. */
void
callers_recheck(struct kwb_node *node)
{
	struct kwb_caller *last =
	    TAILQ_LAST(&node->waiting_callers, kwb_caller_list);
	struct kwb_caller *caller;

	while ((caller = TAILQ_FIRST(&node->waiting_callers)) != NULL) {
		bool is_last = caller == last;

		caller_recheck(caller);
		if (is_last)
			return;
	}
}

static void
serve_metrics(struct kwb_caller *caller)
{
	struct kwb_buf text;

	kwb_buf_init(&text);
	if (strcmp(kwb_message_target(&caller->conn.message), "/upstreams") !=
	    0) {
		kwb_metrics_print(&text);
		kwb_room_print(&caller->node->room, &text);
		answer_body(caller, 200, "text/plain; version=0.0.4",
		    kwb_buf_text(&text), text.used_bytes);
	} else if (inspect_upstreams(caller->node, &text) == 0) {
		answer_body(caller, 200, "application/json",
		    kwb_buf_text(&text), text.used_bytes);
	} else {
		answer_error(caller, 503, "out_of_memory");
	}
	kwb_buf_finish(&text);
}

void
caller_serve_request(struct kwb_caller *caller)
{
	switch (caller->port) {
	case CALLER_PORT_REQUESTS:
		serve_call(caller);
		return;
	case CALLER_PORT_READY:
		if (node_is_ready(caller->node))
			answer_body(caller, 200, "text/plain", "ready\n", 6);
		else
			answer_error(caller, 503, "not_ready");
		return;
	case CALLER_PORT_METRICS:
		serve_metrics(caller);
		return;
	}
}
