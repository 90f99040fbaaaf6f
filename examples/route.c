/*
 * A routing decision among three upstreams: on the first the plan has used up
 * its units, the second is swapping its weights, so the third is chosen.
 */
#include <stdio.h>

#include "kwb.h"

int
main(void)
{
	struct kwb_candidate upstreams[] = {
	    {.vm = "llm-1",
		.usable = true,
		.units = 8,
		.plan_in_flight = 8,
		.slots = 16,
		.in_flight = 12,
		.version = 4},
	    {.vm = "llm-2",
		.usable = true,
		.units = 8,
		.plan_in_flight = 1,
		.slots = 16,
		.in_flight = 1,
		.version = 3,
		.swapping = true},
	    {.vm = "llm-3",
		.usable = true,
		.units = 8,
		.plan_in_flight = 5,
		.slots = 16,
		.in_flight = 9,
		.version = 4},
	};
	struct kwb_route_query route = {.affinity_key = "a prompt",
	    .min_version = 3,
	    .random = 42,
	    .exclude = -1};
	struct kwb_choice choice = kwb_route_pick(&route, upstreams, 3);

	if (choice.index < 0) {
		printf("none: %s\n", kwb_error_name(choice.error));
		return 1;
	}
	printf("%s, reason: %s\n", upstreams[choice.index].vm, choice.reason);
	return 0;
}
