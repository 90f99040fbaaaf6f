/*
 * Assigns items to upstreams: which item starts next and where, and which
 * running item moves to another upstream. Batches may come faster than their
 * longest item takes, and upstreams load new weights in turn.
 */
#include <stdlib.h>
#include <string.h>

#include "batch.h"

static uint64_t
run_units_left(const struct item_run *run)
{
	return kwb_units_left(run->item->length_hint,
	    run->batch->batches->hint_per_unit, run->last_event);
}

/*
 * Where a text must come from one version of the weights, the version that has
 * made its events so far; 0 for any.
 */
static uint64_t
version_to_go_on_with(struct item_run *run)
{
	const struct kwb_route_entry *route;

	if (run->versions_count == 0)
		return 0;
	route = run_route(run);
	return route != NULL && route->single_version ? run->versions[0] : 0;
}

/* Best upstream with a free slot, other than the current one; or NULL. */
static struct kwb_upstream *
run_pick_upstream(
    struct item_run *run, const char *service, bool may_probe_early)
{
	const struct kwb_batch *batch = run->batch;
	const struct kwb_upstream *current = run->upstream;
	const struct kwb_registry *registry = run_env(run)->forward->registry;
	struct kwb_pick_criteria criteria = {
	    .service = service,
	    .failure_domain = run_env(run)->forward->failure_domain,
	    .model = batch->spec.model,
	    .min_version = batch->spec.min_version,
	    .version = version_to_go_on_with(run),
	    .affinity_id = batch->groups[run->group].upstream_id,
	    .exclude = &current,
	    .exclude_count = current != NULL,
	    .needs_free_slot = true,
	    .may_probe_early = may_probe_early,
	    .now_ns = kwb_clock_now_ns(),
	    .random = (uint64_t)random(),
	};

	if (kwb_registry_reports_slowness(registry, service)) {
		criteria.client = run_env(run)->forward->client;
		criteria.units = run_units_left(run);
		criteria.prompt_tokens = run->item->prompt_tokens;
	}
	return kwb_upstream_pick(registry, &criteria);
}

static struct kwb_stall_input
stall_input_of(const struct item_run *run, uint64_t now_ns)
{
	return (struct kwb_stall_input){.elapsed_ns = now_ns -
		(run->last_event_ns ? run->last_event_ns : run->started_ns),
	    .pace_ns = run->upstream->pace_ns,
	    .has_begun = run->last_event_ns != 0,
	    .is_loading = kwb_upstream_is_loading(
		run->upstream, run->batch->spec.model, now_ns)};
}

/* Until the item would end there, if it started or went on now. */
static uint64_t
run_time_at(const struct item_run *run, const struct kwb_upstream *upstream,
    uint64_t now_ns)
{
	struct kwb_pace_view view;

	kwb_upstream_view_pace(upstream,
	    kwb_registry_median_pace(run_env(run)->forward->registry,
		upstream->status.service, now_ns),
	    now_ns, &view);
	return kwb_pace_run_ns(&view, run_units_left(run));
}

/*
 * Until the item ends where it runs. One that waits in a queue is expected to
 * wait for as long again.
 */
static uint64_t
run_stay_ns(const struct item_run *run, uint64_t now_ns)
{
	uint64_t stay_ns = run_time_at(run, run->upstream, now_ns);
	uint64_t loaded_ns =
	    run->upstream->expected_since_ns + KWB_WEIGHT_LOAD_NS;

	if (kwb_upstream_is_loading(
		run->upstream, run->batch->spec.model, now_ns) &&
	    loaded_ns > now_ns)
		return stay_ns + loaded_ns - now_ns;
	if (run->last_event_ns == 0)
		stay_ns += now_ns - run->started_ns;
	return stay_ns;
}

/* Until the candidate has read its prompt and its text. */
static uint64_t
run_read_ns(const struct item_run *run, const struct kwb_upstream *candidate,
    uint64_t now_ns)
{
	struct kwb_pace_view view;

	kwb_upstream_view_pace(candidate, 0, now_ns, &view);
	return kwb_prompt_cost_ns(&view,
	    run->item->prompt_tokens +
		run->last_event * run->batch->batches->hint_per_unit);
}

/* Whether an item ends sooner if it moves to that candidate. */
static bool
run_gains_by_move(const struct item_run *run,
    const struct kwb_upstream *candidate, uint64_t now_ns)
{
	struct kwb_move_terms terms = {.stay_ns = run_stay_ns(run, now_ns),
	    .move_ns = run_time_at(run, candidate, now_ns) +
		run_read_ns(run, candidate, now_ns) + KWB_MOVE_START_NS,
	    .step_least_ns = run->batch->least_time_ns,
	    .moves = run->moves};

	return kwb_move_pays(&terms);
}

/* Why a running item should move to that candidate; NULL to stay. */
static const char *
reason_to_move(
    struct item_run *run, const struct kwb_upstream *candidate, uint64_t now_ns)
{
	bool is_loading = kwb_upstream_is_loading(
	    run->upstream, run->batch->spec.model, now_ns);
	struct kwb_move_input input = {.pace_ns = run->upstream->pace_ns,
	    .moves = run->moves,
	    .elapsed_ns = now_ns - run->started_ns};

	if (now_ns - candidate->pace_updated_ns < KWB_PACE_TTL_NS)
		input.best_pace_ns = candidate->pace_ns;
	else
		input.best_pace_ns =
		    kwb_registry_median_pace(run_env(run)->forward->registry,
			candidate->status.service, now_ns);
	if (version_to_go_on_with(run) == 0 &&
	    kwb_upstream_reports_slowness(run->upstream)) {
		if (!run_gains_by_move(run, candidate, now_ns))
			return NULL;
		return is_loading ? "weights_change" : "slow_upstream";
	}
	if (is_loading)
		return input.best_pace_ns != 0 ? "weights_change" : NULL;
	return kwb_move_is_worthwhile(&input) ? "slow_upstream" : NULL;
}

/* Notes when the item would have ended where it is; see run_settle_move(). */
static void
run_note_move(struct item_run *run, const struct kwb_upstream *candidate,
    const char *reason)
{
	uint64_t now_ns = kwb_clock_now_ns();
	uint64_t stay_ns = run_stay_ns(run, now_ns);

	run->unmoved_end_ns = now_ns + stay_ns;
	kwb_metric_add(KWB_METRIC_MOVES, 1);
	kwb_log(KWB_LOG_INFO, "item",
	    "event=move id=%s from=%s to=%s reason=%s stay_ms=%llu "
	    "move_ms=%llu step_least_ms=%llu",
	    run->item->id, run->upstream->status.id, candidate->status.id,
	    reason, (unsigned long long)(stay_ns / KWB_MS_NS),
	    (unsigned long long)(run_time_at(run, candidate, now_ns) /
		KWB_MS_NS),
	    (unsigned long long)(run->batch->least_time_ns / KWB_MS_NS));
}

/* Resumes there at once, ahead of the waiting items. */
static void
run_move(
    struct item_run *run, struct kwb_upstream *candidate, const char *reason)
{
	const struct kwb_route_entry *route = run_route(run);

	if (route == NULL)
		return;
	run_note_move(run, candidate, reason);
	run_retry(run, 0, reason);
	if (run->state == ITEM_WAITING)
		run_start(run, candidate, route);
}

static void
run_check(struct item_run *run)
{
	uint64_t now_ns = kwb_clock_now_ns();
	struct kwb_stall_input stall = stall_input_of(run, now_ns);
	struct kwb_upstream *candidate;
	const char *reason;
	bool queued;

	if (run_is_past_ttl(run)) {
		run_ready(run, KWB_ITEM_ERRORED, "item_ttl");
		return;
	}
	if (kwb_item_is_stalled(&stall)) {
		/* An upstream where others get events has not failed. */
		if (now_ns - run->upstream->pace_updated_ns >= KWB_STALL_NS)
			run_note_failure(run, KWB_ERR_NET_TIMEOUT);
		run_retry(run, 0, "silent");
		return;
	}
	queued = kwb_item_is_queued(&stall);
	if (queued)
		run->upstream->backoff_until_ns =
		    now_ns + KWB_QUEUED_BACKOFF_NS;
	else if (run->last_event == 0)
		return;
	candidate =
	    run_pick_upstream(run, run->upstream->status.service, false);
	if (candidate == NULL)
		return;
	if (queued && kwb_upstream_reports_slowness(run->upstream) &&
	    !run_gains_by_move(run, candidate, now_ns))
		return;
	if (queued) {
		run_move(run, candidate, "queued");
		return;
	}
	reason = reason_to_move(run, candidate, now_ns);
	if (reason == NULL)
		return;
	run->moves += strcmp(reason, "slow_upstream") == 0;
	run_move(run, candidate, reason);
}

/*
 * The time that the step takes at least: that of its longest item at the usual
 * pace. Only an item that takes longer can hold it up.
 */
static uint64_t
batch_least_time(const struct kwb_batch *batch)
{
	const struct kwb_registry *registry =
	    batch->batches->env->forward->registry;
	uint64_t now_ns = kwb_clock_now_ns();
	uint64_t units = 0;
	uint64_t pace_ns = 0;
	uint64_t left;
	uint32_t i;

	for (i = 0; i < batch->spec.items_count; i++) {
		const struct item_run *run = &batch->runs[i];

		if (run->state > ITEM_RUNNING ||
		    batch->groups[run->group].surplus)
			continue;
		left = run_units_left(run);
		if (left > units)
			units = left;
		if (pace_ns == 0 && run->upstream != NULL)
			pace_ns = kwb_registry_median_pace(
			    registry, run->upstream->status.service, now_ns);
	}
	return units * pace_ns;
}

void
batch_check_running(struct kwb_batch *batch)
{
	uint32_t i;

	if (batch->loaded)
		batch->least_time_ns = batch_least_time(batch);
	for (i = 0; batch->loaded && i < batch->spec.items_count; i++)
		if (batch->runs[i].state == ITEM_RUNNING)
			run_check(&batch->runs[i]);
}

void
run_get_rank(const struct item_run *run, struct kwb_item_rank *rank)
{
	rank->group_index = run->group;
	rank->wanted = !run->batch->groups[run->group].surplus;
	rank->length_hint = run->item->length_hint;
	rank->events_count = run->last_event;
}

static int
compare_runs(const void *a, const void *b)
{
	struct kwb_item_rank left;
	struct kwb_item_rank right;

	run_get_rank(*(struct item_run *const *)a, &left);
	run_get_rank(*(struct item_run *const *)b, &right);
	return kwb_item_rank_compare(&left, &right);
}

static bool
pass_is_full(
    const struct dispatch_pass *pass, const char *service, uint64_t version)
{
	uint32_t i;

	for (i = 0; i < pass->full_count; i++)
		if (pass->full[i].version == version &&
		    strcmp(pass->full[i].service, service) == 0)
			return true;
	return pass->full_count == DISPATCH_PLACES_MAX;
}

/* Starts the item at the service; false when no upstream there takes it. */
static bool
run_try_service(
    struct item_run *run, const char *service, struct dispatch_pass *pass)
{
	uint64_t version = version_to_go_on_with(run);
	struct kwb_upstream *upstream;

	if (pass_is_full(pass, service, version))
		return false;
	upstream = run_pick_upstream(run, service, pass->may_probe_early);
	if (upstream != NULL) {
		run_start(run, upstream, pass->route);
		return true;
	}
	pass->full[pass->full_count].service = service;
	pass->full[pass->full_count].version = version;
	pass->full_count++;
	return false;
}

/* The service of an item that may go to several, the same each time. */
static const char *
run_pick_service(const struct item_run *run, const struct dispatch_pass *pass)
{
	uint64_t seed = 0;
	const char *c;

	for (c = run->item->id; *c != '\0'; c++)
		seed = seed * 31 + (unsigned char)*c;
	return kwb_route_entry_pick_among(
	    pass->route, pass->usable_splits, seed);
}

/* A text that no upstream of the service can go on with begins anew. */
static void
run_check_version(
    struct item_run *run, const char *service, const struct dispatch_pass *pass)
{
	uint64_t version = version_to_go_on_with(run);

	if (version == 0 || pass_is_full(pass, service, version) ||
	    kwb_registry_has_version(run_env(run)->forward->registry, service,
		run->batch->spec.model, version))
		return;
	run_log(run, "begins_anew", "version_gone");
	run_reset_text(run);
}

/*
 * Starts one waiting item if an upstream has a free slot for it. Items wait for
 * different places, those of the services that their route is split between and
 * of the versions that their texts have: one that finds none must not hold up
 * the others. One that has waited for long takes any service of its route.
 */
static void
dispatch_run(struct item_run *run, struct dispatch_pass *pass)
{
	const struct kwb_route_entry *route = run_route(run);
	const char *service;
	uint32_t i;

	if (route == NULL) {
		run_ready(run, KWB_ITEM_ERRORED, "route_removed");
		return;
	}
	if (route != pass->route)
		pass->usable_splits = kwb_registry_usable_splits(
		    run_env(run)->forward->registry, route, pass->now_ns);
	pass->route = route;
	service = run_pick_service(run, pass);
	run_check_version(run, service, pass);
	if (run_try_service(run, service, pass) ||
	    pass->now_ns - run->waiting_since_ns < KWB_SPLIT_WAIT_NS)
		return;
	for (i = 0; i < route->splits_count; i++)
		if (route->splits[i].weight > 0 &&
		    kwb_splits_contain(pass->usable_splits, i) &&
		    run_try_service(run, route->splits[i].service, pass))
			return;
}

/*
 * Whether this node's config is older than the one that the batch was accepted
 * under: it may lack the batch's route, which then has not been removed.
 */
static bool
is_config_behind(struct kwb_batch *batch)
{
	const struct kwb_batch_env *env = batch->batches->env;
	uint64_t version = (*env->config)->version;

	if (version >= batch->record.config_version)
		return false;
	if (!batch->config_behind)
		kwb_log(KWB_LOG_WARN, "batch",
		    "event=config_behind batch=%s config=%llu accepted=%llu",
		    batch->record.id, (unsigned long long)version,
		    (unsigned long long)batch->record.config_version);
	batch->config_behind = true;
	kwb_follower_refresh(env->config_follower, KWB_CONFIG_REFRESH_NS);
	return true;
}

/* Says now and then for which places items of the batch wait. */
static void
log_waits(
    struct kwb_batch *batch, const struct dispatch_pass *pass, uint32_t tried)
{
	uint32_t i;

	if (pass->full_count == 0 ||
	    pass->now_ns - batch->waits_logged_ns < KWB_WAIT_LOG_NS)
		return;
	batch->waits_logged_ns = pass->now_ns;
	for (i = 0; i < pass->full_count; i++)
		kwb_log(KWB_LOG_INFO, "batch",
		    "event=items_wait batch=%s tried=%u service=%s "
		    "version=%llu usable=%llx",
		    batch->record.id, tried, pass->full[i].service,
		    (unsigned long long)pass->full[i].version,
		    (unsigned long long)pass->usable_splits);
}

/*
 * Probes suspect upstreams with items that would wait otherwise. The least
 * urgent ones go first, as an upstream that is dead costs a probe a second.
 */
static void
dispatch_probes(
    struct item_run **waiting, uint32_t count, struct dispatch_pass *pass)
{
	uint32_t i;

	pass->may_probe_early = true;
	pass->full_count = 0;
	for (i = count; i-- > 0;)
		if (waiting[i]->state == ITEM_WAITING &&
		    waiting[i]->not_before_ns <= pass->now_ns)
			dispatch_run(waiting[i], pass);
}

bool
batch_dispatch(struct kwb_batch *batch)
{
	struct item_run **waiting;
	uint64_t now_ns = kwb_clock_now_ns();
	struct dispatch_pass pass = {.now_ns = now_ns};
	uint32_t count = 0;
	bool has_waiting = false;
	uint32_t i;

	if (!batch->loaded || batch->closing || batch->handing_over ||
	    *batch->batches->env->config == NULL)
		return false;
	if (is_config_behind(batch))
		return true;
	waiting = calloc(batch->spec.items_count, sizeof(struct item_run *));
	if (waiting == NULL)
		return true;
	for (i = 0; i < batch->spec.items_count; i++) {
		struct item_run *run = &batch->runs[i];

		if (run->state == ITEM_SCORING && run->not_before_ns <= now_ns)
			run_request_score(run);
		has_waiting |= run->state == ITEM_SCORING && !run->score_active;
		if (run->state != ITEM_WAITING)
			continue;
		has_waiting = true;
		if (run->not_before_ns <= now_ns)
			waiting[count++] = run;
	}
	qsort(waiting, count, sizeof(struct item_run *), compare_runs);
	for (i = 0; i < count; i++)
		dispatch_run(waiting[i], &pass);
	if (pass.full_count > 0 &&
	    kwb_registry_has_suspect(batch->batches->env->forward->registry))
		dispatch_probes(waiting, count, &pass);
	free(waiting);
	log_waits(batch, &pass, count);
	return has_waiting;
}
