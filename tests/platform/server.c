/*
 * Fakes of the platform's upstream servers. A plain one answers with the
 * request's body. A model server streams as many events as the body asks for,
 * "events=N", and resumes after the event that Last-Event-Id names.
 */
#include <event2/buffer.h>
#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "stage.h"

#define STALL_POLL_MS 20

/* An answer of a model server that is being sent. */
struct stream {
	struct testbed_server *server;
	struct recorded_run *run;
	unsigned next_event; /* to send, from 1 */
	unsigned event_count;
	bool skips_event;   /* event 3 is left out */
	bool is_truncated;  /* ends in the middle of event 3 */
	bool has_no_length; /* ends with the connection */
};

static const char *
request_header(const struct http_session *session, const char *name)
{
	const char *value = kwb_message_header(&session->conn.message, name);

	return value ? value : "";
}

/* Whether a header has a key's name, or a value like the keys of the tests. */
static bool
has_key(const struct kwb_message *message)
{
	uint32_t i;

	for (i = 0; i < message->headers_count; i++)
		if (strcasecmp(
			kwb_message_header_name(message, i), "Api-Key") == 0 ||
		    strstr(kwb_message_header_value(message, i),
			TESTBED_KEY_PREFIX) != NULL)
			return true;
	return false;
}

static void
record_run(struct testbed_server *server, const struct http_session *session,
    unsigned first_event)
{
	struct testbed *testbed = server->testbed;
	struct recorded_run *run = &testbed->runs[testbed->runs_count++];

	if (testbed->runs_count == RECORDED_RUNS_MAX)
		abort();
	kwb_text_copy(
	    run->id, sizeof(run->id), request_header(session, "Attempt-Id"));
	kwb_text_copy(run->prompt, sizeof(run->prompt),
	    request_header(session, "Prompt-Prefix"));
	kwb_text_copy(run->priority, sizeof(run->priority),
	    request_header(session, "Priority-Class"));
	kwb_text_copy(run->workspace, sizeof(run->workspace),
	    request_header(session, "Tenant"));
	run->has_key = has_key(&session->conn.message);
	kwb_text_copy(run->server, sizeof(run->server), server->name);
	run->first_event = first_event;
}

/* Returns the fault for the next request, and counts it. */
static enum server_fault
next_fault(struct testbed_server *server)
{
	enum server_fault fault = server->fault;

	if (server->fault_remaining > 0 && --server->fault_remaining == 0) {
		server->fault = server->fault_then;
		server->fault_then = SERVER_FAULT_NONE;
		server->fault_remaining = server->fault != SERVER_FAULT_NONE;
	}
	return fault;
}

static const char *
leaving_header(const struct testbed_server *server)
{
	return server->is_leaving ? "Server-Leaving: 1\r\n" : "";
}

static void
format_common_headers(char *out, size_t out_capacity,
    const struct http_session *session, bool has_receipt)
{
	const struct testbed_server *server = session->listener->context;
	int length = snprintf(out, out_capacity,
	    "Attempt-Id: %s\r\nServer-Load: %u,0,%u\r\n%s",
	    request_header(session, "Attempt-Id"), server->streams_open,
	    server->slots, leaving_header(server));

	if (has_receipt)
		snprintf(out + length, out_capacity - (size_t)length,
		    "Server-Stamp: stamp-%s-%s\r\n", server->name,
		    request_header(session, "Attempt-Id"));
}

/* Answers as the fault says; false if it doesn't replace the answer. */
static bool
try_answer_with_fault(struct http_session *session, enum server_fault fault)
{
	struct testbed_server *server = session->listener->context;
	char headers[512];
	char text[640];
	int length;
	const struct kwb_buf *body = &session->conn.message.body;
	struct evbuffer *out = kwb_conn_output(&session->conn);

	format_common_headers(headers, sizeof(headers), session, true);
	switch (fault) {
	case SERVER_FAULT_500:
		http_session_answer(session, 500, headers, "", 0);
		return true;
	case SERVER_FAULT_422:
		http_session_answer(session, 422, headers, "", 0);
		return true;
	case SERVER_FAULT_WRONG_422:
		http_session_answer(
		    session, 422, "Attempt-Id: another\r\n", "", 0);
		return true;
	case SERVER_FAULT_RESET:
		http_session_close(session, true);
		return true;
	case SERVER_FAULT_SILENT:
		return true;
	case SERVER_FAULT_WRONG_ID:
		http_session_answer(session, 200,
		    server->is_leaving
			? "Attempt-Id: another\r\nServer-Stamp: stamp-x\r\n"
			  "Server-Leaving: 1\r\n"
			: "Attempt-Id: another\r\nServer-Stamp: stamp-x\r\n",
		    "no", 2);
		return true;
	case SERVER_FAULT_TRUNCATE:
		evbuffer_add_printf(out,
		    "HTTP/1.1 200 OK\r\n%sContent-Length: 100\r\n\r\nhalf",
		    headers);
		kwb_conn_close_when_written(&session->conn);
		return true;
	case SERVER_FAULT_EXTRA_ANSWER:
		evbuffer_add_printf(out,
		    "HTTP/1.1 200 OK\r\n%sContent-Length: %zu\r\n\r\n", headers,
		    body->used_bytes);
		evbuffer_add(out, body->data, body->used_bytes);
		evbuffer_add_printf(out,
		    "HTTP/1.1 200 OK\r\nServer-Stamp: stamp-y\r\n"
		    "Content-Length: 5\r\n\r\nextra");
		kwb_conn_read_next(&session->conn);
		return true;
	case SERVER_FAULT_NO_LENGTH:
		evbuffer_add_printf(
		    out, "HTTP/1.1 200 OK\r\n%s\r\nto the end", headers);
		kwb_conn_close_when_written(&session->conn);
		return true;
	case SERVER_FAULT_NOT_HTTP:
		evbuffer_add_printf(out, "this is no HTTP\r\n\r\n");
		kwb_conn_close_when_written(&session->conn);
		return true;
	case SERVER_FAULT_ERROR_TEXT:
		http_session_answer(session, 500, headers,
		    "id: 9\ndata: error\n\n", strlen("id: 9\ndata: error\n\n"));
		return true;
	case SERVER_FAULT_ERROR_PAGE:
		http_session_answer(session, 200, "Content-Type: text/html\r\n",
		    "an\n\nerror\n\n", strlen("an\n\nerror\n\n"));
		return true;
	case SERVER_FAULT_CUT_HEAD:
		evbuffer_add_printf(
		    out, "HTTP/1.1 200 OK\r\n%sContent-Ty", headers);
		kwb_conn_close_when_written(&session->conn);
		return true;
	case SERVER_FAULT_CUT_ANYWHERE:
		length = snprintf(text, sizeof(text),
		    "HTTP/1.1 200 OK\r\n%sContent-Length: 1\r\n\r\n", headers);
		evbuffer_add(
		    out, text, server->cut_count++ % ((size_t)length - 1) + 1);
		kwb_conn_close_when_written(&session->conn);
		return true;
	case SERVER_FAULT_CUT_STATUS:
		evbuffer_add_printf(out, "HTTP/1.1 200 OK\r\n");
		kwb_conn_close_when_written(&session->conn);
		return true;
	case SERVER_FAULT_NO_RECEIPT:
		http_session_answer(session, 200, "", "none", 4);
		return true;
	default:
		return false;
	}
}

/* Answers that the request has not run, and why; false if it may run. */
static bool
try_refuse(struct http_session *session, enum server_fault fault)
{
	const struct testbed_server *server = session->listener->context;
	const char *expected = request_header(session, "Expect-Instance");
	const char *version = request_header(session, "Expect-Version");
	char headers[256];

	if (fault == SERVER_FAULT_MISDIRECTED ||
	    (expected[0] != '\0' && strcmp(expected, server->name) != 0)) {
		http_session_answer(session, 421,
		    server->is_leaving
			? "Instance-Id: other\r\nServer-Leaving: 1\r\n"
			: "Instance-Id: other\r\n",
		    "", 0);
		return true;
	}
	if (version[0] != '\0' &&
	    strtoull(version, NULL, 10) != server->version) {
		http_session_answer(session, 421, "", "", 0);
		return true;
	}
	if (fault != SERVER_FAULT_REFUSE &&
	    kwb_clock_now_ns() >= server->loading_until_ns)
		return false;
	snprintf(headers, sizeof(headers),
	    "Not-Executed: 1\r\nAttempt-Id: %s\r\n%s",
	    request_header(session, "Attempt-Id"), leaving_header(server));
	http_session_answer(session, 503, headers, "", 0);
	return true;
}

/* ---- Endless answers
 * -------------------------------------------------------- */

#define ENDLESS_WRITE_BYTES 32768 /* buffered at a time */

/* Replaces the timer of an earlier answer on a kept connection. */
static void
session_start_timer(struct http_session *session,
    void (*on_time)(int fd, short what, void *context), uint64_t deadline_ns)
{
	if (session->timer != NULL)
		event_free(session->timer);
	session->timer =
	    kwb_timer_new(session->listener->base, on_time, session);
	kwb_timer_arm(session->timer, deadline_ns);
}

#define COMMENT_INTERVAL_MS 100

static void
comment_on_timer(int fd, short what, void *context)
{
	struct http_session *session = context;

	(void)fd;
	(void)what;
	evbuffer_add_printf(kwb_conn_output(&session->conn), ":\n");
	kwb_timer_arm(session->timer,
	    kwb_clock_now_ns() + COMMENT_INTERVAL_MS * KWB_MS_NS);
}

#define ENDLESS_EVENT_BYTES 1000
#define ENDLESS_FAST_WRITES 160 /* then slow ones; 5 MB */

/* After the first writes, a byte at a time. */
static void
endless_slow_down(struct http_session *session)
{
	if (session->endless_event++ < ENDLESS_FAST_WRITES) {
		kwb_timer_arm(session->timer, kwb_clock_now_ns() + KWB_MS_NS);
		return;
	}
	session->endless_fault = SERVER_FAULT_COMMENTS_ONLY;
	session_start_timer(session, comment_on_timer, 0);
}

static void
endless_on_timer(int fd, short what, void *context)
{
	static char bytes[ENDLESS_WRITE_BYTES];
	struct http_session *session = context;
	struct evbuffer *out = kwb_conn_output(&session->conn);

	(void)fd;
	(void)what;
	memset(bytes, '1', sizeof(bytes));
	while (evbuffer_get_length(out) < sizeof(bytes)) {
		if (session->endless_fault == SERVER_FAULT_ENDLESS_EVENTS)
			evbuffer_add_printf(out, "id: %u\ndata: %.*s\n\n",
			    ++session->endless_event, ENDLESS_EVENT_BYTES,
			    bytes);
		else if (session->endless_fault == SERVER_FAULT_ENDLESS_INTERIM)
			evbuffer_add_printf(
			    out, "HTTP/1.1 103 Early Hints\r\n\r\n");
		else
			evbuffer_add(out, bytes, sizeof(bytes));
	}
	if (session->endless_fault == SERVER_FAULT_ENDLESS_SLOW) {
		endless_slow_down(session);
		return;
	}
	kwb_timer_arm(session->timer, kwb_clock_now_ns() + KWB_MS_NS);
}

/* Starts an answer that never ends; false if the fault is another one. */
static bool
try_answer_endlessly(struct http_session *session, enum server_fault fault)
{
	struct evbuffer *out = kwb_conn_output(&session->conn);
	char headers[512];

	if (fault < SERVER_FAULT_ENDLESS_HEAD)
		return false;
	session->endless_fault = (int)fault;
	session->endless_event = 0;
	format_common_headers(headers, sizeof(headers), session, true);
	if (fault == SERVER_FAULT_ENDLESS_EVENTS)
		evbuffer_add_printf(out,
		    "HTTP/1.1 200 OK\r\n%sWeight-Versions: 1\r\n"
		    "Content-Type: text/event-stream\r\n\r\n",
		    headers);
	else if (fault != SERVER_FAULT_ENDLESS_INTERIM)
		evbuffer_add_printf(out, "HTTP/1.1 200 OK\r\n%s%s", headers,
		    fault == SERVER_FAULT_ENDLESS_HEAD ? "X-Long: "
			: fault == SERVER_FAULT_ENDLESS_BODY ||
			    fault == SERVER_FAULT_ENDLESS_SLOW
			? "\r\n"
			: fault == SERVER_FAULT_ENDLESS_CHUNK_SIZE
			? "Transfer-Encoding: chunked\r\n\r\n1;"
			: "Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
			  "\r\nid: 1\ndata: ");
	session_start_timer(session,
	    fault == SERVER_FAULT_COMMENTS_ONLY ? comment_on_timer
						: endless_on_timer,
	    0);
	return true;
}

/* ---- Streams ----------------------------------------------------------------
 */

static void
stream_write(
    const struct stream *stream, struct evbuffer *out, const char *text)
{
	if (stream->has_no_length)
		evbuffer_add_printf(out, "%s", text);
	else
		evbuffer_add_printf(out, "%zx\r\n%s\r\n", strlen(text), text);
}

/* The copy of a stream has one event, which the stream didn't have. */
static void
stream_keep_copy(struct http_session *session, const struct stream *stream)
{
	const char *event = "id: 1\ndata: copied\n\n";

	if (!session->keeps_copy)
		return;
	session->keeps_copy = false;
	session->late_copy = evbuffer_new();
	evbuffer_add_printf(session->late_copy,
	    "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: stamp-copy\r\n"
	    "Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    stream->run->id, strlen(event), event);
}

static void
stream_on_timer(int fd, short what, void *context)
{
	struct http_session *session = context;
	struct stream *stream = session->handler_state;
	struct evbuffer *out = kwb_conn_output(&session->conn);
	char text[128];

	(void)fd;
	(void)what;
	if (stream->server->fault == SERVER_FAULT_STALL) {
		kwb_timer_arm(session->timer,
		    kwb_clock_now_ns() + STALL_POLL_MS * KWB_MS_NS);
		return;
	}
	if (stream->skips_event && stream->next_event == 3)
		stream->next_event++;
	if (stream->is_truncated && stream->next_event == 3) {
		stream_write(
		    stream, out, "id: 3\nda"); /* in the middle of an event */
		kwb_conn_close_when_written(&session->conn);
		return;
	}
	if (stream->next_event > stream->event_count && stream->has_no_length) {
		session->listener->on_close(session);
		kwb_conn_close_when_written(&session->conn);
		return;
	}
	if (stream->next_event > stream->event_count) {
		evbuffer_add_printf(out, "0\r\n\r\n");
		stream_keep_copy(session, stream);
		session->listener->on_close(session);
		kwb_conn_read_next(&session->conn);
		return;
	}
	snprintf(text, sizeof(text), "id: %u\ndata: word%u\n\n",
	    stream->next_event, stream->next_event);
	stream_write(stream, out, text);
	stream->run->last_event = stream->next_event;
	stream->next_event++;
	kwb_timer_arm(session->timer,
	    kwb_clock_now_ns() + stream->server->pace_ms * KWB_MS_NS);
}

static void
stream_start(struct http_session *session, enum server_fault fault)
{
	struct testbed_server *server = session->listener->context;
	struct stream *stream = calloc(1, sizeof(*stream));
	const char *last_event_id = request_header(session, "Last-Event-Id");
	char headers[512];

	stream->server = server;
	stream->next_event = fault == SERVER_FAULT_RESTART_STREAM
	    ? 1
	    : (unsigned)atoi(last_event_id) + 1;
	stream->event_count = 4;
	stream->skips_event = fault == SERVER_FAULT_SKIP_EVENT;
	stream->is_truncated = fault == SERVER_FAULT_TRUNCATE ||
	    fault == SERVER_FAULT_CUT_NO_LENGTH;
	stream->has_no_length = fault == SERVER_FAULT_STREAM_NO_LENGTH ||
	    fault == SERVER_FAULT_CUT_NO_LENGTH;
	sscanf(kwb_buf_text(&session->conn.message.body), "events=%u",
	    &stream->event_count);
	record_run(server, session, stream->next_event);
	stream->run = &server->testbed->runs[server->testbed->runs_count - 1];
	server->streams_open++;
	session->handler_state = stream;
	format_common_headers(headers, sizeof(headers), session, true);
	evbuffer_add_printf(kwb_conn_output(&session->conn),
	    "HTTP/1.1 200 OK\r\n%sWeight-Versions: %llu\r\n"
	    "Content-Type: text/event-stream\r\n%s\r\n",
	    headers, (unsigned long long)server->version,
	    stream->has_no_length ? "" : "Transfer-Encoding: chunked\r\n");
	session_start_timer(session, stream_on_timer,
	    kwb_clock_now_ns() + server->pace_ms * KWB_MS_NS);
}

static void
server_on_close(struct http_session *session)
{
	struct stream *stream = session->handler_state;

	if (stream != NULL)
		stream->server->streams_open--;
	free(stream);
	session->handler_state = NULL;
}

/* ---- Weight orders and reports
 * ---------------------------------------------- */

/* Of answers that belong to no request's id. */
static void
format_own_headers(
    char *out, size_t out_capacity, const struct testbed_server *server)
{
	snprintf(out, out_capacity, "Instance-Id: %s\r\n%s", server->name,
	    leaving_header(server));
}

static void
record_order(struct testbed_server *server, const json_t *body, uint64_t fence)
{
	struct testbed *testbed = server->testbed;
	struct recorded_order *order =
	    &testbed->orders[testbed->orders_count++];

	if (testbed->orders_count == RECORDED_ORDERS_MAX)
		abort();
	order->server = server;
	order->fence = fence;
	order->received_ns = kwb_clock_now_ns();
	kwb_text_copy(order->holder, sizeof(order->holder),
	    json_string_value(json_object_get(body, "holder")));
}

static void
serve_order(struct http_session *session)
{
	struct testbed_server *server = session->listener->context;
	const struct kwb_buf *text = &session->conn.message.body;
	json_t *body = json_loadb(text->data, text->used_bytes, 0, NULL);
	uint64_t fence =
	    (uint64_t)json_integer_value(json_object_get(body, "fence"));
	uint64_t version =
	    (uint64_t)json_integer_value(json_object_get(body, "version"));
	uint64_t seq =
	    (uint64_t)json_integer_value(json_object_get(body, "expected-rev"));
	unsigned status = 202;
	char headers[128];

	record_order(server, body, fence);
	if (fence < server->fence && !server->ignores_fences)
		status = 412;
	else if (seq != server->seq ||
	    kwb_clock_now_ns() < server->loading_until_ns)
		status = 409;
	else if (version == server->version)
		status = 200;
	if (fence > server->fence)
		server->fence = fence;
	if (status == 202) {
		server->seq++;
		server->orders_accepted++;
		server->version = version;
		server->loading_until_ns =
		    kwb_clock_now_ns() + server->load_duration_ms * KWB_MS_NS;
	}
	json_decref(body);
	format_own_headers(headers, sizeof(headers), server);
	http_session_answer(session, status, headers, "", 0);
}

static void
serve_report(struct http_session *session)
{
	const struct testbed_server *server = session->listener->context;
	char text[256];
	char headers[128];
	int length = snprintf(text, sizeof(text),
	    "{\"models\":[{\"name\":\"m\",\"version\":%llu}],"
	    "\"busy\":%s,\"seq\":%llu,\"running\":%u,\"queued\":0}",
	    (unsigned long long)server->version,
	    kwb_clock_now_ns() < server->loading_until_ns ? "true" : "false",
	    (unsigned long long)server->seq, server->streams_open);

	format_own_headers(headers, sizeof(headers), server);
	http_session_answer(session, 200, headers, text, (size_t)length);
}

/* Sends the late copy of an earlier answer, and plans one of this one. */
static void
send_late_copy(struct http_session *session)
{
	struct testbed_server *server = session->listener->context;

	if (session->late_copy != NULL) {
		evbuffer_add_buffer(
		    kwb_conn_output(&session->conn), session->late_copy);
		evbuffer_free(session->late_copy);
		session->late_copy = NULL;
	}
	session->keeps_copy = server->copies_remaining > 0;
	server->copies_remaining -= session->keeps_copy;
}

static void
server_on_request(struct http_session *session)
{
	struct testbed_server *server = session->listener->context;
	const struct kwb_buf *body = &session->conn.message.body;
	const char *target = kwb_message_target(&session->conn.message);
	enum server_fault fault;
	char headers[512];

	send_late_copy(session);
	if (strcmp(target, "/order") == 0) {
		serve_order(session);
		return;
	}
	if (strcmp(target, "/report") == 0) {
		serve_report(session);
		return;
	}
	fault = next_fault(server);
	if (try_refuse(session, fault))
		return;
	if (server->is_model_server &&
	    (fault == SERVER_FAULT_NONE || fault == SERVER_FAULT_SKIP_EVENT ||
		fault == SERVER_FAULT_TRUNCATE ||
		fault == SERVER_FAULT_STREAM_NO_LENGTH ||
		fault == SERVER_FAULT_CUT_NO_LENGTH ||
		fault == SERVER_FAULT_RESTART_STREAM ||
		fault == SERVER_FAULT_STALL)) {
		stream_start(session, fault);
		return;
	}
	record_run(server, session, 0);
	if (try_answer_endlessly(session, fault))
		return;
	if (try_answer_with_fault(session, fault))
		return;
	format_common_headers(headers, sizeof(headers), session, true);
	http_session_answer(
	    session, 200, headers, body->data, body->used_bytes);
}

void
testbed_server_publish(struct testbed_server *server)
{
	const struct kwb_address *address = server->advertised.port != 0
	    ? &server->advertised
	    : &server->port.address;
	char text[512];

	snprintf(text, sizeof(text),
	    "{\"service\":\"%s\",\"addr\":\"%s:%u\",\"zone\":\"z1\","
	    "\"version\":\"v1\",\"slots\":%u,\"state\":\"%s\",\"seq\":%llu,"
	    "\"born\":%llu%s",
	    server->service, address->ip, address->port, server->slots,
	    server->is_draining ? "draining" : "ready",
	    (unsigned long long)server->seq,
	    (unsigned long long)server->born_ms,
	    server->is_model_server ? "" : "}");
	if (server->is_model_server)
		snprintf(text + strlen(text), sizeof(text) - strlen(text),
		    ",\"models\":[{\"name\":\"m\",\"version\":%llu}]}",
		    (unsigned long long)server->version);
	testbed_store_put(
	    &server->testbed->store, "servers", server->name, text);
	server->is_published = true;
}

void
testbed_server_open(struct testbed_server *server, struct testbed *testbed)
{
	server->testbed = testbed;
	server->born_ms = 1700000000000;
	if (http_listener_open(&server->port, testbed->base, server_on_request,
		server_on_close, server) != 0)
		abort();
	if (server->has_path) {
		if (proxy_open(&server->path, testbed->base,
			&server->port.address) != 0)
			abort();
		server->advertised = server->path.address;
	}
	testbed_server_publish(server);
}
