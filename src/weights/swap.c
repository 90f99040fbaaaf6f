/*
 * Order of weight swaps: which server of a failure domain swaps next. Never
 * more than part of the servers at once, so that others serve meanwhile.
 */
#include "kwb.h"

#define IDLE_AT_ONCE_DIVISOR 4
#define STALENESS_AT_ONCE_DIVISOR 2

static bool
is_due(const struct kwb_swap *swap, const struct kwb_swap_server *server)
{
	uint32_t slack = server->in_flight > 0 ? swap->slack_versions : 0;

	return server->usable && !server->swapping &&
	    server->version + slack < swap->target;
}

/*
 * Among servers that are due, the one with the least in flight. A swap pauses
 * what runs: with slack, a busy server waits until it is idle.
 */
int
kwb_swap_pick(const struct kwb_swap *swap,
    const struct kwb_swap_server *servers, unsigned count)
{
	unsigned divisor = swap->objective == KWB_OBJECTIVE_STALENESS
	    ? STALENESS_AT_ONCE_DIVISOR
	    : IDLE_AT_ONCE_DIVISOR;
	unsigned i, swapping = 0, usable = 0, at_once;
	int best = -1;

	for (i = 0; i < count; i++) {
		swapping += servers[i].swapping;
		usable += servers[i].usable;
	}
	at_once = usable / divisor;
	if (at_once == 0)
		at_once = 1;
	if (swapping >= at_once)
		return -1;
	for (i = 0; i < count; i++) {
		if (!is_due(swap, &servers[i]))
			continue;
		if (best < 0 || servers[i].in_flight < servers[best].in_flight)
			best = (int)i;
	}
	return best;
}
