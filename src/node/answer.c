/*
 * Writes answers to callers: an upstream's, passed on without its hop-by-hop
 * headers, or one of the node itself.
 */
#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "caller.h"

/* Headers that apply to one connection only; they are not passed on. */
static const char *const hop_by_hop_headers[] = {"Connection", "Keep-Alive",
    "Proxy-Connection", "Transfer-Encoding", "TE", "Trailer", "Upgrade",
    "Content-Length"};

static bool
is_hop_by_hop(const char *name)
{
	size_t i;

	for (i = 0;
	     i < sizeof(hop_by_hop_headers) / sizeof(hop_by_hop_headers[0]);
	     i++)
		if (strcasecmp(hop_by_hop_headers[i], name) == 0)
			return true;
	return false;
}

/* The status line, and "Connection: close" if it closes after the answer. */
static void
write_status_line(struct kwb_caller *caller, uint16_t status)
{
	struct evbuffer *out = kwb_conn_output(&caller->conn);

	if (caller->node->stop_deadline_ns != 0)
		caller->conn.message.keep_alive = false;
	evbuffer_add_printf(out, "HTTP/1.1 %u %s\r\n", status,
	    http_status_str((enum http_status)status));
	if (!caller->conn.message.keep_alive)
		evbuffer_add_printf(out, "Connection: close\r\n");
}

static const char *
text_or_dash(const char *text)
{
	return text != NULL && text[0] != '\0' ? text : "-";
}

/* Logs the answer to a request and counts its time in the histogram. */
static void
record_answer(const struct kwb_caller *caller, uint16_t status,
    const char *reason, const char *upstream)
{
	uint64_t elapsed_ns = kwb_clock_now_ns() - caller->started_ns;

	if (caller->port != CALLER_PORT_REQUESTS)
		return;
	kwb_histogram_observe(KWB_HISTOGRAM_CALLER, elapsed_ns);
	kwb_log(KWB_LOG_INFO, "caller",
	    "event=answered id=%s batch=%s route=%s status=%u reason=%s "
	    "upstream=%s workspace=%s config=%llu taken_ms=%llu",
	    caller->call.id ? caller->call.id : "-",
	    caller->call.batch[0] ? caller->call.batch : "-",
	    text_or_dash(caller->route), status, reason, text_or_dash(upstream),
	    text_or_dash(caller->workspace),
	    (unsigned long long)(caller->node->config
		    ? caller->node->config->version
		    : 0),
	    (unsigned long long)(elapsed_ns / KWB_MS_NS));
}

void
answer_body(struct kwb_caller *caller, uint16_t status, const char *type,
    const void *body, size_t body_bytes)
{
	struct evbuffer *out = kwb_conn_output(&caller->conn);

	write_status_line(caller, status);
	evbuffer_add_printf(out,
	    "Content-Type: %s\r\nContent-Length: %zu\r\n\r\n", type,
	    body_bytes);
	evbuffer_add(out, body, body_bytes);
	record_answer(caller, status, "own", "-");
	caller_finish_request(caller);
}

/* How long the store has not answered since the start of this node. */
static uint64_t
store_silence_ns(const struct kwb_node *node)
{
	uint64_t since_ns = node->store->last_answer_ns > node->started_ns
	    ? node->store->last_answer_ns
	    : node->started_ns;

	return kwb_clock_now_ns() - since_ns;
}

/* Seconds until a caller should retry; below 0 where that would not help. */
static double
retry_after_s(const struct kwb_caller *caller, uint16_t status)
{
	uint64_t left_ns = KWB_CALL_TIMEOUT_MS * KWB_MS_NS;

	if (status != 503 && status != 429)
		return -1;
	if (caller->node->stop_deadline_ns != 0)
		return 0.05; /* another node will serve it */
	if (caller->forward != NULL && caller->forward->return_ns != 0)
		return (double)caller->forward->return_ns / 1e9;
	if (caller->node->config != NULL)
		return 0.2;
	if (caller->call.deadline_ns != 0)
		left_ns = kwb_clock_remaining_ms(caller->call.deadline_ns) *
		    KWB_MS_NS;
	return (double)kwb_room_return_unready_ns(
		   store_silence_ns(caller->node), left_ns) /
	    1e9;
}

void
answer_error(struct kwb_caller *caller, uint16_t status, const char *reason)
{
	struct evbuffer *out = kwb_conn_output(&caller->conn);
	double after_s = retry_after_s(caller, status);
	char body[KWB_NAME_MAX_BYTES + 16];
	int length =
	    snprintf(body, sizeof(body), "{\"error\":\"%.63s\"}", reason);

	write_status_line(caller, status);
	if (after_s >= 0)
		evbuffer_add_printf(out, "Retry-After: %.3g\r\n", after_s);
	evbuffer_add_printf(out,
	    "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n",
	    length);
	if (strcmp(caller->conn.message.method, "HEAD") != 0)
		evbuffer_add(out, body, (size_t)length);
	record_answer(caller, status, reason, "-");
	caller_finish_request(caller);
}

static void
write_headers(struct kwb_caller *caller, const struct kwb_message *answer)
{
	struct evbuffer *out = kwb_conn_output(&caller->conn);
	uint32_t i;

	for (i = 0; i < answer->headers_count; i++)
		if (!is_hop_by_hop(kwb_message_header_name(answer, i)))
			evbuffer_add_printf(out, "%s: %s\r\n",
			    kwb_message_header_name(answer, i),
			    kwb_message_header_value(answer, i));
}

static void
body_free(const void *data, size_t bytes, void *context)
{
	(void)bytes;
	(void)context;
	free((void *)data);
}

/* Adds a body without a copy of it, and empties it. */
static void
write_body(struct evbuffer *out, struct kwb_buf *body)
{
	if (body->used_bytes <= KWB_BODY_COPY_MAX_BYTES ||
	    evbuffer_add_reference(
		out, body->data, body->used_bytes, body_free, NULL) != 0) {
		evbuffer_add(out, body->data, body->used_bytes);
		return;
	}
	kwb_buf_init(body);
}

void
answer_from_upstream(struct kwb_caller *caller, struct kwb_message *answer)
{
	struct evbuffer *out = kwb_conn_output(&caller->conn);
	bool is_head = strcmp(caller->conn.message.method, "HEAD") == 0;
	const char *content_length =
	    kwb_message_header(answer, "Content-Length");

	write_status_line(caller, answer->status);
	write_headers(caller, answer);
	if (is_head && content_length != NULL)
		evbuffer_add_printf(
		    out, "Content-Length: %s\r\n", content_length);
	else if (answer->status != 204 && answer->status != 304)
		evbuffer_add_printf(
		    out, "Content-Length: %zu\r\n", answer->body.used_bytes);
	evbuffer_add(out, "\r\n", 2);
	write_body(out, &answer->body);
	node_free_answers(caller->node);
	record_answer(
	    caller, answer->status, "upstream", caller->forward->upstream_id);
	caller_finish_request(caller);
}

void
answer_stream_begin(struct kwb_caller *caller, const struct kwb_message *answer)
{
	struct evbuffer *out = kwb_conn_output(&caller->conn);

	write_status_line(caller, answer->status);
	write_headers(caller, answer);
	evbuffer_add_printf(out, "Transfer-Encoding: chunked\r\n\r\n");
	record_answer(caller, answer->status, "stream_begins",
	    caller->forward->upstream_id);
}

void
answer_stream_data(struct kwb_caller *caller, struct kwb_buf *data)
{
	struct evbuffer *out = kwb_conn_output(&caller->conn);

	evbuffer_add_printf(out, "%zx\r\n", data->used_bytes);
	evbuffer_add(out, data->data, data->used_bytes);
	evbuffer_add(out, "\r\n", 2);
	data->used_bytes = 0;
	if (caller->unread_bytes > KWB_STREAM_UNREAD_BYTES)
		kwb_forward_set_paused(caller->forward, true);
}

void
answer_stream_end(struct kwb_caller *caller)
{
	evbuffer_add(kwb_conn_output(&caller->conn), "0\r\n\r\n", 5);
	record_answer(
	    caller, 200, "stream_whole", caller->forward->upstream_id);
	caller_finish_request(caller);
}
