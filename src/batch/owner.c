/*
 * Decisions on who owns a batch. Nodes may die at any moment, and a fleet has
 * large and very small ones: a node with a tenth of a core falls behind in
 * reading the events of a batch, and the trainer waits.
 */
#include "kwb_node.h"

bool
kwb_heartbeat_is_recent(
    const struct kwb_node_heartbeat *heartbeat, uint64_t now_ns)
{
	return heartbeat->revision != 0 && heartbeat->changed &&
	    now_ns - heartbeat->changed_ns < KWB_OWNER_RECENT_NS;
}

/* Only successful reads count: a failed one says nothing of the owner. */
bool
kwb_heartbeat_is_expired(
    const struct kwb_node_heartbeat *heartbeat, uint64_t now_ns)
{
	return heartbeat->reads >= KWB_OWNER_EXPIRED_READS &&
	    now_ns - heartbeat->seen_ns >= KWB_OWNER_EXPIRED_NS;
}

/*
 * An idle node writes no heartbeat and needs time to begin. One whose heartbeat
 * is recent may have died just now, so its silence goes on counting.
 */
void
kwb_heartbeat_note_assignment(
    struct kwb_node_heartbeat *heartbeat, uint64_t now_ns)
{
	if (now_ns - heartbeat->changed_ns < KWB_OWNER_EXPIRED_NS)
		return;
	heartbeat->seen_ns = now_ns;
	heartbeat->reads = 0;
}

/*
 * The delay is spread evenly over a time that is longer for smaller nodes and
 * larger fleets. So the first claim comes as early in a larger fleet, and as
 * few nodes claim before they hear of it.
 */
uint64_t
kwb_claim_delay_ns(uint32_t processor_milli, uint32_t nodes, uint64_t random)
{
	uint64_t spread_ns = KWB_CLAIM_SPREAD_NS * 1000 /
	    (processor_milli > 0 ? processor_milli : 1);

	if (spread_ns > KWB_CLAIM_SPREAD_MAX_NS)
		spread_ns = KWB_CLAIM_SPREAD_MAX_NS;
	if (nodes > KWB_CLAIM_SPREAD_NODES)
		spread_ns = spread_ns * nodes / KWB_CLAIM_SPREAD_NODES;
	return random % spread_ns;
}

bool
kwb_owner_is_kept(uint32_t owner_milli, uint32_t other_milli)
{
	return owner_milli == 0 ||
	    other_milli < owner_milli * KWB_OWNER_PROCESSOR_RATIO;
}
