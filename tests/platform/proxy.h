/*
 * A loopback proxy for the soak: passes connections on, or treats them badly.
 */
#ifndef KWB_TESTS_PROXY_H
#define KWB_TESTS_PROXY_H

#include <event2/event.h>

#include "kwb_node.h"

enum proxy_mode {
	PROXY_PASS,
	PROXY_DELAY,  /* each piece 150 ms later */
	PROXY_RESET,  /* resets all, and each new one */
	PROXY_ONEWAY, /* nothing comes back any more */
	PROXY_SILENT, /* nothing passes on what is open; new ones work */
	PROXY_CUT,    /* nothing passes, and new ones hang */
	PROXY_MODES
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
void proxy_set(struct proxy *proxy, enum proxy_mode mode);
void proxy_close(struct proxy *proxy);

#endif
