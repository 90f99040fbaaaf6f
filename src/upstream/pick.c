/*
 * The choice of an upstream. Answers a load of requests that are short beside
 * the time it takes to learn of a failed or slow upstream: every request is a
 * probe, so the choice follows what this node's own requests met, and only
 * then what upstreams report.
 */
#include <string.h>

#include "kwb_node.h"

/* Cost of the network between failure domains, in parts of a piece of work. */
#define FAR_COST 0.08
/* Cost of reading a prompt that another upstream has read, likewise. */
#define COLD_COST 0.10
/* Likewise where a route says that prompts are shared: two connections. */
#define UNREAD_COST (2 * KWB_CONNECT_COST)
/* Cost of a full upstream against an empty one, likewise. */
#define LOAD_COST 0.6

/* Requests there: own ones, and others by the last report while it is new. */
static uint32_t
load_of(const struct kwb_upstream *upstream, uint64_t now_ns)
{
	uint32_t others = 0;

	if (upstream->reported_ns != 0 &&
	    now_ns - upstream->reported_ns < KWB_REPORT_KEEP_NS &&
	    upstream->reported > upstream->reported_own)
		others = upstream->reported - upstream->reported_own;
	return upstream->in_flight + others;
}

static bool
is_excluded(const struct kwb_pick *pick, const struct kwb_upstream *upstream)
{
	uint32_t i;

	for (i = 0; i < pick->exclude_count; i++)
		if (pick->exclude[i] == upstream)
			return true;
	return false;
}

/* Ordered weights count: a request that asks for them is refused until then. */
static uint64_t
version_of(const struct kwb_upstream *upstream, const char *model)
{
	uint64_t version = kwb_upstream_version(upstream, model);

	if (strcmp(upstream->home_model, model) == 0 &&
	    upstream->expected_version > version)
		return upstream->expected_version;
	return version;
}

/*
 * While weights change nothing starts; towards the end, and where only ordered
 * weights fit, one request at a time finds out whether they are there.
 */
static bool
is_open_to(const struct kwb_pick *pick, const struct kwb_upstream *upstream)
{
	bool loading =
	    kwb_upstream_is_loading(upstream, pick->model, pick->now_ns);

	if (!loading &&
	    kwb_upstream_version(upstream, pick->model) >= pick->min_version)
		return true;
	return upstream->in_flight == 0 &&
	    pick->now_ns - upstream->loading_ns >= KWB_WEIGHT_LOAD_MIN_NS;
}

static bool
is_usable(const struct kwb_pick *pick, const struct kwb_upstream *upstream)
{
	uint32_t spare = 0;

	if (!upstream->listed || upstream->status.draining ||
	    strcmp(upstream->status.service, pick->service) != 0)
		return false;
	if (is_excluded(pick, upstream) ||
	    upstream->refused_until_ns > pick->now_ns)
		return false;
	if (pick->model != NULL &&
	    version_of(upstream, pick->model) < pick->min_version)
		return false;
	if (pick->model != NULL && !is_open_to(pick, upstream))
		return false;
	if (!pick->within_slots)
		return true;
	if (pick->spare_part != 0)
		spare = upstream->status.slots / pick->spare_part;
	return load_of(upstream, pick->now_ns) + spare < upstream->status.slots;
}

/* How much an upstream's failures count. */
enum trust {
	TRUST_SOUND,  /* none in a row */
	TRUST_PROBED, /* or suspected, its wait is over, and nothing tries it */
	TRUST_ANY
};

static bool
is_trusted(
    const struct kwb_upstream *upstream, enum trust trust, uint64_t now_ns)
{
	if (trust == TRUST_ANY || upstream->failures < KWB_SUSPECT_FAILURES)
		return true;
	return trust == TRUST_PROBED && upstream->suspect_until_ns <= now_ns &&
	    !upstream->probing;
}

static bool
has_pace(const struct kwb_upstream *upstream, uint64_t now_ns)
{
	return upstream->pace_ns != 0 &&
	    now_ns - upstream->pace_at_ns < KWB_PACE_KEEP_NS;
}

/*
 * The pace of an upstream that has not been measured: for generations the usual
 * one, for plain work, which varies more, that of its fastest peer.
 */
static double
usual_pace(const struct kwb_registry *registry, const struct kwb_pick *pick)
{
	uint64_t least = 0;
	uint32_t i;

	if (pick->model != NULL)
		least = kwb_registry_usual_pace(
		    registry, pick->service, pick->now_ns);
	if (least != 0)
		return (double)least;
	for (i = 0; i < registry->count; i++) {
		const struct kwb_upstream *upstream = registry->upstreams[i];

		if (strcmp(upstream->status.service, pick->service) == 0 &&
		    has_pace(upstream, pick->now_ns) &&
		    (least == 0 || upstream->pace_ns < least))
			least = upstream->pace_ns;
	}
	return least ? (double)least : 1.0;
}

static double
cost_of(const struct kwb_pick *pick, const struct kwb_upstream *upstream,
    double usual)
{
	uint32_t slots = upstream->status.slots ? upstream->status.slots : 1;
	uint32_t load = load_of(upstream, pick->now_ns);
	double pace = has_pace(upstream, pick->now_ns)
	    ? (double)upstream->pace_ns / usual
	    : 1.0;
	double cost = 1.0 + LOAD_COST * load / slots;

	if (pick->model == NULL && pace < KWB_PACE_NOISE)
		pace = 1.0;
	if (pick->client != NULL &&
	    !kwb_client_has_idle(pick->client, &upstream->status.address))
		cost += KWB_CONNECT_COST;
	if (load >= slots)
		cost += (double)(load + 1 - slots) / slots;
	if (pick->failure_domain != NULL &&
	    strcmp(pick->failure_domain, upstream->status.failure_domain) != 0)
		cost += FAR_COST;
	if (pick->affinity != NULL &&
	    strcmp(pick->affinity, upstream->status.id) != 0)
		cost += pick->model != NULL ? COLD_COST : UNREAD_COST;
	return cost * pace;
}

/* Cheapest upstream of one sort: homes of the model, or any. */
static struct kwb_upstream *
pick_among(const struct kwb_registry *registry, const struct kwb_pick *pick,
    double usual, bool homes, enum trust trust)
{
	struct kwb_upstream *best = NULL;
	double best_cost = 0;
	double cost;
	uint32_t i;

	for (i = 0; i < registry->count; i++) {
		struct kwb_upstream *upstream =
		    registry->upstreams[(pick->random + i) % registry->count];

		if (!is_usable(pick, upstream))
			continue;
		if (homes && strcmp(upstream->home_model, pick->model) != 0)
			continue;
		if (!is_trusted(upstream, trust, pick->now_ns))
			continue;
		cost = cost_of(pick, upstream, usual);
		if (best == NULL || cost < best_cost) {
			best = upstream;
			best_cost = cost;
		}
	}
	return best;
}

struct kwb_upstream *
kwb_upstream_pick(
    const struct kwb_registry *registry, const struct kwb_pick *pick)
{
	double usual = usual_pace(registry, pick);
	struct kwb_upstream *found = NULL;

	/* A generation that finds a home dead has lost a second. */
	if (pick->model != NULL)
		found = pick_among(registry, pick, usual, true, TRUST_SOUND);
	if (found == NULL && pick->model != NULL)
		found = pick_among(registry, pick, usual, true, TRUST_PROBED);
	if (found == NULL)
		found = pick_among(registry, pick, usual, false, TRUST_PROBED);
	if (found == NULL && !pick->within_slots)
		found = pick_among(registry, pick, usual, false, TRUST_ANY);
	return found;
}
