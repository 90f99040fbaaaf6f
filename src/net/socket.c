/*
 * TCP sockets of a node: listening, connecting, and TCP_NODELAY.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "kwb_node.h"

#define LISTEN_BACKLOG 1024 /* connections not accepted yet */

static int
address_to_sockaddr(const struct kwb_address *address, struct sockaddr_in *to)
{
	*to = (struct sockaddr_in){
	    .sin_family = AF_INET, .sin_port = htons(address->port)};
	return inet_pton(AF_INET, address->ip, &to->sin_addr) == 1
	    ? 0
	    : KWB_ERR_ARGUMENT;
}

void
kwb_socket_set_no_delay(int fd)
{
	int on = 1;

	if (setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on)) != 0)
		kwb_log(
		    KWB_LOG_WARN, "socket", "event=no_delay_failed fd=%d", fd);
}

void
kwb_socket_set_reset_on_close(int fd)
{
	struct linger reset_on_close = {.l_onoff = 1, .l_linger = 0};

	if (fd >= 0 &&
	    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close,
		sizeof(reset_on_close)) != 0)
		kwb_log(
		    KWB_LOG_WARN, "socket", "event=linger_failed fd=%d", fd);
}

/* Out of descriptors or memory: accepts again after the owner's next check. */
static void
listener_on_error(struct evconnlistener *listener, void *context)
{
	(void)context;
	kwb_log(KWB_LOG_ERROR, "socket", "event=accept_failed errno=%d", errno);
	evconnlistener_disable(listener);
}

int
kwb_socket_listen(struct event_base *base, const struct kwb_address *address,
    void (*on_accept)(struct evconnlistener *listener, int fd,
	struct sockaddr *from, int from_bytes, void *context),
    void *context, struct evconnlistener **listener)
{
	struct sockaddr_in bind_address;
	int code = address_to_sockaddr(address, &bind_address);

	if (code != 0)
		return code;
	*listener = evconnlistener_new_bind(base, on_accept, context,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
	    LISTEN_BACKLOG, (struct sockaddr *)&bind_address,
	    sizeof(bind_address));
	if (*listener != NULL) {
		evconnlistener_set_error_cb(*listener, listener_on_error);
		return 0;
	}
	kwb_log(KWB_LOG_ERROR, "socket", "event=listen_failed address=%s:%u",
	    address->ip, address->port);
	return KWB_ERR_SYSTEM;
}

int
kwb_socket_connect(
    struct bufferevent *socket, const struct kwb_address *address)
{
	struct sockaddr_in to;
	int code = address_to_sockaddr(address, &to);

	if (code != 0)
		return code;
	if (bufferevent_socket_connect(
		socket, (struct sockaddr *)&to, sizeof(to)) != 0)
		return KWB_ERR_NET_CONNECT;
	kwb_socket_set_no_delay(bufferevent_getfd(socket));
	return 0;
}
