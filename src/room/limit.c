/*
 * How many requests a node has at a service at a time. Answers load that comes
 * through many nodes, each of which sees a small part of it: when upstreams say
 * that requests wait there and answers come late, each node holds back what
 * would only wait, and sends more again as answers come in time.
 */
#include <string.h>

#include "kwb_room.h"

#define ONE_MILLI 1000

void
kwb_room_limit_init(struct kwb_room_limit *limit)
{
	memset(limit, 0, sizeof(*limit));
	limit->limit_milli = KWB_ROOM_LIMIT_MAX_MILLI;
}

/* A slow or silent upstream alone is no sign that the service is crowded. */
static bool
is_crowded(const struct kwb_room_limit *limit, uint64_t now_ns)
{
	return limit->crowded_ns != 0 &&
	    now_ns - limit->crowded_ns < KWB_ROOM_CROWDED_NS;
}

static bool
is_late(const struct kwb_room_outcome *outcome)
{
	return outcome->is_timed_out || outcome->is_refused ||
	    outcome->taken_ns >= outcome->had_ns / KWB_ROOM_LATE_DIVISOR;
}

/* The last value counts a quarter: one slow request says little. */
static void
smooth_outcomes(
    struct kwb_room_limit *limit, const struct kwb_room_outcome *outcome)
{
	uint32_t late_milli = is_late(outcome) ? ONE_MILLI : 0;

	if (limit->taken_ns == 0)
		limit->taken_ns = outcome->taken_ns;
	limit->taken_ns = (limit->taken_ns * 3 + outcome->taken_ns) / 4;
	limit->late_milli = (limit->late_milli * 3 + late_milli) / 4;
}

/*
 * Additive increase, multiplicative decrease, as in TCP: nodes that don't know
 * of each other come to equal parts. What the node has there now counts, as a
 * limit that was never reached says nothing.
 */
void
kwb_room_limit_update(struct kwb_room_limit *limit,
    const struct kwb_room_outcome *outcome, uint64_t now_ns)
{
	uint32_t has_milli = limit->in_flight * ONE_MILLI;

	if (outcome->is_refused || outcome->has_others)
		limit->crowded_ns = now_ns;
	smooth_outcomes(limit, outcome);
	if (!is_late(outcome)) {
		limit->limit_milli +=
		    ONE_MILLI * ONE_MILLI / limit->limit_milli;
		if (limit->limit_milli > KWB_ROOM_LIMIT_MAX_MILLI)
			limit->limit_milli = KWB_ROOM_LIMIT_MAX_MILLI;
		return;
	}
	/* Once for all that were there together. */
	if (limit->late_milli < ONE_MILLI / 2 || !is_crowded(limit, now_ns) ||
	    now_ns - outcome->taken_ns < limit->lowered_ns)
		return;
	limit->lowered_ns = now_ns;
	if (limit->limit_milli > has_milli)
		limit->limit_milli = has_milli;
	limit->limit_milli -= limit->limit_milli / 8;
	if (limit->limit_milli < KWB_ROOM_LIMIT_MIN_MILLI)
		limit->limit_milli = KWB_ROOM_LIMIT_MIN_MILLI;
}

bool
kwb_room_limit_has_room(const struct kwb_room_limit *limit)
{
	return (limit->in_flight + 1) * ONE_MILLI <= limit->limit_milli;
}
