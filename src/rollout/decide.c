/*
 * Decisions of a step: when a stalled sample is hedged, and whether a sample is
 * within the staleness bound. Pure functions.
 */
#include "kwb.h"

#define SILENT_TOKENS 40 /* usual token times, then a sample has stalled */
#define SILENT_MIN_NS (500 * KWB_MS_NS)
#define WASTE_PERCENT_MAX 4    /* of all generated tokens */
#define WASTE_FLOOR_TOKENS 256 /* allowed beyond that */

/*
 * A sample is hedged when its stream has stalled, all samples have been
 * started, another agent has a free slot, and few tokens have been wasted so
 * far.
 */
bool
kwb_hedge_is_due(const struct kwb_hedge_input *input)
{
	uint64_t silent_max_ns = SILENT_TOKENS * input->token_ns;
	uint64_t waste_max = input->generated_tokens * WASTE_PERCENT_MAX / 100 +
	    WASTE_FLOOR_TOKENS;

	if (input->unstarted > 0 || input->idle_units == 0)
		return false;
	if (input->wasted_tokens > waste_max)
		return false;
	if (silent_max_ns < SILENT_MIN_NS)
		silent_max_ns = SILENT_MIN_NS;
	if (input->objective == KWB_OBJECTIVE_STALENESS)
		silent_max_ns *= 2;
	return input->silent_ns > silent_max_ns;
}

bool
kwb_sample_is_fresh(const struct kwb_sample_age *age)
{
	return age->oldest_version + age->bound_versions >=
	    age->trainer_version;
}
