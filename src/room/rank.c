/*
 * The rank of a request by its workspace and route, and what it means in the
 * queues of upstreams.
 */
#include "kwb_node.h"

uint32_t
kwb_room_rank(const struct kwb_node_config *config, const char *workspace,
    const struct kwb_route_entry *route)
{
	if (!config->has_workspaces)
		return 0;
	return kwb_access_rank(
	    kwb_node_config_find_workspace(config, workspace), route);
}

/*
 * One step, so that interactive requests of any rank go before items, which
 * have no rank there: an upstream that preempts a running item for an urgent
 * one loses its work.
 */
int32_t
kwb_room_priority(uint32_t rank)
{
	return rank > 0 ? KWB_PRIORITY_CALLER + 1 : KWB_PRIORITY_CALLER;
}
