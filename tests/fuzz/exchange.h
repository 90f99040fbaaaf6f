/*
 * Feeds bytes to an HTTP connection in chunks, as a peer would send them.
 */
#ifndef KWB_TESTS_FUZZ_EXCHANGE_H
#define KWB_TESTS_FUZZ_EXCHANGE_H

#include <event2/event.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../../platform/platform.h"
#include "fuzz.h"
#include "kwb_node.h"

#define CHUNK_MAX_BYTES 4096
#define EVENT_LOOP_ROUNDS_MAX 64 /* until all bytes have been read */

struct fuzz_conn {
	struct kwb_conn conn;
	void (*on_message)(const struct kwb_message *message);
	bool is_closed;
};

static void
fuzz_on_message(struct kwb_conn *conn)
{
	struct fuzz_conn *fuzz = conn->context;
	uint32_t i;

	for (i = 0; i < conn->message.headers_count; i++)
		if (!kwb_text_is_token(
			kwb_message_header_name(&conn->message, i)))
			abort();
	fuzz->on_message(&conn->message);
	kwb_conn_read_next(conn);
}

static void
fuzz_on_close(struct kwb_conn *conn, int error)
{
	struct fuzz_conn *fuzz = conn->context;

	(void)error;
	fuzz->is_closed = true;
}

static const struct kwb_conn_ops fuzz_ops = {
    .on_message = fuzz_on_message, .on_close = fuzz_on_close};

/*
 * Sends the bytes behind the first to a connection, which calls on_message for
 * each complete message. The first byte is the length of the chunks; 0 stands
 * for CHUNK_MAX_BYTES.
 */
static void
fuzz_feed(const uint8_t *data, size_t length_bytes, bool is_server,
    void (*on_message)(const struct kwb_message *message))
{
	static struct event_base *base;
	struct fuzz_conn fuzz = {.on_message = on_message};
	size_t chunk_bytes;
	size_t offset = 1;
	int sockets[2];
	unsigned i;

	if (base == NULL) {
		kwb_log_init("fuzz", KWB_LOG_ERROR + 1);
		base = event_base_new();
	}
	if (length_bytes < 2 ||
	    socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets) != 0)
		return;
	if (kwb_conn_accept(&fuzz.conn, base, sockets[0], &fuzz_ops, &fuzz) !=
	    0)
		abort();
	fuzz.conn.head_max_bytes = 8192;
	fuzz.conn.body_max_bytes = 65536;
	if (!is_server) {
		fuzz.conn.is_server = false;
		http_parser_init(&fuzz.conn.parser, HTTP_RESPONSE);
		fuzz.conn.parser.data = &fuzz.conn;
		kwb_http_syntax_init(&fuzz.conn.syntax, false);
	}
	chunk_bytes = data[0] == 0 ? CHUNK_MAX_BYTES : data[0];
	for (i = 0; i < EVENT_LOOP_ROUNDS_MAX && offset < length_bytes &&
	     !fuzz.is_closed;
	     i++) {
		size_t left = length_bytes - offset;
		ssize_t sent = write(sockets[1], data + offset,
		    left < chunk_bytes ? left : chunk_bytes);

		if (sent > 0)
			offset += (size_t)sent;
		event_base_loop(base, EVLOOP_NONBLOCK);
	}
	close(sockets[1]);
	if (!fuzz.is_closed)
		event_base_loop(base, EVLOOP_NONBLOCK);
	kwb_conn_finish(&fuzz.conn);
	event_base_loop(base, EVLOOP_NONBLOCK);
}

#endif
