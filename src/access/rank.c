/*
 * Decisions on workspaces that need nothing but their config.
 */
#include <string.h>

#include "kwb_node.h"

/*
 * Under load requests of several workspaces wait for the same upstreams. The
 * operator ranks customers, and a route ranks the requests of a customer that
 * has no rank of its own.
 */
uint32_t
kwb_access_rank(
    const struct kwb_workspace *workspace, const struct kwb_route_entry *route)
{
	return workspace != NULL && workspace->has_priority
	    ? workspace->priority
	    : route->priority;
}

/*
 * A batch without a workspace was accepted while there were none, or on a
 * public route; a request has none only where the config asks for no key.
 */
bool
kwb_access_is_owner(const char *owner, const char *workspace)
{
	return owner[0] == '\0' || workspace[0] == '\0' ||
	    strcmp(owner, workspace) == 0;
}
