/*
 * HTTP listener of the fake store and the fake servers.
 */
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdlib.h>
#include <string.h>

#include "stage.h"

static void
http_session_free(struct http_session *session)
{
	if (session->listener->on_close != NULL)
		session->listener->on_close(session);
	TAILQ_REMOVE(&session->listener->sessions, session, entry);
	if (session->timer != NULL)
		event_free(session->timer);
	if (session->late_copy != NULL)
		evbuffer_free(session->late_copy);
	if (session->rest != NULL)
		evbuffer_free(session->rest);
	kwb_conn_finish(&session->conn);
	free(session);
}

void
http_session_close(struct http_session *session, bool reset)
{
	struct linger reset_on_close = {.l_onoff = 1, .l_linger = 0};

	if (reset)
		setsockopt(bufferevent_getfd(session->conn.bev), SOL_SOCKET,
		    SO_LINGER, &reset_on_close, sizeof(reset_on_close));
	http_session_free(session);
}

#define RAW_ANSWER_PAUSE_MS 30 /* between its two pieces */

static void
raw_answer_end(struct http_session *session)
{
	if (session->listener->raw_answer.closes)
		kwb_conn_close_when_written(&session->conn);
	else
		kwb_conn_read_next(&session->conn);
}

static void
raw_answer_on_timer(int fd, short what, void *context)
{
	struct http_session *session = context;

	(void)fd;
	(void)what;
	evbuffer_add_buffer(kwb_conn_output(&session->conn), session->rest);
	raw_answer_end(session);
}

/* Writes the text of the answer to a request. */
static void
raw_answer_write(const struct http_session *session, struct evbuffer *out)
{
	const struct kwb_buf *text = &session->listener->raw_answer.text;
	const char *id =
	    kwb_message_header(&session->conn.message, "Attempt-Id");
	size_t i;

	for (i = 0; i < text->used_bytes; i++)
		if (text->data[i] != '@')
			evbuffer_add(out, text->data + i, 1);
		else
			evbuffer_add_printf(out,
			    "Attempt-Id: %s\r\nServer-Stamp: stamp-%s\r\n",
			    id ? id : "", id ? id : "");
}

/* Answers with the raw answer; false if the request gets another one. */
static bool
try_answer_raw(struct http_session *session)
{
	struct raw_answer *answer = &session->listener->raw_answer;
	struct evbuffer *out = kwb_conn_output(&session->conn);

	if (answer->remaining == 0 ||
	    strncmp(kwb_message_target(&session->conn.message), answer->path,
		strlen(answer->path)) != 0)
		return false;
	answer->remaining--;
	answer->sent++;
	if (answer->split_bytes == 0) {
		raw_answer_write(session, out);
		raw_answer_end(session);
		return true;
	}
	if (session->rest == NULL)
		session->rest = evbuffer_new();
	raw_answer_write(session, session->rest);
	evbuffer_remove_buffer(session->rest, out, answer->split_bytes);
	if (session->timer != NULL)
		event_free(session->timer);
	session->timer = kwb_timer_new(
	    session->listener->base, raw_answer_on_timer, session);
	kwb_timer_arm(session->timer,
	    kwb_clock_now_ns() + RAW_ANSWER_PAUSE_MS * KWB_MS_NS);
	return true;
}

static void
session_on_message(struct kwb_conn *conn)
{
	struct http_session *session = conn->context;

	if (!try_answer_raw(session))
		session->listener->on_request(session);
}

static void
session_on_close(struct kwb_conn *conn, int error)
{
	(void)error;
	http_session_free(conn->context);
}

static const struct kwb_conn_ops session_ops = {
    .on_message = session_on_message,
    .on_close = session_on_close,
};

static void
listener_on_accept(struct evconnlistener *ev_listener, int fd,
    struct sockaddr *from, int from_bytes, void *context)
{
	struct http_listener *listener = context;
	struct http_session *session = calloc(1, sizeof(*session));

	(void)ev_listener;
	(void)from;
	(void)from_bytes;
	session->listener = listener;
	if (kwb_conn_accept(
		&session->conn, listener->base, fd, &session_ops, session) != 0)
		abort();
	TAILQ_INSERT_TAIL(&listener->sessions, session, entry);
}

int
http_listener_open(struct http_listener *listener, struct event_base *base,
    void (*on_request)(struct http_session *session),
    void (*on_close)(struct http_session *session), void *context)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t length = sizeof(address);

	memset(listener, 0, sizeof(*listener));
	TAILQ_INIT(&listener->sessions);
	listener->base = base;
	listener->on_request = on_request;
	listener->on_close = on_close;
	listener->context = context;
	inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
	listener->ev_listener =
	    evconnlistener_new_bind(base, listener_on_accept, listener,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 128,
		(struct sockaddr *)&address, sizeof(address));
	if (listener->ev_listener == NULL)
		return KWB_ERR_SYSTEM;
	getsockname(evconnlistener_get_fd(listener->ev_listener),
	    (struct sockaddr *)&address, &length);
	kwb_text_copy(
	    listener->address.ip, sizeof(listener->address.ip), "127.0.0.1");
	listener->address.port = ntohs(address.sin_port);
	return 0;
}

void
http_listener_close(struct http_listener *listener)
{
	if (listener->ev_listener != NULL)
		evconnlistener_free(listener->ev_listener);
	listener->ev_listener = NULL;
	while (!TAILQ_EMPTY(&listener->sessions))
		http_session_free(TAILQ_FIRST(&listener->sessions));
	kwb_buf_finish(&listener->raw_answer.text);
}

void
http_session_answer(struct http_session *session, unsigned status,
    const char *headers, const void *body, size_t body_bytes)
{
	struct evbuffer *out = evbuffer_new();

	evbuffer_add_printf(out,
	    "HTTP/1.1 %u %s\r\n%sKeep-Alive: timeout=10\r\n"
	    "Content-Length: %zu\r\n\r\n",
	    status, http_status_str((enum http_status)status), headers,
	    body_bytes);
	evbuffer_add(out, body, body_bytes);
	if (session->keeps_copy) {
		session->late_copy = evbuffer_new();
		evbuffer_add(session->late_copy, evbuffer_pullup(out, -1),
		    evbuffer_get_length(out));
	}
	session->keeps_copy = false;
	evbuffer_add_buffer(kwb_conn_output(&session->conn), out);
	evbuffer_free(out);
	kwb_conn_read_next(&session->conn);
}
