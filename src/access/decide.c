/*
 * Decisions on keys, without side effects. They answer for nodes that are cut
 * off, frozen or restarted while an operator takes keys away: such a node must
 * not go on admitting them for longer than the operator allows.
 */
#include "kwb_node.h"

/*
 * An answer proves the state at the sending of its call. It may have lain in a
 * buffer while the node was frozen, and a feed may end shortly after a change
 * without reporting it, when the store is about to drop its history.
 */
uint64_t
kwb_access_proof_ns(const struct kwb_proof_input *input)
{
	return input->is_partial ? 0 : input->sent_ns;
}

uint64_t
kwb_access_proof_max_age_ns(bool is_strict, uint32_t revoke_ms)
{
	if (!is_strict)
		return UINT64_MAX;
	return (revoke_ms - revoke_ms / KWB_ACCESS_MARGIN_DIVISOR) * KWB_MS_NS;
}

/*
 * A request was sent before it was read, and read before now_ns. If its key was
 * taken away, that was acknowledged after proof_ns. So a proof of less than
 * max_age_ns means that the request was sent in time, whatever delays follow.
 *
 * A key is unknown only if the store was asked after the request had come: its
 * owner may have been given it a moment ago.
 */
enum kwb_access_verdict
kwb_access_decide(const struct kwb_access_input *input)
{
	if (input->is_known && input->max_age_ns == UINT64_MAX)
		return KWB_ACCESS_ADMIT;
	if (input->is_known && input->proof_ns != 0 &&
	    (input->now_ns < input->proof_ns ||
		input->now_ns - input->proof_ns <= input->max_age_ns))
		return KWB_ACCESS_ADMIT;
	if (!input->is_known && input->proof_ns >= input->arrived_ns)
		return KWB_ACCESS_UNKNOWN;
	return input->now_ns < input->wait_until_ns ? KWB_ACCESS_ASK
						    : KWB_ACCESS_UNPROVED;
}
