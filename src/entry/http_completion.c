/*
 * Interactive answers, streamed token by token or sent whole. When an upstream
 * fails in the middle, the answer is resumed on another agent; when all agents
 * are full, it is queued.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "http.h"

static void completion_run(
    struct exchange *exchange, struct generation *generation, bool stream);
static int completion_start(struct exchange *exchange,
    struct generation *generation, uint32_t *retries);
static void completion_send_tokens(
    struct exchange *exchange, struct generation *generation, uint32_t first);
static void completion_send_whole(
    struct exchange *exchange, const struct generation *generation);

/* Reads the request's JSON, generates the answer and sends it. */
void
http_completion(struct exchange *exchange)
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
	generation.deadline_ns = http_deadline(exchange, KWB_CALL_TIMEOUT_MS);
	generation.slack_deadline_ns = generation.deadline_ns;
	completion_run(exchange, &generation,
	    json_is_true(json_object_get(root, "stream")));
	generation_finish(exchange->entry, &generation);
	inbox_finish(&inbox);
	json_decref(root);
}

/*
 * Generates until the end, with restarts after failures. The HTTP status of a
 * stream is sent with its first tokens; a later error is an event of the
 * stream.
 */
static void
completion_run(
    struct exchange *exchange, struct generation *generation, bool stream)
{
	struct mg_connection *connection = exchange->connection;
	uint32_t sent = 0, retries_count = 0;
	struct event *event;
	bool has_begun = false;
	int error;

	while (generation->state != GENERATION_DONE) {
		error = 0;
		if (generation->state == GENERATION_PENDING)
			error = completion_start(
			    exchange, generation, &retries_count);
		if (error != 0 && !has_begun) {
			http_refuse(connection,
			    error == KWB_ERR_ROUTE_FULL ? 429 : 503,
			    generation->starts_count > 0 ? KWB_OUTCOME_UNKNOWN
							 : KWB_OUTCOME_NOT_RUN,
			    error, exchange->id);
			return;
		}
		if (error != 0)
			break;
		event = inbox_wait(generation->inbox, generation->deadline_ns);
		if (event != NULL) {
			generation_handle_event(
			    exchange->entry, generation, event);
			inbox_event_free(event);
		}
		if (!stream || generation->tokens.count == sent)
			continue;
		if (!has_begun)
			mg_printf(connection,
			    "HTTP/1.1 200 OK\r\nContent-Type: "
			    "text/event-stream\r\nX-Kwb-Request: %s\r\n"
			    "Transfer-Encoding: chunked\r\n%s\r\n",
			    exchange->id, http_connection_header(connection));
		has_begun = true;
		completion_send_tokens(exchange, generation, sent);
		sent = generation->tokens.count;
	}
	if (!has_begun) {
		completion_send_whole(exchange, generation);
		return;
	}
	if (generation->state == GENERATION_DONE) {
		static const char end[] =
		    "data: {\"finish\":\"stop\"}\n\ndata: [DONE]\n\n";

		mg_send_chunk(connection, end, sizeof(end) - 1);
		kwb_metric_add(KWB_METRIC_REQUESTS_RAN, 1);
	} else {
		static const char end[] = "data: {\"error\":\"deadline\","
					  "\"outcome\":\"unknown\"}\n\n";

		mg_send_chunk(connection, end, sizeof(end) - 1);
		kwb_metric_add(KWB_METRIC_REQUESTS_UNKNOWN, 1);
	}
	mg_send_chunk(connection, "", 0);
}

/*
 * Starts or resumes the generation. If no agent can take it, waits in the
 * plan's queue, which is limited, until the deadline. Restarts count as retries
 * of the plan, which are limited, too, except the first restart and those after
 * a busy agent. Returns 0 or a KWB_ERR_ number; in the loop -1 means to try
 * again.
 */
static int
completion_start(
    struct exchange *exchange, struct generation *generation, uint32_t *retries)
{
	struct plan_state *plan_state =
	    entry_plan_state(exchange->entry, exchange->plan_name);
	int error;

	if (generation->starts_count == 0)
		kwb_retry_budget_add_try(&plan_state->retry_budget);
	else if (generation->error != KWB_ERR_CALL_BUSY && (*retries)++ > 0 &&
	    !kwb_retry_budget_take(&plan_state->retry_budget))
		return KWB_ERR_ROUTE_FULL;
	error = generation_start(exchange->entry, generation);
	if (error == 0)
		return 0;
	if (atomic_fetch_add(&plan_state->queue_length, 1) >=
	    exchange->queue_max)
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
	atomic_fetch_sub(&plan_state->queue_length, 1);
	return error;
}

/* Sends tokens, beginning at first; the deadline is 0 if the caller is gone. */
static void
completion_send_tokens(
    struct exchange *exchange, struct generation *generation, uint32_t first)
{
	struct kwb_buf out;
	uint32_t i;

	kwb_buf_init(&out);
	for (i = first; i < generation->tokens.count; i++) {
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
completion_send_whole(
    struct exchange *exchange, const struct generation *generation)
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
	http_send(exchange->connection, 200, "application/json", headers, text,
	    strlen(text));
	kwb_metric_add(KWB_METRIC_REQUESTS_RAN, 1);
	free(text);
	json_decref(root);
}
