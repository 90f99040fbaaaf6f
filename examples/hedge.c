/*
 * Shows when a sample whose stream has stalled is moved to another agent: only
 * near the end of a step, when no sample is left to start, and only if another
 * agent has a free slot.
 */
#include <stdio.h>

#include "kwb.h"

int
main(void)
{
	struct kwb_hedge_input input = {
	    .idle_units = 3,
	    .token_ns = 30 * KWB_MS_NS,
	    .generated_tokens = 20000,
	};
	uint64_t silent_ms;

	for (silent_ms = 0; silent_ms <= 2000; silent_ms += 400) {
		input.silent_ns = silent_ms * KWB_MS_NS;
		printf("silent for %4llu ms: %s\n",
		    (unsigned long long)silent_ms,
		    kwb_hedge_is_due(&input) ? "moved" : "not moved");
	}
	return 0;
}
