/*
 * Places for items: which item starts next, where, and which running item goes
 * on elsewhere. Answers batches that come faster than the longest item takes,
 * on homes that change their weights in turn.
 */
#include <stdlib.h>
#include <string.h>

#include "batch.h"

static bool pump_one(struct item_run *run);

static struct kwb_upstream *
run_pick(const struct item_run *run, const char *service)
{
	const struct kwb_batch *batch = run->batch;
	struct kwb_pick pick = {
	    .service = service,
	    .failure_domain = run_env(run)->forward->failure_domain,
	    .model = batch->spec.model,
	    .min_version = batch->spec.min_version,
	    .affinity = batch->groups[run->group].upstream_id,
	    .within_slots = true,
	    .now_ns = kwb_clock_now_ns(),
	    .random = (uint64_t)random(),
	};

	if (pick.affinity[0] == '\0')
		pick.affinity = NULL;
	return kwb_upstream_pick(run_env(run)->forward->registry, &pick);
}

/* Pace of the fastest other place that is free for this item, 0 for none. */
static uint64_t
best_pace(const struct item_run *run, const char *service)
{
	const struct kwb_upstream *here = run->upstream;
	struct kwb_pick pick = {.service = service,
	    .model = run->batch->spec.model,
	    .min_version = run->batch->spec.min_version,
	    .exclude = &here,
	    .exclude_count = 1,
	    .within_slots = true,
	    .now_ns = kwb_clock_now_ns()};
	const struct kwb_upstream *found =
	    kwb_upstream_pick(run_env(run)->forward->registry, &pick);

	return found != NULL &&
		pick.now_ns - found->pace_at_ns < KWB_PACE_KEEP_NS
	    ? found->pace_ns
	    : 0;
}

void
batch_move(struct kwb_batch *batch)
{
	struct kwb_move_input input;
	struct item_run *run;
	bool loading;
	uint32_t i;

	for (i = 0; batch->loaded && i < batch->spec.items_count; i++) {
		run = &batch->runs[i];
		if (run->state != ITEM_RUNNING || run->last_event == 0)
			continue;
		input =
		    (struct kwb_move_input){.pace_ns = run->upstream->pace_ns,
			.best_pace_ns =
			    best_pace(run, run->upstream->status.service),
			.moves = run->moves,
			.since_ns = kwb_clock_now_ns() - run->begin_ns};
		loading = kwb_upstream_is_loading(
		    run->upstream, batch->spec.model, kwb_clock_now_ns());
		if (loading ? input.best_pace_ns == 0
			    : !kwb_move_wanted(&input))
			continue;
		run->moves += !loading;
		run_retry(run, 0, loading ? "weights_change" : "slow_upstream");
		pump_one(run);
	}
}

static void
rank_of(const struct item_run *run, struct kwb_item_rank *rank)
{
	rank->group_index = run->group;
	rank->wanted = !run->batch->groups[run->group].spare;
	rank->length_hint = run->item->length_hint;
	rank->made = run->last_event;
}

static int
compare_runs(const void *a, const void *b)
{
	struct kwb_item_rank left;
	struct kwb_item_rank right;

	rank_of(*(struct item_run *const *)a, &left);
	rank_of(*(struct item_run *const *)b, &right);
	return kwb_item_rank_compare(&left, &right);
}

/* Starts one waiting item; false when there is no place for it. */
static bool
pump_one(struct item_run *run)
{
	const struct kwb_batch_env *env = run_env(run);
	const struct kwb_route_entry *route = kwb_node_config_route(
	    *env->config, run->batch->head.host, run->item->target);
	struct kwb_upstream *upstream;
	uint64_t seed = 0;
	const char *at;

	if (route == NULL) {
		run_ready(run, KWB_ITEM_ERRORED, "route_removed");
		return true;
	}
	for (at = run->item->id; *at != '\0'; at++)
		seed = seed * 31 + (unsigned char)*at;
	upstream = run_pick(run, kwb_route_entry_service(route, seed));
	if (upstream == NULL)
		return false;
	run_start(run, upstream, route);
	return true;
}

bool
batch_pump(struct kwb_batch *batch)
{
	struct item_run **waiting;
	uint64_t now_ns = kwb_clock_now_ns();
	uint32_t count = 0;
	bool left = false;
	uint32_t i;

	if (!batch->loaded || batch->closing || batch->leaving ||
	    *batch->batches->env->config == NULL)
		return false;
	waiting = calloc(batch->spec.items_count, sizeof(struct item_run *));
	if (waiting == NULL)
		return true;
	for (i = 0; i < batch->spec.items_count; i++) {
		struct item_run *run = &batch->runs[i];

		if (run->state == ITEM_SCORING && run->retry_ns <= now_ns)
			run_score(run);
		left |= run->state == ITEM_SCORING && !run->score_open;
		if (run->state != ITEM_WAITING)
			continue;
		left = true;
		if (run->retry_ns <= now_ns)
			waiting[count++] = run;
	}
	qsort(waiting, count, sizeof(struct item_run *), compare_runs);
	for (i = 0; i < count; i++)
		if (!pump_one(waiting[i]))
			break;
	free(waiting);
	return left;
}
