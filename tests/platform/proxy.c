/*
 * Loopback TCP proxy that simulates network faults.
 */
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "proxy.h"

#define DELAY_MS 150
#define REQUEST_BYTES 128

struct proxy_pair {
	struct proxy *proxy;
	struct bufferevent *client_side; /* connection that was accepted */
	struct bufferevent *target_side; /* connection to the target */
	struct event *timer;		 /* forwards delayed bytes */
	bool is_frozen;			 /* forwards nothing any more */
	char request[REQUEST_BYTES];	 /* begin of the newest one */
	TAILQ_ENTRY(proxy_pair) entry;
};

static void
pair_free(struct proxy_pair *pair, bool reset)
{
	struct linger reset_on_close = {.l_onoff = 1, .l_linger = 0};

	if (reset)
		setsockopt(bufferevent_getfd(pair->client_side), SOL_SOCKET,
		    SO_LINGER, &reset_on_close, sizeof(reset_on_close));
	TAILQ_REMOVE(&pair->proxy->pairs, pair, entry);
	bufferevent_free(pair->client_side);
	bufferevent_free(pair->target_side);
	event_free(pair->timer);
	free(pair);
}

static void
forward_bytes(struct bufferevent *from, struct bufferevent *to)
{
	bufferevent_write_buffer(to, bufferevent_get_input(from));
}

static void
pair_forward(struct proxy_pair *pair)
{
	enum proxy_mode mode = pair->proxy->mode;

	if (pair->is_frozen || mode == PROXY_BLACKHOLE)
		return;
	if (evbuffer_get_length(bufferevent_get_input(pair->client_side)) > 0)
		memset(pair->request, 0, sizeof(pair->request));
	evbuffer_copyout(bufferevent_get_input(pair->client_side),
	    pair->request, sizeof(pair->request) - 1);
	forward_bytes(pair->client_side, pair->target_side);
	if (mode != PROXY_DROP_REPLIES)
		forward_bytes(pair->target_side, pair->client_side);
}

static void
pair_on_timer(int fd, short what, void *context)
{
	(void)fd;
	(void)what;
	pair_forward(context);
}

static void
pair_on_read(struct bufferevent *bev, void *context)
{
	struct proxy_pair *pair = context;

	(void)bev;
	if (pair->proxy->mode == PROXY_DELAY)
		kwb_timer_arm(
		    pair->timer, kwb_clock_now_ns() + DELAY_MS * KWB_MS_NS);
	else
		pair_forward(pair);
}

static void
pair_on_event(struct bufferevent *bev, short what, void *context)
{
	struct proxy_pair *pair = context;

	if (what & BEV_EVENT_CONNECTED)
		return;
	/* A reset takes back what the path holds up. */
	if (pair->proxy->mode == PROXY_BLACKHOLE && (what & BEV_EVENT_ERROR)) {
		pair_free(pair, true);
		return;
	}
	if (pair->is_frozen || pair->proxy->mode == PROXY_BLACKHOLE)
		return;
	/* Forward what has arrived before closing. */
	pair_forward(pair);
	bufferevent_flush(
	    bev == pair->client_side ? pair->target_side : pair->client_side,
	    EV_WRITE, BEV_FINISHED);
	pair_free(pair, (what & BEV_EVENT_ERROR) != 0);
}

static void
proxy_on_accept(struct evconnlistener *listener, int fd, struct sockaddr *from,
    int from_bytes, void *context)
{
	struct proxy *proxy = context;
	struct proxy_pair *pair = calloc(1, sizeof(*pair));
	struct sockaddr_in to = {
	    .sin_family = AF_INET, .sin_port = htons(proxy->target.port)};

	(void)listener;
	(void)from;
	(void)from_bytes;
	inet_pton(AF_INET, proxy->target.ip, &to.sin_addr);
	pair->proxy = proxy;
	pair->client_side =
	    bufferevent_socket_new(proxy->base, fd, BEV_OPT_CLOSE_ON_FREE);
	pair->target_side =
	    bufferevent_socket_new(proxy->base, -1, BEV_OPT_CLOSE_ON_FREE);
	pair->timer = kwb_timer_new(proxy->base, pair_on_timer, pair);
	TAILQ_INSERT_TAIL(&proxy->pairs, pair, entry);
	bufferevent_setcb(
	    pair->client_side, pair_on_read, NULL, pair_on_event, pair);
	bufferevent_setcb(
	    pair->target_side, pair_on_read, NULL, pair_on_event, pair);
	bufferevent_socket_connect(
	    pair->target_side, (struct sockaddr *)&to, sizeof(to));
	bufferevent_enable(pair->client_side, EV_READ | EV_WRITE);
	bufferevent_enable(pair->target_side, EV_READ | EV_WRITE);
	if (proxy->mode == PROXY_RESET)
		pair_free(pair, true);
}

int
proxy_open(struct proxy *proxy, struct event_base *base,
    const struct kwb_address *target)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t length = sizeof(address);

	memset(proxy, 0, sizeof(*proxy));
	TAILQ_INIT(&proxy->pairs);
	proxy->base = base;
	proxy->target = *target;
	inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
	proxy->listener = evconnlistener_new_bind(base, proxy_on_accept, proxy,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 128,
	    (struct sockaddr *)&address, sizeof(address));
	if (proxy->listener == NULL)
		return KWB_ERR_SYSTEM;
	getsockname(evconnlistener_get_fd(proxy->listener),
	    (struct sockaddr *)&address, &length);
	kwb_text_copy(
	    proxy->address.ip, sizeof(proxy->address.ip), "127.0.0.1");
	proxy->address.port = ntohs(address.sin_port);
	return 0;
}

void
proxy_set_mode(struct proxy *proxy, enum proxy_mode mode)
{
	struct proxy_pair *pair = TAILQ_FIRST(&proxy->pairs);
	struct proxy_pair *next;

	proxy->mode = mode;
	for (; pair != NULL; pair = next) {
		next = TAILQ_NEXT(pair, entry);
		if (mode == PROXY_RESET)
			pair_free(pair, true);
		else if (mode == PROXY_FREEZE_OPEN)
			pair->is_frozen = true;
		else if (mode == PROXY_FORWARD)
			pair_forward(pair);
	}
}

unsigned
proxy_freeze_matching(struct proxy *proxy, const char *text)
{
	struct proxy_pair *pair;
	unsigned count = 0;

	TAILQ_FOREACH (pair, &proxy->pairs, entry)
		if (strstr(pair->request, text) != NULL) {
			pair->is_frozen = true;
			count++;
		}
	return count;
}

void
proxy_close(struct proxy *proxy)
{
	struct proxy_pair *pair = TAILQ_FIRST(&proxy->pairs);
	struct proxy_pair *next;

	for (; pair != NULL; pair = next) {
		next = TAILQ_NEXT(pair, entry);
		pair_free(pair, true);
	}
	evconnlistener_free(proxy->listener);
}
