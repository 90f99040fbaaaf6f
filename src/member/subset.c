/*
 * Deterministic subset of agents an entry connects to, by rendezvous hashing:
 * per pool, own failure domain first, every other domain present. Connections
 * then grow with the subset and not with the fleet.
 */
#include <string.h>

#include <xxhash.h>

#include "kwb.h"

static int best_left(const struct kwb_vms *vms, const char *self,
    const char *pool, const char *failure_domain, const bool *taken);
static uint64_t score(const struct kwb_vm *vm, const char *self);
static bool first_of_pool(const struct kwb_vms *vms, uint32_t index);
static bool first_of_domain(const struct kwb_vms *vms, uint32_t index);
static unsigned pool_subset(const struct kwb_vms *vms, const char *self,
    const char *failure_domain, const char *pool, unsigned wanted,
    bool *taken, uint32_t *chosen);

uint64_t
kwb_hash(const char *text, uint64_t seed)
{
	return XXH64(text, strlen(text), seed);
}

unsigned
kwb_subset(const struct kwb_vms *vms, const char *self,
    const char *failure_domain, unsigned wanted, uint32_t *chosen,
    unsigned chosen_max)
{
	bool taken[KWB_VMS_MAX] = {false};
	unsigned used = 0;
	uint32_t i;

	for (i = 0; i < vms->count; i++) {
		unsigned room = chosen_max - used;

		if (strcmp(vms->vms[i].role, "agent") != 0 ||
		    !first_of_pool(vms, i))
			continue;
		used += pool_subset(vms, self, failure_domain,
		    vms->vms[i].pool, wanted < room ? wanted : room, taken,
		    chosen + used);
	}
	return used;
}

static unsigned
pool_subset(const struct kwb_vms *vms, const char *self,
    const char *failure_domain, const char *pool, unsigned wanted,
    bool *taken, uint32_t *chosen)
{
	unsigned used = 0;
	uint32_t i;
	int best;

	/* One of each other domain, so that the loss of one leaves others. */
	for (i = 0; i < vms->count && used < wanted; i++) {
		if (strcmp(vms->vms[i].pool, pool) != 0 ||
		    !first_of_domain(vms, i))
			continue;
		best = best_left(vms, self, pool, vms->vms[i].failure_domain,
		    taken);
		if (best < 0)
			continue;
		taken[best] = true;
		chosen[used++] = (uint32_t)best;
	}
	while (used < wanted) {
		best = best_left(vms, self, pool, failure_domain, taken);
		if (best < 0)
			best = best_left(vms, self, pool, NULL, taken);
		if (best < 0)
			break;
		taken[best] = true;
		chosen[used++] = (uint32_t)best;
	}
	return used;
}

static int
best_left(const struct kwb_vms *vms, const char *self, const char *pool,
    const char *failure_domain, const bool *taken)
{
	uint64_t best_score = 0, this_score;
	int best = -1;
	uint32_t i;

	for (i = 0; i < vms->count; i++) {
		const struct kwb_vm *vm = &vms->vms[i];

		if (taken[i] || strcmp(vm->role, "agent") != 0 ||
		    strcmp(vm->pool, pool) != 0)
			continue;
		if (failure_domain != NULL &&
		    strcmp(vm->failure_domain, failure_domain) != 0)
			continue;
		this_score = score(vm, self);
		if (best < 0 || this_score > best_score) {
			best = (int)i;
			best_score = this_score;
		}
	}
	return best;
}

static uint64_t
score(const struct kwb_vm *vm, const char *self)
{
	return kwb_hash(vm->vm, kwb_hash(self, 0));
}

static bool
first_of_pool(const struct kwb_vms *vms, uint32_t index)
{
	uint32_t i;

	for (i = 0; i < index; i++)
		if (strcmp(vms->vms[i].role, "agent") == 0 &&
		    strcmp(vms->vms[i].pool, vms->vms[index].pool) == 0)
			return false;
	return true;
}

static bool
first_of_domain(const struct kwb_vms *vms, uint32_t index)
{
	const struct kwb_vm *vm = &vms->vms[index];
	uint32_t i;

	if (strcmp(vm->role, "agent") != 0)
		return false;
	for (i = 0; i < index; i++)
		if (strcmp(vms->vms[i].role, "agent") == 0 &&
		    strcmp(vms->vms[i].pool, vm->pool) == 0 &&
		    strcmp(vms->vms[i].failure_domain, vm->failure_domain) ==
		        0)
			return false;
	return true;
}
