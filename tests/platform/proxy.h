/*
 * A loopback proxy for the soak: passes connections on, or treats them badly.
 */
#ifndef KWB_TESTS_PROXY_H
#define KWB_TESTS_PROXY_H

#include <event2/event.h>

#include "kwb_node.h"

enum proxy_mode {
	PROXY_FORWARD,
	PROXY_DELAY,	    /* each piece 150 ms later */
	PROXY_RESET,	    /* resets all, and each new one */
	PROXY_DROP_REPLIES, /* nothing comes back any more */
	PROXY_FREEZE_OPEN,  /* nothing passes on what is open; new ones work */
	PROXY_BLACKHOLE,    /* nothing passes, and new ones hang */
	PROXY_MODE_COUNT
};

struct proxy_pair;
TAILQ_HEAD(proxy_pair_list, proxy_pair);

struct proxy {
	struct event_base *base;
	struct evconnlistener *listener;
	struct kwb_address address; /* where it listens */
	struct kwb_address target;
	struct proxy_pair_list pairs;
	enum proxy_mode mode;
};

int proxy_open(struct proxy *proxy, struct event_base *base,
    const struct kwb_address *target);
void proxy_set_mode(struct proxy *proxy, enum proxy_mode mode);
void proxy_close(struct proxy *proxy);

#endif
