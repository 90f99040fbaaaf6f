/* Which window of usage is reported next, and when. */
#include "kwb_node.h"

/*
 * Load: windows that end one after the other, an outage of the store or of all
 * nodes, which leaves many of them, and parts that come late. A report can't be
 * corrected, so it waits for the parts as long as its due time leaves room for
 * another holder. Windows of an outage of all nodes are empty and are left out.
 * The first window is only marked, at once, so that a later holder begins
 * there.
 */
void
kwb_usage_plan(
    const struct kwb_usage_plan_input *input, struct kwb_usage_plan *plan)
{
	uint64_t stale_ms = (uint64_t)input->late_ms + KWB_USAGE_STALE_MS;
	uint64_t oldest_fresh = input->now_ms > stale_ms + input->window_ms
	    ? (input->now_ms - stale_ms) / input->window_ms
	    : 0;
	bool has_part = input->oldest_part != 0 &&
	    (!input->has_floor || input->oldest_part > input->floor);

	plan->window = input->has_floor
	    ? input->floor + 1
	    : (input->now_ms - input->late_ms) / input->window_ms;
	plan->is_first = !input->has_floor;
	if (plan->window < oldest_fresh)
		plan->window = oldest_fresh;
	if (has_part && input->oldest_part < plan->window)
		plan->window = input->oldest_part;
	if (plan->is_first) {
		plan->decide_ms = 0;
		return;
	}
	plan->decide_ms = (plan->window + 1) * input->window_ms +
	    (uint64_t)input->late_ms * KWB_USAGE_DECIDE_PERCENT / 100;
	if (input->recovered_ms != 0 &&
	    plan->decide_ms < input->recovered_ms + KWB_USAGE_RECOVERY_MS)
		plan->decide_ms = input->recovered_ms + KWB_USAGE_RECOVERY_MS;
}
