/*
 * Calls of plain services, and tickets by which a caller can name a call before
 * it is made, so that it can be sent again without running twice.
 */
#include <stdio.h>
#include <string.h>

#include "http.h"

#define PATH_MAX_BYTES 1024

static bool call_read_name(struct exchange *exchange, struct call *call);
static void call_reply(
    struct exchange *exchange, const struct call_answer *answer);

/* Makes a call and sends its answer. A GET or HEAD is idempotent by default. */
void
http_call(struct exchange *exchange)
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

	snprintf(path, sizeof(path), "%s%s%s", exchange->subpath + 5,
	    query ? "?" : "", query ? query : "");
	call.content_type = mg_get_header(exchange->connection, "Content-Type");
	if (call.content_type == NULL)
		call.content_type = "application/octet-stream";
	rule = kwb_plan_match_rule(&exchange->plan, method, path);
	call.idempotent = rule
	    ? rule->idempotent
	    : strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0;
	call.deadline_ns = http_deadline(
	    exchange, rule ? rule->timeout_ms : KWB_CALL_TIMEOUT_MS);
	if (!call_read_name(exchange, &call))
		return;
	call_run(exchange->entry, &call, &answer);
	call_reply(exchange, &answer);
	kwb_buf_finish(&answer.body);
}

/* Makes a ticket: a new key, pinned to an agent that can take a call now. */
void
http_ticket(struct exchange *exchange)
{
	struct kwb_pin pin = {0};
	struct kwb_buf text;
	int error = call_pin_create(
	    exchange->entry, exchange->plan_name, exchange->plan.pool, &pin);

	if (error != 0) {
		http_refuse(exchange->connection, 503, KWB_OUTCOME_NOT_RUN,
		    error, exchange->id);
		return;
	}
	kwb_buf_init(&text);
	kwb_ticket_print(&pin, &text);
	http_send(exchange->connection, 200, "text/plain", "", text.data,
	    text.used_bytes);
	kwb_buf_finish(&text);
}

/*
 * Reads the ticket or key by which the caller named the call, if any. A ticket
 * contains its pin; a key's is stored in the platform's table, where it stays
 * the same for all entries. Refuses and returns false on error.
 */
static bool
call_read_name(struct exchange *exchange, struct call *call)
{
	struct mg_connection *connection = exchange->connection;
	const char *ticket = mg_get_header(connection, "X-Kwb-Ticket");
	const char *key = mg_get_header(connection, "Idempotency-Key");
	int length, error;

	if (ticket != NULL) {
		call->is_named = true;
		if (kwb_ticket_parse(&call->pin, ticket) == 0)
			return true;
		http_refuse(connection, 400, KWB_OUTCOME_NOT_RUN,
		    KWB_ERR_ARGUMENT, "malformed ticket");
		return false;
	}
	if (key == NULL)
		return true;
	call->is_named = true;
	length = snprintf(
	    call->pin.key, sizeof(call->pin.key), "c/%s/%s", call->plan, key);
	if (length >= (int)sizeof(call->pin.key) ||
	    strpbrk(key, " \t") != NULL || key[0] == '\0') {
		http_refuse(connection, 400, KWB_OUTCOME_NOT_RUN,
		    KWB_ERR_ARGUMENT, "malformed Idempotency-Key");
		return false;
	}
	error = call_pin_create(
	    exchange->entry, call->plan, call->pool, &call->pin);
	if (error == 0)
		error = kwb_pin_claim(
		    &exchange->entry->platform, call->plan, &call->pin);
	if (error == 0)
		return true;
	/* The key may have run before, and its pin can't be read now. */
	http_refuse(connection, 503, KWB_OUTCOME_UNKNOWN, error, exchange->id);
	return false;
}

/* Sends the answer of the service, or an error unless the call ran. */
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
	kwb_metric_add(KWB_METRIC_REQUESTS_RAN, 1);
	snprintf(headers, sizeof(headers),
	    "X-Kwb-Outcome: ran\r\nX-Kwb-Request: %s\r\n", exchange->id);
	http_send(exchange->connection, (int)answer->status,
	    answer->content_type[0] ? answer->content_type
				    : "application/octet-stream",
	    headers, kwb_buf_text(&answer->body), answer->body.used_bytes);
}
