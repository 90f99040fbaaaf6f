/*
 * Routing decision: which upstream takes a request. A pure function of its
 * inputs. Loads are late hints, so two random candidates are compared instead
 * of the one that looks least loaded, together with the two that rendezvous
 * hashing names for the prompt.
 */
#include <string.h>

#include "kwb.h"

#define AFFINITY_BONUS 0.30
#define DOMAIN_PENALTY 0.05
#define COST_NONE 1e9

static bool has_room(
    const struct kwb_route *route, const struct kwb_candidate *candidate);
static bool may_serve(const struct kwb_route *route,
    const struct kwb_candidate *candidate, int index);
static double cost_of(const struct kwb_candidate *candidate);
static int nth_open(const struct kwb_route *route,
    const struct kwb_candidate *candidates, unsigned count, unsigned nth);
static int affine(const struct kwb_route *route,
    const struct kwb_candidate *candidates, unsigned count, int after);
static struct kwb_choice pick_kwb(const struct kwb_route *route,
    const struct kwb_candidate *candidates, unsigned count, unsigned open);
static struct kwb_choice pick_least(const struct kwb_route *route,
    const struct kwb_candidate *candidates, unsigned count);

struct kwb_choice
kwb_route_pick(const struct kwb_route *route,
    const struct kwb_candidate *candidates, unsigned count)
{
	struct kwb_choice choice = {-1, KWB_ERR_ROUTE_NONE, "none_usable"};
	unsigned i, open = 0;

	for (i = 0; i < count; i++) {
		if (!may_serve(route, &candidates[i], (int)i))
			continue;
		choice.error = KWB_ERR_ROUTE_FULL;
		choice.reason = "all_full";
		open += has_room(route, &candidates[i]);
	}
	if (open == 0)
		return choice;
	if (route->policy == KWB_POLICY_LEAST)
		return pick_least(route, candidates, count);
	if (route->policy == KWB_POLICY_ROUND_ROBIN) {
		choice.index = nth_open(
		    route, candidates, count, (unsigned)(route->random % open));
		choice.error = 0;
		choice.reason = "round_robin";
		return choice;
	}
	return pick_kwb(route, candidates, count, open);
}

int
kwb_policy_parse(enum kwb_policy *policy, const char *name)
{
	*policy = KWB_POLICY_KWB;
	if (name[0] == '\0' || strcmp(name, "kwb") == 0)
		return 0;
	*policy = KWB_POLICY_ROUND_ROBIN;
	if (strcmp(name, "round_robin") == 0)
		return 0;
	*policy = KWB_POLICY_LEAST;
	if (strcmp(name, "least") == 0)
		return 0;
	return KWB_ERR_ARGUMENT;
}

static struct kwb_choice
pick_kwb(const struct kwb_route *route, const struct kwb_candidate *candidates,
    unsigned count, unsigned open)
{
	int tries[4] = {-1, -1, -1, -1};
	struct kwb_choice choice = {-1, 0, "two_choices"};
	double cost, best = COST_NONE;
	unsigned i;

	if (route->affinity != NULL) {
		tries[0] = affine(route, candidates, count, -1);
		tries[1] = affine(route, candidates, count, tries[0]);
	}
	tries[2] = nth_open(
	    route, candidates, count, (unsigned)(route->random % open));
	tries[3] = nth_open(
	    route, candidates, count, (unsigned)((route->random >> 32) % open));
	for (i = 0; i < 4; i++) {
		if (tries[i] < 0)
			continue;
		cost = cost_of(&candidates[tries[i]]);
		if (i == 0)
			cost -= AFFINITY_BONUS;
		if (cost >= best)
			continue;
		best = cost;
		choice.index = tries[i];
		choice.reason = i < 2 ? "prefix_affinity" : "two_choices";
	}
	return choice;
}

static struct kwb_choice
pick_least(const struct kwb_route *route,
    const struct kwb_candidate *candidates, unsigned count)
{
	struct kwb_choice choice = {-1, 0, "least_load"};
	unsigned i;

	for (i = 0; i < count; i++) {
		if (!may_serve(route, &candidates[i], (int)i) ||
		    !has_room(route, &candidates[i]))
			continue;
		if (choice.index < 0 ||
		    candidates[i].in_flight <
			candidates[choice.index].in_flight)
			choice.index = (int)i;
	}
	return choice;
}

static bool
may_serve(const struct kwb_route *route, const struct kwb_candidate *candidate,
    int index)
{
	return candidate->usable && index != route->exclude &&
	    candidate->version >= route->min_version && !candidate->swapping;
}

static bool
has_room(const struct kwb_route *route, const struct kwb_candidate *candidate)
{
	return candidate->in_plan < candidate->units &&
	    (route->priority || candidate->in_flight < candidate->slots);
}

static double
cost_of(const struct kwb_candidate *candidate)
{
	double slots = candidate->slots ? candidate->slots : 1;

	return candidate->in_flight / slots +
	    (candidate->same_domain ? 0 : DOMAIN_PENALTY);
}

static int
nth_open(const struct kwb_route *route, const struct kwb_candidate *candidates,
    unsigned count, unsigned nth)
{
	unsigned i;

	for (i = 0; i < count; i++)
		if (may_serve(route, &candidates[i], (int)i) &&
		    has_room(route, &candidates[i]) && nth-- == 0)
			return (int)i;
	return -1;
}

/* Highest rendezvous score with room, leaving out one candidate. */
static int
affine(const struct kwb_route *route, const struct kwb_candidate *candidates,
    unsigned count, int after)
{
	uint64_t seed = kwb_hash(route->affinity, 0);
	uint64_t score, best_score = 0;
	int best = -1;
	unsigned i;

	for (i = 0; i < count; i++) {
		if ((int)i == after ||
		    !may_serve(route, &candidates[i], (int)i) ||
		    !has_room(route, &candidates[i]))
			continue;
		score = kwb_hash(candidates[i].vm, seed);
		if (best < 0 || score > best_score) {
			best = (int)i;
			best_score = score;
		}
	}
	return best;
}
