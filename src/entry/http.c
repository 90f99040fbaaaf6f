/*
 * HTTP server of an entry, for callers, trainers and operators.
 *
 *   POST /v1/plans/P/completions      interactive answer, streamed or whole
 *   ANY  /v1/plans/P/call/...         call of a plain service
 *   POST /v1/plans/P/tickets          ticket to name a call before it is made
 *   POST /v1/plans/P/steps/N/pull     stream of samples of a training step
 *   GET  /health /metrics /status
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http.h"

#define WORKERS_RESERVED 4    /* for /health, /metrics and /status */
#define TIMEOUT_MS_MAX 600000 /* that a caller may ask for */

static int plans_on_request(struct mg_connection *connection, void *context);
static int health_on_request(struct mg_connection *connection, void *context);
static int metrics_on_request(struct mg_connection *connection, void *context);
static int status_on_request(struct mg_connection *connection, void *context);
static void *thread_on_start(const struct mg_context *context, int type);
static void thread_on_end(
    const struct mg_context *context, int type, void *thread);
static void dispatch(struct exchange *exchange);
static void refuse_early(
    struct exchange *exchange, int status, int error, const char *detail);
static int plan_load(struct exchange *exchange);
static int body_read(struct exchange *exchange);
static void serve_pull(struct exchange *exchange);

/* Starts the HTTP server; 0 or KWB_ERR_SYSTEM. */
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
	callbacks.init_thread = thread_on_start;
	callbacks.exit_thread = thread_on_end;
	mg_init_library(0);
	entry->http = mg_start(&callbacks, entry, options);
	if (entry->http == NULL)
		return KWB_ERR_SYSTEM;
	mg_set_request_handler(
	    entry->http, "/v1/plans/", plans_on_request, entry);
	mg_set_request_handler(
	    entry->http, "/health$", health_on_request, entry);
	mg_set_request_handler(
	    entry->http, "/metrics$", metrics_on_request, entry);
	mg_set_request_handler(
	    entry->http, "/status$", status_on_request, entry);
	return 0;
}

/* Stops the HTTP server; its threads have ended on return. */
void
http_stop(struct kwb_entry *entry)
{
	mg_stop(entry->http);
	mg_exit_library();
}

/*
 * Answers with an error: its outcome and error by name, and a detail, which is
 * a text or the request's id. Counts the outcome in the metrics.
 */
void
http_refuse(struct mg_connection *connection, int status,
    enum kwb_outcome outcome, int error, const char *detail)
{
	char body[512], headers[256];
	int length;

	if (outcome == KWB_OUTCOME_NOT_RUN)
		kwb_metric_add(KWB_METRIC_REQUESTS_NOT_RUN, 1);
	if (outcome == KWB_OUTCOME_UNKNOWN)
		kwb_metric_add(KWB_METRIC_REQUESTS_UNKNOWN, 1);
	length = snprintf(body, sizeof(body),
	    "{\"outcome\":\"%s\",\"error\":\"%s\",\"detail\":\"%s\"}\n",
	    kwb_outcome_name(outcome), kwb_error_name(error), detail);
	snprintf(headers, sizeof(headers), "X-Kwb-Outcome: %s\r\n%s",
	    kwb_outcome_name(outcome),
	    status == 429 || status == 503 ? "Retry-After: 1\r\n" : "");
	http_send(connection, status, "application/json", headers, body,
	    (size_t)length);
}

/* Handles the requests for plans. */
static int
plans_on_request(struct mg_connection *connection, void *context)
{
	struct exchange exchange = {
	    .entry = context,
	    .connection = connection,
	    .info = mg_get_request_info(connection),
	};
	struct kwb_entry *entry = context;
	uint32_t active = atomic_fetch_add(&entry->active, 1) + 1;

	atomic_store(&entry->last_request_ns, kwb_clock_now_ns());
	snprintf(exchange.id, sizeof(exchange.id), "%s-%" PRIx64,
	    entry->settings->vm, atomic_fetch_add(&entry->registry.next_id, 1));
	kwb_buf_init(&exchange.body);
	/* A stream takes a worker for long, so some are held back. */
	if (active + WORKERS_RESERVED > entry->settings->workers)
		refuse_early(
		    &exchange, 503, KWB_ERR_CALL_BUSY, "no free worker");
	else if (plan_load(&exchange) == 0 && body_read(&exchange) == 0)
		dispatch(&exchange);
	kwb_buf_finish(&exchange.body);
	atomic_fetch_sub(&entry->bodies_bytes, exchange.reserved_bytes);
	free(exchange.plan.rules);
	atomic_fetch_sub(&entry->active, 1);
	return 200;
}

/* Every thread that reads the lists must be registered with them. */
static void *
thread_on_start(const struct mg_context *context, int type)
{
	(void)context;
	(void)type;
	kwb_current_lists_register_thread();
	return NULL;
}

static void
thread_on_end(const struct mg_context *context, int type, void *thread)
{
	(void)context;
	(void)type;
	(void)thread;
	kwb_current_lists_unregister_thread();
}

static void
dispatch(struct exchange *exchange)
{
	bool is_post = strcmp(exchange->info->request_method, "POST") == 0;
	enum kwb_plan_kind kind = exchange->plan.kind;

	if (is_post && strcmp(exchange->subpath, "/completions") == 0 &&
	    kind != KWB_PLAN_SERVICE)
		http_completion(exchange);
	else if (strncmp(exchange->subpath, "/call/", 6) == 0 &&
	    kind == KWB_PLAN_SERVICE)
		http_call(exchange);
	else if (is_post && strcmp(exchange->subpath, "/tickets") == 0 &&
	    kind == KWB_PLAN_SERVICE)
		http_ticket(exchange);
	else if (is_post && strncmp(exchange->subpath, "/steps/", 7) == 0 &&
	    kind == KWB_PLAN_TRAINING)
		serve_pull(exchange);
	else
		refuse_early(exchange, 404, KWB_ERR_ARGUMENT,
		    "no such interface for this plan");
}

/*
 * Refuses a request before its key or ticket was read. An earlier attempt under
 * the same key or ticket may have run through another entry, so the outcome is
 * "not run" only for a request without either.
 */
static void
refuse_early(
    struct exchange *exchange, int status, int error, const char *detail)
{
	struct mg_connection *connection = exchange->connection;
	bool is_named = mg_get_header(connection, "Idempotency-Key") != NULL ||
	    mg_get_header(connection, "X-Kwb-Ticket") != NULL;

	http_refuse(connection, status,
	    is_named ? KWB_OUTCOME_UNKNOWN : KWB_OUTCOME_NOT_RUN, error,
	    detail);
}

/*
 * Finds the plan that the path names and copies it, so that the lists aren't
 * locked while the request runs. On error refuses and returns a KWB_ERR_
 * number.
 */
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
	exchange->subpath = path + length;
	lists = kwb_current_lists_read_lock();
	plan = kwb_lists_find_plan(lists, exchange->plan_name);
	allowance = kwb_lists_find_allowance(lists, exchange->plan_name);
	if (lists != NULL)
		error = KWB_ERR_ARGUMENT;
	if (plan != NULL && allowance != NULL) {
		size_t rules_bytes = plan->rules_count * sizeof(*plan->rules);

		exchange->plan = *plan;
		exchange->plan.rules = malloc(rules_bytes + 1);
		if (exchange->plan.rules != NULL && rules_bytes > 0)
			memcpy(exchange->plan.rules, plan->rules, rules_bytes);
		exchange->queue_max = allowance->queue;
		error = exchange->plan.rules ? 0 : KWB_ERR_MEMORY;
	}
	kwb_current_lists_read_unlock();
	if (error != 0)
		refuse_early(exchange, error == KWB_ERR_ARGUMENT ? 404 : 503,
		    error, "no such plan");
	return error;
}

/*
 * Reserves room for a body of that length; large ones leave a part of the room
 * to small ones.
 */
static bool
body_reserve(struct exchange *exchange, uint64_t body_bytes)
{
	uint64_t max_bytes = KWB_ENTRY_BODIES_MAX_BYTES;
	uint64_t more_bytes = body_bytes - exchange->reserved_bytes;
	_Atomic uint64_t *used_bytes = &exchange->entry->bodies_bytes;

	if (body_bytes <= exchange->reserved_bytes)
		return true;
	if (body_bytes > KWB_SMALL_BODY_BYTES)
		max_bytes -= max_bytes / KWB_MEMORY_SMALL_DIVISOR;
	if (atomic_fetch_add(used_bytes, more_bytes) + more_bytes > max_bytes) {
		atomic_fetch_sub(used_bytes, more_bytes);
		return false;
	}
	exchange->reserved_bytes = body_bytes;
	return true;
}

/* Refuses a body before it is read; the rest of it isn't read either. */
static int
body_refuse(
    struct exchange *exchange, int status, int error, const char *detail)
{
	kwb_metric_add(KWB_METRIC_BODIES_REFUSED, 1);
	mg_disable_connection_keep_alive(exchange->connection);
	refuse_early(exchange, status, error, detail);
	return error;
}

/*
 * Reads the body. Refuses it and returns an error if it is too large, or if
 * those of other requests leave no room.
 */
static int
body_read(struct exchange *exchange)
{
	long long announced_bytes = exchange->info->content_length;
	char chunk[8192];
	int got_bytes;

	if (announced_bytes > KWB_FRAME_MAX_BYTES / 2)
		return body_refuse(
		    exchange, 413, KWB_ERR_WIRE_SIZE, "body too large");
	if (announced_bytes > 0 &&
	    !body_reserve(exchange, (uint64_t)announced_bytes))
		return body_refuse(
		    exchange, 503, KWB_ERR_CALL_BUSY, "no room for the body");
	while ((got_bytes = mg_read(
		    exchange->connection, chunk, sizeof(chunk))) > 0) {
		if (exchange->body.used_bytes + (size_t)got_bytes >
		    KWB_FRAME_MAX_BYTES / 2)
			return body_refuse(
			    exchange, 413, KWB_ERR_WIRE_SIZE, "body too large");
		if (!body_reserve(exchange,
			exchange->body.used_bytes + (size_t)got_bytes))
			return body_refuse(exchange, 503, KWB_ERR_CALL_BUSY,
			    "no room for the body");
		kwb_buf_add(&exchange->body, chunk, (size_t)got_bytes);
	}
	return 0;
}

/*
 * The time, as of kwb_clock_now_ns(), by which to answer: as many milliseconds
 * from now as the caller asks for in X-Kwb-Timeout-Ms, or default_ms if that is
 * missing, 0 or above TIMEOUT_MS_MAX.
 */
uint64_t
http_deadline(struct exchange *exchange, uint32_t default_ms)
{
	const char *text =
	    mg_get_header(exchange->connection, "X-Kwb-Timeout-Ms");
	unsigned long timeout_ms = text ? strtoul(text, NULL, 10) : 0;

	if (timeout_ms == 0 || timeout_ms > TIMEOUT_MS_MAX)
		timeout_ms = default_ms;
	return kwb_clock_now_ns() + timeout_ms * KWB_MS_NS;
}

static void
serve_pull(struct exchange *exchange)
{
	char *end;
	uint64_t step = strtoull(exchange->subpath + 7, &end, 10);

	if (end == exchange->subpath + 7 || strcmp(end, "/pull") != 0) {
		http_refuse(exchange->connection, 404, KWB_OUTCOME_NOT_RUN,
		    KWB_ERR_ARGUMENT, "path is steps/N/pull");
		return;
	}
	step_serve(exchange->entry, exchange->connection, exchange->plan_name,
	    step, kwb_buf_text(&exchange->body));
}

/* Healthy once the lists were read, until the entry drains. */
static int
health_on_request(struct mg_connection *connection, void *context)
{
	struct kwb_entry *entry = context;
	bool is_healthy =
	    !atomic_load(&entry->draining) && kwb_current_lists_revision() > 0;

	http_send(connection, is_healthy ? 200 : 503, "text/plain", "",
	    is_healthy ? "ok\n" : "no\n", 3);
	return 200;
}

static int
metrics_on_request(struct mg_connection *connection, void *context)
{
	struct kwb_buf out;

	(void)context;
	kwb_buf_init(&out);
	kwb_metrics_print(&out);
	http_send(connection, 200, "text/plain; version=0.0.4", "", out.data,
	    out.used_bytes);
	kwb_buf_finish(&out);
	return 200;
}

static int
status_on_request(struct mg_connection *connection, void *context)
{
	struct kwb_entry *entry = context;
	struct kwb_buf out;

	kwb_buf_init(&out);
	kwb_buf_printf(&out,
	    "{\"vm\":\"%s\",\"failure_domain\":\"%s\","
	    "\"lists_revision\":%" PRIu64 ",\"platform_up\":%s,"
	    "\"draining\":%s,\"leading\":%s,\"active\":%u,\"agents\":",
	    entry->settings->vm, entry->settings->failure_domain,
	    kwb_current_lists_revision(),
	    atomic_load(&entry->platform_up) ? "true" : "false",
	    atomic_load(&entry->draining) ? "true" : "false",
	    atomic_load(&entry->leading) ? "true" : "false",
	    atomic_load(&entry->active));
	peers_print_json(entry, &out);
	kwb_buf_printf(&out, "}\n");
	http_send(
	    connection, 200, "application/json", "", out.data, out.used_bytes);
	kwb_buf_finish(&out);
	return 200;
}

/*
 * Closes the connections of an entry that drains with their next answers, as a
 * request on a connection that is open at the end would get none.
 */
const char *
http_connection_header(struct mg_connection *connection)
{
	const struct kwb_entry *entry =
	    mg_get_user_data(mg_get_context(connection));

	if (!atomic_load(&entry->draining))
		return "";
	mg_disable_connection_keep_alive(connection);
	return "Connection: close\r\n";
}

/* Sends a whole answer. Each line of headers must end with CR LF. */
void
http_send(struct mg_connection *connection, int status,
    const char *content_type, const char *headers, const char *text,
    size_t length_bytes)
{
	mg_printf(connection,
	    "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n"
	    "%s%s\r\n",
	    status, mg_get_response_code_text(connection, status), content_type,
	    length_bytes, http_connection_header(connection), headers);
	mg_write(connection, text, length_bytes);
}
