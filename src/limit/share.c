/*
 * Shares of a plan's allowance. The agents of its pool are the members; the
 * pool's row in the table lists the units of each. No step raises their sum
 * above the allowance: a member takes only units that another has given back.
 */
#include "kwb.h"

static unsigned rank_of(const char *plan,
    const struct kwb_share_member *members, unsigned count, unsigned self);

/*
 * Few members hold many units each, so that an entry reaches the whole
 * allowance over few links and few servers load the plan's weights. The minimum
 * keeps the load spread.
 */
uint32_t
kwb_share_holders(uint32_t allowance, unsigned members)
{
	uint32_t holders = (allowance + KWB_SHARE_UNITS_PER_HOLDER - 1) /
	    KWB_SHARE_UNITS_PER_HOLDER;

	if (holders < KWB_SHARE_HOLDERS_MIN)
		holders = KWB_SHARE_HOLDERS_MIN;
	return holders < members ? holders : members;
}

/*
 * The holders are the members that rank highest by rendezvous hashing. They get
 * equal parts, and the first of these one more unit each of the remainder.
 */
uint32_t
kwb_share_fair(uint32_t allowance, const char *plan,
    const struct kwb_share_member *members, unsigned count, unsigned self)
{
	uint32_t holders = kwb_share_holders(allowance, count);
	unsigned rank = rank_of(plan, members, count, self);

	if (rank >= holders)
		return 0;
	return allowance / holders + (rank < allowance % holders);
}

/*
 * Moves towards the fair part: down as far as running requests allow, up as far
 * as units are free.
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
