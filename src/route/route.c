/*
 * Routing: which upstream takes a request, as a pure function of the inputs.
 * Reported loads lag, so the candidate that looks least loaded is not simply
 * taken: two random ones are compared (the power of two choices), and the two
 * that rank highest for the prompt by rendezvous hashing.
 */
#include <string.h>

#include "kwb.h"

/* Costs are fractions of a candidate's slots. */
#define AFFINITY_BONUS 0.30 /* for the first rank by the prompt */
#define DOMAIN_PENALTY 0.05 /* for another failure domain */
#define COST_MAX 1e9

static bool has_capacity(
    const struct kwb_route_query *query, const struct kwb_candidate *candidate);
static bool can_serve(const struct kwb_route_query *query,
    const struct kwb_candidate *candidate, int index);
static double cost_of(const struct kwb_candidate *candidate);
static int nth_available(const struct kwb_route_query *query,
    const struct kwb_candidate *candidates, unsigned count, unsigned nth);
static int best_by_affinity(const struct kwb_route_query *query,
    const struct kwb_candidate *candidates, unsigned count, int skip);
static struct kwb_choice pick_two_choices(const struct kwb_route_query *query,
    const struct kwb_candidate *candidates, unsigned count, unsigned available);
static struct kwb_choice pick_least_load(const struct kwb_route_query *query,
    const struct kwb_candidate *candidates, unsigned count);

struct kwb_choice
kwb_route_pick(const struct kwb_route_query *query,
    const struct kwb_candidate *candidates, unsigned count)
{
	struct kwb_choice choice = {
	    -1, KWB_ERR_ROUTE_NO_UPSTREAM, "none_usable"};
	unsigned i, available = 0;

	for (i = 0; i < count; i++) {
		if (!can_serve(query, &candidates[i], (int)i))
			continue;
		choice.error = KWB_ERR_ROUTE_FULL;
		choice.reason = "all_full";
		available += has_capacity(query, &candidates[i]);
	}
	if (available == 0)
		return choice;
	if (query->policy == KWB_POLICY_LEAST_LOAD)
		return pick_least_load(query, candidates, count);
	if (query->policy == KWB_POLICY_ROUND_ROBIN) {
		choice.index = nth_available(query, candidates, count,
		    (unsigned)(query->random % available));
		choice.error = 0;
		choice.reason = "round_robin";
		return choice;
	}
	return pick_two_choices(query, candidates, count, available);
}

int
kwb_policy_parse(enum kwb_policy *policy, const char *name)
{
	*policy = KWB_POLICY_DEFAULT;
	if (name[0] == '\0' || strcmp(name, "kwb") == 0)
		return 0;
	*policy = KWB_POLICY_ROUND_ROBIN;
	if (strcmp(name, "round_robin") == 0)
		return 0;
	*policy = KWB_POLICY_LEAST_LOAD;
	if (strcmp(name, "least") == 0)
		return 0;
	return KWB_ERR_ARGUMENT;
}

static struct kwb_choice
pick_two_choices(const struct kwb_route_query *query,
    const struct kwb_candidate *candidates, unsigned count, unsigned available)
{
	int options[4] = {-1, -1, -1, -1};
	struct kwb_choice choice = {-1, 0, "two_choices"};
	double cost, best = COST_MAX;
	unsigned i;

	if (query->affinity_key != NULL) {
		options[0] = best_by_affinity(query, candidates, count, -1);
		options[1] =
		    best_by_affinity(query, candidates, count, options[0]);
	}
	options[2] = nth_available(
	    query, candidates, count, (unsigned)(query->random % available));
	options[3] = nth_available(query, candidates, count,
	    (unsigned)((query->random >> 32) % available));
	for (i = 0; i < 4; i++) {
		if (options[i] < 0)
			continue;
		cost = cost_of(&candidates[options[i]]);
		if (i == 0)
			cost -= AFFINITY_BONUS;
		if (cost >= best)
			continue;
		best = cost;
		choice.index = options[i];
		choice.reason = i < 2 ? "prefix_affinity" : "two_choices";
	}
	return choice;
}

static struct kwb_choice
pick_least_load(const struct kwb_route_query *query,
    const struct kwb_candidate *candidates, unsigned count)
{
	struct kwb_choice choice = {-1, 0, "least_load"};
	unsigned i;

	for (i = 0; i < count; i++) {
		if (!can_serve(query, &candidates[i], (int)i) ||
		    !has_capacity(query, &candidates[i]))
			continue;
		if (choice.index < 0 ||
		    candidates[i].in_flight <
			candidates[choice.index].in_flight)
			choice.index = (int)i;
	}
	return choice;
}

static bool
can_serve(const struct kwb_route_query *query,
    const struct kwb_candidate *candidate, int index)
{
	return candidate->usable && index != query->exclude &&
	    candidate->version >= query->min_version && !candidate->swapping;
}

static bool
has_capacity(
    const struct kwb_route_query *query, const struct kwb_candidate *candidate)
{
	return candidate->plan_in_flight < candidate->units &&
	    (query->priority || candidate->in_flight < candidate->slots);
}

static double
cost_of(const struct kwb_candidate *candidate)
{
	double slots = candidate->slots ? candidate->slots : 1;

	return candidate->in_flight / slots +
	    (candidate->same_domain ? 0 : DOMAIN_PENALTY);
}

static int
nth_available(const struct kwb_route_query *query,
    const struct kwb_candidate *candidates, unsigned count, unsigned nth)
{
	unsigned i;

	for (i = 0; i < count; i++)
		if (can_serve(query, &candidates[i], (int)i) &&
		    has_capacity(query, &candidates[i]) && nth-- == 0)
			return (int)i;
	return -1;
}

/* The candidate with capacity that ranks highest for the prompt, but skip. */
static int
best_by_affinity(const struct kwb_route_query *query,
    const struct kwb_candidate *candidates, unsigned count, int skip)
{
	uint64_t seed = kwb_hash(query->affinity_key, 0);
	uint64_t score, best_score = 0;
	int best = -1;
	unsigned i;

	for (i = 0; i < count; i++) {
		if ((int)i == skip ||
		    !can_serve(query, &candidates[i], (int)i) ||
		    !has_capacity(query, &candidates[i]))
			continue;
		score = kwb_hash(candidates[i].vm, seed);
		if (best < 0 || score > best_score) {
			best = (int)i;
			best_score = score;
		}
	}
	return best;
}
