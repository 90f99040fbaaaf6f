/*
 * Decisions on who runs a batch. They answer nodes that die at any moment, and
 * fleets of large and very small nodes: a tenth of a core falls behind in
 * reading the events of a batch, and its trainer waits.
 */
#include "kwb_node.h"

bool
kwb_heartbeat_is_recent(
    const struct kwb_node_heartbeat *heartbeat, uint64_t now_ns)
{
	return heartbeat->revision != 0 && heartbeat->changed &&
	    now_ns - heartbeat->changed_ns < KWB_OWNER_RECENT_NS;
}

/* Counted are only reads that succeeded: the silence may be the reader's. */
bool
kwb_heartbeat_is_expired(
    const struct kwb_node_heartbeat *heartbeat, uint64_t now_ns)
{
	return heartbeat->reads >= KWB_OWNER_EXPIRED_READS &&
	    now_ns - heartbeat->seen_ns >= KWB_OWNER_EXPIRED_NS;
}

/*
 * An idle node does not heartbeat and needs time to begin. One that was beating
 * may have died just now, before anyone could know.
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
 * Spread evenly, over a time that grows as the node is smaller, and with the
 * fleet: the first claim comes as soon, and as few nodes claim before they have
 * heard of it.
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
