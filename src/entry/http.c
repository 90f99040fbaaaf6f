/*
 * HTTP of an entry: callers, trainers, operators.
 *
 *   POST /v1/plans/P/completions      interactive answer, streamed or whole
 *   ANY  /v1/plans/P/call/...         call of a plain service
 *   POST /v1/plans/P/tickets          names a call before it is made
 *   POST /v1/plans/P/steps/N/pull     samples of a training step
 *   GET  /health /metrics /status
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <civetweb.h>
#include <jansson.h>

#include "entry.h"

#define PATH_MAX_BYTES 1024
#define WORKERS_SPARE 4
#define TIMEOUT_MS_MAX 600000
#define REQUEST_ID_BYTES 96

/* One HTTP request and what was read of it. */
struct exchange {
	struct kwb_entry *entry;
	struct mg_connection *connection;
	const struct mg_request_info *info;
	char id[REQUEST_ID_BYTES];
	char plan_name[KWB_NAME_MAX_BYTES];
	const char *rest; /* path after the plan */
	struct kwb_plan plan;
	uint32_t queue_max;
	struct kwb_buf body;
};

static int on_request(struct mg_connection *connection, void *context);
static int on_health(struct mg_connection *connection, void *context);
static int on_metrics(struct mg_connection *connection, void *context);
static int on_status(struct mg_connection *connection, void *context);
static void *on_thread_start(const struct mg_context *context, int type);
static void on_thread_end(
    const struct mg_context *context, int type, void *thread);
static void dispatch(struct exchange *exchange);
static int plan_load(struct exchange *exchange);
static int body_read(struct exchange *exchange);
static uint64_t deadline_of(struct exchange *exchange, uint32_t fallback_ms);
static void serve_completion(struct exchange *exchange);
static void completion_run(
    struct exchange *exchange, struct generation *generation, bool stream);
static int completion_wait(struct exchange *exchange,
    struct generation *generation, uint32_t *waiting_since);
static void completion_send(
    struct exchange *exchange, struct generation *generation, uint32_t from);
static void completion_whole(
    struct exchange *exchange, const struct generation *generation);
static void serve_call(struct exchange *exchange);
static bool call_name(struct exchange *exchange, struct call *call);
static void call_reply(
    struct exchange *exchange, const struct call_answer *answer);
static void serve_ticket(struct exchange *exchange);
static void serve_pull(struct exchange *exchange);
static void send_text(struct mg_connection *connection, int status,
    const char *content_type, const char *headers, const char *text,
    size_t length_bytes);

int
http_start(struct kwb_entry *entry)
{
	char workers[16];
	const char *options[] = {
	    "listening_ports",
	    entry->settings->listen,
	    "num_threads",
	    workers,
	    "tcp_nodelay",
	    "1",
	    "enable_keep_alive",
	    "yes",
	    "keep_alive_timeout_ms",
	    "3000",
	    "request_timeout_ms",
	    "30000",
	    NULL,
	};
	struct mg_callbacks callbacks = {0};

	snprintf(workers, sizeof(workers), "%u", entry->settings->workers);
	callbacks.init_thread = on_thread_start;
	callbacks.exit_thread = on_thread_end;
	mg_init_library(0);
	entry->http = mg_start(&callbacks, entry, options);
	if (entry->http == NULL)
		return KWB_ERR_SYSTEM;
	mg_set_request_handler(entry->http, "/v1/plans/", on_request, entry);
	mg_set_request_handler(entry->http, "/health$", on_health, entry);
	mg_set_request_handler(entry->http, "/metrics$", on_metrics, entry);
	mg_set_request_handler(entry->http, "/status$", on_status, entry);
	return 0;
}

void
http_stop(struct kwb_entry *entry)
{
	mg_stop(entry->http);
	mg_exit_library();
}

void
http_refuse(struct mg_connection *connection, int status,
    enum kwb_outcome outcome, int error, const char *detail)
{
	char body[512], headers[256];
	int length;

	if (outcome == KWB_OUTCOME_NOT_RUN)
		kwb_metric_add(KWB_METRIC_NOT_RUN, 1);
	if (outcome == KWB_OUTCOME_UNKNOWN)
		kwb_metric_add(KWB_METRIC_UNKNOWN, 1);
	length = snprintf(body, sizeof(body),
	    "{\"outcome\":\"%s\",\"error\":\"%s\",\"detail\":\"%s\"}\n",
	    kwb_outcome_name(outcome), kwb_error_name(error), detail);
	snprintf(headers, sizeof(headers), "X-Kwb-Outcome: %s\r\n%s",
	    kwb_outcome_name(outcome),
	    status == 429 || status == 503 ? "Retry-After: 1\r\n" : "");
	send_text(connection, status, "application/json", headers, body,
	    (size_t)length);
}

static int
on_request(struct mg_connection *connection, void *context)
{
	struct exchange exchange = {
	    .entry = context,
	    .connection = connection,
	    .info = mg_get_request_info(connection),
	};
	struct kwb_entry *entry = context;
	uint32_t active = atomic_fetch_add(&entry->active, 1) + 1;

	snprintf(exchange.id, sizeof(exchange.id), "%s-%" PRIx64,
	    entry->settings->vm, atomic_fetch_add(&entry->registry.next_id, 1));
	kwb_buf_init(&exchange.body);
	/* A stream holds a worker: refuse while some are left for others. */
	if (active + WORKERS_SPARE > entry->settings->workers)
		http_refuse(connection, 503, KWB_OUTCOME_NOT_RUN,
		    KWB_ERR_CALL_BUSY, "no free worker");
	else if (plan_load(&exchange) == 0 && body_read(&exchange) == 0)
		dispatch(&exchange);
	kwb_buf_finish(&exchange.body);
	free(exchange.plan.rules);
	atomic_fetch_sub(&entry->active, 1);
	return 200;
}

static void *
on_thread_start(const struct mg_context *context, int type)
{
	(void)context;
	(void)type;
	kwb_current_thread_init();
	return NULL;
}

static void
on_thread_end(const struct mg_context *context, int type, void *thread)
{
	(void)context;
	(void)type;
	(void)thread;
	kwb_current_thread_finish();
}

static void
dispatch(struct exchange *exchange)
{
	bool post = strcmp(exchange->info->request_method, "POST") == 0;
	enum kwb_plan_kind kind = exchange->plan.kind;

	if (post && strcmp(exchange->rest, "/completions") == 0 &&
	    kind != KWB_PLAN_SERVICE)
		serve_completion(exchange);
	else if (strncmp(exchange->rest, "/call/", 6) == 0 &&
	    kind == KWB_PLAN_SERVICE)
		serve_call(exchange);
	else if (post && strcmp(exchange->rest, "/tickets") == 0 &&
	    kind == KWB_PLAN_SERVICE)
		serve_ticket(exchange);
	else if (post && strncmp(exchange->rest, "/steps/", 7) == 0 &&
	    kind == KWB_PLAN_TRAINING)
		serve_pull(exchange);
	else
		http_refuse(exchange->connection, 404, KWB_OUTCOME_NOT_RUN,
		    KWB_ERR_ARGUMENT, "no such interface for this plan");
}

/* Copies the plan, so that no list is held while a request runs. */
static int
plan_load(struct exchange *exchange)
{
	const char *path = exchange->info->local_uri + strlen("/v1/plans/");
	size_t length = strcspn(path, "/");
	const struct kwb_allowance *allowance;
	const struct kwb_plan *plan;
	const struct kwb_lists *lists;
	int error = KWB_ERR_LISTS_NONE;

	if (length >= sizeof(exchange->plan_name))
		length = sizeof(exchange->plan_name) - 1;
	memcpy(exchange->plan_name, path, length);
	exchange->rest = path + length;
	lists = kwb_current_hold();
	plan = kwb_lists_plan(lists, exchange->plan_name);
	allowance = kwb_lists_allowance(lists, exchange->plan_name);
	if (lists != NULL)
		error = KWB_ERR_ARGUMENT;
	if (plan != NULL && allowance != NULL) {
		size_t bytes = plan->rules_count * sizeof(*plan->rules);

		exchange->plan = *plan;
		exchange->plan.rules = malloc(bytes + 1);
		if (exchange->plan.rules != NULL && bytes > 0)
			memcpy(exchange->plan.rules, plan->rules, bytes);
		exchange->queue_max = allowance->queue;
		error = exchange->plan.rules ? 0 : KWB_ERR_MEMORY;
	}
	kwb_current_drop();
	if (error != 0)
		http_refuse(exchange->connection,
		    error == KWB_ERR_ARGUMENT ? 404 : 503, KWB_OUTCOME_NOT_RUN,
		    error, "no such plan");
	return error;
}

static int
body_read(struct exchange *exchange)
{
	char chunk_bytes[8192];
	int got;

	while ((got = mg_read(exchange->connection, chunk_bytes,
		    sizeof(chunk_bytes))) > 0) {
		if (exchange->body.used_bytes + (size_t)got >
		    KWB_FRAME_MAX_BYTES / 2) {
			http_refuse(exchange->connection, 413,
			    KWB_OUTCOME_NOT_RUN, KWB_ERR_WIRE_SIZE,
			    "body too large");
			return KWB_ERR_WIRE_SIZE;
		}
		kwb_buf_add(&exchange->body, chunk_bytes, (size_t)got);
	}
	return 0;
}

static uint64_t
deadline_of(struct exchange *exchange, uint32_t fallback_ms)
{
	const char *text =
	    mg_get_header(exchange->connection, "X-Kwb-Timeout-Ms");
	unsigned long wanted = text ? strtoul(text, NULL, 10) : 0;

	if (wanted == 0 || wanted > TIMEOUT_MS_MAX)
		wanted = fallback_ms;
	return kwb_clock_now_ns() + wanted * KWB_MS_NS;
}

static void
serve_completion(struct exchange *exchange)
{
	json_t *root = json_loads(kwb_buf_text(&exchange->body), 0, NULL);
	const char *prompt = json_string_value(json_object_get(root, "prompt"));
	json_int_t max_tokens =
	    json_integer_value(json_object_get(root, "max_tokens"));
	struct generation generation;
	struct inbox inbox;

	if (prompt == NULL) {
		http_refuse(exchange->connection, 400, KWB_OUTCOME_NOT_RUN,
		    KWB_ERR_ARGUMENT, "prompt must be a string");
		json_decref(root);
		return;
	}
	inbox_init(&inbox);
	generation_init(&generation, &inbox);
	snprintf(
	    generation.name, sizeof(generation.name), "i/%s", exchange->id);
	generation.plan = exchange->plan_name;
	generation.model = exchange->plan.model;
	generation.prompt = prompt;
	generation.max_tokens = exchange->plan.max_tokens;
	if (max_tokens > 0 &&
	    max_tokens < (json_int_t)exchange->plan.max_tokens)
		generation.max_tokens = (uint32_t)max_tokens;
	generation.seed =
	    (uint64_t)json_integer_value(json_object_get(root, "seed"));
	generation.priority = 1;
	generation.deadline_ns = deadline_of(exchange, KWB_CALL_TIMEOUT_MS);
	generation.slack_deadline_ns = generation.deadline_ns;
	completion_run(exchange, &generation,
	    json_is_true(json_object_get(root, "stream")));
	generation_finish(exchange->entry, &generation);
	inbox_finish(&inbox);
	json_decref(root);
}

static void
completion_run(
    struct exchange *exchange, struct generation *generation, bool stream)
{
	struct mg_connection *connection = exchange->connection;
	uint32_t sent = 0, waiting_since = 0;
	struct event *event;
	bool begun = false;
	int error;

	while (generation->state != GENERATION_DONE) {
		error = 0;
		if (generation->state == GENERATION_PENDING)
			error = completion_wait(
			    exchange, generation, &waiting_since);
		if (error != 0 && !begun) {
			http_refuse(connection,
			    error == KWB_ERR_ROUTE_FULL ? 429 : 503,
			    generation->starts > 0 ? KWB_OUTCOME_UNKNOWN
						   : KWB_OUTCOME_NOT_RUN,
			    error, exchange->id);
			return;
		}
		if (error != 0)
			break;
		event = inbox_wait(generation->inbox, generation->deadline_ns);
		if (event != NULL) {
			generation_event(exchange->entry, generation, event);
			event_free(event);
		}
		if (!stream || generation->tokens.count == sent)
			continue;
		if (!begun)
			mg_printf(connection,
			    "HTTP/1.1 200 OK\r\nContent-Type: "
			    "text/event-stream\r\nX-Kwb-Request: %s\r\n"
			    "Transfer-Encoding: chunked\r\n\r\n",
			    exchange->id);
		begun = true;
		completion_send(exchange, generation, sent);
		sent = generation->tokens.count;
	}
	if (!begun) {
		completion_whole(exchange, generation);
		return;
	}
	if (generation->state == GENERATION_DONE) {
		static const char end[] =
		    "data: {\"finish\":\"stop\"}\n\ndata: [DONE]\n\n";

		mg_send_chunk(connection, end, sizeof(end) - 1);
		kwb_metric_add(KWB_METRIC_RAN, 1);
	} else {
		static const char end[] = "data: {\"error\":\"deadline\","
					  "\"outcome\":\"unknown\"}\n\n";

		mg_send_chunk(connection, end, sizeof(end) - 1);
		kwb_metric_add(KWB_METRIC_UNKNOWN, 1);
	}
	mg_send_chunk(connection, "", 0);
}

/* Waits in the plan's queue, bounded in length and time, for a place. */
static int
completion_wait(
    struct exchange *exchange, struct generation *generation, uint32_t *retries)
{
	struct plan_gate *gate =
	    entry_gate(exchange->entry, exchange->plan_name);
	int error;

	if (generation->starts == 0)
		kwb_budget_try(&gate->budget);
	else if (generation->error != KWB_ERR_CALL_BUSY && (*retries)++ > 0 &&
	    !kwb_budget_retry(&gate->budget))
		return KWB_ERR_ROUTE_FULL;
	error = generation_start(exchange->entry, generation);
	if (error == 0)
		return 0;
	if (atomic_fetch_add(&gate->waiting, 1) >= exchange->queue_max)
		error = KWB_ERR_ROUTE_FULL;
	else
		error = -1;
	while (error == -1) {
		kwb_clock_sleep_ns(KWB_QUEUE_POLL_NS);
		error = generation_start(exchange->entry, generation);
		if (error == 0)
			break;
		if (kwb_clock_now_ns() < generation->deadline_ns)
			error = -1;
	}
	atomic_fetch_sub(&gate->waiting, 1);
	return error;
}

static void
completion_send(
    struct exchange *exchange, struct generation *generation, uint32_t from)
{
	struct kwb_buf out;
	uint32_t i;

	kwb_buf_init(&out);
	for (i = from; i < generation->tokens.count; i++) {
		json_t *token =
		    json_pack("{s:s, s:I}", "token", generation->tokens.text[i],
			"version", (json_int_t)generation->tokens.version[i]);
		char *text =
		    json_dumps(token, JSON_COMPACT | JSON_PRESERVE_ORDER);

		kwb_buf_printf(&out, "data: %s\n\n", text);
		free(text);
		json_decref(token);
	}
	if (mg_send_chunk(
		exchange->connection, out.data, (unsigned)out.used_bytes) < 0)
		generation->deadline_ns = 0;
	kwb_buf_finish(&out);
}

static void
completion_whole(struct exchange *exchange, const struct generation *generation)
{
	json_t *tokens = json_array(), *versions = json_array(), *root;
	char headers[256], *text;
	uint32_t i;

	for (i = 0; i < generation->tokens.count; i++) {
		json_array_append_new(
		    tokens, json_string(generation->tokens.text[i]));
		json_array_append_new(versions,
		    json_integer((json_int_t)generation->tokens.version[i]));
	}
	root = json_pack("{s:s, s:o, s:o, s:s}", "request", exchange->id,
	    "tokens", tokens, "versions", versions, "finish", "stop");
	text = json_dumps(root, JSON_COMPACT | JSON_PRESERVE_ORDER);
	snprintf(headers, sizeof(headers),
	    "X-Kwb-Outcome: ran\r\nX-Kwb-Request: %s\r\n", exchange->id);
	send_text(exchange->connection, 200, "application/json", headers, text,
	    strlen(text));
	kwb_metric_add(KWB_METRIC_RAN, 1);
	free(text);
	json_decref(root);
}

static void
serve_call(struct exchange *exchange)
{
	const char *method = exchange->info->request_method;
	const char *query = exchange->info->query_string;
	char path[PATH_MAX_BYTES];
	const struct kwb_rule *rule;
	struct call_answer answer;
	struct call call = {
	    .plan = exchange->plan_name,
	    .pool = exchange->plan.pool,
	    .method = method,
	    .path = path,
	    .body = exchange->body.data,
	    .body_bytes = exchange->body.used_bytes,
	};

	snprintf(path, sizeof(path), "%s%s%s", exchange->rest + 5,
	    query ? "?" : "", query ? query : "");
	call.content_type = mg_get_header(exchange->connection, "Content-Type");
	if (call.content_type == NULL)
		call.content_type = "application/octet-stream";
	rule = kwb_plan_rule(&exchange->plan, method, path);
	call.idempotent = rule
	    ? rule->idempotent
	    : strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0;
	call.deadline_ns = deadline_of(
	    exchange, rule ? rule->timeout_ms : KWB_CALL_TIMEOUT_MS);
	if (!call_name(exchange, &call))
		return;
	call_run(exchange->entry, &call, &answer);
	call_reply(exchange, &answer);
	kwb_buf_finish(&answer.body);
}

/* How the caller named the call: a ticket, its own key, or not at all. */
static bool
call_name(struct exchange *exchange, struct call *call)
{
	struct mg_connection *connection = exchange->connection;
	const char *ticket = mg_get_header(connection, "X-Kwb-Ticket");
	const char *key = mg_get_header(connection, "Idempotency-Key");
	int length, error;

	if (ticket != NULL) {
		call->pinned = true;
		if (kwb_ticket_parse(&call->pin, ticket) == 0)
			return true;
		http_refuse(connection, 400, KWB_OUTCOME_NOT_RUN,
		    KWB_ERR_ARGUMENT, "malformed ticket");
		return false;
	}
	if (key == NULL)
		return true;
	call->pinned = true;
	length = snprintf(
	    call->pin.key, sizeof(call->pin.key), "c/%s/%s", call->plan, key);
	if (length >= (int)sizeof(call->pin.key) ||
	    strpbrk(key, " \t") != NULL || key[0] == '\0') {
		http_refuse(connection, 400, KWB_OUTCOME_NOT_RUN,
		    KWB_ERR_ARGUMENT, "malformed Idempotency-Key");
		return false;
	}
	error = call_mint(exchange->entry, call->plan, call->pool, &call->pin);
	if (error == 0)
		error = kwb_claim(
		    &exchange->entry->platform, call->plan, &call->pin);
	if (error == 0)
		return true;
	/* This key may have run before, and that can't be looked up now. */
	http_refuse(connection, 503, KWB_OUTCOME_UNKNOWN, error, exchange->id);
	return false;
}

static void
call_reply(struct exchange *exchange, const struct call_answer *answer)
{
	char headers[256];
	int status = 503;

	kwb_log(KWB_LOG_INFO, "call",
	    "event=end request=%s plan=%s vm=%s outcome=%s error=%s",
	    exchange->id, exchange->plan_name, answer->vm,
	    kwb_outcome_name(answer->outcome), kwb_error_name(answer->error));
	if (answer->outcome != KWB_OUTCOME_RAN) {
		if (answer->outcome == KWB_OUTCOME_UNKNOWN)
			status = 502;
		else if (answer->error == KWB_ERR_ROUTE_FULL ||
		    answer->error == KWB_ERR_CALL_BUSY)
			status = 429;
		http_refuse(exchange->connection, status, answer->outcome,
		    answer->error, exchange->id);
		return;
	}
	kwb_metric_add(KWB_METRIC_RAN, 1);
	snprintf(headers, sizeof(headers),
	    "X-Kwb-Outcome: ran\r\nX-Kwb-Request: %s\r\n", exchange->id);
	send_text(exchange->connection, (int)answer->status,
	    answer->content_type[0] ? answer->content_type
				    : "application/octet-stream",
	    headers, kwb_buf_text(&answer->body), answer->body.used_bytes);
}

static void
serve_ticket(struct exchange *exchange)
{
	struct kwb_pin pin = {0};
	struct kwb_buf text;
	int error = call_mint(
	    exchange->entry, exchange->plan_name, exchange->plan.pool, &pin);

	if (error != 0) {
		http_refuse(exchange->connection, 503, KWB_OUTCOME_NOT_RUN,
		    error, exchange->id);
		return;
	}
	kwb_buf_init(&text);
	kwb_ticket_print(&pin, &text);
	send_text(exchange->connection, 200, "text/plain", "", text.data,
	    text.used_bytes);
	kwb_buf_finish(&text);
}

static void
serve_pull(struct exchange *exchange)
{
	char *end;
	uint64_t step = strtoull(exchange->rest + 7, &end, 10);

	if (end == exchange->rest + 7 || strcmp(end, "/pull") != 0) {
		http_refuse(exchange->connection, 404, KWB_OUTCOME_NOT_RUN,
		    KWB_ERR_ARGUMENT, "path is steps/N/pull");
		return;
	}
	step_serve(exchange->entry, exchange->connection, exchange->plan_name,
	    step, kwb_buf_text(&exchange->body));
}

static int
on_health(struct mg_connection *connection, void *context)
{
	struct kwb_entry *entry = context;
	bool well =
	    !atomic_load(&entry->draining) && kwb_current_revision() > 0;

	send_text(connection, well ? 200 : 503, "text/plain", "",
	    well ? "ok\n" : "no\n", 3);
	return 200;
}

static int
on_metrics(struct mg_connection *connection, void *context)
{
	struct kwb_buf out;

	(void)context;
	kwb_buf_init(&out);
	kwb_metrics_print(&out);
	send_text(connection, 200, "text/plain; version=0.0.4", "", out.data,
	    out.used_bytes);
	kwb_buf_finish(&out);
	return 200;
}

static int
on_status(struct mg_connection *connection, void *context)
{
	struct kwb_entry *entry = context;
	struct kwb_buf out;

	kwb_buf_init(&out);
	kwb_buf_printf(&out,
	    "{\"vm\":\"%s\",\"failure_domain\":\"%s\","
	    "\"lists_revision\":%" PRIu64 ",\"platform_up\":%s,"
	    "\"draining\":%s,\"leading\":%s,\"active\":%u,\"agents\":",
	    entry->settings->vm, entry->settings->failure_domain,
	    kwb_current_revision(),
	    atomic_load(&entry->platform_up) ? "true" : "false",
	    atomic_load(&entry->draining) ? "true" : "false",
	    atomic_load(&entry->leading) ? "true" : "false",
	    atomic_load(&entry->active));
	peers_print(entry, &out);
	kwb_buf_printf(&out, "}\n");
	send_text(
	    connection, 200, "application/json", "", out.data, out.used_bytes);
	kwb_buf_finish(&out);
	return 200;
}

static void
send_text(struct mg_connection *connection, int status,
    const char *content_type, const char *headers, const char *text,
    size_t length_bytes)
{
	mg_printf(connection,
	    "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n"
	    "%s\r\n",
	    status, mg_get_response_code_text(connection, status), content_type,
	    length_bytes, headers);
	mg_write(connection, text, length_bytes);
}
