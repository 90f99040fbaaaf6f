/*
 * One HTTP/1.1 connection on the event loop. The parser only collects; the
 * callbacks run after it has returned, so that they may finish the connection.
 */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "kwb_node.h"

#define READ_MAX_BYTES 65536

static struct kwb_conn *
conn_of(http_parser *parser)
{
	return parser->data;
}

static int
head_add(struct kwb_conn *conn, const char *at, size_t length)
{
	conn->head_bytes += (uint32_t)length;
	if (conn->head_max_bytes != 0 &&
	    conn->head_bytes > conn->head_max_bytes)
		return KWB_ERR_NET_HEAD_SIZE;
	return kwb_buf_add(&conn->message.text, at, length);
}

/* Ends the text that was being collected. */
static int
text_end(struct kwb_conn *conn)
{
	return kwb_buf_add(&conn->message.text, "", 1);
}

static int
on_message_begin(http_parser *parser)
{
	struct kwb_conn *conn = conn_of(parser);

	kwb_message_clear(&conn->message);
	conn->head_bytes = 0;
	conn->value_open = false;
	conn->head_done = false;
	conn->head_told = false;
	return 0;
}

static int
on_url(http_parser *parser, const char *at, size_t length)
{
	return head_add(conn_of(parser), at, length);
}

static int
on_field(http_parser *parser, const char *at, size_t length)
{
	struct kwb_conn *conn = conn_of(parser);
	struct kwb_message *message = &conn->message;

	if (message->headers_count == 0 && conn->head_bytes > 0 &&
	    !conn->value_open && text_end(conn) != 0)
		return -1; /* the target ends here */
	if (conn->value_open || message->headers_count == 0) {
		if (conn->value_open && text_end(conn) != 0)
			return -1;
		conn->value_open = false;
		if (kwb_message_add(message, "", "") != 0)
			return -1;
		message->text.used_bytes -= 2;
		message->headers[message->headers_count - 1].name_at =
		    (uint32_t)message->text.used_bytes;
	}
	return head_add(conn, at, length);
}

static int
on_value(http_parser *parser, const char *at, size_t length)
{
	struct kwb_conn *conn = conn_of(parser);
	struct kwb_message *message = &conn->message;

	if (!conn->value_open) {
		if (text_end(conn) != 0)
			return -1;
		message->headers[message->headers_count - 1].value_at =
		    (uint32_t)message->text.used_bytes;
		conn->value_open = true;
	}
	return head_add(conn, at, length);
}

static int
on_headers_complete(http_parser *parser)
{
	struct kwb_conn *conn = conn_of(parser);
	struct kwb_message *message = &conn->message;

	if (text_end(conn) != 0)
		return -1;
	message->status = (uint16_t)parser->status_code;
	if (conn->server)
		kwb_text_copy(message->method, sizeof(message->method),
		    http_method_str((enum http_method)parser->method));
	message->keep_alive = http_should_keep_alive(parser) != 0;
	if (conn->server && parser->upgrade != 0)
		return -1; /* no other protocol is spoken here */
	if (!conn->server && message->status / 100 == 1)
		return 0;
	conn->body_over = conn->body_max_bytes != 0 && !conn->no_body &&
	    parser->content_length != UINT64_MAX &&
	    parser->content_length > conn->body_max_bytes;
	if (conn->body_over)
		return -1; /* refused before it is read */
	conn->head_done = true;
	return conn->no_body ? 1 : 0;
}

/* Its body has been passed on, or is dropped. */
static void
hold_release(struct kwb_conn *conn)
{
	if (conn->hold != NULL)
		conn->hold->bytes -= conn->held_bytes;
	conn->held_bytes = 0;
}

/* False when connections hold too much already: this one has to end. */
static bool
hold_add(struct kwb_conn *conn, size_t length)
{
	if (conn->hold == NULL)
		return true;
	if (conn->hold->bytes + length > conn->hold->max_bytes) {
		conn->body_over = true;
		return false;
	}
	conn->hold->bytes += length;
	conn->held_bytes += length;
	return true;
}

static int
on_body(http_parser *parser, const char *at, size_t length)
{
	struct kwb_conn *conn = conn_of(parser);
	struct kwb_buf *body = &conn->message.body;

	if (conn->body_max_bytes != 0 &&
	    body->used_bytes + length > conn->body_max_bytes)
		return KWB_ERR_NET_BODY_SIZE;
	if (!hold_add(conn, length))
		return KWB_ERR_NET_BODY_SIZE;
	return kwb_buf_add(body, at, length);
}

static int
on_message_complete(http_parser *parser)
{
	struct kwb_conn *conn = conn_of(parser);

	if (!conn->head_done)
		return 0; /* an interim answer */
	conn->complete = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_message_begin,
    .on_url = on_url,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

/* Tells what the parser has found; false when the connection is finished. */
static bool
conn_tell(struct kwb_conn *conn, const bool *gone)
{
	if (conn->head_done && !conn->head_told) {
		conn->head_told = true;
		if (conn->ops->on_head != NULL)
			conn->ops->on_head(conn);
		if (*gone)
			return false;
	}
	if (conn->streaming && conn->message.body.used_bytes > 0) {
		conn->ops->on_data(conn);
		if (*gone)
			return false;
		hold_release(conn);
	}
	if (conn->complete && conn->head_done) {
		conn->head_done = false;
		conn->ops->on_message(conn);
	}
	return !*gone;
}

static int
parse_error(const struct kwb_conn *conn)
{
	if (conn->head_max_bytes != 0 &&
	    conn->head_bytes > conn->head_max_bytes)
		return KWB_ERR_NET_HEAD_SIZE;
	if (conn->body_over)
		return KWB_ERR_NET_BODY_SIZE;
	if (conn->body_max_bytes != 0 && conn->head_done &&
	    HTTP_PARSER_ERRNO(&conn->parser) == HPE_CB_body)
		return KWB_ERR_NET_BODY_SIZE;
	return KWB_ERR_NET_MALFORMED;
}

static void
conn_fail(struct kwb_conn *conn, int error)
{
	bufferevent_disable(conn->bev, EV_READ);
	conn->ops->on_close(conn, error);
}

/* Parses what has arrived until a message is whole. */
static void
conn_process(struct kwb_conn *conn)
{
	struct evbuffer *input = bufferevent_get_input(conn->bev);
	struct evbuffer_iovec span;
	bool gone = false;
	size_t used;
	enum http_errno code;

	conn->gone = &gone;
	while (!conn->complete && evbuffer_get_length(input) > 0) {
		if (evbuffer_peek(input, READ_MAX_BYTES, NULL, &span, 1) < 1)
			break;
		used = http_parser_execute(&conn->parser, &parser_settings,
		    span.iov_base, span.iov_len);
		code = HTTP_PARSER_ERRNO(&conn->parser);
		evbuffer_drain(input, used);
		if (!conn_tell(conn, &gone))
			return;
		if (code != HPE_OK && code != HPE_PAUSED) {
			conn->gone = NULL;
			conn_fail(conn, parse_error(conn));
			return;
		}
	}
	conn->gone = NULL;
}

static void
conn_read(struct bufferevent *bev, void *context)
{
	struct kwb_conn *conn = context;

	(void)bev;
	if (!conn->closing)
		conn_process(conn);
}

static void
conn_written(struct bufferevent *bev, void *context)
{
	struct kwb_conn *conn = context;

	if (conn->closing &&
	    evbuffer_get_length(bufferevent_get_output(bev)) == 0)
		conn->ops->on_close(conn, 0);
}

/* The peer has closed: a message without length is whole now. */
static void
conn_eof(struct kwb_conn *conn)
{
	bool gone = false;

	if (!conn->complete) {
		conn->gone = &gone;
		http_parser_execute(&conn->parser, &parser_settings, NULL, 0);
		if (!conn_tell(conn, &gone))
			return;
		conn->gone = NULL;
	}
	conn->ops->on_close(conn, KWB_ERR_NET_CLOSED);
}

static void
conn_event(struct bufferevent *bev, short what, void *context)
{
	struct kwb_conn *conn = context;
	bool gone = false;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED) {
		conn->connected = true;
		return;
	}
	if (what & BEV_EVENT_EOF) {
		conn->gone = &gone;
		if (!conn->closing)
			conn_process(conn);
		if (gone)
			return;
		conn->gone = NULL;
		conn_eof(conn);
		return;
	}
	if (what & BEV_EVENT_ERROR)
		conn->ops->on_close(conn,
		    conn->connected ? KWB_ERR_NET_RESET : KWB_ERR_NET_CONNECT);
}

static int
conn_init(struct kwb_conn *conn, struct event_base *base, int fd,
    const struct kwb_conn_ops *ops, void *context, bool server)
{
	memset(conn, 0, sizeof(*conn));
	conn->ops = ops;
	conn->context = context;
	conn->server = server;
	conn->bev = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
	if (conn->bev == NULL)
		return KWB_ERR_MEMORY;
	kwb_message_init(&conn->message);
	http_parser_init(&conn->parser, server ? HTTP_REQUEST : HTTP_RESPONSE);
	conn->parser.data = conn;
	bufferevent_setcb(conn->bev, conn_read, conn_written, conn_event, conn);
	return 0;
}

int
kwb_conn_accept(struct kwb_conn *conn, struct event_base *base, int fd,
    const struct kwb_conn_ops *ops, void *context)
{
	int code = conn_init(conn, base, fd, ops, context, true);

	if (code != 0)
		return code;
	conn->connected = true;
	kwb_socket_no_delay(fd);
	bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
	return 0;
}

int
kwb_conn_connect(struct kwb_conn *conn, struct event_base *base,
    const struct kwb_address *address, const struct kwb_conn_ops *ops,
    void *context)
{
	int code = conn_init(conn, base, -1, ops, context, false);

	if (code == 0)
		code = kwb_socket_connect(conn->bev, address);
	if (code != 0) {
		if (conn->bev != NULL)
			bufferevent_free(conn->bev);
		conn->bev = NULL;
		return code;
	}
	bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
	return 0;
}

void
kwb_conn_finish(struct kwb_conn *conn)
{
	if (conn->gone != NULL)
		*conn->gone = true;
	hold_release(conn);
	if (conn->bev != NULL)
		bufferevent_free(conn->bev);
	conn->bev = NULL;
	kwb_message_finish(&conn->message);
}

void
kwb_conn_reset(struct kwb_conn *conn)
{
	struct linger hard = {.l_onoff = 1, .l_linger = 0};
	int fd = conn->bev ? bufferevent_getfd(conn->bev) : -1;

	if (fd >= 0 &&
	    setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard)) != 0)
		kwb_log(KWB_LOG_WARN, "conn", "event=linger_failed fd=%d", fd);
	kwb_conn_finish(conn);
}

void
kwb_conn_next(struct kwb_conn *conn)
{
	if (!conn->complete)
		return;
	conn->complete = false;
	conn->streaming = false;
	conn->head_bytes = 0;
	http_parser_pause(&conn->parser, 0);
	hold_release(conn);
	kwb_message_clear(&conn->message);
	if (evbuffer_get_length(bufferevent_get_input(conn->bev)) > 0)
		bufferevent_trigger(
		    conn->bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

void
kwb_conn_end(struct kwb_conn *conn)
{
	conn->closing = true;
	if (evbuffer_get_length(bufferevent_get_output(conn->bev)) == 0)
		bufferevent_trigger(
		    conn->bev, EV_WRITE, BEV_TRIG_DEFER_CALLBACKS);
}

struct evbuffer *
kwb_conn_output(struct kwb_conn *conn)
{
	return bufferevent_get_output(conn->bev);
}
