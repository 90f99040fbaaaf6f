/*
 * Loopback TCP proxy that simulates network faults. The script runner and the
 * soak place it between two processes.
 */
#ifndef KWB_TESTS_PROXY_H
#define KWB_TESTS_PROXY_H

#include <event2/event.h>

#include "kwb_node.h"

/* Affects all connections of a proxy, unless said otherwise. */
enum proxy_mode {
	PROXY_FORWARD,	    /* forwards both directions */
	PROXY_DELAY,	    /* forwards what arrives 150 ms later */
	PROXY_RESET,	    /* resets open connections and each new one */
	PROXY_DROP_REPLIES, /* forwards nothing from the target */
	PROXY_FREEZE_OPEN,  /* freezes open connections; new ones work */
	/* Accepts, but forwards nothing; drops what its sender has reset. */
	PROXY_BLACKHOLE,
	PROXY_MODE_COUNT
};

/* A client's connection and the one to the target that belongs to it. */
struct proxy_pair;
TAILQ_HEAD(proxy_pair_list, proxy_pair);

struct proxy {
	struct event_base *base;
	struct evconnlistener *listener;
	struct kwb_address address; /* where it listens */
	struct kwb_address target;  /* where it connects to */
	struct proxy_pair_list pairs;
	enum proxy_mode mode;
};

/* Listens on a free loopback port; returns 0 or KWB_ERR_SYSTEM. */
int proxy_open(struct proxy *proxy, struct event_base *base,
    const struct kwb_address *target);
/*
 * Changes the mode. Bytes that were held back are forwarded on return to
 * PROXY_FORWARD, except on frozen connections: these stay frozen.
 */
void proxy_set_mode(struct proxy *proxy, enum proxy_mode mode);
/*
 * Freezes the open connections whose newest request contains the text in its
 * first bytes; returns their number. All others go on.
 */
unsigned proxy_freeze_matching(struct proxy *proxy, const char *text);
/* Resets all connections and stops listening. */
void proxy_close(struct proxy *proxy);

#endif
