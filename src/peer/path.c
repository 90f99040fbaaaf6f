/*
 * Chooses the path of calls to the store. A peer helps when the store serves
 * some nodes and not others: the node's path is cut, or the store turns the
 * node away. During an outage of the store itself no peer accepts connections.
 */
#include "kwb_node.h"

enum kwb_path
kwb_path_choose(const struct kwb_path_input *input)
{
	if (input->direct_silence_ns < KWB_PATH_SILENT_NS)
		return KWB_PATH_DIRECT;
	if (input->is_relayed && input->relay_silence_ns < KWB_PATH_SILENT_NS)
		return KWB_PATH_RELAY;
	/* An idle node may just have sent no calls: a probe decides. */
	if (input->probe_unanswered_ns < KWB_PATH_UNANSWERED_NS)
		return KWB_PATH_PROBE;
	return KWB_PATH_SEARCH;
}

/* A node without a working path of its own cannot help another. */
bool
kwb_relay_can_accept(const struct kwb_relay_input *input)
{
	return !input->is_relayed && !input->is_stopping &&
	    input->direct_silence_ns < KWB_RELAY_FRESH_NS &&
	    input->pairs < input->pairs_max;
}
