/*
 * Which agents an entry connects to, by rendezvous hashing. Its own subset
 * takes, in each pool, one agent of every failure domain, then agents of its
 * own domain, then others, so that the number of connections grows with the
 * subset and not with the fleet. The holders of a plan, the agents that should
 * hold units of its allowance, are the first ones of its pool by rank.
 */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "kwb.h"

/* An agent with its index in the VM list and its rendezvous score. */
struct scored_agent {
	const struct kwb_vm *vm;
	uint32_t index;
	uint64_t score;
	bool taken;
};

static unsigned score_agents(const struct kwb_vms *vms, const char *pool,
    uint64_t seed, struct scored_agent *agents);
static int compare_by_pool_and_score(const void *a, const void *b);
static unsigned select_in_pool(struct scored_agent *agents, unsigned count,
    const char *failure_domain, unsigned wanted, uint32_t *chosen);
static bool domain_is_taken(const struct scored_agent *agents, unsigned count,
    const char *failure_domain);

uint64_t
kwb_hash(const char *text, uint64_t seed)
{
	return XXH64(text, strlen(text), seed);
}

unsigned
kwb_subset_select(const struct kwb_vms *vms, const char *self,
    const char *failure_domain, unsigned wanted, uint32_t *chosen,
    unsigned chosen_max)
{
	struct scored_agent *agents = calloc(vms->count + 1, sizeof(*agents));
	unsigned count, first, end, remaining, used = 0;

	if (agents == NULL)
		return 0;
	count = score_agents(vms, NULL, kwb_hash(self, 0), agents);
	for (first = 0; first < count; first = end) {
		for (end = first; end < count &&
		     strcmp(agents[end].vm->pool, agents[first].vm->pool) == 0;
		     end++)
			continue;
		remaining = chosen_max - used;
		used +=
		    select_in_pool(agents + first, end - first, failure_domain,
			wanted < remaining ? wanted : remaining, chosen + used);
	}
	free(agents);
	return used;
}

unsigned
kwb_holders_select(const struct kwb_vms *vms, const char *pool,
    const char *plan, unsigned wanted, uint32_t *chosen, unsigned chosen_max)
{
	struct scored_agent *agents = calloc(vms->count + 1, sizeof(*agents));
	unsigned i, count;

	if (agents == NULL)
		return 0;
	count = score_agents(vms, pool, kwb_hash(plan, 0), agents);
	for (i = 0; i < count && i < wanted && i < chosen_max; i++)
		chosen[i] = agents[i].index;
	free(agents);
	return i;
}

/* Lists the agents of a pool (NULL for all) by pool and falling score. */
static unsigned
score_agents(const struct kwb_vms *vms, const char *pool, uint64_t seed,
    struct scored_agent *agents)
{
	unsigned count = 0;
	uint32_t i;

	for (i = 0; i < vms->count; i++) {
		const struct kwb_vm *vm = &vms->vms[i];

		if (strcmp(vm->role, "agent") != 0 ||
		    (pool != NULL && strcmp(vm->pool, pool) != 0))
			continue;
		agents[count].vm = vm;
		agents[count].index = i;
		agents[count].score = kwb_hash(vm->vm, seed);
		count++;
	}
	qsort(agents, count, sizeof(*agents), compare_by_pool_and_score);
	return count;
}

static int
compare_by_pool_and_score(const void *a, const void *b)
{
	const struct scored_agent *left = a, *right = b;
	int order = strcmp(left->vm->pool, right->vm->pool);

	if (order != 0)
		return order;
	if (left->score != right->score)
		return left->score > right->score ? -1 : 1;
	return strcmp(left->vm->vm, right->vm->vm);
}

/*
 * First pass: one agent of each domain; second: the entry's own domain; third:
 * any others.
 */
static unsigned
select_in_pool(struct scored_agent *agents, unsigned count,
    const char *failure_domain, unsigned wanted, uint32_t *chosen)
{
	unsigned i, pass, used = 0;

	for (pass = 0; pass < 3; pass++) {
		for (i = 0; i < count && used < wanted; i++) {
			const char *domain = agents[i].vm->failure_domain;
			bool is_own_domain =
			    strcmp(domain, failure_domain) == 0;

			if (agents[i].taken || (pass == 1 && !is_own_domain) ||
			    (pass == 0 && domain_is_taken(agents, i, domain)))
				continue;
			agents[i].taken = true;
			chosen[used++] = agents[i].index;
		}
	}
	return used;
}

static bool
domain_is_taken(const struct scored_agent *agents, unsigned count,
    const char *failure_domain)
{
	unsigned i;

	for (i = 0; i < count; i++)
		if (agents[i].taken &&
		    strcmp(agents[i].vm->failure_domain, failure_domain) == 0)
			return true;
	return false;
}
