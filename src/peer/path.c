/*
 * Decides which way calls to the store take. Answers a load of faults in which
 * the store serves some nodes and not others: a cut path, or a store that turns
 * a node away. While the store is out for all there is no peer to go through.
 */
#include "kwb_node.h"

enum kwb_path
kwb_path_wanted(const struct kwb_path_input *input)
{
	if (input->own_quiet_ns < KWB_PATH_QUIET_NS)
		return KWB_PATH_OWN;
	if (input->is_relayed && input->relay_quiet_ns < KWB_PATH_QUIET_NS)
		return KWB_PATH_RELAY;
	/* A node with little to do may just not have asked. */
	if (input->own_asked_ns < KWB_PATH_ASKED_NS)
		return KWB_PATH_ASK;
	return KWB_PATH_SEEK;
}

/* A node that has lost its own path is of no use to another one. */
bool
kwb_relay_accepts(const struct kwb_relay_input *input)
{
	return !input->is_relayed && !input->is_stopping &&
	    input->own_quiet_ns < KWB_RELAY_FRESH_NS &&
	    input->pairs < input->pairs_max;
}
