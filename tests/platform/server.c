/*
 * Stand-in of the platform's servers. A plain one answers with the request's
 * body; a model server streams as many events as the body asks for, "events=N",
 * and resumes where it is told to.
 */
#include <event2/buffer.h>
#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "stage.h"

#define STALL_LOOK_MS 20

struct stream {
	struct stage_server *server;
	struct stage_run *run;
	unsigned next; /* event to send */
	unsigned total;
	bool skips;
	bool cut;
};

static const char *
header(const struct stage_peer *peer, const char *name)
{
	const char *value = kwb_message_header(&peer->conn.message, name);

	return value ? value : "";
}

static void
note_run(
    struct stage_server *server, const struct stage_peer *peer, unsigned from)
{
	struct stage *stage = server->stage;
	struct stage_run *run = &stage->runs[stage->runs_count++];

	if (stage->runs_count == STAGE_RUNS_MAX)
		abort();
	kwb_text_copy(run->id, sizeof(run->id), header(peer, "Attempt-Id"));
	kwb_text_copy(
	    run->prompt, sizeof(run->prompt), header(peer, "Prompt-Prefix"));
	kwb_text_copy(run->priority, sizeof(run->priority),
	    header(peer, "Priority-Class"));
	kwb_text_copy(run->server, sizeof(run->server), server->name);
	run->from = from;
}

static enum server_fault
take_fault(struct stage_server *server)
{
	enum server_fault fault = server->fault;

	if (server->fault_left > 0 && --server->fault_left == 0)
		server->fault = SERVER_OK;
	return fault;
}

static void
common_headers(
    char *out, size_t room_bytes, const struct stage_peer *peer, bool receipt)
{
	const struct stage_server *server = peer->port->context;
	int length = snprintf(out, room_bytes,
	    "Attempt-Id: %s\r\nServer-Load: %u,0,%u\r\n",
	    header(peer, "Attempt-Id"), server->running, server->slots);

	if (receipt)
		snprintf(out + length, room_bytes - (size_t)length,
		    "Server-Stamp: stamp-%s-%s\r\n", server->name,
		    header(peer, "Attempt-Id"));
}

/* Faults that take the place of an answer; false when there is none. */
static bool
answer_fault(struct stage_peer *peer, enum server_fault fault)
{
	char headers[512];
	const struct kwb_buf *body = &peer->conn.message.body;
	struct evbuffer *out = kwb_conn_output(&peer->conn);

	common_headers(headers, sizeof(headers), peer, true);
	switch (fault) {
	case SERVER_ERROR:
		peer_answer(peer, 500, headers, "", 0);
		return true;
	case SERVER_NEVER:
		peer_answer(peer, 422, headers, "", 0);
		return true;
	case SERVER_RESET:
		peer_close(peer, true);
		return true;
	case SERVER_SILENT:
		return true;
	case SERVER_OTHER_ID:
		peer_answer(peer, 200,
		    "Attempt-Id: another\r\nServer-Stamp: stamp-x\r\n", "no",
		    2);
		return true;
	case SERVER_CUT:
		evbuffer_add_printf(out,
		    "HTTP/1.1 200 OK\r\n%sContent-Length: 100\r\n\r\nhalf",
		    headers);
		kwb_conn_close_when_written(&peer->conn);
		return true;
	case SERVER_EXTRA:
		evbuffer_add_printf(out,
		    "HTTP/1.1 200 OK\r\n%sContent-Length: %zu\r\n\r\n", headers,
		    body->used_bytes);
		evbuffer_add(out, body->data, body->used_bytes);
		evbuffer_add_printf(out,
		    "HTTP/1.1 200 OK\r\nServer-Stamp: stamp-y\r\n"
		    "Content-Length: 5\r\n\r\nextra");
		kwb_conn_read_next(&peer->conn);
		return true;
	case SERVER_UNFRAMED:
		evbuffer_add_printf(
		    out, "HTTP/1.1 200 OK\r\n%s\r\nto the end", headers);
		kwb_conn_close_when_written(&peer->conn);
		return true;
	case SERVER_GARBAGE:
		evbuffer_add_printf(out, "this is no HTTP\r\n\r\n");
		kwb_conn_close_when_written(&peer->conn);
		return true;
	case SERVER_NO_RECEIPT:
		peer_answer(peer, 200, "", "none", 4);
		return true;
	default:
		return false;
	}
}

/* Says that the request has not run, and why; false when it may run. */
static bool
refuses(struct stage_peer *peer, enum server_fault fault)
{
	const struct stage_server *server = peer->port->context;
	const char *expected = header(peer, "Expect-Instance");
	const char *version = header(peer, "Expect-Version");
	char headers[256];

	if (fault == SERVER_MISDIRECTED ||
	    (expected[0] != '\0' && strcmp(expected, server->name) != 0)) {
		peer_answer(peer, 421, "Instance-Id: other\r\n", "", 0);
		return true;
	}
	if (version[0] != '\0' &&
	    strtoull(version, NULL, 10) != server->version) {
		peer_answer(peer, 421, "", "", 0);
		return true;
	}
	if (fault != SERVER_REFUSE &&
	    kwb_clock_now_ns() >= server->loading_until_ns)
		return false;
	snprintf(headers, sizeof(headers),
	    "Not-Executed: 1\r\nAttempt-Id: %s\r\n",
	    header(peer, "Attempt-Id"));
	peer_answer(peer, 503, headers, "", 0);
	return true;
}

/* ---- Bytes without end -----------------------------------------------------
 */

#define POUR_BYTES 32768 /* at a time, while the other side reads */

/* A kept connection may have had another answer in pieces before. */
static void
peer_timer(struct stage_peer *peer,
    void (*on_time)(int fd, short what, void *context), uint64_t deadline_ns)
{
	if (peer->timer != NULL)
		event_free(peer->timer);
	peer->timer = kwb_timer_new(peer->port->base, on_time, peer);
	kwb_timer_arm(peer->timer, deadline_ns);
}

#define TRICKLE_MS 100

static void
trickle_time(int fd, short what, void *context)
{
	struct stage_peer *peer = context;

	(void)fd;
	(void)what;
	evbuffer_add_printf(kwb_conn_output(&peer->conn), ":\n");
	kwb_timer_arm(peer->timer, kwb_clock_now_ns() + TRICKLE_MS * KWB_MS_NS);
}

static void
pour_time(int fd, short what, void *context)
{
	static char bytes[POUR_BYTES];
	struct stage_peer *peer = context;
	struct evbuffer *out = kwb_conn_output(&peer->conn);

	(void)fd;
	(void)what;
	memset(bytes, '1', sizeof(bytes));
	if (evbuffer_get_length(out) < sizeof(bytes))
		evbuffer_add(out, bytes, sizeof(bytes));
	kwb_timer_arm(peer->timer, kwb_clock_now_ns() + KWB_MS_NS);
}

static bool
pours(struct stage_peer *peer, enum server_fault fault)
{
	struct evbuffer *out = kwb_conn_output(&peer->conn);
	char headers[512];

	if (fault < SERVER_POUR_HEAD)
		return false;
	common_headers(headers, sizeof(headers), peer, true);
	evbuffer_add_printf(out, "HTTP/1.1 200 OK\r\n%s%s", headers,
	    fault == SERVER_POUR_HEAD	    ? "X-Long: "
		: fault == SERVER_POUR_BODY ? "\r\n"
		: fault == SERVER_POUR_CHUNK
		? "Transfer-Encoding: chunked\r\n\r\n1;"
		: "Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
		  "\r\nid: 1\ndata: ");
	peer_timer(peer, fault == SERVER_TRICKLE ? trickle_time : pour_time, 0);
	return true;
}

/* ---- Streams ----------------------------------------------------------------
 */

static void
chunk(struct evbuffer *out, const char *text)
{
	evbuffer_add_printf(out, "%zx\r\n%s\r\n", strlen(text), text);
}

static void
stream_time(int fd, short what, void *context)
{
	struct stage_peer *peer = context;
	struct stream *stream = peer->work;
	struct evbuffer *out = kwb_conn_output(&peer->conn);
	char text[128];

	(void)fd;
	(void)what;
	if (stream->server->fault == SERVER_STALL) {
		kwb_timer_arm(peer->timer,
		    kwb_clock_now_ns() + STALL_LOOK_MS * KWB_MS_NS);
		return;
	}
	if (stream->skips && stream->next == 3)
		stream->next++;
	if (stream->cut && stream->next == 3) {
		chunk(out, "id: 3\nda"); /* in the middle of an event */
		kwb_conn_close_when_written(&peer->conn);
		return;
	}
	if (stream->next > stream->total) {
		evbuffer_add_printf(out, "0\r\n\r\n");
		peer->port->on_gone(peer);
		kwb_conn_read_next(&peer->conn);
		return;
	}
	snprintf(text, sizeof(text), "id: %u\ndata: word%u\n\n", stream->next,
	    stream->next);
	chunk(out, text);
	stream->run->sent = stream->next;
	stream->next++;
	kwb_timer_arm(peer->timer,
	    kwb_clock_now_ns() + stream->server->pace_ms * KWB_MS_NS);
}

static void
stream_begin(struct stage_peer *peer, enum server_fault fault)
{
	struct stage_server *server = peer->port->context;
	struct stream *stream = calloc(1, sizeof(*stream));
	const char *resume = header(peer, "Last-Event-Id");
	char headers[512];

	stream->server = server;
	stream->next = (unsigned)atoi(resume) + 1;
	stream->total = 4;
	stream->skips = fault == SERVER_SKIP;
	stream->cut = fault == SERVER_CUT;
	sscanf(kwb_buf_text(&peer->conn.message.body), "events=%u",
	    &stream->total);
	note_run(server, peer, stream->next);
	stream->run = &server->stage->runs[server->stage->runs_count - 1];
	server->running++;
	peer->work = stream;
	common_headers(headers, sizeof(headers), peer, true);
	evbuffer_add_printf(kwb_conn_output(&peer->conn),
	    "HTTP/1.1 200 OK\r\n%sWeight-Versions: %llu\r\n"
	    "Content-Type: text/event-stream\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n",
	    headers, (unsigned long long)server->version);
	peer_timer(peer, stream_time,
	    kwb_clock_now_ns() + server->pace_ms * KWB_MS_NS);
}

static void
on_gone(struct stage_peer *peer)
{
	struct stream *stream = peer->work;

	if (stream != NULL)
		stream->server->running--;
	free(stream);
	peer->work = NULL;
}

/* ---- Orders and reports
 * -------------------------------------------------------- */

static void
note_order(struct stage_server *server, const json_t *body, uint64_t fence)
{
	struct stage *stage = server->stage;
	struct stage_order *order = &stage->orders[stage->orders_count++];

	if (stage->orders_count == STAGE_ORDERS_MAX)
		abort();
	order->server = server;
	order->fence = fence;
	order->at_ns = kwb_clock_now_ns();
	kwb_text_copy(order->holder, sizeof(order->holder),
	    json_string_value(json_object_get(body, "holder")));
}

static void
serve_order(struct stage_peer *peer)
{
	struct stage_server *server = peer->port->context;
	const struct kwb_buf *text = &peer->conn.message.body;
	json_t *body = json_loadb(text->data, text->used_bytes, 0, NULL);
	uint64_t fence =
	    (uint64_t)json_integer_value(json_object_get(body, "fence"));
	uint64_t version =
	    (uint64_t)json_integer_value(json_object_get(body, "version"));
	uint64_t seq =
	    (uint64_t)json_integer_value(json_object_get(body, "expected-rev"));
	unsigned status = 202;

	note_order(server, body, fence);
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
		server->orders++;
		server->version = version;
		server->loading_until_ns =
		    kwb_clock_now_ns() + server->load_ms * KWB_MS_NS;
	}
	json_decref(body);
	peer_answer(peer, status, "", "", 0);
}

static void
serve_report(struct stage_peer *peer)
{
	const struct stage_server *server = peer->port->context;
	char text[256];
	int length = snprintf(text, sizeof(text),
	    "{\"models\":[{\"name\":\"m\",\"version\":%llu}],"
	    "\"busy\":%s,\"seq\":%llu,\"running\":%u,\"queued\":0}",
	    (unsigned long long)server->version,
	    kwb_clock_now_ns() < server->loading_until_ns ? "true" : "false",
	    (unsigned long long)server->seq, server->running);

	peer_answer(peer, 200, "", text, (size_t)length);
}

static void
on_request(struct stage_peer *peer)
{
	struct stage_server *server = peer->port->context;
	const struct kwb_buf *body = &peer->conn.message.body;
	const char *target = kwb_message_target(&peer->conn.message);
	enum server_fault fault;
	char headers[512];

	if (strcmp(target, "/order") == 0) {
		serve_order(peer);
		return;
	}
	if (strcmp(target, "/report") == 0) {
		serve_report(peer);
		return;
	}
	fault = take_fault(server);
	if (refuses(peer, fault))
		return;
	if (server->engine &&
	    (fault == SERVER_OK || fault == SERVER_SKIP ||
		fault == SERVER_CUT || fault == SERVER_STALL)) {
		stream_begin(peer, fault);
		return;
	}
	note_run(server, peer, 0);
	if (pours(peer, fault))
		return;
	if (answer_fault(peer, fault))
		return;
	common_headers(headers, sizeof(headers), peer, true);
	peer_answer(peer, 200, headers, body->data, body->used_bytes);
}

void
server_beat(struct stage_server *server)
{
	const struct kwb_address *address = server->advertised.port != 0
	    ? &server->advertised
	    : &server->port.address;
	char text[512];

	snprintf(text, sizeof(text),
	    "{\"service\":\"%s\",\"addr\":\"%s:%u\",\"zone\":\"z1\","
	    "\"version\":\"v1\",\"slots\":%u,\"state\":\"%s\",\"seq\":%llu,"
	    "\"born\":1700000000000%s",
	    server->service, address->ip, address->port, server->slots,
	    server->draining ? "draining" : "ready",
	    (unsigned long long)server->seq, server->engine ? "" : "}");
	if (server->engine)
		snprintf(text + strlen(text), sizeof(text) - strlen(text),
		    ",\"models\":[{\"name\":\"m\",\"version\":%llu}]}",
		    (unsigned long long)server->version);
	stage_store_put(&server->stage->store, "servers", server->name, text);
	server->listed = true;
}

void
server_open(struct stage_server *server, struct stage *stage)
{
	server->stage = stage;
	if (port_open(
		&server->port, stage->base, on_request, on_gone, server) != 0)
		abort();
	server_beat(server);
}
