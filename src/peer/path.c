/*
 * Decides which way calls to the store take. Answers a load of faults in which
 * the store serves some nodes and not others: a cut path, or a store that turns
 * a node away. While the store is out for all there is no peer to go through.
 */
#include "kwb_node.h"

enum kwb_path
kwb_path_choose(const struct kwb_path_input *input)
{
	if (input->direct_silence_ns < KWB_PATH_SILENT_NS)
		return KWB_PATH_DIRECT;
	if (input->is_relayed && input->relay_silence_ns < KWB_PATH_SILENT_NS)
		return KWB_PATH_RELAY;
	/* A node with little to do may just not have asked. */
	if (input->probe_unanswered_ns < KWB_PATH_UNANSWERED_NS)
		return KWB_PATH_PROBE;
	return KWB_PATH_SEARCH;
}

/* A node that has lost its own path is of no use to another one. */
bool
kwb_relay_can_accept(const struct kwb_relay_input *input)
{
	return !input->is_relayed && !input->is_stopping &&
	    input->direct_silence_ns < KWB_RELAY_FRESH_NS &&
	    input->pairs < input->pairs_max;
}
