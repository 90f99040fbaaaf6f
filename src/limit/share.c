/*
 * Shares of a plan's allowance, held by the agents of its pool. The row of a
 * pool lists each member's units; every step here keeps their sum at or below
 * the allowance: a member gives back before it is taken up elsewhere.
 */
#include "kwb.h"

static unsigned rank_of(const char *plan,
    const struct kwb_share_member *members, unsigned count, unsigned self);

/* An equal part; the remainder goes to the first by rendezvous rank. */
uint32_t
kwb_share_fair(uint32_t allowance, const char *plan,
    const struct kwb_share_member *members, unsigned count, unsigned self)
{
	uint32_t part = allowance / count;
	uint32_t remainder = allowance % count;

	if (remainder == 0)
		return part;
	return part + (rank_of(plan, members, count, self) < remainder);
}

/*
 * What member self may write next: down to its fair part as far as running
 * requests allow, or up to it as far as units are free.
 */
uint32_t
kwb_share_next(uint32_t allowance, const char *plan,
    const struct kwb_share_member *members, unsigned count, unsigned self,
    uint32_t running)
{
	uint32_t held = members[self].units;
	uint32_t fair = kwb_share_fair(allowance, plan, members, count, self);
	uint64_t sum = 0;
	uint32_t free_units;
	unsigned i;

	if (held > fair) {
		if (running <= fair)
			return fair;
		return running < held ? running : held;
	}
	for (i = 0; i < count; i++)
		sum += members[i].units;
	free_units = sum < allowance ? (uint32_t)(allowance - sum) : 0;
	return held + (fair - held < free_units ? fair - held : free_units);
}

static unsigned
rank_of(const char *plan, const struct kwb_share_member *members,
    unsigned count, unsigned self)
{
	uint64_t seed = kwb_hash(plan, 0);
	uint64_t own = kwb_hash(members[self].vm, seed);
	unsigned i, rank = 0;

	for (i = 0; i < count; i++)
		rank += kwb_hash(members[i].vm, seed) > own;
	return rank;
}
