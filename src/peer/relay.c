/*
 * The relay: copies bytes between a peer's connections and the store without
 * reading them, so that calls keep their conditions and answers. The number of
 * connections, the bytes buffered for each and its idle time are bounded. It
 * always uses this node's direct path, so relays never form a chain.
 */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "kwb_node.h"

/* A peer's connection and the one to the store that it is relayed to. */
struct kwb_relay_pair {
	struct kwb_relay *relay;
	struct bufferevent *peer;
	struct bufferevent *store;
	/* One side has closed; its last bytes are still to be sent on. */
	bool is_closing;
	TAILQ_ENTRY(kwb_relay_pair) entry;
};

static struct bufferevent *
other_side(const struct kwb_relay_pair *pair, const struct bufferevent *side)
{
	return side == pair->peer ? pair->store : pair->peer;
}

static void
pair_free(struct kwb_relay_pair *pair)
{
	TAILQ_REMOVE(&pair->relay->pairs, pair, entry);
	pair->relay->pairs_count--;
	if (pair->peer != NULL)
		bufferevent_free(pair->peer);
	if (pair->store != NULL)
		bufferevent_free(pair->store);
	free(pair);
}

/* After an error or a timeout: the call that was relayed has been given up. */
static void
pair_reset(struct kwb_relay_pair *pair)
{
	kwb_socket_set_reset_on_close(bufferevent_getfd(pair->peer));
	kwb_socket_set_reset_on_close(bufferevent_getfd(pair->store));
	pair_free(pair);
}

static void
side_on_readable(struct bufferevent *side, void *context)
{
	struct kwb_relay_pair *pair = context;
	struct bufferevent *to = other_side(pair, side);
	struct evbuffer *out = bufferevent_get_output(to);

	kwb_metric_add(KWB_METRIC_RELAYED_BYTES,
	    evbuffer_get_length(bufferevent_get_input(side)));
	evbuffer_add_buffer(out, bufferevent_get_input(side));
	/* Bounds the bytes buffered for a side that does not read. */
	if (evbuffer_get_length(out) >= KWB_RELAY_BUFFER_BYTES)
		bufferevent_disable(side, EV_READ);
}

static void
side_on_written(struct bufferevent *side, void *context)
{
	struct kwb_relay_pair *pair = context;

	if (evbuffer_get_length(bufferevent_get_output(side)) > 0)
		return;
	if (pair->is_closing)
		pair_free(pair);
	else
		bufferevent_enable(other_side(pair, side), EV_READ);
}

static void
side_on_event(struct bufferevent *side, short what, void *context)
{
	struct kwb_relay_pair *pair = context;
	struct bufferevent *to = other_side(pair, side);

	if (what & BEV_EVENT_CONNECTED)
		return;
	if (!(what & BEV_EVENT_EOF)) {
		pair_reset(pair);
		return;
	}
	if (!pair->is_closing &&
	    evbuffer_get_length(bufferevent_get_output(to)) > 0) {
		pair->is_closing = true;
		bufferevent_disable(side, EV_READ | EV_WRITE);
		return;
	}
	pair_free(pair);
}

static void
side_start(struct bufferevent *side, struct kwb_relay_pair *pair)
{
	const struct timeval idle = {.tv_sec = KWB_RELAY_IDLE_S};

	bufferevent_setcb(
	    side, side_on_readable, side_on_written, side_on_event, pair);
	bufferevent_setwatermark(side, EV_READ, 0, KWB_RELAY_BUFFER_BYTES);
	bufferevent_set_timeouts(side, &idle, &idle);
	bufferevent_enable(side, EV_READ | EV_WRITE);
}

static void
relay_on_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *from, int from_bytes, void *context)
{
	struct kwb_relay *relay = context;
	struct kwb_relay_input input = {
	    .direct_silence_ns =
		kwb_clock_now_ns() - relay->store->direct_answer_ns,
	    .is_relayed = relay->store->relay != NULL,
	    .is_stopping = relay->is_stopping,
	    .pairs = relay->pairs_count,
	    .pairs_max = relay->pairs_max};
	struct kwb_relay_pair *pair;

	(void)listener;
	(void)from;
	(void)from_bytes;
	pair = kwb_relay_can_accept(&input) ? calloc(1, sizeof(*pair)) : NULL;
	if (pair == NULL) {
		close(fd);
		return;
	}
	pair->relay = relay;
	TAILQ_INSERT_TAIL(&relay->pairs, pair, entry);
	relay->pairs_count++;
	kwb_socket_set_no_delay(fd);
	pair->peer =
	    bufferevent_socket_new(relay->base, fd, BEV_OPT_CLOSE_ON_FREE);
	pair->store =
	    bufferevent_socket_new(relay->base, -1, BEV_OPT_CLOSE_ON_FREE);
	if (pair->peer == NULL)
		close(fd);
	if (pair->peer == NULL || pair->store == NULL ||
	    kwb_socket_connect(pair->store, &relay->settings->store) != 0) {
		kwb_log(KWB_LOG_WARN, "relay", "event=not_opened pairs=%u",
		    relay->pairs_count);
		pair_free(pair);
		return;
	}
	side_start(pair->peer, pair);
	side_start(pair->store, pair);
}

int
kwb_relay_init(struct kwb_relay *relay, struct event_base *base,
    const struct kwb_node_settings *settings, const struct kwb_store *store)
{
	memset(relay, 0, sizeof(*relay));
	relay->base = base;
	relay->settings = settings;
	relay->store = store;
	relay->pairs_max = KWB_RELAY_PAIRS_MAX;
	TAILQ_INIT(&relay->pairs);
	if (settings->peers.port == 0)
		return 0;
	return kwb_socket_listen(
	    base, &settings->peers, relay_on_accept, relay, &relay->listener);
}

void
kwb_relay_stop(struct kwb_relay *relay)
{
	relay->is_stopping = true;
}

void
kwb_relay_finish(struct kwb_relay *relay)
{
	struct kwb_relay_pair *pair = TAILQ_FIRST(&relay->pairs);
	struct kwb_relay_pair *next;

	for (; pair != NULL; pair = next) {
		next = TAILQ_NEXT(pair, entry);
		pair_free(pair);
	}
	if (relay->listener != NULL)
		evconnlistener_free(relay->listener);
}
