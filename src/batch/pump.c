/*
 * Assigns items to upstreams: which item starts next and where, and which
 * running item moves to another upstream. Batches may come faster than their
 * longest item takes, and upstreams load new weights in turn.
 */
#include <stdlib.h>
#include <string.h>

#include "batch.h"

/*
 * Where a text must come from one version of the weights, the version that has
 * made its events so far; 0 for any.
 */
static uint64_t
version_to_go_on_with(const struct item_run *run)
{
	const struct kwb_route_entry *route;

	if (run->versions_count == 0)
		return 0;
	route = kwb_node_config_find_route(
	    *run_env(run)->config, run->batch->record.host, run->item->target);
	return route != NULL && route->single_version ? run->versions[0] : 0;
}

/* Best upstream with a free slot, other than the current one; or NULL. */
static struct kwb_upstream *
run_pick_upstream(const struct item_run *run, const char *service)
{
	const struct kwb_batch *batch = run->batch;
	const struct kwb_upstream *current = run->upstream;
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
	    .now_ns = kwb_clock_now_ns(),
	    .random = (uint64_t)random(),
	};

	if (criteria.affinity_id[0] == '\0')
		criteria.affinity_id = NULL;
	return kwb_upstream_pick(run_env(run)->forward->registry, &criteria);
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

/* Why a running item should move to that candidate; NULL to stay. */
static const char *
reason_to_move(const struct item_run *run, const struct kwb_upstream *candidate,
    uint64_t now_ns)
{
	struct kwb_move_input input = {.pace_ns = run->upstream->pace_ns,
	    .moves = run->moves,
	    .elapsed_ns = now_ns - run->started_ns};

	if (now_ns - candidate->pace_updated_ns < KWB_PACE_TTL_NS)
		input.best_pace_ns = candidate->pace_ns;
	else
		input.best_pace_ns =
		    kwb_registry_median_pace(run_env(run)->forward->registry,
			candidate->status.service, now_ns);
	if (kwb_upstream_is_loading(
		run->upstream, run->batch->spec.model, now_ns))
		return input.best_pace_ns != 0 ? "weights_change" : NULL;
	return kwb_move_is_worthwhile(&input) ? "slow_upstream" : NULL;
}

/* Resumes there at once, ahead of the waiting items. */
static void
run_move(
    struct item_run *run, struct kwb_upstream *candidate, const char *reason)
{
	const struct kwb_route_entry *route = kwb_node_config_find_route(
	    *run_env(run)->config, run->batch->record.host, run->item->target);

	if (route == NULL)
		return;
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
			kwb_upstream_record_failure(run->upstream, now_ns);
		run_retry(run, 0, "silent");
		return;
	}
	queued = kwb_item_is_queued(&stall);
	if (queued)
		run->upstream->backoff_until_ns =
		    now_ns + KWB_QUEUED_BACKOFF_NS;
	else if (run->last_event == 0)
		return;
	candidate = run_pick_upstream(run, run->upstream->status.service);
	if (candidate == NULL)
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

void
batch_check_running(struct kwb_batch *batch)
{
	uint32_t i;

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

/* Starts one waiting item; false when no upstream has a free slot. */
static bool
dispatch_run(struct item_run *run)
{
	const struct kwb_batch_env *env = run_env(run);
	const struct kwb_route_entry *route = kwb_node_config_find_route(
	    *env->config, run->batch->record.host, run->item->target);
	struct kwb_upstream *upstream;
	const char *service;
	uint64_t version;
	uint64_t seed = 0;
	const char *c;

	if (route == NULL) {
		run_ready(run, KWB_ITEM_ERRORED, "route_removed");
		return true;
	}
	for (c = run->item->id; *c != '\0'; c++)
		seed = seed * 31 + (unsigned char)*c;
	service = kwb_route_entry_pick_service(route, seed);
	version = version_to_go_on_with(run);
	if (version != 0 &&
	    !kwb_registry_has_version(env->forward->registry, service,
		run->batch->spec.model, version)) {
		run_log(run, "begins_anew", "version_gone");
		run_reset_text(run);
	}
	upstream = run_pick_upstream(run, service);
	if (upstream == NULL)
		return false;
	run_start(run, upstream, route);
	return true;
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

bool
batch_dispatch(struct kwb_batch *batch)
{
	struct item_run **waiting;
	uint64_t now_ns = kwb_clock_now_ns();
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
		if (!dispatch_run(waiting[i]))
			break;
	free(waiting);
	return has_waiting;
}
