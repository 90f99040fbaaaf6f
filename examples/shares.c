/*
 * Three agents share an allowance of 10 units. The first holds all of them and
 * is busy, so it gives units back only as its requests end. The sum never
 * exceeds 10.
 */
#include <stdio.h>

#include "kwb.h"

int
main(void)
{
	struct kwb_share_member members[] = {
	    {.vm = "llm-1", .units = 10},
	    {.vm = "llm-2"},
	    {.vm = "llm-3"},
	};
	uint32_t running[] = {7, 0, 0};
	unsigned round, i;

	for (round = 0; round < 4; round++) {
		for (i = 0; i < 3; i++)
			members[i].units = kwb_share_next(
			    10, "quotes", members, 3, i, running[i]);
		printf("round %u: %u %u %u\n", round, members[0].units,
		    members[1].units, members[2].units);
		running[0] = running[0] > 3 ? running[0] - 3 : 0;
	}
	return 0;
}
