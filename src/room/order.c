/*
 * The order of requests that wait for room. Answers three loads: ranks that
 * together ask for more than there is, one workspace that asks for more than
 * all others, and an urgent rank that alone fills all places.
 */
#include "kwb_room.h"

/*
 * Without a bound, the least urgent request would wait for as long as there is
 * a more urgent one, and so never be served under steady load.
 */
bool
kwb_room_is_overdue(const struct kwb_room_claim *claim, uint64_t now_ns)
{
	uint64_t had_ns = claim->deadline_ns > claim->since_ns
	    ? claim->deadline_ns - claim->since_ns
	    : 0;
	uint64_t limit_ns = had_ns / KWB_ROOM_OVERDUE_DIVISOR;

	if (limit_ns > KWB_ROOM_OVERDUE_NS)
		limit_ns = KWB_ROOM_OVERDUE_NS;
	return now_ns >= claim->since_ns + limit_ns;
}

static int
compare_u64(uint64_t a, uint64_t b)
{
	return a < b ? -1 : a > b;
}

/*
 * Within a rank, the workspace that had the fewest places lately goes first.
 * Places then go round until each has what it asks for or all have the same:
 * max-min fairness, and what one leaves unused goes on to the others.
 */
int
kwb_room_compare(const struct kwb_room_claim *a, const struct kwb_room_claim *b,
    uint64_t now_ns)
{
	bool is_a_overdue = kwb_room_is_overdue(a, now_ns);
	int order;

	if (is_a_overdue != kwb_room_is_overdue(b, now_ns))
		return is_a_overdue ? -1 : 1;
	order = compare_u64(a->rank, b->rank);
	if (is_a_overdue)
		order = 0;
	if (order == 0)
		order = compare_u64(a->share_milli, b->share_milli);
	if (order == 0)
		order = compare_u64(a->deadline_ns, b->deadline_ns);
	if (order == 0)
		order = compare_u64(a->since_ns, b->since_ns);
	return order;
}
