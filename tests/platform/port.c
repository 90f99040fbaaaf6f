/*
 * The HTTP server that all stand-ins share.
 */
#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdlib.h>
#include <string.h>

#include "stage.h"

static void
peer_free(struct stage_peer *peer)
{
	if (peer->port->on_gone != NULL)
		peer->port->on_gone(peer);
	TAILQ_REMOVE(&peer->port->peers, peer, entry);
	if (peer->timer != NULL)
		event_free(peer->timer);
	kwb_conn_finish(&peer->conn);
	free(peer);
}

void
peer_close(struct stage_peer *peer, bool reset)
{
	struct linger hard = {.l_onoff = 1, .l_linger = 0};

	if (reset)
		setsockopt(bufferevent_getfd(peer->conn.bev), SOL_SOCKET,
		    SO_LINGER, &hard, sizeof(hard));
	peer_free(peer);
}

static void
on_message(struct kwb_conn *conn)
{
	struct stage_peer *peer = conn->context;

	peer->port->on_request(peer);
}

static void
on_close(struct kwb_conn *conn, int error)
{
	(void)error;
	peer_free(conn->context);
}

static const struct kwb_conn_ops peer_ops = {
    .on_message = on_message,
    .on_close = on_close,
};

static void
on_accept(struct evconnlistener *listener, int fd, struct sockaddr *from,
    int from_bytes, void *context)
{
	struct stage_port *port = context;
	struct stage_peer *peer = calloc(1, sizeof(*peer));

	(void)listener;
	(void)from;
	(void)from_bytes;
	peer->port = port;
	if (kwb_conn_accept(&peer->conn, port->base, fd, &peer_ops, peer) != 0)
		abort();
	TAILQ_INSERT_TAIL(&port->peers, peer, entry);
}

int
port_open(struct stage_port *port, struct event_base *base,
    void (*on_request)(struct stage_peer *peer),
    void (*on_gone)(struct stage_peer *peer), void *context)
{
	struct sockaddr_in at = {.sin_family = AF_INET};
	socklen_t length = sizeof(at);

	memset(port, 0, sizeof(*port));
	TAILQ_INIT(&port->peers);
	port->base = base;
	port->on_request = on_request;
	port->on_gone = on_gone;
	port->context = context;
	inet_pton(AF_INET, "127.0.0.1", &at.sin_addr);
	port->listener = evconnlistener_new_bind(base, on_accept, port,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 128,
	    (struct sockaddr *)&at, sizeof(at));
	if (port->listener == NULL)
		return KWB_ERR_SYSTEM;
	getsockname(evconnlistener_get_fd(port->listener),
	    (struct sockaddr *)&at, &length);
	kwb_text_copy(port->address.ip, sizeof(port->address.ip), "127.0.0.1");
	port->address.port = ntohs(at.sin_port);
	return 0;
}

void
port_close(struct stage_port *port)
{
	if (port->listener != NULL)
		evconnlistener_free(port->listener);
	port->listener = NULL;
	while (!TAILQ_EMPTY(&port->peers))
		peer_free(TAILQ_FIRST(&port->peers));
}

void
peer_answer(struct stage_peer *peer, unsigned status, const char *headers,
    const void *body, size_t body_bytes)
{
	struct evbuffer *out = kwb_conn_output(&peer->conn);

	evbuffer_add_printf(out,
	    "HTTP/1.1 %u %s\r\n%sKeep-Alive: timeout=10\r\n"
	    "Content-Length: %zu\r\n\r\n",
	    status, http_status_str((enum http_status)status), headers,
	    body_bytes);
	evbuffer_add(out, body, body_bytes);
	kwb_conn_read_next(&peer->conn);
}
