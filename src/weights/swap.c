/*
 * Order of weight swaps: which server of a failure domain swaps next. Only a
 * part of the servers swaps at once, so that the others serve meanwhile.
 */
#include "kwb.h"

/* Part of the usable servers that swaps at once, by the plan's objective. */
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
 * The server with the fewest requests in flight among those that are due. A
 * swap pauses running requests, so with slack a busy server waits until idle.
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
