/*
 * One HTTP/1.1 connection on the event loop. The parser only stores what it
 * reads; callbacks of the owner run after it has returned, so that they may
 * finish the connection.
 */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#include "kwb_node.h"

#define PARSE_MAX_BYTES 65536 /* of input per call of the parser */

static struct kwb_conn *
conn_from_parser(http_parser *parser)
{
	return parser->data;
}

static int
head_append(struct kwb_conn *conn, const char *at, size_t length)
{
	conn->head_bytes += (uint32_t)length;
	if (conn->head_max_bytes != 0 &&
	    conn->head_bytes > conn->head_max_bytes)
		return KWB_ERR_NET_HEAD_SIZE;
	return kwb_buf_add(&conn->message.text, at, length);
}

/* Fields after the body are no headers; they count as part of the head. */
static int
trailer_skip(struct kwb_conn *conn, size_t length)
{
	conn->head_bytes += (uint32_t)length;
	return conn->head_max_bytes != 0 &&
		conn->head_bytes > conn->head_max_bytes
	    ? KWB_ERR_NET_HEAD_SIZE
	    : 0;
}

/* Ends the target, name or value that is being collected. */
static int
text_terminate(struct kwb_conn *conn)
{
	return kwb_buf_add(&conn->message.text, "", 1);
}

static int
on_message_begin(http_parser *parser)
{
	struct kwb_conn *conn = conn_from_parser(parser);

	kwb_message_clear(&conn->message);
	conn->head_bytes = 0;
	conn->is_in_header_value = false;
	conn->has_head = false;
	conn->is_head_reported = false;
	return 0;
}

static int
on_url(http_parser *parser, const char *at, size_t length)
{
	return head_append(conn_from_parser(parser), at, length);
}

static int
on_field(http_parser *parser, const char *at, size_t length)
{
	struct kwb_conn *conn = conn_from_parser(parser);
	struct kwb_message *message = &conn->message;

	if (conn->has_head)
		return trailer_skip(conn, length);
	if (message->headers_count == 0 && conn->head_bytes > 0 &&
	    !conn->is_in_header_value && text_terminate(conn) != 0)
		return -1; /* the target ended here */
	if (conn->is_in_header_value || message->headers_count == 0) {
		if (conn->is_in_header_value && text_terminate(conn) != 0)
			return -1;
		conn->is_in_header_value = false;
		if (kwb_message_add_header(message, "", "") != 0)
			return -1;
		message->text.used_bytes -= 2; /* NULs of both texts */
		message->headers[message->headers_count - 1].name_offset =
		    (uint32_t)message->text.used_bytes;
	}
	return head_append(conn, at, length);
}

static int
on_value(http_parser *parser, const char *at, size_t length)
{
	struct kwb_conn *conn = conn_from_parser(parser);
	struct kwb_message *message = &conn->message;

	if (conn->has_head)
		return trailer_skip(conn, length);
	if (!conn->is_in_header_value) {
		if (text_terminate(conn) != 0)
			return -1;
		message->headers[message->headers_count - 1].value_offset =
		    (uint32_t)message->text.used_bytes;
		conn->is_in_header_value = true;
	}
	return head_append(conn, at, length);
}

/* Whether a value names the one coding that the parser undoes. */
static bool
is_chunked_coding(const char *value)
{
	size_t length = strlen("chunked");

	return strncasecmp(value, "chunked", length) == 0 &&
	    value[length + strspn(value + length, " ")] == '\0';
}

/* Whether a body is chunked once at most, and transferred in no other way. */
static bool
is_coding_known(const struct kwb_message *message)
{
	uint32_t chunked_count = 0;
	uint32_t i;

	for (i = 0; i < message->headers_count; i++)
		if (strcasecmp(kwb_message_header_name(message, i),
			"Transfer-Encoding") == 0 &&
		    (!is_chunked_coding(kwb_message_header_value(message, i)) ||
			chunked_count++ > 0))
			return false;
	return true;
}

static int
on_headers_complete(http_parser *parser)
{
	struct kwb_conn *conn = conn_from_parser(parser);
	struct kwb_message *message = &conn->message;

	if (text_terminate(conn) != 0)
		return -1;
	message->status = (uint16_t)parser->status_code;
	if (conn->is_server)
		kwb_text_copy(message->method, sizeof(message->method),
		    http_method_str((enum http_method)parser->method));
	message->keep_alive = http_should_keep_alive(parser) != 0;
	if (conn->is_server && parser->upgrade != 0)
		return -1; /* no upgrade to another protocol */
	if (!conn->is_server && message->status / 100 == 1)
		return 0;
	if (!conn->is_server && !is_coding_known(message)) {
		conn->syntax.fault = "transfer_coding";
		return -1;
	}
	conn->is_body_too_large = conn->body_max_bytes != 0 &&
	    !conn->has_no_body && parser->content_length != UINT64_MAX &&
	    parser->content_length > conn->body_max_bytes;
	if (conn->is_body_too_large)
		return -1; /* before any of it is read */
	conn->has_head = true;
	return conn->has_no_body ? 1 : 0; /* 1: no body follows */
}

void
kwb_body_budget_init(struct kwb_body_budget *budget, uint64_t max_bytes)
{
	budget->bytes = 0;
	budget->max_bytes = max_bytes;
	TAILQ_INIT(&budget->conns);
}

/* Gives back its share when the body was passed on or is dropped. */
static void
budget_release(struct kwb_conn *conn)
{
	if (conn->budgeted_bytes == 0)
		return;
	conn->body_budget->bytes -= conn->budgeted_bytes;
	TAILQ_REMOVE(&conn->body_budget->conns, conn, budget_entry);
	conn->budgeted_bytes = 0;
}

/*
 * Drops the body of a connection. Its owner hears of it on a later turn of the
 * loop, as it may finish other connections, the one being parsed included.
 */
static void
conn_evict(struct kwb_conn *conn, uint64_t for_bytes)
{
	kwb_log(KWB_LOG_WARN, "conn",
	    "event=answer_evicted bytes=%llu for_bytes=%llu budget_bytes=%llu",
	    (unsigned long long)conn->budgeted_bytes,
	    (unsigned long long)for_bytes,
	    (unsigned long long)conn->body_budget->max_bytes);
	budget_release(conn);
	kwb_buf_finish(&conn->message.body);
	conn->is_evicted = true;
	bufferevent_disable(conn->bev, EV_READ);
	bufferevent_trigger_event(
	    conn->bev, BEV_EVENT_ERROR, BEV_TRIG_DEFER_CALLBACKS);
}

/* False when the budget is used up and no other body is longer. */
static bool
budget_make_room(struct kwb_conn *conn, uint64_t wanted_bytes)
{
	struct kwb_conn *longest = NULL;
	struct kwb_conn *other;

	TAILQ_FOREACH (other, &conn->body_budget->conns, budget_entry)
		if (longest == NULL ||
		    other->budgeted_bytes > longest->budgeted_bytes)
			longest = other;
	if (longest == NULL || longest == conn ||
	    longest->budgeted_bytes <= wanted_bytes)
		return false;
	conn_evict(longest, wanted_bytes);
	return true;
}

/* False when this connection has to end. */
static bool
budget_reserve(struct kwb_conn *conn, size_t length)
{
	struct kwb_body_budget *budget = conn->body_budget;

	if (budget == NULL || length == 0)
		return true;
	while (budget->bytes + length > budget->max_bytes)
		if (!budget_make_room(conn, conn->budgeted_bytes + length)) {
			conn->is_body_too_large = true;
			return false;
		}
	if (conn->budgeted_bytes == 0)
		TAILQ_INSERT_TAIL(&budget->conns, conn, budget_entry);
	budget->bytes += length;
	conn->budgeted_bytes += length;
	return true;
}

static int
on_body(http_parser *parser, const char *at, size_t length)
{
	struct kwb_conn *conn = conn_from_parser(parser);
	struct kwb_buf *body = &conn->message.body;

	if (conn->body_max_bytes != 0 &&
	    body->used_bytes + length > conn->body_max_bytes)
		return KWB_ERR_NET_BODY_SIZE;
	if (!budget_reserve(conn, length))
		return KWB_ERR_NET_BODY_SIZE;
	return kwb_buf_add(body, at, length);
}

static int
on_message_complete(http_parser *parser)
{
	struct kwb_conn *conn = conn_from_parser(parser);

	if (!conn->has_head)
		return 0; /* an interim answer (1xx) */
	conn->is_complete = true;
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

/* Calls back for what was parsed; false when the connection is finished. */
static bool
conn_report(struct kwb_conn *conn, const bool *is_finished)
{
	if (conn->has_head && !conn->is_head_reported) {
		conn->is_head_reported = true;
		if (conn->ops->on_head != NULL)
			conn->ops->on_head(conn);
		if (*is_finished)
			return false;
	}
	if (conn->is_streaming && conn->message.body.used_bytes > 0) {
		conn->ops->on_data(conn);
		if (*is_finished)
			return false;
		budget_release(conn);
	}
	if (conn->is_complete && conn->has_head) {
		conn->has_head = false;
		conn->ops->on_message(conn);
	}
	return !*is_finished;
}

const char *
kwb_conn_fault(const struct kwb_conn *conn)
{
	return conn->syntax.fault != NULL
	    ? conn->syntax.fault
	    : http_errno_name(HTTP_PARSER_ERRNO(&conn->parser));
}

static int
conn_parse_error(const struct kwb_conn *conn)
{
	if (conn->head_max_bytes != 0 &&
	    conn->head_bytes > conn->head_max_bytes)
		return KWB_ERR_NET_HEAD_SIZE;
	if (conn->is_body_too_large)
		return KWB_ERR_NET_BODY_SIZE;
	if (conn->body_max_bytes != 0 && conn->has_head &&
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

/* What follows the head that was parsed. */
static void
syntax_go_on(struct kwb_conn *conn)
{
	if (conn->is_complete)
		return; /* kwb_conn_read_next() begins the next one */
	if (conn->has_head)
		kwb_http_syntax_go_on(&conn->syntax,
		    conn->parser.flags & F_CHUNKED ? KWB_SYNTAX_CHUNK_LINE
						   : KWB_SYNTAX_BODY);
	else
		kwb_http_syntax_init(&conn->syntax, conn->is_server);
}

/*
 * Parses bytes until a message is whole, those only whose syntax is right.
 * Returns the number of bytes parsed; *is_broken: nothing can follow them.
 */
static size_t
conn_parse(
    struct kwb_conn *conn, const char *bytes, size_t length, bool *is_broken)
{
	struct kwb_http_syntax *syntax = &conn->syntax;
	enum http_errno error = HTTP_PARSER_ERRNO(&conn->parser);
	size_t sound_bytes;
	size_t at = 0;

	while (at < length && error == HPE_OK && syntax->fault == NULL) {
		sound_bytes =
		    kwb_http_syntax_check(syntax, bytes + at, length - at);
		if (sound_bytes == 0)
			break; /* 0 bytes are the end of input for the parser */
		at += http_parser_execute(
		    &conn->parser, &parser_settings, bytes + at, sound_bytes);
		error = HTTP_PARSER_ERRNO(&conn->parser);
		if (error == HPE_OK && syntax->state == KWB_SYNTAX_HEAD_END)
			syntax_go_on(conn);
	}
	*is_broken =
	    (error != HPE_OK && error != HPE_PAUSED) || syntax->fault != NULL;
	return at;
}

/* Parses the input until a message is whole; the rest waits. */
static void
conn_process(struct kwb_conn *conn, bool *is_finished)
{
	struct evbuffer *input = bufferevent_get_input(conn->bev);
	struct evbuffer_iovec span;
	size_t parsed_bytes;
	bool is_broken;

	conn->is_finished = is_finished;
	while (!conn->is_complete && !conn->is_held &&
	    evbuffer_get_length(input) > 0) {
		if (evbuffer_peek(input, PARSE_MAX_BYTES, NULL, &span, 1) < 1)
			break;
		if (conn->has_head && conn->ops->may_grow != NULL &&
		    !conn->ops->may_grow(
			conn, conn->message.body.used_bytes + span.iov_len)) {
			if (*is_finished)
				return;
			conn->is_held = true;
			break;
		}
		parsed_bytes =
		    conn_parse(conn, span.iov_base, span.iov_len, &is_broken);
		evbuffer_drain(input, parsed_bytes);
		if (!conn_report(conn, is_finished))
			return;
		if (is_broken) {
			conn_fail(conn, conn_parse_error(conn));
			if (!*is_finished)
				conn->is_finished = NULL;
			return;
		}
	}
	conn->is_finished = NULL;
}

/*
 * Stops to read when nothing is taken out of a full input buffer: libevent
 * would call conn_on_read() over and over.
 */
static void
conn_stop_full_input(struct kwb_conn *conn)
{
	if (evbuffer_get_length(bufferevent_get_input(conn->bev)) >=
	    KWB_CONN_INPUT_BYTES)
		bufferevent_disable(conn->bev, EV_READ);
}

static void
conn_on_read(struct bufferevent *bev, void *context)
{
	struct kwb_conn *conn = context;
	bool is_finished = false;

	(void)bev;
	if (conn->is_evicted)
		return;
	if (conn->is_closing || conn->is_held || conn->is_complete) {
		conn_stop_full_input(conn);
		return;
	}
	conn_process(conn, &is_finished);
	if (!is_finished)
		conn_stop_full_input(conn);
}

static void
conn_on_written(struct bufferevent *bev, void *context)
{
	struct kwb_conn *conn = context;

	if (conn->is_closing &&
	    evbuffer_get_length(bufferevent_get_output(bev)) == 0)
		conn->ops->on_close(conn, 0);
	else if (conn->ops->on_written != NULL)
		conn->ops->on_written(conn);
}

/* The peer has closed; a message of unknown length is whole now. */
static void
conn_on_eof(struct kwb_conn *conn)
{
	bool is_finished = false;

	if (!conn->is_complete && !conn->is_held) {
		conn->is_finished = &is_finished;
		http_parser_execute(&conn->parser, &parser_settings, NULL, 0);
		if (!conn_report(conn, &is_finished))
			return;
		conn->is_finished = NULL;
	}
	conn->ops->on_close(conn, KWB_ERR_NET_CLOSED);
}

static void
conn_on_event(struct bufferevent *bev, short what, void *context)
{
	struct kwb_conn *conn = context;
	bool is_finished = false;

	(void)bev;
	if (conn->is_evicted) {
		conn->ops->on_close(conn, KWB_ERR_NET_BODY_SIZE);
		return;
	}
	if (what & BEV_EVENT_CONNECTED) {
		conn->is_connected = true;
		return;
	}
	if (what & BEV_EVENT_EOF) {
		conn->is_finished = &is_finished;
		if (!conn->is_closing && !conn->is_held)
			conn_process(conn, &is_finished);
		if (is_finished)
			return;
		conn->is_finished = NULL;
		conn_on_eof(conn);
		return;
	}
	if (what & BEV_EVENT_ERROR)
		conn->ops->on_close(conn,
		    conn->is_connected ? KWB_ERR_NET_RESET
				       : KWB_ERR_NET_CONNECT);
}

static int
conn_init(struct kwb_conn *conn, struct event_base *base, int fd,
    const struct kwb_conn_ops *ops, void *context, bool is_server)
{
	memset(conn, 0, sizeof(*conn));
	conn->ops = ops;
	conn->context = context;
	conn->is_server = is_server;
	conn->bev = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
	if (conn->bev == NULL)
		return KWB_ERR_MEMORY;
	kwb_message_init(&conn->message);
	kwb_http_syntax_init(&conn->syntax, is_server);
	http_parser_init(
	    &conn->parser, is_server ? HTTP_REQUEST : HTTP_RESPONSE);
	conn->parser.data = conn;
	bufferevent_setcb(
	    conn->bev, conn_on_read, conn_on_written, conn_on_event, conn);
	return 0;
}

int
kwb_conn_accept(struct kwb_conn *conn, struct event_base *base, int fd,
    const struct kwb_conn_ops *ops, void *context)
{
	int code = conn_init(conn, base, fd, ops, context, true);

	if (code != 0)
		return code;
	conn->is_connected = true;
	kwb_socket_set_no_delay(fd);
	bufferevent_setwatermark(conn->bev, EV_READ, 0, KWB_CONN_INPUT_BYTES);
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
	if (conn->is_finished != NULL)
		*conn->is_finished = true;
	budget_release(conn);
	if (conn->bev != NULL) {
		/* libevent would close it later: too late for its successor. */
		int fd = bufferevent_getfd(conn->bev);

		bufferevent_setfd(conn->bev, -1);
		if (fd >= 0)
			close(fd);
		bufferevent_free(conn->bev);
	}
	conn->bev = NULL;
	kwb_message_finish(&conn->message);
}

void
kwb_conn_reset(struct kwb_conn *conn)
{
	if (conn->bev != NULL)
		kwb_socket_set_reset_on_close(bufferevent_getfd(conn->bev));
	kwb_conn_finish(conn);
}

void
kwb_conn_read_next(struct kwb_conn *conn)
{
	if (!conn->is_complete)
		return;
	conn->is_complete = false;
	conn->is_streaming = false;
	conn->head_bytes = 0;
	http_parser_pause(&conn->parser, 0);
	kwb_http_syntax_init(&conn->syntax, conn->is_server);
	budget_release(conn);
	kwb_message_clear(&conn->message);
	if (conn->message.body.capacity_bytes > KWB_BODY_KEEP_BYTES)
		kwb_buf_finish(&conn->message.body);
	bufferevent_enable(conn->bev, EV_READ);
	if (evbuffer_get_length(bufferevent_get_input(conn->bev)) > 0)
		bufferevent_trigger(
		    conn->bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

void
kwb_conn_resume(struct kwb_conn *conn)
{
	conn->is_held = false;
	bufferevent_enable(conn->bev, EV_READ);
	bufferevent_trigger(conn->bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

void
kwb_conn_close_when_written(struct kwb_conn *conn)
{
	conn->is_closing = true;
	if (evbuffer_get_length(bufferevent_get_output(conn->bev)) == 0)
		bufferevent_trigger(
		    conn->bev, EV_WRITE, BEV_TRIG_DEFER_CALLBACKS);
}

struct evbuffer *
kwb_conn_output(struct kwb_conn *conn)
{
	return bufferevent_get_output(conn->bev);
}
