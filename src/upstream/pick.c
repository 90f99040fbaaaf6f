/*
 * Choice of an upstream for a request. Requests are short compared with the
 * time it takes the platform to report a failed or slow upstream, so the choice
 * relies first on the failures and times of this node's own requests, and then
 * on what upstreams report.
 */
#include <string.h>

#include "kwb_node.h"

/* Costs are fractions of a unit of work. */
#define REMOTE_DOMAIN_COST 0.08 /* network between failure domains */
#define PREFIX_MISS_COST 0.10	/* a generation's prompt is not cached */
/* The prompt of a sticky route is not cached: as much as two connections. */
#define SHARED_PREFIX_MISS_COST (2 * KWB_CONNECT_COST)
#define LOAD_COST 0.6 /* a full upstream, against an empty one */

/* Requests there: of this node, and of others by a recent report. */
uint32_t
kwb_upstream_load(const struct kwb_upstream *upstream, uint64_t now_ns)
{
	uint32_t others = 0;

	if (upstream->reported_ns != 0 &&
	    now_ns - upstream->reported_ns < KWB_REPORT_TTL_NS &&
	    upstream->reported_load > upstream->in_flight_at_report)
		others =
		    upstream->reported_load - upstream->in_flight_at_report;
	return upstream->in_flight + others;
}

static bool
is_excluded(const struct kwb_pick_criteria *criteria,
    const struct kwb_upstream *upstream)
{
	uint32_t i;

	for (i = 0; i < criteria->exclude_count; i++)
		if (criteria->exclude[i] == upstream)
			return true;
	return false;
}

/* Counts ordered weights: a request for them is refused until they load. */
static uint64_t
expected_version_of(const struct kwb_upstream *upstream, const char *model)
{
	uint64_t version = kwb_upstream_version(upstream, model);

	if (kwb_upstream_is_assigned(upstream, model) &&
	    upstream->expected_version > version)
		return upstream->expected_version;
	return version;
}

/*
 * Nothing starts while weights change. Once a load may be done, one request at
 * a time finds out whether the ordered weights are there.
 */
static bool
can_start(const struct kwb_pick_criteria *criteria,
    const struct kwb_upstream *upstream)
{
	bool loading = kwb_upstream_is_loading(
	    upstream, criteria->model, criteria->now_ns);

	if (!loading &&
	    kwb_upstream_version(upstream, criteria->model) >=
		criteria->min_version)
		return true;
	return upstream->in_flight == 0 &&
	    criteria->now_ns - upstream->expected_since_ns >=
	    KWB_WEIGHT_LOAD_MIN_NS;
}

static bool
is_usable(const struct kwb_pick_criteria *criteria,
    const struct kwb_upstream *upstream)
{
	uint32_t spare = 0;

	if (!kwb_upstream_takes_requests(upstream) ||
	    strcmp(upstream->status.service, criteria->service) != 0)
		return false;
	if (is_excluded(criteria, upstream) ||
	    upstream->backoff_until_ns > criteria->now_ns)
		return false;
	if (criteria->model != NULL &&
	    expected_version_of(upstream, criteria->model) <
		criteria->min_version)
		return false;
	if (criteria->model != NULL && criteria->version != 0 &&
	    kwb_upstream_version(upstream, criteria->model) !=
		criteria->version)
		return false;
	if (criteria->model != NULL && !can_start(criteria, upstream))
		return false;
	if (!criteria->needs_free_slot)
		return true;
	if (criteria->spare_divisor != 0)
		spare = upstream->status.slots / criteria->spare_divisor;
	return kwb_upstream_load(upstream, criteria->now_ns) + spare <
	    upstream->status.slots;
}

/* Which upstreams may be picked, by their failures. */
enum health {
	HEALTH_SOUND, /* not suspect */
	HEALTH_PROBE, /* or suspect, but due to be probed */
	HEALTH_EARLY, /* or suspect, but nothing speaks against itself */
	HEALTH_PANIC, /* or suspect, and not probed lately */
	HEALTH_ANY
};

static bool
is_suspect(const struct kwb_upstream *upstream)
{
	return upstream->failures >= KWB_SUSPECT_FAILURES;
}

/*
 * A failure that ended the requests of one incident, and those since then that
 * failed as most upstreams did, tell of the path rather than of the upstream.
 */
static bool
may_be_probed_early(const struct kwb_upstream *upstream, uint64_t now_ns)
{
	if (upstream->failures == KWB_SUSPECT_FAILURES)
		return true;
	return upstream->has_failed_in_panic &&
	    upstream->failed_ns + KWB_SUSPECT_NS <= now_ns;
}

static bool
is_healthy_enough(
    const struct kwb_upstream *upstream, enum health health, uint64_t now_ns)
{
	if (health == HEALTH_ANY || !is_suspect(upstream))
		return true;
	if (health == HEALTH_SOUND || upstream->prober != NULL)
		return false;
	return upstream->suspect_until_ns <= now_ns ||
	    (health >= HEALTH_EARLY && may_be_probed_early(upstream, now_ns)) ||
	    (health == HEALTH_PANIC &&
		upstream->failed_ns + KWB_PANIC_PROBE_NS <= now_ns);
}

bool
kwb_registry_has_suspect(const struct kwb_registry *registry)
{
	uint32_t i;

	for (i = 0; i < registry->count; i++)
		if (is_suspect(registry->upstreams[i]) &&
		    kwb_upstream_takes_requests(registry->upstreams[i]))
			return true;
	return false;
}

/*
 * When most upstreams of a service fail together, the path to them has failed
 * rather than they, and there is little else to use: avoiding them for long
 * would only prolong the incident.
 */
bool
kwb_registry_is_in_panic(
    const struct kwb_registry *registry, const char *service)
{
	uint32_t sound = 0;
	uint32_t total = 0;
	uint32_t i;

	for (i = 0; i < registry->count; i++) {
		const struct kwb_upstream *upstream = registry->upstreams[i];

		if (!kwb_upstream_takes_requests(upstream) ||
		    strcmp(upstream->status.service, service) != 0)
			continue;
		total++;
		sound += !is_suspect(upstream);
	}
	return sound * 100 < total * KWB_PANIC_SOUND_PERCENT;
}

static bool
is_service_usable(
    const struct kwb_registry *registry, const char *service, uint64_t now_ns)
{
	uint32_t i;

	for (i = 0; i < registry->count; i++)
		if (kwb_upstream_takes_requests(registry->upstreams[i]) &&
		    is_healthy_enough(
			registry->upstreams[i], HEALTH_PROBE, now_ns) &&
		    strcmp(registry->upstreams[i]->status.service, service) ==
			0)
			return true;
	return false;
}

uint64_t
kwb_registry_usable_splits(const struct kwb_registry *registry,
    const struct kwb_route_entry *route, uint64_t now_ns)
{
	uint64_t usable = 0;
	uint32_t i;

	if (route->splits_count < 2)
		return UINT64_MAX;
	for (i = 0; i < route->splits_count && i < KWB_SPLIT_BITS; i++)
		if (is_service_usable(
			registry, route->splits[i].service, now_ns))
			usable |= (uint64_t)1 << i;
	return usable;
}

const char *
kwb_registry_pick_service(const struct kwb_registry *registry,
    const struct kwb_route_entry *route, uint64_t random)
{
	return kwb_route_entry_pick_among(route,
	    kwb_registry_usable_splits(registry, route, kwb_clock_now_ns()),
	    random);
}

static bool
has_recent_pace(const struct kwb_upstream *upstream, uint64_t now_ns)
{
	return upstream->pace_ns != 0 &&
	    now_ns - upstream->pace_updated_ns < KWB_PACE_TTL_NS;
}

/*
 * The pace that others are compared with, in ns: for generations the median of
 * the service, for plain requests, which vary more, its fastest pace.
 */
static double
reference_pace(const struct kwb_registry *registry,
    const struct kwb_pick_criteria *criteria)
{
	uint64_t reference_ns = 0;
	uint32_t i;

	if (criteria->model != NULL)
		reference_ns = kwb_registry_median_pace(
		    registry, criteria->service, criteria->now_ns);
	if (reference_ns != 0)
		return (double)reference_ns;
	for (i = 0; i < registry->count; i++) {
		const struct kwb_upstream *upstream = registry->upstreams[i];

		if (strcmp(upstream->status.service, criteria->service) == 0 &&
		    has_recent_pace(upstream, criteria->now_ns) &&
		    (reference_ns == 0 || upstream->pace_ns < reference_ns))
			reference_ns = upstream->pace_ns;
	}
	return reference_ns ? (double)reference_ns : 1.0;
}

/* Whether it has read the request's prompt, as far as is known. */
static bool
has_prompt(const struct kwb_pick_criteria *criteria,
    const struct kwb_upstream *upstream)
{
	return criteria->affinity_id != NULL &&
	    strcmp(criteria->affinity_id, upstream->status.id) == 0;
}

/*
 * The time that a generation takes there, as a multiple of its usual time. An
 * upstream's own speed outlives its last measurement, so one that is slow by
 * nature isn't taken for an average one after a pause.
 */
static double
run_cost(const struct kwb_pick_criteria *criteria,
    const struct kwb_upstream *upstream, double reference_ns)
{
	struct kwb_pace_view view;
	uint64_t run_ns;

	kwb_upstream_view_pace(
	    upstream, (uint64_t)reference_ns, criteria->now_ns, &view);
	run_ns = kwb_pace_run_ns(&view, criteria->units) +
	    kwb_prompt_cost_ns(&view,
		has_prompt(criteria, upstream) ? 0 : criteria->prompt_tokens);
	return (double)run_ns / ((double)criteria->units * reference_ns);
}

static double
cost_of(const struct kwb_pick_criteria *criteria,
    const struct kwb_upstream *upstream, double reference_ns)
{
	uint32_t slots = upstream->status.slots ? upstream->status.slots : 1;
	uint32_t load = kwb_upstream_load(upstream, criteria->now_ns);
	double pace = has_recent_pace(upstream, criteria->now_ns)
	    ? (double)upstream->pace_ns / reference_ns
	    : 1.0;
	double cost = 1.0 + LOAD_COST * load / slots;

	if (criteria->model == NULL && pace < KWB_PACE_NOISE_RATIO)
		pace = 1.0;
	if (criteria->units != 0) {
		cost = run_cost(criteria, upstream, reference_ns);
		pace = 1.0;
	}
	if (criteria->client != NULL &&
	    !kwb_client_has_idle(criteria->client, &upstream->status.address))
		cost += KWB_CONNECT_COST;
	if (load >= slots)
		cost += (double)(load + 1 - slots) / slots;
	if (criteria->failure_domain != NULL &&
	    strcmp(criteria->failure_domain, upstream->status.failure_domain) !=
		0)
		cost += REMOTE_DOMAIN_COST;
	if (criteria->affinity_id != NULL && !has_prompt(criteria, upstream))
		cost += criteria->model != NULL ? PREFIX_MISS_COST
						: SHARED_PREFIX_MISS_COST;
	return cost * pace;
}

/*
 * The cheapest usable upstream; assigned_only leaves out those that are not
 * kept current for the model.
 */
static struct kwb_upstream *
pick_cheapest(const struct kwb_registry *registry,
    const struct kwb_pick_criteria *criteria, double reference_ns,
    bool assigned_only, enum health health)
{
	struct kwb_upstream *best = NULL;
	double best_cost = 0;
	double cost;
	uint32_t i;

	for (i = 0; i < registry->count; i++) {
		struct kwb_upstream *upstream =
		    registry
			->upstreams[(criteria->random + i) % registry->count];

		if (!is_usable(criteria, upstream))
			continue;
		if (assigned_only &&
		    !kwb_upstream_is_assigned(upstream, criteria->model))
			continue;
		if (!is_healthy_enough(upstream, health, criteria->now_ns))
			continue;
		cost = cost_of(criteria, upstream, reference_ns);
		if (best == NULL || cost < best_cost) {
			best = upstream;
			best_cost = cost;
		}
	}
	return best;
}

struct kwb_upstream *
kwb_upstream_pick(const struct kwb_registry *registry,
    const struct kwb_pick_criteria *criteria)
{
	double reference_ns = reference_pace(registry, criteria);
	struct kwb_upstream *found = NULL;

	/*
	 * Upstreams that the model is assigned to come first. Suspect ones are
	 * not probed by generations while a sound one is free, since a dead
	 * upstream costs a generation a second.
	 */
	if (criteria->model != NULL)
		found = pick_cheapest(
		    registry, criteria, reference_ns, true, HEALTH_SOUND);
	if (found == NULL && criteria->model != NULL)
		found = pick_cheapest(
		    registry, criteria, reference_ns, true, HEALTH_PROBE);
	if (found == NULL)
		found = pick_cheapest(
		    registry, criteria, reference_ns, false, HEALTH_PROBE);
	if (found == NULL && !criteria->needs_free_slot)
		found = pick_cheapest(
		    registry, criteria, reference_ns, false, HEALTH_ANY);
	/*
	 * A reset of connections proves nothing against an upstream that takes
	 * the next one.
	 */
	if (found == NULL && criteria->may_probe_early)
		found = pick_cheapest(registry, criteria, reference_ns, false,
		    kwb_registry_is_in_panic(registry, criteria->service)
			? HEALTH_PANIC
			: HEALTH_EARLY);
	return found;
}
